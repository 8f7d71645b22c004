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

/// One pair of an event. Values with blanks, quotes or '=' are quoted.
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

/// The log of one process.
struct EventLog {
    std::string node; ///< name of the process in each line, for example "dc1-e3/agent"
    Hlc clock;
};

/// Sets the format of easylogging++ to bare lines on standard output. Call once at the start of a program,
/// which also needs INITIALIZE_EASYLOGGINGPP in one source file.
void setUpLogging();

/// Writes one event.
/// @param event name in lower case with underscores
/// @param fields further pairs, in order; never secrets
void logEvent(EventLog &log, std::string_view event, std::initializer_list<EventField> fields);

/// @return the line that logEvent() writes, without a line end
std::string eventLine(std::string_view node, WallTime wall, HlcTime hlc, std::string_view event, std::initializer_list<EventField> fields);

/// Appends " key=value" to a line, without the blank at the start of the line; quotes the value where needed.
void appendPair(std::string &line, std::string_view key, std::string_view value);

/// @return wall time in milliseconds from the system clock
WallTime wallNow();

} // namespace pimentofold
