#pragma once

#include <string>
#include <vector>

#include <pimentofold/address.h>

#include <pimentofold/types.h>

/// Settings of the pimentofold-balancer program; see docs/formats.md for the file format.
namespace pimentofold {

struct BalancerSettings {
    std::string node; ///< name of the entry instance
    std::string dataCentre; ///< data centre of the entry instance
    std::string team; ///< team whose services the balancer serves
    std::string ip; ///< IPv4 address on which the ports of all services are bound
    Address peerAddress; ///< UDP address for messages between balancers
    Address viewAddress; ///< TCP address on which the agent connects
    Address metricsAddress; ///< address of the HTTP server for metrics
    /// Shared secrets that authenticate messages between balancers. The first secret signs outgoing messages; every
    /// secret is accepted for verification, so that secrets can be rotated. The secrets must not be logged.
    std::vector<std::string> peerSecrets;
    Time drainLimit = 10 * second; ///< longest duration of a graceful stop
};

/// Reads and checks a settings file.
/// @param file path of the settings file
/// @throws SettingsError when the file can't be read, or when a field is missing, unknown or invalid
BalancerSettings readBalancerSettings(const std::string &file);

/// Parses and checks the content of a settings file.
/// @param text content of the file: JSON, in which comments are allowed
/// @param file name of the file in error messages
/// @throws SettingsError when @p text isn't valid JSON, or when a field is missing, unknown or invalid
BalancerSettings parseBalancerSettings(const std::string &text, const std::string &file);

} // namespace pimentofold
