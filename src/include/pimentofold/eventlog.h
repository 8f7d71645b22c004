#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

#include <pimentofold/hlc.h>
#include <pimentofold/verdict.h>

/// Structured log: one line of key=value pairs for each event, on standard output.
///
///     time=1764830000123 hlc=115660000000000123 node=dc1-e3 event=view_applied generation=7 members=5
namespace pimentofold {

/// One key=value pair of an event. The value is quoted in the log line when it is empty or has whitespace, quotes, '=' or '\'.
struct EventField {
    std::string_view key;
    std::string value;

    EventField(std::string_view fieldKey, std::string_view fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {
    }
    EventField(std::string_view fieldKey, const char *fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {
    }
    EventField(std::string_view fieldKey, const std::string &fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {
    }
    EventField(std::string_view fieldKey, Verdict verdict)
        : key(fieldKey)
        , value(name(verdict))
    {
    }
    EventField(std::string_view fieldKey, Reason reason)
        : key(fieldKey)
        , value(name(reason))
    {
    }
    template<typename T>
    requires std::integral<T> || std::floating_point<T> EventField(std::string_view fieldKey, T number)
        : key(fieldKey)
        , value(std::to_string(number))
    {
    }
};

/// The event log of one process.
struct EventLog {
    std::string node; ///< name of the process, which appears in each line, for example "dc1-e3/agent"
    Hlc clock; ///< hybrid logical clock; each event advances it
};

/// Configures easylogging++ to write messages to standard output without timestamp or level. Call once at the start of a
/// program, which also needs INITIALIZE_EASYLOGGINGPP in one source file.
void setUpLogging();

/// Writes one event to the log, with the current wall time and a new reading of the hybrid logical clock.
/// @param log log of the process; its clock advances
/// @param event name of the event, in lower case with underscores
/// @param fields key=value pairs of the event, in output order; must not contain secrets
void logEvent(EventLog &log, std::string_view event, std::initializer_list<EventField> fields);

/// Formats an event as logEvent() writes it.
/// @param node name of the process
/// @param wall wall time in milliseconds since the Unix epoch
/// @param hlc reading of the hybrid logical clock
/// @param event name of the event
/// @param fields key=value pairs of the event, in output order
/// @return the line without a line end
std::string eventLine(std::string_view node, WallTime wall, HlcTime hlc, std::string_view event, std::initializer_list<EventField> fields);

/// Appends a key=value pair to a line, separated by a space unless the line is empty. The value is quoted where needed.
void appendPair(std::string &line, std::string_view key, std::string_view value);

/// @return the system clock in milliseconds since the Unix epoch
WallTime wallNow();

} // namespace pimentofold
