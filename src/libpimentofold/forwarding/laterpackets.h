#pragma once

#include <pimentofold/edgeforward.h>

/// Callers' packets after the opening one: they go to the flow's target, which this node knows, other nodes know, or the token names.
namespace pimentofold {

/// Forwards a packet, or holds it while other nodes are asked for the flow's target.
void handleLaterPacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out);

/// Forwards the packets that were held while a question was open.
void forwardHeldPackets(EdgeForwarder &forwarder, EndedQuestion &question, Time now, ForwardOutput &out);

} // namespace pimentofold
