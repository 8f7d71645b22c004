#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/replication/listwatch.h>
#include <pimentofold/targettable.h>
#include <pimentofold/types.h>

/// Replicates the state of the platform's store from one node of a region to all others, so that the number of calls to
/// the store depends on the number of changes and not on the number of nodes.
///
/// One node, the leader, lists and watches the store and sends a heartbeat to all other nodes several times a second. A
/// heartbeat holds the store revisions up to which the leader knows the store's state, and the changes since the previous
/// heartbeat. A node that missed a heartbeat requests all changes after the revisions that it knows. When the heartbeats
/// stop, or report that the store doesn't answer the leader, the next node in rank order becomes leader. When two nodes
/// lead, the one later in rank order steps down. The election needs no quorum: two leaders, or none for a while, do no harm,
/// since all of them read the same state and a node's known revisions never decrease.
///
/// In log events and metrics, to lead is called to follow the store: store_follow_started, store_follow_ended, store_following.
/// In settings, a heartbeat is called a beat: beatIntervalMs, beatSilenceMs.
namespace pimentofold {

/// Result of a node's own calls to the store since it became leader.
enum class StoreHealth {
    Unknown, ///< no call has ended yet
    Answering,
    Failing,
};

/// @return the enumerator's name in lower case, as it is logged
std::string_view name(StoreHealth health);

/// Intervals, delays and limits of replication.
struct ReplicationSettings {
    Time heartbeatInterval = 300 * millisecond;
    /// The first node in rank order becomes leader when no healthy heartbeat has arrived for this long. This time counts
    /// against the time within which a change has to be in force.
    Time heartbeatTimeout = 700 * millisecond;
    /// Additional delay for each rank, so that nodes don't become leader together; also used after a leader has reported
    /// that the store doesn't answer.
    Time rankDelay = 150 * millisecond;
    int maxRankDelays = 6;
    /// Additional delay for each rank beyond maxRankDelays. It is shorter, since all nodes ahead in rank order are rarely lost together;
    /// it is not 0, since a hundred nodes that become leader at once saturate each other's network links.
    Time lateRankDelay = 30 * millisecond;
    int maxLateRankDelays = 30;
    /// A node that starts requests the state from its peers first, and calls the store when none has answered by then.
    Time startupPeerWait = 25 * millisecond;
    /// At the first start of the whole system no caller is waiting yet. The seeds call the store one after the other at this
    /// interval; other nodes call it only when no peer has sent the state within firstStartWait and a random part of firstStartJitter.
    Time seedDelay = 200 * millisecond;
    Time firstStartWait = 2 * second;
    Time firstStartJitter = 2 * second;
    Time firstStartFetchInterval = 500 * millisecond; ///< replaces fetchInterval at the first start of the whole system
    Time fetchInterval = 60 * millisecond; ///< a request for changes is repeated after this time
    Time storeReadWait = second; ///< a node that reads the store itself requests no changes from peers for this time
    Time leaderExpiry = 3 * second; ///< a leader that has sent no heartbeat for this long is forgotten
    std::size_t maxFailingLeaders = 3; ///< nodes that lead at the same time while the store doesn't answer them
    Time leaderFailureLimit = 1500 * millisecond; ///< a leader that the store hasn't answered for this long steps down
    Time leaderBackoff = 3 * second; ///< a node that stepped down for this reason doesn't lead again for this time
};

/// Store revisions up to which a node knows the objects of each kind.
struct KnownRevisions {
    StoreRevision config = 0; ///< 0: no configuration is known
    StoreRevision targets = 0; ///< 0: the targets are not known yet
    StoreRevision evacuations = 0; ///< 0: the evacuations are not known yet

