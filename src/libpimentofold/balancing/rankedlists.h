#pragma once

#include <cstdint>
#include <vector>

#include <pimentofold/balancing/dispatcherranking.h>

/// Lists of members in the order of their ages and of their ranks for a service. Internal to the library.
namespace pimentofold::rankedlists {

/// Members that have become candidates, and members that no longer are.
struct CandidateChange {
    std::vector<NodeIndex> added;
    std::vector<NodeIndex> removed;
};

/// @param key id of a service or target
std::uint64_t rankOf(DispatcherRanking &ranking, std::uint64_t key, NodeIndex node);

/// Applies a change of the members to a list. The candidates are the first members by age, so that only those on either side
/// of the previous limit can change.
CandidateChange updateCandidates(DispatcherRanking &ranking, CandidateList &list, const std::vector<NodeIndex> &added, const std::vector<NodeIndex> &removed);

/// Sorts members by their ranks for a service, highest first.
void sortByRank(DispatcherRanking &ranking, Id service, std::vector<NodeIndex> &ranked);

/// Applies a change of the candidates to a list that sortByRank() has sorted.
void applyChange(DispatcherRanking &ranking, Id service, std::vector<NodeIndex> &ranked, const CandidateChange &change);

} // namespace pimentofold::rankedlists
