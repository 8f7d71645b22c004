#include <platform/settingslines.h>

#include <charconv>
#include <map>
#include <sstream>

#include <pimentofold/settings.h>

namespace pimentofold::platform {

namespace {

struct Lines {
    std::string file;
    std::map<std::string, std::string> values;
};

Lines parseLines(const std::string &text, const std::string &file)
{
    Lines lines;
    lines.file = file;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        const auto equals = line.find('=');
        if (equals != std::string::npos) {
            std::string value = line.substr(equals + 1);
            if (!value.empty() && value.back() == '\r') {
                value.pop_back();
            }
            lines.values[line.substr(0, equals)] = value;
        }
    }
    return lines;
}

std::string textOf(const Lines &lines, const std::string &field)
{
    const auto it = lines.values.find(field);
    if (it == lines.values.end() || it->second.empty()) {
        throw SettingsError(lines.file, field, "a value");
    }
    return it->second;
}

Address addressIn(const Lines &lines, const std::string &field, const std::string &text)
{
    if (!isAddress(text)) {
        throw SettingsError(lines.file, field, "an IPv4 address with port");
    }
    return parseAddress(text);
}

Address addressOf(const Lines &lines, const std::string &field)
{
    return addressIn(lines, field, textOf(lines, field));
}

/// @param unit of the number in the file
/// @return @p fallback when the field is missing
Time durationOf(const Lines &lines, const std::string &field, Time unit, Time fallback)
{
    const auto it = lines.values.find(field);
    if (it == lines.values.end() || it->second.empty()) {
        return fallback;
    }
    double value = 0;
    const char *end = it->second.data() + it->second.size();
    const auto result = std::from_chars(it->second.data(), end, value);
    constexpr double most = 1e6;
    if (result.ec != std::errc() || result.ptr != end || !(value >= 0 && value <= most)) {
        throw SettingsError(lines.file, field, "a number from 0 to 1000000");
    }
    return static_cast<Time>(value * static_cast<double>(unit));
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, ',')) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

/// Nodes talk to each other on the first port that the platform leaves free on every instance.
std::uint16_t peerPort(const Lines &lines)
{
    const std::vector<std::string> parts = split(textOf(lines, "port_range"));
    int port = 0;
    const std::string &first = parts.at(0);
    const auto result = std::from_chars(first.data(), first.data() + first.size(), port);
    constexpr int mostPort = 65'535;
    if (result.ec != std::errc() || result.ptr != first.data() + first.size() || port < 1 || port > mostPort) {
        throw SettingsError(lines.file, "port_range", "two ports");
    }
    return static_cast<std::uint16_t>(port);
}

} // namespace

EdgeSettings parseSettingsLines(const std::string &text, const std::string &file)
{
    const Lines lines = parseLines(text, file);
    EdgeSettings settings;
    settings.node = textOf(lines, "node");
    settings.dataCentre = textOf(lines, "zone");
    settings.packetAddress = addressOf(lines, "listen.packets");
    settings.readinessAddress = addressOf(lines, "listen.readiness");
    settings.storeAddress = addressOf(lines, "platform.address");
    const std::uint16_t port = peerPort(lines);
    settings.peerAddress = {settings.packetAddress.ip, port};
    const auto seeds = lines.values.find("seeds");
    if (seeds != lines.values.end()) {
        // The seeds are addresses for operators' calls; the nodes there are reached at their peers' port.
        for (const std::string &it : split(seeds->second)) {
            settings.seeds.push_back({addressIn(lines, "seeds", it).ip, port});
        }
    }
    const auto bootstrap = lines.values.find("bootstrap");
    settings.firstStart = bootstrap != lines.values.end() && bootstrap->second == "true";
    settings.stopGracePeriod = durationOf(lines, "bounds.grace_s", second, settings.stopGracePeriod);
    return settings;
}

} // namespace pimentofold::platform