    friend bool operator==(const KnownRevisions &, const KnownRevisions &) = default;
};

/// @return the latest era of the store in which one of the revisions was given out
std::int64_t eraOf(const KnownRevisions &known);

/// Removal of a target's entry from the store.
struct TargetRemoval {
    std::uint64_t id = 0;
    StoreRevision revision = 0;
};

/// Changes in the store after the revisions in base, up to those in known. A base of 0 stands for the complete state.
struct StoreChanges {
    KnownRevisions base;
    KnownRevisions known;
    /// The sender may not have seen all changes in between: a receiver whose targets aren't those of just base.targets needs others.
    bool hasTargetGap = false;
    StoreRevision configBase = 0; ///< revision of the configuration to which the changed routes apply; 0: config is complete
    EdgeConfig config; ///< added and changed routes; revision 0: the sender knows no configuration
    std::vector<Address> removedRoutes;
    std::vector<TargetRecord> targets; ///< added and changed entries
    std::vector<TargetRemoval> removedTargets;
};

/// Heartbeat of a leader.
struct StoreHeartbeat {
    Id sender = 0;
    bool healthy = true; ///< the store answers the sender
    KnownRevisions known;
    Time age = 0; ///< time since the store confirmed the sender's state, when the heartbeat was sent
};

/// Another leader, as known from its last heartbeat.
struct ObservedLeader {
    bool healthy = true;
    Time heartbeatReceivedAt = 0;
};

/// Replication state of one node.
struct StoreReplication {
    ReplicationSettings settings;
    Id self = 0;
    bool leading = false; ///< this node lists and watches the store
    Time startedAt = 0;
    StoreHealth storeHealth = StoreHealth::Unknown;
    Time noAnswerSince = 0; ///< no call to the store has succeeded since this time
    Time leaderBackoffUntil = 0; ///< this node doesn't lead before this time
    Time failureReportedAt = never; ///< when a leader first reported that the store doesn't answer; never: the last report was healthy
    Time confirmedAt = 0; ///< latest time at which the state known here was the store's state; 0: never
    Time heartbeatSentAt = 0; ///< of this node's last heartbeat
    KnownRevisions heartbeatSentKnown; ///< revisions in this node's last heartbeat
    KnownRevisions known; ///< revisions up to which this node knows the store's state
    KnownRevisions announced; ///< highest revisions in received heartbeats
    std::map<Id, ObservedLeader> otherLeaders;
    Time nextFetchAt = 0; ///< changes are not requested from a peer before this time
};

/// @param seedPosition index of this node among the seeds; nothing for a node that is not a seed
/// @return how long a node waits for its peers before it calls the store, at the first start of the whole system
Time firstStartDelay(const ReplicationSettings &settings, std::optional<std::size_t> seedPosition, Random &random);

/// Decides whether this node should be leader now. A leader continues until a leader that comes before it, or any leader if
/// the store doesn't answer this one, sends healthy heartbeats, or until it has had no answer for leaderFailureLimit. Another
/// node becomes leader when it has received no healthy heartbeat for heartbeatTimeout and the delay of its rank, or the delay
/// of its rank after a leader has reported that the store doesn't answer.
/// @param rank number of live nodes that come before this one in the order of leaderOrder()
bool shouldLead(const StoreReplication &replication, int rank, Time now);

/// Records whether the store answers this node. A leader that has had no answer for leaderFailureLimit may not lead for
/// leaderBackoff.
void updateStoreHealth(StoreReplication &replication, StoreHealth health, Time now);

/// Records the heartbeat of another node. One from an earlier era of the store than this node knows is ignored: its sender hasn't
/// read the store since the store came back.
/// @return whether the sender knows changes that are missing here; they should be requested from the node that relayed
/// the heartbeat
bool handleHeartbeat(StoreReplication &replication, const StoreHeartbeat &heartbeat, Time now);

/// @return whether changes that a heartbeat announced are missing here
bool isBehind(const StoreReplication &replication);

/// Makes this node a leader. Its first heartbeat holds only the changes that it learns from now on; earlier changes are
/// known to the other nodes or requested by them.
void startLeading(StoreReplication &replication, Time now);

/// @return whether this node knows changes that a peer with these revisions does not
bool isAheadOf(const StoreReplication &replication, const KnownRevisions &peer);

/// @return whether this node should send a heartbeat now: it leads, and heartbeatInterval has passed or its known revisions
/// have changed. A leader whose first call to the store hasn't ended sends none, since the other nodes would conclude from
/// it that the store is being watched.
bool isHeartbeatDue(const StoreReplication &replication, Time now);

/// Collects the changes for a peer. A difference is made only from a state since which this node has seen every version, or from
/// just the state that the peer names.
/// @param base revisions that the peer knows
/// @param configBase revision of the peer's configuration
/// @param known revisions up to which @p table holds the store's state
/// @return the changes after @p base; the complete state of a kind when this node's history doesn't reach back that far
StoreChanges changesSince(const TargetTable &table, const KnownRevisions &base, const StoreRevision &configBase, const KnownRevisions &known, Time now);

/// Applies changes from another node to the table and to the known revisions. Changes that are known already are ignored.
/// @return false when changes of a kind could not be applied, because earlier ones are missing here
bool applyChanges(StoreReplication &replication, TargetTable &table, const StoreChanges &changes, Time now);

/// @return sort key of a node in the leader election; the live node with the lowest key ranks first
std::uint64_t leaderOrder(Id node);

} // namespace pimentofold
