#pragma once

#include <span>
#include <string>

#include <pimentofold/edgeforward.h>

/// Loss of a target under flows that callers keep open for many requests.
///
/// A silent target holds many idle flows, and each of them loses its next request. Nodes see stalled flows and report them
/// to the target's owner. The owner declares the target lost when no flow makes progress on it at any node, and all nodes
/// then reset the target's idle flows and those with a request that may be repeated. An open flow whose target is alive is
/// never reset.
///
/// It acts only on routes whose flows carry more than one request. See docs/design/target-loss.md.
namespace pimentofold {

/// Observes a packet after the opening one, before it is forwarded.
/// @param change what the packet has changed in the flow's activity
void observeForLoss(
    EdgeForwarder &forwarder, const FlowPacket &packet, EdgeFlow &flow, EdgeTarget &target, ActivityChange change, Time now, ForwardOutput &out);

/// Records that the process runs.
/// @param gap time since it last ran
void recordRun(EdgeForwarder &forwarder, Time gap, Time now);

/// Records which targets this node owns.
void updateOwnership(EdgeForwarder &forwarder, Time now);

/// Records that a node has reported work on a target, so that it gets verdicts on the target. Ignored for targets that this node
/// doesn't own.
void recordFlowHolder(EdgeForwarder &forwarder, std::uint64_t target, Id node, Time now);

/// Handles evidence of a node against targets that this node owns. A sender that doesn't know of a verdict gets it again.
/// @param dataCentre of the sender
void handleEvidence(EdgeForwarder &forwarder, std::span<const TargetEvidence> evidence, Id sender, const std::string &dataCentre, Time now, ForwardOutput &out);

/// Handles verdicts of the targets' owner: resets or schedules the reset of the targets' flows.
void handleLostTargets(EdgeForwarder &forwarder, std::span<const LostTarget> lost, Time now, ForwardOutput &out);

/// Reports evidence, gives verdicts on owned targets, and resets idle flows that are due.
void tickTargetLoss(EdgeForwarder &forwarder, Time now, ForwardOutput &out);

/// @return when tickTargetLoss() has to be called next; `never` when it is disabled
Time nextLossTick(const EdgeForwarder &forwarder);

/// @return whether flows of the route with this service address carry more than one request, as seen at this node
bool keepsFlows(const EdgeForwarder &forwarder, const Address &service, Time now);

} // namespace pimentofold
