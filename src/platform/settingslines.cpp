#include <platform/settingslines.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <sstream>

#include <pimentofold/settings.h>

namespace pimentofold::platform {

namespace {

/// Values of a settings file by field.
struct SettingsLines {
    std::string file; ///< name for error messages
    std::map<std::string, std::string> values;
};

SettingsLines parseLines(const std::string &text, const std::string &file)
{
    SettingsLines lines;
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

std::string requiredValue(const SettingsLines &lines, const std::string &field)
{
    const auto it = lines.values.find(field);
    if (it == lines.values.end() || it->second.empty()) {
        throw SettingsError(lines.file, field, "a non-empty value");
    }
    return it->second;
}

Address checkedAddress(const SettingsLines &lines, const std::string &field, const std::string &text)
{
    if (!isAddress(text)) {
        throw SettingsError(lines.file, field, "an IPv4 address with port, for example 127.0.0.1:80");
    }
    return parseAddress(text);
}

Address requiredAddress(const SettingsLines &lines, const std::string &field)
{
    return checkedAddress(lines, field, requiredValue(lines, field));
}

/// @return the number; nothing when the field is missing or empty
std::optional<double> optionalNumber(const SettingsLines &lines, const std::string &field)
{
    const auto it = lines.values.find(field);
    if (it == lines.values.end() || it->second.empty()) {
        return std::nullopt;
    }
    double value = 0;
    const char *end = it->second.data() + it->second.size();
    const auto result = std::from_chars(it->second.data(), end, value);
    constexpr double maxValue = 1e6;
    if (result.ec != std::errc() || result.ptr != end || !(value >= 0 && value <= maxValue)) {
        throw SettingsError(lines.file, field, "a number from 0 to 1000000");
    }
    return value;
}

/// @param unit unit of the number in the file
/// @return the duration, or @p fallback when the field is missing or empty
Time optionalDuration(const SettingsLines &lines, const std::string &field, Time unit, Time fallback)
{
    const std::optional<double> value = optionalNumber(lines, field);
    return value ? static_cast<Time>(*value * static_cast<double>(unit)) : fallback;
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

/// @return the number of data centres that the file names, in fields `zones.NAME`
int countDataCentres(const SettingsLines &lines)
{
    return static_cast<int>(std::ranges::count_if(lines.values, [](const auto &it) { return it.first.starts_with("zones."); }));
}

/// @return the port for messages between nodes: the first port of the range that the platform keeps free on every instance
std::uint16_t readPeerPort(const SettingsLines &lines)
{
    const std::vector<std::string> parts = split(requiredValue(lines, "port_range"));
    int port = 0;
    const std::string first = parts.empty() ? std::string() : parts.front();
    const auto result = std::from_chars(first.data(), first.data() + first.size(), port);
    constexpr int maxPort = 65'535;
    if (result.ec != std::errc() || result.ptr != first.data() + first.size() || port < 1 || port > maxPort) {
        throw SettingsError(lines.file, "port_range", "a range of two ports from 1 to 65535, separated by a comma");
    }
    return static_cast<std::uint16_t>(port);
}

} // namespace

EdgeSettings parseSettingsLines(const std::string &text, const std::string &file)
{
    const SettingsLines lines = parseLines(text, file);
    EdgeSettings settings;
    settings.node = requiredValue(lines, "node");
    settings.dataCentre = requiredValue(lines, "zone");
    settings.packetAddress = requiredAddress(lines, "listen.packets");
    settings.readinessAddress = requiredAddress(lines, "listen.readiness");
    settings.storeAddress = requiredAddress(lines, "platform.address");
    const std::uint16_t port = readPeerPort(lines);
    settings.peerAddress = {settings.packetAddress.ip, port};
    const auto seeds = lines.values.find("seeds");
    if (seeds != lines.values.end()) {
        // The file lists the seeds with the port for operators' requests; messages between nodes go to the peer port.
        for (const std::string &it : split(seeds->second)) {
            settings.seeds.push_back({checkedAddress(lines, "seeds", it).ip, port});
        }
    }
    const auto bootstrap = lines.values.find("bootstrap");
    settings.firstStart = bootstrap != lines.values.end() && bootstrap->second == "true";
    settings.evacuationBound = optionalDuration(lines, "bounds.evacuate_ms", millisecond, 0);
    settings.dataCentreCount = countDataCentres(lines);
    settings.coldOvershoot = optionalNumber(lines, "bounds.cold_overshoot");
    settings.coldSlack = optionalNumber(lines, "bounds.cold_slack");
    settings.targetHeartbeat = optionalDuration(lines, "heartbeat_ms", millisecond, settings.targetHeartbeat);
    settings.drainBound = optionalDuration(lines, "bounds.drain_ms", millisecond, settings.drainBound);
    settings.maxFlowAge = optionalDuration(lines, "bounds.flow_max_s", second, settings.maxFlowAge);
    settings.stopGracePeriod = optionalDuration(lines, "bounds.grace_s", second, settings.stopGracePeriod);
    return settings;
}

} // namespace pimentofold::platform
