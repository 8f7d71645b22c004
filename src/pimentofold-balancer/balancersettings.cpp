#include <pimentofold-balancer/balancersettings.h>

#include <pimentofold/settings.h>

namespace pimentofold {

namespace {

constexpr std::size_t minSecretBytes = 16;
constexpr std::int64_t maxDrainLimitMs = 600'000;
constexpr std::int64_t defaultDrainLimitMs = 10'000;

std::string takeIp(SettingsObject &object)
{
    std::string ip = takeString(object, "ip");
    if (!isAddress(ip + ":1")) {
        throw SettingsError(object.file, "ip", "an IPv4 address such as \"127.0.0.1\"");
    }
    return ip;
}

std::vector<std::string> takeSecrets(SettingsObject &object)
{
    std::vector<std::string> secrets = takeStrings(object, "peerSecrets");
    if (secrets.empty()) {
        throw SettingsError(object.file, "peerSecrets", "a list of at least one secret");
    }
    for (const std::string &it : secrets) {
        if (it.size() < minSecretBytes) {
            throw SettingsError(object.file, "peerSecrets", "every secret to have at least 16 bytes");
        }
    }
    return secrets;
}

BalancerSettings takeSettings(SettingsObject top)
{
    BalancerSettings settings;
    settings.node = takeString(top, "node");
    settings.dataCentre = takeString(top, "dataCentre");
    settings.team = takeString(top, "team");
    settings.ip = takeIp(top);
    settings.peerAddress = parseAddress(takeAddress(top, "peerAddress"));
    settings.viewAddress = parseAddress(takeAddress(top, "viewAddress"));
    settings.metricsAddress = parseAddress(takeAddress(top, "metricsAddress"));
    settings.peerSecrets = takeSecrets(top);
    settings.drainLimit = takeInteger(top, "drainLimitMs", 0, maxDrainLimitMs, defaultDrainLimitMs) * millisecond;
    finishSettings(top);
    return settings;
}

} // namespace

BalancerSettings readBalancerSettings(const std::string &file)
{
    return takeSettings(readSettings(file));
}

BalancerSettings parseBalancerSettings(const std::string &text, const std::string &file)
{
    return takeSettings(parseSettings(text, file));
}

} // namespace pimentofold
