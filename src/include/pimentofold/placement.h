#pragma once

#include <span>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/random.h>
#include <pimentofold/targettable.h>

/// Choice of the target for a new flow on an edge node, from the entries of the store, the flows that this node and its
/// peers have open, and what callers' packets have shown.
namespace pimentofold {

/// Constants of the choice.
struct PlacementSettings {
    /// Opening packets in a row without an answer after which a target gets only single flows, to see whether it is back.
    int suspectThreshold = 2;
    Time minProbeInterval = 200 * millisecond; ///< before the first such flow; doubles with each one without an answer
    Time maxProbeInterval = 2 * second;
    double unansweredCost = 1.5; ///< load, in flows, that an opening packet without an answer counts for
    double warmupSlowdown = 0.6; ///< share by which work takes longer on a target during its cold start
    double otherDataCentreCost = 0.1; ///< load that the way to another data centre counts for
};

/// What a flow asks for.
struct PlacementQuery {
    const EdgeRoute &route;
    std::span<const std::uint64_t> triedTargets; ///< targets that the flow was offered to; used again only when there is no other
    std::string_view dataCentre; ///< of this node
    bool preferOwned = false; ///< prefer targets that this node owns as a dispatcher
};

/// @return the target with the least load per slot; among equals the one that was used longest ago; nullptr when no target
///         of the route takes new flows
EdgeTarget *choosePlacementTarget(TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, Time now, Random &random);

/// Counts an opening packet that showed no sign of an answer in time.
void recordUnanswered(EdgeTarget &target, const PlacementSettings &settings, Time now);

/// Counts that a caller went on with a flow that it opened on the target.
void recordAnswer(EdgeTarget &target, Time now);

/// @return whether recent opening packets show that the target doesn't answer
bool isSuspected(const EdgeTarget &target, const PlacementSettings &settings);

} // namespace pimentofold
