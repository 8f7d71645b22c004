#pragma once

#include <string>
#include <vector>

#include <pimentofold/settings.h>

/// Settings file of the agent; docs/formats.md describes the fields.
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
    std::vector<std::string> peerSecrets; ///< the first signs, all verify
};

/// @throws SettingsError
AgentSettings parseAgentSettings(SettingsObject top);

} // namespace pimentofold
