#pragma once

#include <pimentofold/edgeforward.h>

/// Messages of other nodes to a dispatcher, handled so that none is acted on before those behind it in the socket have been read.
///
///     receiveRelayedOpening(forwarder, flow, now, out);   // an opening packet that another node relays
///     receiveFlowNotice(forwarder, notice, now, out);
///     placeBacklog(forwarder, now, out);                  // once the socket has been read to its end
namespace pimentofold {

/// Most time for which opening packets and waiting flows wait for the end of the socket, so that a node that never catches up with its
/// messages still places flows.
constexpr Time maxBacklogTime = 20 * millisecond;

/// Collects an opening packet for placeBacklog(), unless it waited in the socket while this process was paused for long.
void receiveRelayedOpening(EdgeForwarder &forwarder, const OpeningFlow &flow, Time now, ForwardOutput &out);

/// Handles a notice of another node about a flow. Its opening packet is withdrawn if it has not been placed yet, and so is an opening
/// packet that this node has relayed to another data centre, when the flow has ended. Waiting flows are placed by placeBacklog().
void receiveFlowNotice(EdgeForwarder &forwarder, const FlowNotice &notice, Time now, ForwardOutput &out);

/// @return whether placeBacklog() has to be called although the socket hasn't been read to its end
bool isBacklogOverdue(const EdgeForwarder &forwarder, Time now);

/// Places the collected opening packets, and waiting flows for which the notices have made room.
void placeBacklog(EdgeForwarder &forwarder, Time now, ForwardOutput &out);

/// Tells a dispatcher in another data centre that a flow has gone on without it, if its opening packet was relayed there.
void withdrawElsewhere(EdgeForwarder &forwarder, const FlowKey &flow, ForwardOutput &out);

/// Forgets opening packets that were relayed to another data centre some seconds ago. To be called about every second.
void removeOldRelays(EdgeForwarder &forwarder, Time now);

} // namespace pimentofold
