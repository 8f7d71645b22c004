#pragma once

#include <span>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/random.h>
#include <pimentofold/targettable.h>

/// Selection of the target for a new flow on an edge node: the target with the least load per slot. Load is estimated from
/// the target's entry in the store, the flows on the target with a request at work, the expected requests of its idle flows,
/// and the signs of answers in callers' packets.
namespace pimentofold {

/// Parameters of target selection.
struct PlacementSettings {
    /// A target is suspected of not answering after this many consecutive opening packets without an answer. A suspected
    /// target only gets single flows as probes.
    int suspectThreshold = 2;
    Time minProbeInterval = 200 * millisecond; ///< wait before the first probe; doubles with each further opening packet without an answer
    Time maxProbeInterval = 2 * second;
    double unansweredCost = 1.5; ///< load, in flows, that each opening packet without an answer adds
    /// A draining target may be used as a last resort for this long after the store may have taken its entry. The rest of its drain time
    /// is left for the flows to end.
    Time drainingUseTime = second;
    double warmupSlowdown = 0.6; ///< relative increase of the time that requests take during a target's warm-up
    double otherDataCentreCost = 0.1; ///< load, in flows, that a target in another data centre gets added
    /// After this many attempts, a target in the own data centre gets otherDataCentreCost added instead, whoever owns the
    /// targets, since the whole data centre may not answer; 0: never.
    int maxLocalAttempts = 0;
};

/// Requirements of one placement.
struct PlacementQuery {
    const EdgeRoute &route;
    std::span<const std::uint64_t> triedTargets; ///< targets that the flow was already offered to; they are chosen only when there is no other
    std::string_view dataCentre; ///< data centre of this node
    bool preferOwned = false; ///< prefer targets that this node owns as a dispatcher
    double flowsPerSlot = 2; ///< see hasRoom() and DispatchSettings; affects only whether cold targets are used
    int attempt = 1; ///< placement attempt of the flow, from 1
    bool overflow = false; ///< use another service of the route when no target of the drawn one has room
};

/// Draws one of the route's services by weight and selects one of its targets. With PlacementQuery::overflow, the services without a
/// target with room are left out, as far as others have one.
/// @return the preferred target with the least load per slot; among equal ones the one whose last flow was placed longest
///         ago; nullptr when no target of the drawn service accepts new flows
EdgeTarget *choosePlacementTarget(TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, Time now, Random &random);

/// @return whether the route has a target that accepts new flows but is cold and must not get this flow now. To be called when
///         choosePlacementTarget() has found none: the flow waits then until the limit of the cold target allows it.
bool isHeldBackByColdLimit(const TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, Time now);

/// @return whether the target has fewer flows with a request at work than @p flowsPerSlot times its slots, plus one
bool hasRoom(const EdgeTarget &target, double flowsPerSlot);

/// Records that an opening packet to the target got no sign of an answer in time, and schedules the next probe.
void recordUnanswered(EdgeTarget &target, const PlacementSettings &settings, Time now);

/// Records a sign of an answer: a caller sent a further packet on a flow that the target has accepted.
void recordAnswer(EdgeTarget &target, Time now);

/// @return whether the target was declared lost, or the last opening packets to it, at least suspectThreshold of them, got no
///         sign of an answer
bool isSuspected(const EdgeTarget &target, const PlacementSettings &settings);

} // namespace pimentofold
