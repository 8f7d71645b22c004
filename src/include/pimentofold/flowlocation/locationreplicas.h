#pragma once

#include <array>
#include <vector>

#include <pimentofold/flowlocation/flowlocation.h>

/// Keeps reported flow locations at the nodes that are asked for them while nodes stop, fail and start.
///
/// Each node that stores a reported location compares the first nodes in the order of rendezvous hashing with those that keep it
/// whenever the members change, and sends it to the new ones. A node that is about to stop does the same without itself. So a location
/// is lost only with all nodes that keep it before one of them knows of the change.
///
///     scheduleReplication(locations, now);                                    // the members have changed
///     for (const LocationReport &it : nextReplicas(locations, members, now))  // when replicationDueAt has come
///         ...
namespace pimentofold {

/// A location to be sent to a node that has become a holder.
struct LocationReport {
    Id to = 0;
    FlowKey flow;
    FlowLocation location;
    Time age = 0; ///< time since the flow opened
};

/// The members, as nextReplicas() needs them.
struct LocationMembers {
    std::vector<InstanceKey> live; ///< including this node
    Id self = 0;
    bool leaving = false; ///< this node is about to stop
};

/// @return the first live members in the order of rendezvous hashing for the flow, without this node if it is leaving
std::array<InstanceKey, locationHolderCount> replicaHolders(const LocationMembers &members, const FlowKey &flow);

/// Lets nextReplicas() compare the holders of all replicated locations with the members.
void scheduleReplication(FlowLocations &locations, Time dueAt);

/// Compares some locations, and schedules the next call for the rest.
/// @return locations to be sent
std::vector<LocationReport> nextReplicas(FlowLocations &locations, const LocationMembers &members, Time now);

} // namespace pimentofold
