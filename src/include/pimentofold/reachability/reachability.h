#pragma once

#include <vector>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/edgesettings.h>
#include <pimentofold/reachability/reachabilitystate.h>
#include <pimentofold/targettable.h>

/// Use of targets in unreachable data centres, and the readiness of a node that reaches no target for its flows.
namespace pimentofold {

/// A route counts for the readiness for this long after its last opening.
constexpr Time recentRouteTime = 10 * second;
/// Openings without a target get no answer for this long after the node became not ready: by then the fabric sends the callers'
/// retransmissions to other nodes. Later ones are refused at once.
constexpr Time silentTime = 1500 * millisecond;

/// @return whether the settings turn reachability on: they name more than one data centre and have a bound for evacuations
bool usesReachability(const EdgeSettings &settings);

/// Turns reachability on or off. All evidence is discarded when it is turned off.
void enableReachability(TargetTable &table, bool enabled);

/// @return whether the target is in an unreachable data centre and no probe is due there, so that it must get no opening
bool isWithheld(const TargetTable &table, const EdgeTarget &target, Time now);

/// @return whether none of the route's services has a target that accepts new flows in a reachable data centre, and at least one has
///         such a target in an unreachable one
bool hasOnlyUnreachableTargets(const TargetTable &table, const EdgeRoute &route, Time now);

/// @return whether a flow that only unreachable targets could take is refused at once. Otherwise it gets no answer.
bool refusesUnreachable(const Reachability &state, Time now);

/// Records the first opening packet of a flow that this node received from a caller.
void recordRouteOpening(Reachability &state, const Address &service, Time now);

/// @return whether no target is left for flows of the route, so that they aren't relayed to dispatchers
bool isStranded(const Reachability &state, const Address &service);

/// Records that an opening packet is relayed to a dispatcher.
void recordRelay(Reachability &state, Id dispatcher, Time now);

/// Records that an opening packet is sent to a target.
void recordOffer(TargetTable &table, const EdgeTarget &target, Time now);

/// Records a caller's packet that proves a recent answer of the target.
void recordTargetAnswer(TargetTable &table, const EdgeTarget &target, Time now);

/// Decides about data centres and readiness, and appends the nodes to be pinged. To be called at nextReachabilityTick().
/// @return whether the unreachable data centres have changed since the last call
bool tickReachability(TargetTable &table, Time now, std::vector<Id> &pings);

/// @return when tickReachability() has to be called next
Time nextReachabilityTick(const Reachability &state);

/// @return whether the node is ready as far as the reachability of targets goes
bool isReadyForFlows(const Reachability &state);

} // namespace pimentofold
