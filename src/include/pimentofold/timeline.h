#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <pimentofold/hlc.h>
#include <pimentofold/types.h>

/// Merges the event lines of many processes (see eventlog.h) into one timeline in causal order.
namespace pimentofold {

/// One event line.
struct TimelineEvent {
    WallTime time = 0; ///< wall time of the process, which may be wrong
    HlcTime hlc = 0; ///< decides the order
    std::string node;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< the further pairs, in the order of the line
};

struct Timeline {
    std::vector<TimelineEvent> events;
    std::size_t brokenLines = 0; ///< lines that aren't event lines, for example cut off ones
};

/// @param line without a line end
/// @return the event; nothing when the line isn't complete: `time`, `hlc`, `node` and `event` come first
std::optional<TimelineEvent> parseEventLine(std::string_view line);

/// Adds one line of any process; words without "=" that a log collector has put before it are left out. Empty lines are
/// ignored, broken ones counted.
void addLine(Timeline &timeline, std::string_view line);

/// Puts the events in causal order, by hybrid logical clock. Events of one process with the same reading keep
/// the order in which they were added.
void sortEvents(Timeline &timeline);

/// @return names of the processes, in alphabetical order
std::vector<std::string> processNames(const Timeline &timeline);

/// @return a line for each event: seconds since the first event, process, event and pairs
std::string timelineText(const Timeline &timeline);

/// @return an HTML page that needs nothing else: a lane for each process, a row for each event, and the pairs
///     of an event as its tooltip
std::string timelinePage(const Timeline &timeline);

} // namespace pimentofold
