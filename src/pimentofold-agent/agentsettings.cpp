#include <pimentofold-agent/agentsettings.h>

#include <pimentofold/datagramauth.h>
#include <pimentofold/teams/template.h>

namespace pimentofold {

namespace {

std::string takeName(SettingsObject &top, const std::string &field)
{
    std::string text = takeString(top, field);
    if (!isName(text)) {
        throw SettingsError(top.file, field, "a name of lower-case letters, digits, '-' and '.'");
    }
    return text;
}

std::vector<std::string> takeAddresses(SettingsObject &top, const std::string &field)
{
    std::vector<std::string> addresses = takeStrings(top, field);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        if (!isAddress(addresses[i])) {
            throw SettingsError(top.file, field + "[" + std::to_string(i) + "]", "an IPv4 address and a port as \"127.0.0.1:4000\"");
        }
    }
    return addresses;
}

std::vector<std::string> takeSecrets(SettingsObject &top, const std::string &field)
{
    std::vector<std::string> secrets = takeStrings(top, field);
    if (secrets.empty()) {
        throw SettingsError(top.file, field, "at least one secret");
    }
    for (std::size_t i = 0; i < secrets.size(); ++i) {
        if (secrets[i].size() < macKeyBytes) {
            throw SettingsError(top.file, field + "[" + std::to_string(i) + "]", "a string of at least 16 bytes");
        }
    }
    return secrets;
}

} // namespace

AgentSettings parseAgentSettings(SettingsObject top)
{
    AgentSettings settings;
    settings.node = takeName(top, "node");
    settings.dataCentre = takeName(top, "dataCentre");
    settings.team = takeName(top, "team");
    settings.peerAddress = takeAddress(top, "peerAddress");
    settings.balancerPeerAddress = takeAddress(top, "balancerPeerAddress");
    settings.balancerViewAddress = takeAddress(top, "balancerViewAddress");
    settings.metricsAddress = takeAddress(top, "metricsAddress");
    settings.platform = takeAddress(top, "platform");
    settings.seeds = takeAddresses(top, "seeds");
    settings.remoteSeeds = takeAddresses(top, "remoteSeeds");
    settings.peerSecrets = takeSecrets(top, "peerSecrets");
    finishSettings(top);
    return settings;
}

} // namespace pimentofold
