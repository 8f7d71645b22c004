#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/address.h>
#include <pimentofold/storerevision.h>
#include <pimentofold/types.h>

/// Routes and targets of an edge node, independent of the format in which the platform stores them. The adapter in
/// src/platform decodes the platform's objects into these types.
namespace pimentofold {

/// Type of the requests that a route carries. It decides whether a caller may repeat a request.
enum class RouteType {
    Safe,
    Unsafe,
    Download,
    Upload, ///< not idempotent, with a large body from the caller
};

/// The type that a route of an unknown type is treated as: its requests are never repeated.
constexpr RouteType strictestRouteType = RouteType::Unsafe;

/// @return "safe", "unsafe", "download" or "upload"
std::string_view name(RouteType type);

/// @return the type with this name; nothing when there is none
std::optional<RouteType> routeTypeFromName(std::string_view text);

/// A service with its weight in a route.
struct WeightedService {
    std::string service;
    double weight = 1; ///< the service gets this weight divided by the sum of the route's weights of the new flows

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// Maps an address that callers connect to onto the services that handle its flows.
struct EdgeRoute {
    std::string name;
    Address address; ///< service address, to which callers connect
    std::vector<WeightedService> weightedServices; ///< never empty
    RouteType type = RouteType::Safe;
    int urgency = 0; ///< priority of waiting flows: 0 is the most urgent
    Time responseTimeGoal = 0; ///< response time that callers expect; 0: the route sets no goal
    Time timeout = 0; ///< callers give a request up after this time; 0: not known

    friend bool operator==(const EdgeRoute &, const EdgeRoute &) = default;
};

/// An invalid part of a configuration. The rest of the configuration is used.
struct ConfigProblem {
    std::string route; ///< name of the route, or its address when the name can't be decoded; empty when neither can, or for other parts
    std::string problem; ///< description of the invalid field

    // False positive: clang-tidy reports the 0 in the generated comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ConfigProblem &, const ConfigProblem &) = default;
};

/// Limits of the numbers in ServiceLimits and TargetRecord, so that sums of them stay in range.
constexpr Time maxColdTime = 86'400 * second;
constexpr double maxColdRate = 1e6; ///< openings per second

/// Slow start of a service's targets.
struct ServiceLimits {
    std::string name;
    Time coldTime = 0; ///< a target is cold for this long after its start; 0: never
    double coldRate = 0; ///< openings per second that a cold target can take

    friend bool operator==(const ServiceLimits &, const ServiceLimits &) = default;
};

/// One version of the whole configuration.
struct EdgeConfig {
    StoreRevision revision = 0; ///< of the store at which it got this version; see isNewerConfig()
    std::int64_t version = 0; ///< version number that the operator assigned
    std::vector<EdgeRoute> routes;
    Time idleTimeout = 0; ///< flows that have been idle for longer may be dropped from memory
    /// Names of routes that can't be decoded, and their addresses in text form where they can. The last valid version of these
    /// routes stays in force.
    std::vector<std::string> unreadableRoutes;
    std::vector<ConfigProblem> problems; ///< invalid parts that were left out or replaced by defaults
    /// Limits of all services. Nothing: as in the previous version, or unknown because the sender has an earlier version.
    std::optional<std::vector<ServiceLimits>> services;
    /// Names of services with invalid limits. Their last valid limits stay in force; `services` has what could be decoded.
    std::vector<std::string> unreadableServices;
};

/// Whether a target accepts new flows.
enum class TargetState {
    Ready,
    Draining, ///< serves its open flows, but gets no new ones
};

/// @return "ready" or "draining"
std::string_view name(TargetState state);

/// Longest name, service and data centre of a target, in bytes: the length limit of a DNS name. An entry with texts of this length
/// fits into one datagram between nodes.
constexpr std::size_t maxTargetTextBytes = 253;

/// The entry in the platform's store with which a target registers itself.
struct TargetRecord {
    std::uint64_t id = 0; ///< sent in front of each packet, so that the target can check that the packet is meant for it
    std::string name; ///< object name in the platform's store
    std::string service;
    Address address;
    std::string dataCentre;
    int slots = 1; ///< requests that the target processes at the same time
    TargetState state = TargetState::Ready;
    Time warmup = 0; ///< warm-up time that was left when the entry was written
    std::int64_t startedAt = 0; ///< start of the target's process, in milliseconds of wall time; identifies the incarnation
    StoreRevision revision = 0; ///< of the store at the entry's last change
    /// Draining: most time that may have passed since the store took the entry, when this record was made; nothing: not known.
    std::optional<Time> drainingFor;
    std::int64_t sequence = 0; ///< a target's process counts its entries; 0: not known

    friend bool operator==(const TargetRecord &, const TargetRecord &) = default;
};

} // namespace pimentofold
