#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <pimentofold/hlc.h>
#include <pimentofold/types.h>

/// Parses the event log lines of many processes (see eventlog.h) and merges them into one timeline in causal order.
namespace pimentofold {

/// One parsed line of an event log.
struct TimelineEvent {
    WallTime time = 0; ///< wall clock of the process in milliseconds since the Unix epoch; may be off, so it doesn't decide the order
    HlcTime hlc = 0; ///< hybrid logical clock of the process; decides the order of events
    std::string node; ///< name of the process that logged the event
    std::string event; ///< name of the event
    std::vector<std::pair<std::string, std::string>> fields; ///< the remaining key=value pairs, in the order of the line
};

/// The events of several processes.
struct Timeline {
    std::vector<TimelineEvent> events;
    std::size_t brokenLines = 0; ///< number of lines that couldn't be parsed as events, for example truncated ones
};

/// Parses one event log line. The line must begin with the keys `time`, `hlc`, `node` and `event`, in this order.
/// @param line the line without its line end
/// @return the event, or nothing when the line is malformed
std::optional<TimelineEvent> parseEventLine(std::string_view line);

/// Parses a log line of any process and appends its event. A prefix without "=" that a log collector has put before the
/// event is skipped. Empty lines are ignored; malformed lines are counted in Timeline::brokenLines.
void addLine(Timeline &timeline, std::string_view line);

/// Sorts the events in causal order, by hybrid logical clock and then by process name. Events of one process with the same
/// clock reading keep the order in which they were added.
void sortEvents(Timeline &timeline);

/// @return the names of all processes that logged an event, in alphabetical order
std::vector<std::string> processNames(const Timeline &timeline);

/// Formats the timeline as text.
/// @param timeline sorted events
/// @return one line for each event: seconds since the first event, process name, event name and key=value pairs
std::string timelineText(const Timeline &timeline);

/// Formats the timeline as a self-contained HTML page, which loads no external resources.
/// @param timeline sorted events
/// @return the page: one lane for each process, one row for each event, with the key=value pairs of the event as a tooltip
std::string timelinePage(const Timeline &timeline);

} // namespace pimentofold
