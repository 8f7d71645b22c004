#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/settings.h>
#include <pimentofold/types.h>

/// Settings of caller-standin:
///
///     {
///         "node": "callers-1",
///         "adminAddress": "127.20.9.1:9000",         // HTTP
///         "ip": "127.20.9.1",                        // callers send from this IP number
///         "sockets": 4,                              // UDP sockets, among which the flows are divided
///         "seed": 1,
///         "platform": "127.20.0.1:8080",             // optional: the balancers are those of its instance list
///         "dataCentre": "dc1",                       // optional: only those of this data centre
///         "platformIntervalMs": 500,
///         "lossShare": 0, "duplicateShare": 0,       // of the fabric, for each datagram to a balancer
///         "groups": [
///             {"team": "foundation", "service": "lookup", "port": 5301,
///              "balancers": ["127.21.1.1"],          // IP numbers, until the platform names others
///              "session": true,                      // a flow stays with its server
///              "flows": 1000, "opensPerSecond": 500, "tokenShare": 0.5,
///              "flowLifeMs": 0,                      // mean life of a flow; 0: flows stay open
///              "work": [
///                  {"kind": "lookup", "index": 0, "rate": 100, "repeatable": true, "deadlineMs": 2000,
///                   "cancelShare": 0.01, "rangeBytes": 0, "sends": 3}
///              ]}
///         ]
///     }
namespace pimentofold {

/// One kind of work that a group of callers sends.
struct WorkSettings {
    std::string kind;
    int index = 0; ///< number of the kind within the service
    double rate = 0; ///< requests a second, with exponentially distributed gaps
    bool repeatable = true; ///< false: the request must run at most once
    Time deadline = 2 * second;
    double cancelShare = 0; ///< share of requests that the caller cancels
    int rangeBytes = 0; ///< bytes of the answer wanted at a time; 0: one datagram
    int sends = 3; ///< most requests for one piece of work; a further one follows only after NotRun
};

/// The callers of one service.
struct GroupSettings {
    std::string team;
    std::string service;
    std::uint16_t port = 0;
    std::vector<std::uint32_t> balancers; ///< IP numbers in host byte order
    bool session = true;
    std::size_t flows = 0; ///< flows to be held open
    double opensPerSecond = 500;
    double tokenShare = 0.5;
    Time flowLife = 0;
    std::vector<WorkSettings> work;
};

struct CallerSettings {
    std::string node;
    std::string adminAddress;
    std::string ip;
    int sockets = 4;
    std::uint64_t seed = 1;
    std::optional<std::string> platform;
    std::string dataCentre; ///< empty: all
    Time platformInterval = 500 * millisecond;
    double lossShare = 0;
    double duplicateShare = 0;
    std::vector<GroupSettings> groups;
};

/// @throws SettingsError
CallerSettings readCallerSettings(SettingsObject &top);

/// @param text an IPv4 number
/// @return the number in host byte order
/// @throws std::invalid_argument when the text isn't one
std::uint32_t parseIp(const std::string &text);

} // namespace pimentofold
