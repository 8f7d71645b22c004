#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/listwatch.h>
#include <pimentofold/targettable.h>
#include <pimentofold/types.h>

/// Passes what one node learns from the platform's store on to the other nodes of a region, so that the store is called
/// as often as things change, however many nodes there are.
///
/// One node follows the store and sends a beat to all others several times a second. A beat says up to which revisions
/// the sender knows the store, and carries what has changed since the beat before. Since the store counts revisions, a
/// node that missed a beat asks for everything after the revision that it knows. When the beats stop, or tell that
/// the store doesn't answer, the next node in rank follows the store itself; of two that do, the one that ranks lower
/// ends. Neither two followers nor none do harm: what they read is the same, and knowledge never steps back.
namespace pimentofold {

/// What a node's own calls to the store have shown since it began to follow it.
enum class StoreContact {
    Unknown, ///< no call has ended yet
    Answering,
    Failing,
};

/// @return name in lower case
std::string_view name(StoreContact contact);

/// Times of sharing.
struct ShareSettings {
    Time beatInterval = 300 * millisecond;
    /// The first in rank follows the store when no healthy beat has come for this long; it is a part of the time in
    /// which a change has to be in force.
    Time silenceLimit = 700 * millisecond;
    Time rankStep = 150 * millisecond; ///< further wait for each rank, also after a follower has told that it gets no answers
    int mostRankSteps = 6;
    /// Further wait for each rank beyond these: it is rare that all nodes before are gone, and a hundred nodes that start
    /// at once fill each other's links.
    Time lateRankStep = 30 * millisecond;
    int mostLateRankSteps = 30;
    /// A node that starts asks its peers first and calls the store when none has answered by then.
    Time startWait = 25 * millisecond;
    /// When the whole system starts for the first time no caller waits yet: the seeds call the store one after the other, and
    /// the other nodes only when no peer has told them anything after this time and a random part of the spread.
    Time seedStep = 200 * millisecond;
    Time firstStartWait = 2 * second;
    Time firstStartSpread = 2 * second;
    Time firstFetchRetry = 500 * millisecond; ///< as fetchRetry, at the first start
    Time fetchRetry = 60 * millisecond; ///< a request for changes is repeated after this time
    Time readWait = second; ///< a node that reads the store itself asks no peer for this time
    Time beatMemory = 3 * second; ///< a follower that hasn't sent a beat for this long is forgotten
    std::size_t mostUnhealthy = 3; ///< nodes that try at a time to reach a store that doesn't answer
    Time unhealthyLimit = 1500 * millisecond; ///< one that hasn't reached it for this long lets others try
    Time restTime = 3 * second; ///< and doesn't try again for this time
};

/// Revisions of the store up to which a node knows each kind.
struct KnownRevisions {
    std::int64_t config = 0;
    std::int64_t targets = 0;

    friend bool operator==(const KnownRevisions &, const KnownRevisions &) = default;
};

/// Removal of a target's entry.
struct TargetRemoval {
    std::uint64_t id = 0;
    std::int64_t revision = 0;
};

/// What changed in the store after @p base. A base of 0 stands for everything.
struct StoreChanges {
    KnownRevisions base;
    KnownRevisions known;
    std::int64_t configBase = 0; ///< revision of the configuration that the difference starts from
    EdgeConfig config; ///< routes that changed; revision 0: no configuration is known
    std::vector<Address> removedRoutes;
    std::vector<TargetRecord> targets;
    std::vector<TargetRemoval> removedTargets;
};

/// The beat of a follower.
struct StoreBeat {
    Id sender = 0;
    bool healthy = true;
    KnownRevisions known;
    Time age = 0; ///< of the sender's knowledge
};

/// A follower that was heard of.
struct HeardFollower {
    bool healthy = true;
    Time heardAt = 0;
};

/// Sharing at one node.
struct StoreShare {
    ShareSettings settings;
    Id self = 0;
    bool following = false; ///< this node calls the store
    Time startedAt = 0;
    StoreContact contact = StoreContact::Unknown;
    Time failingSince = 0; ///< no call has been answered since then
    Time restUntil = 0;
    Time troubleAt = never; ///< when a follower first told that the store doesn't answer it, unless another one has told the contrary since
    Time confirmedAt = 0; ///< the store's state was as known here at that time; 0: never
    Time beatAt = 0; ///< last own beat
    KnownRevisions beatKnown; ///< revisions at the last own beat
    KnownRevisions known;
    KnownRevisions heard; ///< highest revisions that a beat has told of
    std::map<Id, HeardFollower> followers;
    Time fetchAt = 0; ///< when changes may be asked for again
};

/// @param seedPosition of this node among the seeds, from 0; nothing for other nodes
/// @return how long a node waits for its peers at the first start of the whole system before it calls the store
Time firstCallWait(const ShareSettings &settings, std::optional<std::size_t> seedPosition, Random &random);

/// @return whether this node should follow the store now
/// @param rank of this node among the members, from 0
bool shouldFollow(const StoreShare &share, int rank, Time now);

/// Takes over what the own calls to the store show.
void noteContact(StoreShare &share, StoreContact contact, Time now);

/// Takes the beat of another node.
/// @return whether changes are missing, so that they should be fetched from the node that passed the beat on
bool takeBeat(StoreShare &share, const StoreBeat &beat, Time now);

/// @return whether changes that a beat has told of are missing here
bool isBehind(const StoreShare &share);

/// Takes that this node starts to follow the store. Its first beat tells what it learns from now on; what it knew before
/// the others know too, or ask for.
void startFollowing(StoreShare &share, Time now);

/// @return whether this node knows something that a peer with these revisions doesn't
bool knowsMore(const StoreShare &share, const KnownRevisions &peer);

/// @return whether a beat is due. A follower whose first call hasn't ended sends none: others would take it for proof that the
/// store is followed.
bool isBeatDue(const StoreShare &share, Time now);

/// @return what changed after @p base, as this node knows it; everything when the base is too old
StoreChanges changesSince(const TargetTable &table, const KnownRevisions &base, std::int64_t configBase, const KnownRevisions &known, Time now);

/// Takes over changes that another node has sent.
/// @return false when changes before them are missing here
bool applyChanges(StoreShare &share, TargetTable &table, const StoreChanges &changes, Time now);

/// @return the order of a node for following the store; the lowest one comes first
std::uint64_t followRank(Id node);

} // namespace pimentofold
