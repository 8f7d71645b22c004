#pragma once

#include <pimentofold/edgeforward.h>

/// Reports of flow locations to the nodes that keep them.
namespace pimentofold {

/// @return up to @p count other members, the first ones in the order of rendezvous hashing for the flow
std::vector<Id> otherHolders(const EdgeForwarder &forwarder, const FlowKey &key, std::size_t count);

/// Reports the flow's target to other nodes, so that its packets get there even if this node restarts.
/// @param count number of nodes
void reportLocation(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, std::size_t count, Time now, ForwardOutput &out);

/// Reports that the flow has ended.
void reportFlowEnd(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, ForwardOutput &out);

/// Sends locations to the nodes that have become holders since the members have changed.
void replicateLocations(EdgeForwarder &forwarder, Time now, ForwardOutput &out);

} // namespace pimentofold
