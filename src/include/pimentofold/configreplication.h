#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/configrange.h>
#include <pimentofold/configstore.h>
#include <pimentofold/membership.h>
#include <pimentofold/platformwatch.h>
#include <pimentofold/random.h>
#include <pimentofold/types.h>

#include "peer_types.h"

/// Spreads configuration objects among agents (section 7 of the design): watchers poll the platform, new objects are
/// pushed to random peers, and digests that are exchanged every 2 s find what the pushes have missed. Delegates
/// connect the data centres in the same way.
namespace pimentofold {

/// Watchers and delegates of each data centre.
constexpr std::size_t watchersPerDataCentre = 2;
constexpr std::size_t delegatesPerDataCentre = 2;

/// Parameters; the defaults are those of the design page.
struct ConfigReplicationOptions {
    std::size_t pushFanout = 3;
    Time digestInterval = 2 * second;
    /// After a digest that differed the next one comes sooner, a few times in a row, so that a new agent fills fast.
    Time repairInterval = 200 * millisecond;
    /// A digest without an answer by then goes to another peer, since the first one may have stopped.
    Time digestTimeout = 300 * millisecond;
    int maxRepairRounds = 20; ///< digests in a row at the repair interval
    std::size_t bucketsPerDigest = 8; ///< buckets that one exchange repairs, at most
    /// A new agent that has reached no peer for this long starts with the platform.
    Time initialSyncTimeout = 2 * second;
    double pushBytesPerSecond = 16'000; ///< pushes beyond this rate are left to the digests
    double pushBurstBytes = 64'000;
    double rangeBytesPerSecond = 2'000'000; ///< large objects are served at most at this rate
    double rangeBurstBytes = 256'000;
    Time remoteRetention = 60 * second; ///< delegates of other data centres are forgotten when unheard of for this long
};

/// Bytes that may be sent.
struct ByteBudget {
    double bytes = 0;
    Time updatedAt = 0;
};

/// An agent of the same data centre.
struct ReplicationPeer {
    InstanceKey key;
    std::string address; ///< "ip:port"
};

/// The role of this agent and its peers, from membership.
struct ReplicationPeers {
    bool watcher = false;
    bool delegate = false;
    /// Live members with this one; shared between agents in large simulations.
    std::shared_ptr<const std::vector<ReplicationPeer>> local;
    std::vector<wire::MemberUpdate> delegates; ///< of this data centre, told to other data centres
};

/// A delegate of another data centre.
struct RemoteDelegate {
    std::string dataCentre;
    Time lastHeardAt = 0; ///< when it or one of its peers was last heard of
};

/// A large object that a peer has announced and that was asked for.
struct Announcement {
    std::int64_t version = 0;
    std::string source; ///< peer that announced it last
    Time nextRequestAt = 0; ///< when it is asked for again unless a range has come
    int attempts = 0;
};

/// When the next digest is sent.
struct DigestTimer {
    Time nextAt = 0;
    Time retryAt = never; ///< when it goes to another peer unless an answer comes
};

/// Counts for metrics and measurements.
struct ConfigReplicationCounts {
    std::int64_t pushes = 0;
    std::int64_t pushesSkipped = 0; ///< beyond the rate
    std::int64_t digests = 0;
    std::int64_t digestsDiffering = 0;
    std::int64_t pulls = 0;
    std::int64_t applied = 0;
    std::int64_t older = 0; ///< objects that were refused because a newer version is known
    std::int64_t refused = 0; ///< objects outside the limits
    std::int64_t rangesServed = 0;
};

/// State of one agent.
struct ConfigReplication {
    ConfigReplicationOptions options;
    InstanceKey self;
    std::string team;
    std::string dataCentre;
    std::string address; ///< of this agent
    std::vector<std::string> seeds; ///< agents of this data centre, asked until there are members
    std::vector<std::string> remoteSeeds; ///< agents of other data centres
    Random random;
    ConfigStore store;
    PlatformWatch watch;
    ReplicationPeers peers;
    std::map<std::string, RemoteDelegate> remoteDelegates; ///< by address
    RangeTransfers transfers;
    std::map<ObjectKey, Announcement> announced;
    Time startedAt = 0;
    bool initialSyncDone = false; ///< holds what a peer or the platform holds
    DigestTimer localDigests;
    DigestTimer remoteDigests;
    int repairRounds = 0;
    ByteBudget pushBudget;
    ByteBudget rangeBudget;
    ConfigReplicationCounts counts;
};

/// What a command asks of the program around it. Commands append.
struct ConfigReplicationOutput {
    std::vector<MemberMessage> messages;
    std::optional<WatchRequest> watch; ///< long poll to be started
    std::vector<ConfigObjectPointer> applied; ///< objects that were taken over
};

/// Starts with an empty store.
/// @param randomSeed differs between agents
void startConfigReplication(ConfigReplication &replication, std::uint64_t randomSeed, Time now);

/// Sets role and peers after a change of membership.
void setReplicationPeers(ConfigReplication &replication, ReplicationPeers peers);

/// Sends digests, repeats pulls and starts polls. To be called about every 100 ms.
void tickConfigReplication(ConfigReplication &replication, Time now, ConfigReplicationOutput &out);

/// Takes Digest, Pull and Objects; ignores other kinds.
/// @param message from an authenticated datagram
/// @param from address that the datagram came from; the answer goes there
void handleConfigMessage(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out);

/// Takes over and pushes an object that this agent made itself.
void publishObject(ConfigReplication &replication, const ConfigObjectPointer &object, Time now, ConfigReplicationOutput &out);

/// Takes the platform's answer to a long poll, or its failure.
void handleWatchResponse(ConfigReplication &replication, const WatchResponse &response, Time now, ConfigReplicationOutput &out);

} // namespace pimentofold
