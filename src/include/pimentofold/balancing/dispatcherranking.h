#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pimentofold/balancing/localdispatch.h>

/// The dispatchers of all services and the owners of their targets, updated for what changed.
///
///     setRankedNodes(ranking, nodes);               // usable members, after a change of members
///     setRankedTarget(ranking, service, target);    // a new or changed target
///     removeRankedTarget(ranking, id);
///     RankingChanges changes = refreshRanking(ranking);
///
/// The result is that of divideTargets() with dispatcherCandidates(), which compute it from scratch.
///
/// Memory: one or two NodeIndex for each service and member, and one DividedTarget for each target.
namespace pimentofold {

/// Numbers of operations since the start.
struct RankingCounts {
    std::int64_t hashes = 0; ///< ranks of a member for a service or target
    std::int64_t comparisons = 0; ///< of ranks, ages or owners
    std::int64_t visits = 0; ///< entries of lists that were passed over without a hash
};

/// A member that may be used as a dispatcher.
struct RankedNode {
    InstanceKey key;
    std::string_view dataCentre; ///< empty: the node is no candidate for dispatchers of a data centre
};

/// A target of a service.
struct RankedTarget {
    std::uint64_t id = 0;
    std::string dataCentre;
    int slots = 0; ///< determine the number of dispatchers
    int weightedSlots = 0; ///< determine the dispatcher's share of the flows, see weighColdTargets()
    bool serving = false; ///< accepts new flows

    friend bool operator==(const RankedTarget &, const RankedTarget &) = default;
};

/// Position of a member in DispatcherRanking::nodes.
using NodeIndex = std::uint32_t;
constexpr NodeIndex noNode = std::numeric_limits<NodeIndex>::max();

/// A usable member.
struct IndexedNode {
    InstanceKey key;
    std::string dataCentre;
    std::uint64_t seenIn = 0; ///< number of the last call of setRankedNodes() that contained the member
};

/// Members ordered by age. The first ones are candidates, see dispatcherCandidates().
struct CandidateList {
    std::vector<NodeIndex> byAge;
    std::size_t count = 0; ///< number of candidates
};

/// Targets of a service that are divided among the same dispatchers.
struct DispatcherGroup {
    std::vector<NodeIndex> ranked; ///< all candidates, highest rank first
    std::vector<NodeIndex> dispatchers; ///< the first ones of `ranked` as of the last refresh
    std::map<NodeIndex, std::int64_t> slots; ///< weighted slots of the targets that each dispatcher owns
};

/// A target with its dispatcher.
struct DividedTarget {
    RankedTarget target;
    bool local = false; ///< divided among the dispatchers of its data centre
    NodeIndex owner = noNode;
    std::uint64_t ownerRank = 0; ///< rank of the owner for the target
};

/// Sums over a service's targets in one data centre.
struct DataCentreSlots {
    int targets = 0;
    int servingSlots = 0;
};

/// Division of one service's targets.
struct ServiceRanking {
    Id key = 0;
    std::map<std::uint64_t, DividedTarget> targets; ///< by id
    std::map<std::string, DataCentreSlots, std::less<>> dataCentres;
    DispatcherGroup shared; ///< of the data centres without dispatchers of their own
    std::map<std::string, DispatcherGroup, std::less<>> local; ///< by data centre
    std::vector<std::uint64_t> unowned; ///< ids of the targets whose owner is to be determined
    bool changed = false; ///< listed in DispatcherRanking::changed
};

/// State of all services. Only the functions below change it.
struct DispatcherRanking {
    int slotsPerDispatcher = 64; ///< see divideTargets()
    std::vector<IndexedNode> nodes;
    std::vector<NodeIndex> freeNodes; ///< unused positions in `nodes`
    std::vector<NodeIndex> releasedNodes; ///< removed members, which owners refer to until the next refresh
    std::unordered_map<Id, NodeIndex> nodeIndexes; ///< by instance
    std::uint64_t nodeUpdates = 0; ///< calls of setRankedNodes()
    CandidateList all;
    std::map<std::string, CandidateList, std::less<>> byDataCentre;
    std::map<std::string, ServiceRanking, std::less<>> services;
    std::unordered_map<std::uint64_t, std::string> serviceOfTarget; ///< by target id
    std::vector<std::string> changed; ///< services to be refreshed
    RankingCounts counts;
};

/// A target whose owner was determined.
struct OwnerChange {
    std::uint64_t target = 0;
    Id owner = 0; ///< 0: none
};

/// Result of a refresh.
struct RankingChanges {
    std::vector<OwnerChange> owners;
    std::vector<std::string> services; ///< whose targets, dispatchers or their slots may have changed, also those without targets now
};

/// Replaces the usable members.
/// @param nodes at most one incarnation of each instance
/// @return whether there was a change
bool setRankedNodes(DispatcherRanking &ranking, std::span<const RankedNode> nodes);

/// Adds or changes a target, which may move to another service or data centre.
void setRankedTarget(DispatcherRanking &ranking, const std::string &service, const RankedTarget &target);

/// Removes a target. Unknown targets are ignored.
void removeRankedTarget(DispatcherRanking &ranking, std::uint64_t id);

/// Determines the dispatchers and owners after changes of members or targets.
/// @return what has changed since the last call
RankingChanges refreshRanking(DispatcherRanking &ranking);

/// @param ownDataCentre data centre in which the openings arrive
/// @return the dispatchers of a service, without ServiceDispatchers::owners and DispatcherTable::owners
ServiceDispatchers dispatchersOf(const DispatcherRanking &ranking, const ServiceRanking &service, std::string_view ownDataCentre);

} // namespace pimentofold
