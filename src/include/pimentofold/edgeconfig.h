#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/address.h>
#include <pimentofold/types.h>

/// Configuration and targets of an edge node, as the adapter of a platform decodes them.
namespace pimentofold {

/// What a route carries; decides whether a caller may send a request again.
enum class RouteType {
    Safe,
    Unsafe,
    Download,
};

/// @return "safe", "unsafe" or "download"
std::string_view name(RouteType kind);

/// One service that a route leads to, with its share of the new flows.
struct WeightedService {
    std::string service;
    double weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// New flows to one address go to the services of its route.
struct EdgeRoute {
    std::string name;
    Address address; ///< that callers connect to
    std::vector<WeightedService> weightedServices; ///< never empty
    RouteType type = RouteType::Safe;
    int urgency = 0; ///< 0 is the most urgent
    Time responseTimeGoal = 0; ///< response time that callers want; 0 when the route names none

    friend bool operator==(const EdgeRoute &, const EdgeRoute &) = default;
};

/// One version of the whole configuration.
struct EdgeConfig {
    std::int64_t revision = 0; ///< of the platform's store; later versions have higher ones
    std::int64_t version = 0; ///< the operator's own number
    std::vector<EdgeRoute> routes;
    Time idleTimeout = 0; ///< flows idle for longer may be forgotten
};

/// Whether a target takes new flows.
enum class TargetState {
    Ready,
    Draining,
};

/// @return "ready" or "draining"
std::string_view name(TargetState state);

/// What a target has registered about itself.
struct TargetRecord {
    std::uint64_t id = 0; ///< number in front of each packet, by which the target knows that it is meant
    std::string name; ///< in the platform's store
    std::string service;
    Address address;
    std::string dataCentre;
    int slots = 1;
    TargetState state = TargetState::Ready;
    Time warmup = 0; ///< time left of the cold start when the entry was written
    std::int64_t startedAt = 0; ///< wall time in milliseconds; another value is another incarnation
    std::int64_t revision = 0; ///< of the platform's store

    friend bool operator==(const TargetRecord &, const TargetRecord &) = default;
};

} // namespace pimentofold
