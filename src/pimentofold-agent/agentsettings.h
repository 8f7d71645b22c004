#pragma once

#include <string>
#include <vector>

#include <pimentofold/settings.h>

/// Contents of the agent's settings file; docs/formats.md describes the fields. Addresses have the form "ip:port".
namespace pimentofold {

struct AgentSettings {
    std::string node;
    std::string dataCentre;
    std::string team;
    std::string peerAddress;
    std::string balancerPeerAddress;
    std::string balancerViewAddress;
    std::string metricsAddress;
    std::string platform;
    std::vector<std::string> seeds;
    std::vector<std::string> remoteSeeds;
    std::vector<std::string> peerSecrets; ///< the first one signs outgoing datagrams; incoming ones may be signed with any
};

/// @param top top-level object of the settings file
/// @throws SettingsError when a field is missing, unknown or invalid; names the field
AgentSettings parseAgentSettings(SettingsObject top);

} // namespace pimentofold
