#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/queueing/refusalrecords.h>
#include <pimentofold/queueing/waitingflow.h>

/// The flows that wait at a dispatcher until a target has room, and the order in which they are placed.
///
/// With fair queueing, flows are grouped into classes by route and by the data centre in which they came in. Flows that can
/// still meet their response time goal come before those that can't, then the more urgent ones, then the older ones. A route
/// or data centre that has been passed over for too long comes first, so that each gets its floor of the room.
///
///     enqueue(queue, waiting, route, limits, now);
///     startPlacement(queue, now);
///     while (std::optional<FlowKey> key = nextToPlace(queue, now)) {
///         ... recordPlacement(queue, service, &*key, now); remove(queue, *key, now);   // a target has room
///         ... skipServices(queue, *key);                                               // none has
///     }
///
/// Without fair queueing the flows form one list, ordered by lateness, urgency and age; see nextWaiting().
namespace pimentofold {

/// Floor of a route: with waiting flows, it gets at least one of this many placements; with more competing routes, an equal share.
constexpr int routeFloorInterval = 10;
/// Floor of a data centre: with waiting flows, its callers get at least an equal share of the placements divided by this.
constexpr int dataCentreFloorDivisor = 2;
/// Retries take at most one of this many places of the queue while others wait.
constexpr std::size_t retryPlacesDivisor = 3;

/// Limits of the queue.
struct QueueLimits {
    std::size_t maxFlows = 500;
    Time maxWaitTime = 1300 * millisecond; ///< flows are dropped after this time
};

/// Placements of a part of the last second.
struct RateBucket {
    std::int64_t index = -1; ///< time of the part, in units of its length
    int placements = 0; ///< while flows waited
    Time backlogTime = 0; ///< time in which flows waited
};

/// Number of parts of the second over which the rate of placements is measured.
constexpr std::size_t rateBuckets = 10;

/// A service for which flows wait or have waited.
struct QueuedService {
    std::string name;
    int waitingFlows = 0; ///< that may use the service
    int waitingRoutes = 0; ///< that may use the service
    bool skipped = false; ///< no target was found for one of its flows since startPlacement()
    std::array<RateBucket, rateBuckets> rate;
};

/// A flow in its class.
struct QueuedFlow {
    Time openedAt = 0; ///< when the caller sent the first opening packet
    Time expiresAt = 0; ///< when the flow is dropped, or its caller gives the opening up
    FlowKey key;
};

/// Identifies a class: a route's address and the data centre in which flows came in.
struct ClassKey {
    Address route;
    std::string dataCentre;

    // False positive: clang-tidy reports the 0 in the generated comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ClassKey &, const ClassKey &) = default;
};

/// Waiting flows of one route that came in at one data centre.
struct WaitingClass {
    int urgency = 0;
    Time responseTimeGoal = 0; ///< 0: none
    Time timeout = 0; ///< 0: none
    std::vector<std::size_t> services; ///< that the route may use, as indices of AdmissionQueue::services
    std::vector<QueuedFlow> flows; ///< oldest first
};

/// How often a route or a data centre with waiting flows has been passed over.
struct QueueShare {
    int waiting = 0; ///< number of its waiting flows
    int passed = 0; ///< placements of others on a service that it may use, since its last placement
    std::uint64_t passedAt = 0; ///< number of the placement that was last counted in `passed`
    std::vector<std::size_t> services; ///< of a route
};

/// Waiting flows of a dispatcher. Only the functions below change the members.
struct AdmissionQueue {
    bool fair = false; ///< fair queueing; otherwise only `flows` is used
    std::unordered_map<FlowKey, WaitingFlow> flows;
    std::map<ClassKey, WaitingClass> classes; ///< only those with flows
    std::map<Address, QueueShare> routes; ///< only those with flows
    std::map<std::string, QueueShare> dataCentres; ///< only those with flows
    std::vector<QueuedService> services;
    std::size_t retries = 0; ///< number of waiting flows that are retries
    std::uint64_t placements = 0;
    std::int64_t deferred = 0; ///< flows that had to ask again because the queue had no place for them
    Time serviceTime = 0; ///< usual time from the placement of a flow to the first answer; kept up to date by the dispatcher
    Time measuredAt = 0; ///< until when backlogTime is counted
    RefusalRecords refusals;
    OpeningRecords openings; ///< of flows that had no place in the queue
};

/// Adds a flow. The queue may exceed its limit by one flow then; see lastToPlace().
void enqueue(AdmissionQueue &queue, WaitingFlow waiting, const EdgeRoute &route, const QueueLimits &limits, Time now);

/// Removes a flow, if it waits.
void remove(AdmissionQueue &queue, const FlowKey &key, Time now);

/// Starts to place waiting flows: services that were skipped are considered again.
void startPlacement(AdmissionQueue &queue, Time now);

/// @return the flow that is to be placed next, of those that may use a service that isn't skipped; nothing when there is none
std::optional<FlowKey> nextToPlace(const AdmissionQueue &queue, Time now);

/// Skips the services that a waiting flow may use until the next startPlacement(), because none of them has room.
void skipServices(AdmissionQueue &queue, const FlowKey &key);

/// Counts that a flow was placed on a target of a service.
/// @param waited the flow if it waited; nullptr when it was placed at once
void recordPlacement(AdmissionQueue &queue, std::string_view service, const FlowKey *waited, Time now);

/// @return whether a further retry would exceed the retries' part of the queue while other flows wait
bool exceedsRetryLimit(const AdmissionQueue &queue, const QueueLimits &limits);

/// @return the flow that would be placed last; the queue must not be empty. Routes and data centres that have no more than their floor
///         of the places are spared if others have more.
FlowKey lastToPlace(const AdmissionQueue &queue, Time now);

/// Removes the flows that have waited longer than the limit or whose callers have given up.
std::vector<WaitingFlow> takeExpired(AdmissionQueue &queue, const QueueLimits &limits, Time now);

/// @return whether a flow of the class that was opened at @p openedAt counts as late: less than twice the usual service time is left
///         until its goal. False for a route without a goal.
bool isLate(const AdmissionQueue &queue, const WaitingClass &waiting, Time openedAt, Time now);

/// @return number of the class's flows that are late; they come first in WaitingClass::flows
std::size_t countLate(const AdmissionQueue &queue, const WaitingClass &waiting, Time now);

/// @return n, when a route with these services gets at least one of n placements
int floorInterval(const AdmissionQueue &queue, const std::vector<std::size_t> &services);

/// @return n, when the callers of each data centre get at least one of n placements; 0 when flows of at most one data centre wait
int dataCentreFloorInterval(const AdmissionQueue &queue);

} // namespace pimentofold
