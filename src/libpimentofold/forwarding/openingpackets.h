#pragma once

#include <pimentofold/edgeforward.h>

/// Opening packets of callers: a new flow is offered to a target, relayed to its dispatcher, or refused.
namespace pimentofold {

/// @return the dispatcher of a flow; 0 when this node is the dispatcher or none is known
Id dispatcherOf(const EdgeForwarder &forwarder, const FlowKey &key);

/// Refuses a flow that no target may get, or none in time. Its caller may open another flow at once.
void refuseUnplaceableFlow(const FlowKey &key, EdgeFlow &flow, RefusalReason reason, ForwardOutput &out);

/// Relays an opening packet to another data centre if the flow is to leave this one. Only first attempts leave, so that a
/// dispatcher elsewhere that doesn't answer costs one attempt. An opening packet from another data centre never leaves again.
/// @return whether the packet was relayed
bool relayElsewhere(EdgeForwarder &forwarder, const OpeningFlow &flow, Time now, ForwardOutput &out);

/// Sends a notice to a flow's dispatcher, or handles it at once if this node is the dispatcher.
void notifyDispatcher(EdgeForwarder &forwarder, const FlowNotice &notice, Time now, ForwardOutput &out);

/// Offers a flow that got no answer in time again. After two attempts through its dispatcher this node places the flow itself.
void retryPlacement(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out);

/// Stops offering a flow that opens here, since it is open through another node, and forgets it. Its later packets are those of an
/// unknown flow. Does nothing for other flows.
void withdrawOffers(EdgeForwarder &forwarder, const FlowKey &key, Time now, ForwardOutput &out);

/// Records that the caller has finished or reset a flow, and notifies the nodes that count it or keep its location.
void endFlow(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out);

/// Starts a new flow, or offers a known one again if the packet is a retransmission.
void handleOpeningPacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out);

} // namespace pimentofold
