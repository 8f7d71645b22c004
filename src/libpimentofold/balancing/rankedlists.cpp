#include <libpimentofold/balancing/rankedlists.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <unordered_set>

namespace pimentofold::rankedlists {

namespace {

/// When more than one in this many members of a list changes at once, the list is processed as a whole; otherwise each change takes a
/// binary search and moves the entries behind it.
constexpr std::size_t bulkShare = 8;

using NodeSet = std::unordered_set<NodeIndex>;

bool isOlder(DispatcherRanking &ranking, NodeIndex a, NodeIndex b)
{
    ++ranking.counts.comparisons;
    const InstanceKey &first = ranking.nodes[a].key;
    const InstanceKey &other = ranking.nodes[b].key;
    return first.incarnation != other.incarnation ? first.incarnation < other.incarnation : first.instance < other.instance;
}

std::size_t positionByAge(DispatcherRanking &ranking, const CandidateList &list, NodeIndex node)
{
    const auto it = std::ranges::lower_bound(list.byAge, node, [&](NodeIndex a, NodeIndex b) { return isOlder(ranking, a, b); });
    return static_cast<std::size_t>(it - list.byAge.begin());
}

std::size_t countCandidates(DispatcherRanking &ranking, const CandidateList &list)
{
    return candidateCount(list.byAge.size(), [&](std::size_t position) {
        ++ranking.counts.comparisons;
        return ranking.nodes[list.byAge[position]].key.incarnation;
    });
}

/// @return the candidates among the removed members
std::vector<NodeIndex> removeByAge(DispatcherRanking &ranking, CandidateList &list, const std::vector<NodeIndex> &removed)
{
    std::vector<NodeIndex> candidates;
    const auto begin = list.byAge.begin();
    if (removed.size() * bulkShare > list.byAge.size()) {
        const NodeSet gone(removed.begin(), removed.end());
        ranking.counts.visits += static_cast<std::int64_t>(list.byAge.size());
        std::copy_if(begin, begin + static_cast<std::ptrdiff_t>(list.count), std::back_inserter(candidates), [&](NodeIndex it) { return gone.contains(it); });
        std::erase_if(list.byAge, [&](NodeIndex it) { return gone.contains(it); });
        list.count -= candidates.size();
        return candidates;
    }
    for (const NodeIndex it : removed) {
        const std::size_t position = positionByAge(ranking, list, it);
        list.byAge.erase(list.byAge.begin() + static_cast<std::ptrdiff_t>(position));
        if (position < list.count) {
            --list.count;
            candidates.push_back(it);
        }
    }
    return candidates;
}

/// A member with its rank for a service.
struct RankedIndex {
    std::uint64_t rank = 0;
    NodeIndex node = noNode;
};

bool precedes(DispatcherRanking &ranking, const RankedIndex &a, const RankedIndex &b)
{
    ++ranking.counts.comparisons;
    return a.rank != b.rank ? a.rank > b.rank : ranking.nodes[a.node].key.instance < ranking.nodes[b.node].key.instance;
}

std::vector<NodeIndex>::iterator positionByRank(DispatcherRanking &ranking, Id service, std::vector<NodeIndex> &ranked, NodeIndex node)
{
    const auto key = static_cast<std::uint64_t>(service);
    const RankedIndex wanted{rankOf(ranking, key, node), node};
    const auto isBefore = [&](const RankedIndex &a, const RankedIndex &b) { return precedes(ranking, a, b); };
    return std::ranges::lower_bound(ranked, wanted, isBefore, [&](NodeIndex it) { return RankedIndex{rankOf(ranking, key, it), it}; });
}

void removeRanked(DispatcherRanking &ranking, Id service, std::vector<NodeIndex> &ranked, const std::vector<NodeIndex> &removed)
{
    if (removed.size() * bulkShare > ranked.size()) {
        const NodeSet gone(removed.begin(), removed.end());
        ranking.counts.visits += static_cast<std::int64_t>(ranked.size());
        std::erase_if(ranked, [&](NodeIndex it) { return gone.contains(it); });
        return;
    }
    for (const NodeIndex it : removed) {
        ranked.erase(positionByRank(ranking, service, ranked, it));
    }
}

void addRanked(DispatcherRanking &ranking, Id service, std::vector<NodeIndex> &ranked, const std::vector<NodeIndex> &added)
{
    if (added.size() * bulkShare > ranked.size()) {
        ranked.insert(ranked.end(), added.begin(), added.end());
        sortByRank(ranking, service, ranked);
        return;
    }
    for (const NodeIndex it : added) {
        ranked.insert(positionByRank(ranking, service, ranked, it), it);
    }
}

} // namespace

std::uint64_t rankOf(DispatcherRanking &ranking, std::uint64_t key, NodeIndex node)
{
    ++ranking.counts.hashes;
    return rendezvousRank(static_cast<Id>(key), ranking.nodes[node].key);
}

CandidateChange updateCandidates(DispatcherRanking &ranking, CandidateList &list, const std::vector<NodeIndex> &added, const std::vector<NodeIndex> &removed)
{
    std::map<NodeIndex, int> changes;
    for (const NodeIndex it : removeByAge(ranking, list, removed)) {
        --changes[it];
    }
    for (const NodeIndex it : added) {
        const std::size_t position = positionByAge(ranking, list, it);
        list.byAge.insert(list.byAge.begin() + static_cast<std::ptrdiff_t>(position), it);
        if (position < list.count) {
            ++list.count;
            ++changes[it];
        }
    }
    const std::size_t count = countCandidates(ranking, list);
    for (std::size_t i = list.count; i < count; ++i) {
        ++changes[list.byAge[i]];
    }
    for (std::size_t i = count; i < list.count; ++i) {
        --changes[list.byAge[i]];
    }
    list.count = count;
    CandidateChange result;
    for (const auto &[node, change] : changes) {
        if (change != 0) {
            (change > 0 ? result.added : result.removed).push_back(node);
        }
    }
    return result;
}

void sortByRank(DispatcherRanking &ranking, Id service, std::vector<NodeIndex> &ranked)
{
    std::vector<RankedIndex> byRank;
    byRank.reserve(ranked.size());
    for (const NodeIndex it : ranked) {
        byRank.push_back({rankOf(ranking, static_cast<std::uint64_t>(service), it), it});
    }
    std::ranges::sort(byRank, [&](const RankedIndex &a, const RankedIndex &b) { return precedes(ranking, a, b); });
    std::ranges::transform(byRank, ranked.begin(), &RankedIndex::node);
}

void applyChange(DispatcherRanking &ranking, Id service, std::vector<NodeIndex> &ranked, const CandidateChange &change)
{
    removeRanked(ranking, service, ranked, change.removed);
    addRanked(ranking, service, ranked, change.added);
}

} // namespace pimentofold::rankedlists
