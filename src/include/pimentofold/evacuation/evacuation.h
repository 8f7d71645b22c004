#pragma once

#include <pimentofold/edgeconfig.h>
#include <pimentofold/evacuation/evacuationstate.h>
#include <pimentofold/targettable.h>

/// Exclusion of the targets of evacuated data centres from the placement of flows.
namespace pimentofold {

/// @return whether the target's data centre is evacuated, so that the target must get no opening packet
bool isEvacuated(const TargetTable &table, const EdgeTarget &target);

/// @return whether one of the route's services has a target that accepts new flows but for the evacuation of its data centre. A
///         flow that finds no target is refused then, since waiting or a further attempt wouldn't help.
bool hasEvacuatedTargets(const TargetTable &table, const EdgeRoute &route, Time now);

/// @return the state to be sent to other nodes. Evacuations of data centres without targets are left out when the whole state
///         doesn't fit into a datagram.
EvacuationState evacuationsToSend(const TargetTable &table);

} // namespace pimentofold
