#pragma once

#include <string>
#include <vector>

#include <pimentofold/address.h>

#include <pimentofold/types.h>

/// Settings of pimentofold-balancer; see docs/formats.md.
namespace pimentofold {

struct BalancerSettings {
    std::string node;
    std::string dataCentre;
    std::string team;
    std::string ip; ///< IP number on which the ports of all services are bound
    Address peerAddress;
    Address viewAddress;
    Address metricsAddress;
    std::vector<std::string> peerSecrets; ///< the first signs, all verify; never written to a log
    Time drainLimit = 10 * second;
};

/// @param file path of the settings file
/// @throws SettingsError when the file can't be read or a field is wrong
BalancerSettings readBalancerSettings(const std::string &file);

/// @param text content of a settings file
/// @param file name for error messages
BalancerSettings parseBalancerSettings(const std::string &text, const std::string &file);

} // namespace pimentofold
