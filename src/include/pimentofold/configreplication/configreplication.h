#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/configreplication/configrange.h>
#include <pimentofold/configreplication/configstore.h>
#include <pimentofold/membership/membership.h>
#include <pimentofold/platformwatch.h>
#include <pimentofold/random.h>
#include <pimentofold/types.h>

#include "peer_types.h"

/// Replication of configuration objects among agents by gossip (section 7 of the design document). Watchers poll the
/// platform, and an agent that receives a new object pushes it to random peers. Periodic exchanges of digests with
/// random peers find and repair what the pushes have missed. Delegates replicate between data centres in the same way.
///
/// The functions do no input or output: the caller passes received messages and the monotonic time in, and performs
/// what the functions append to a ConfigReplicationOutput.
namespace pimentofold {

/// Number of watchers and of delegates in each data centre.
constexpr std::size_t watchersPerDataCentre = 2;
constexpr std::size_t delegatesPerDataCentre = 2;

/// Protocol parameters. The defaults are those of the design document.
struct ConfigReplicationOptions {
    std::size_t pushFanout = 3; ///< number of peers that a new object is pushed to
    Time digestInterval = 2 * second;
    /// Interval of digests after an exchange that found a difference, for up to maxRepairRounds exchanges in a row, so
    /// that a new agent is synchronised quickly.
    Time repairInterval = 200 * millisecond;
    /// If a digest is not answered within this time, a digest is sent to another random peer, since the first peer may
    /// have stopped.
    Time digestTimeout = 300 * millisecond;
    int maxRepairRounds = 20; ///< consecutive exchanges at the repair interval
    std::size_t bucketsPerDigest = 8; ///< maximum number of buckets that one exchange repairs
    /// A new watcher waits this long for the initial synchronisation from a peer before its first poll of the platform.
    Time initialSyncTimeout = 2 * second;
    double pushBytesPerSecond = 16'000; ///< rate limit of pushes; objects above it are left to the digests
    double pushBurstBytes = 64'000;
    double rangeBytesPerSecond = 2'000'000; ///< rate limit for serving ranges of large objects
    double rangeBurstBytes = 256'000;
    Time remoteRetention = 60 * second; ///< time after which a remote delegate that was not heard of is removed
};

/// Token bucket for a rate limit in bytes.
struct ByteBudget {
    double bytes = 0; ///< may be sent at updatedAt
    Time updatedAt = 0;
};

/// An agent of the same data centre.
struct ReplicationPeer {
    InstanceKey key;
    std::string address; ///< "ip:port"
};

/// Role of this agent, and its peers, as derived from the membership.
struct ReplicationPeers {
    bool watcher = false; ///< this agent polls the platform
    bool delegate = false; ///< this agent replicates to other data centres
    /// Live members including this one. Large simulations share the list between agents.
    std::shared_ptr<const std::vector<ReplicationPeer>> local;
    std::vector<wire::MemberUpdate> delegates; ///< delegates of this data centre, sent to other data centres
};

/// A delegate of another data centre.
struct RemoteDelegate {
    std::string dataCentre;
    Time lastHeardAt = 0; ///< last message that listed this delegate
};

/// A large object that a peer has announced and whose first range was requested.
struct Announcement {
    std::int64_t version = 0;
    std::string source; ///< address of the peer that announced it last
    Time nextRequestAt = 0; ///< the first range is requested again at this time unless a range has arrived
    int attempts = 0;
};

/// Schedule of the digests.
struct DigestTimer {
    Time nextAt = 0; ///< next regular digest
    Time retryAt = never; ///< a digest is sent to another peer at this time unless the last one is answered
};

/// Counters for metrics and measurements.
struct ConfigReplicationCounts {
    std::int64_t pushes = 0;
    std::int64_t pushesSkipped = 0; ///< pushes dropped by the rate limit
    std::int64_t digests = 0;
    std::int64_t digestsDiffering = 0;
    std::int64_t pulls = 0;
    std::int64_t applied = 0;
    std::int64_t older = 0; ///< objects refused because a newer version is held or was in force
    std::int64_t refused = 0; ///< objects refused as invalid or too large
    std::int64_t rangesServed = 0;
};

/// Replication state of one agent.
struct ConfigReplication {
    ConfigReplicationOptions options;
    InstanceKey self;
    std::string team;
    std::string dataCentre;
    std::string address; ///< of this agent, "ip:port"
    std::vector<std::string> seeds; ///< agents of this data centre, used until members are known
    std::vector<std::string> remoteSeeds; ///< agents of other data centres
    Random random;
    ConfigStore store;
    PlatformWatch watch;
    ReplicationPeers peers;
    std::map<std::string, RemoteDelegate> remoteDelegates; ///< by address
    RangeTransfers transfers;
    std::map<ObjectKey, Announcement> announced;
    Time startedAt = 0;
    bool initialSyncDone = false; ///< the store has matched that of a synchronised peer, or a poll has succeeded
    DigestTimer localDigests;
    DigestTimer remoteDigests;
    int repairRounds = 0; ///< consecutive exchanges that found a difference
    ByteBudget pushBudget;
    ByteBudget rangeBudget;
    ConfigReplicationCounts counts;
};

/// Actions for the caller. The functions below append to it.
struct ConfigReplicationOutput {
    std::vector<MemberMessage> messages; ///< to be sent
    std::optional<WatchRequest> watch; ///< long poll to be started; its end is passed to handleWatchResponse()
    std::vector<ConfigObjectPointer> applied; ///< objects that were stored
};

/// Starts replication with an empty store.
/// @param replication with its options, identity and seeds set
/// @param randomSeed must differ between agents
/// @param now monotonic time
void startConfigReplication(ConfigReplication &replication, std::uint64_t randomSeed, Time now);

/// Sets the role and the peers. To be called after each change of the membership.
void setReplicationPeers(ConfigReplication &replication, ReplicationPeers peers);

/// Sends digests, repeats pulls that were not answered and starts polls. To be called about every 100 ms.
void tickConfigReplication(ConfigReplication &replication, Time now, ConfigReplicationOutput &out);

/// Handles messages of kind Digest, Pull and Objects; other kinds are ignored.
/// @param message from an authenticated datagram
/// @param from source address of the datagram, to which the reply is sent
void handleConfigMessage(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out);

/// Stores an object that this agent created itself and pushes it to peers.
void publishObject(ConfigReplication &replication, const ConfigObjectPointer &object, Time now, ConfigReplicationOutput &out);

/// Handles the platform's response to a long poll, or its failure: stores the objects and pushes the new ones to peers.
void handleWatchResponse(ConfigReplication &replication, const WatchResponse &response, Time now, ConfigReplicationOutput &out);

} // namespace pimentofold
