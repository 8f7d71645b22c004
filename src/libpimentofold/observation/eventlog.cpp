#include <pimentofold/eventlog.h>

#include <chrono>

#include <easylogging++.h>

namespace pimentofold {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '\n') {
            line += "\\n";
        } else if (c == '\r') {
            line += "\\r";
        } else {
            if (c == '"' || c == '\\') {
                line += '\\';
            }
            line += c;
        }
    }
    line += '"';
}

} // namespace

void appendPair(std::string &line, std::string_view key, std::string_view value)
{
    if (!line.empty()) {
        line += ' ';
    }
    line += key;
    line += '=';
    appendValue(line, value);
}

void setUpLogging()
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
}

std::string eventLine(std::string_view node, WallTime wall, HlcTime hlc, std::string_view event, std::initializer_list<EventField> fields)
{
    std::string line;
    appendPair(line, "time", std::to_string(wall));
    appendPair(line, "hlc", std::to_string(hlc));
    appendPair(line, "node", node);
    appendPair(line, "event", event);
    for (const EventField &it : fields) {
        appendPair(line, it.key, it.value);
    }
    return line;
}

void logEvent(EventLog &log, std::string_view event, std::initializer_list<EventField> fields)
{
    const WallTime wall = wallNow();
    LOG(INFO) << eventLine(log.node, wall, tick(log.clock, wall), event, fields);
}

WallTime wallNow()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace pimentofold
