#pragma once

#include <optional>
#include <vector>

#include <pimentofold/queueing/admissionqueue.h>

/// Estimates of how long flows wait in the admission queue, from the flows ahead of them and the rate at which the services took
/// flows lately. The estimates are lower bounds: they don't count flows that arrive later, and they allow for a rate above the
/// measured one.
namespace pimentofold {

/// The measured rate of placements is multiplied by this for an estimate, so that a flow isn't refused because targets take
/// flows faster than in the last second: targets come back, or the flows ahead need less work than those before. A factor of 2 would
/// refuse flows that can still be placed.
constexpr double rateMargin = 3.0;
/// After a pause of the process of this length the measured rates are dropped.
constexpr Time estimatePause = 250 * millisecond;

/// Adds the time since the last call to the backlog time of the services with waiting flows. Drops the rates after a pause.
void measureBacklog(AdmissionQueue &queue, Time now);

/// Counts a placement on a service with waiting flows.
void countInRate(QueuedService &service, Time now);

/// @return upper bound of the flows per second that the service takes while flows wait, without the margin; nothing when too
///         few flows were placed lately
std::optional<double> placementRate(const QueuedService &service, Time now);

/// Estimate for one waiting flow.
struct WaitEstimate {
    FlowKey key;
    Time wait = 0; ///< lower bound of the time until the flow is placed
    Time timeLeft = 0; ///< until the flow expires, or an answer would come after the route's timeout
    bool isHopeless = false; ///< the flow can't be placed while its caller still waits
};

/// @return estimates for all waiting flows whose services have a known rate. A hopeless flow isn't counted as ahead of others.
std::vector<WaitEstimate> estimateWaits(const AdmissionQueue &queue, Time now);

/// @return lower bound of the time until a waiting flow is placed; nothing when it isn't known
std::optional<Time> estimatedWait(const AdmissionQueue &queue, const FlowKey &key, Time now);

/// @param openedAt when the caller sent the first opening packet
/// @return whether a flow of the route that isn't in the queue couldn't be placed while its caller waits, if all flows that wait are
///         placed before
bool isHopelessAtEnd(const AdmissionQueue &queue, const EdgeRoute &route, Time openedAt, Time now);

/// @return the flows that can't be placed while their callers still wait, of those whose callers gain time by a refusal
std::vector<FlowKey> findHopeless(const AdmissionQueue &queue, Time now);

/// Removes the flows that findHopeless() names and that may be refused. Retries stay: their callers have fewer attempts left, so the
/// chance of a wrong estimate is worth more to them than another attempt at once.
std::vector<WaitingFlow> takeHopeless(AdmissionQueue &queue, Time now);

} // namespace pimentofold
