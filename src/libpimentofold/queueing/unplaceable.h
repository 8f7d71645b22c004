#pragma once

#include <span>

#include <pimentofold/dispatch.h>

/// Search for a flow's target, and what happens to a flow for which none was found. The same rules apply to new and to waiting flows.
namespace pimentofold {

/// Why no target was found for a flow.
enum class Unplaceable {
    HeldBack, ///< a cold target may get the flow later
    Unreachable, ///< only targets in unreachable data centres would accept it
    Evacuated, ///< only targets in evacuated data centres would accept it
    NoTarget, ///< no target accepts new flows
};

/// @param placed record of the flow if it was offered before, or nullptr
/// @return the target for the flow, whether it has room or not; nullptr when there is none
EdgeTarget *chooseTargetFor(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, const PlacedFlow *placed, const EdgeRoute &route, Time now);

/// To be called when chooseTargetFor() has found none.
Unplaceable whyUnplaceable(const Dispatcher &dispatcher, const TargetTable &table, const OpeningFlow &flow, const EdgeRoute &route, Time now);

/// Records that a flow was refused, and notifies the node that asked for its placement. A flow of this node that hasn't waited is
/// refused by the result of its placement instead.
void refuseFlow(Dispatcher &dispatcher, const OpeningFlow &flow, RefusalReason reason, bool hasWaited, Time now, ForwardOutput &out);

/// Removes a waiting flow for which only evacuated or unreachable targets are left, and refuses it. With unreachable targets it is refused
/// only if refusesUnreachable() says so; otherwise its node gets no notice.
void dropUnplaceable(Dispatcher &dispatcher, const TargetTable &table, const FlowKey &key, Unplaceable why, Time now, ForwardOutput &out);

} // namespace pimentofold
