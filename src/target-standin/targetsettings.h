#pragma once

#include <optional>
#include <string>
#include <vector>

#include <pimentofold/settings.h>

#include <target-standin/backend.h>

/// Settings of target-standin:
///
///     {
///         "node": "targets-dc1",
///         "adminAddress": "127.2.0.1:6000",    // HTTP
///         "platform": "127.0.0.1:8080",        // optional: registers the servers there
///         "drainLimitMs": 10000,               // longest wait for flows to end at a graceful stop
///         "servers": [
///             {"team": "foundation", "service": "lookup", "instance": "t1", "dataCentre": "dc1",
///              "address": "127.2.1.1:6001", "session": true, "slots": 3, "serviceTimeUs": 2000,
///              "queueLimit": 16, "unusedLimitMs": 10000, "coldStartMs": 0, "coldFactor": 4,
///              "answerBytes": 200, "reportedLoad": "true", "statusLagMs": 0}
///         ]
///     }
namespace pimentofold {

struct TargetSettings {
    std::string node;
    std::string adminAddress;
    std::optional<std::string> platform;
    Time drainLimit = 10 * second;
    std::vector<BackendSettings> servers;
    std::vector<BackendFaults> faults; ///< at the start, one for each server
};

/// @throws SettingsError
TargetSettings readTargetSettings(SettingsObject &top);

/// @param text "true", "idle" or "full"
/// @return nothing for other texts
std::optional<ReportedLoad> parseReportedLoad(const std::string &text);

} // namespace pimentofold
