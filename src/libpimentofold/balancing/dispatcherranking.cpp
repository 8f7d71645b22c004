#include <pimentofold/balancing/dispatcherranking.h>

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

#include <libpimentofold/balancing/rankedlists.h>

namespace pimentofold {

using namespace rankedlists;

namespace {

using NodeSet = std::unordered_set<NodeIndex>;

void markChanged(DispatcherRanking &ranking, const std::string &name, ServiceRanking &service)
{
    if (!service.changed) {
        service.changed = true;
        ranking.changed.push_back(name);
    }
}

/// Applies a change of the candidates of one list to all services that use the list.
/// @param dataCentre of the list; nullptr: list of all members
void updateServices(DispatcherRanking &ranking, const std::string *dataCentre, const CandidateChange &change)
{
    if (change.added.empty() && change.removed.empty()) {
        return;
    }
    for (auto &[name, service] : ranking.services) {
        if (dataCentre == nullptr) {
            applyChange(ranking, service.key, service.shared.ranked, change);
            markChanged(ranking, name, service);
            continue;
        }
        const auto group = service.local.find(*dataCentre);
        if (group != service.local.end()) {
            applyChange(ranking, service.key, group->second.ranked, change);
        }
        if (service.dataCentres.contains(*dataCentre)) {
            markChanged(ranking, name, service);
        }
    }
}

// Members

NodeIndex addNode(DispatcherRanking &ranking, const RankedNode &node)
{
    if (ranking.freeNodes.empty()) {
        ranking.freeNodes.push_back(static_cast<NodeIndex>(ranking.nodes.size()));
        ranking.nodes.emplace_back();
    }
    const NodeIndex index = ranking.freeNodes.back();
    ranking.freeNodes.pop_back();
    ranking.nodes[index] = {node.key, std::string(node.dataCentre), ranking.nodeUpdates};
    return index;
}

/// @return whether the member is known with this incarnation and data centre
bool markSeen(DispatcherRanking &ranking, const RankedNode &node)
{
    const auto it = ranking.nodeIndexes.find(node.key.instance);
    if (it == ranking.nodeIndexes.end()) {
        return false;
    }
    IndexedNode &known = ranking.nodes[it->second];
    const bool same = known.key == node.key && known.dataCentre == node.dataCentre;
    known.seenIn = same ? ranking.nodeUpdates : known.seenIn;
    return same;
}

/// Removes the members that the current call of setRankedNodes() doesn't contain.
/// @return their positions, which stay in use until the next refresh
std::vector<NodeIndex> takeMissing(DispatcherRanking &ranking)
{
    std::vector<NodeIndex> removed;
    std::erase_if(ranking.nodeIndexes, [&](const auto &it) {
        const bool missing = ranking.nodes[it.second].seenIn != ranking.nodeUpdates;
        if (missing) {
            removed.push_back(it.second);
        }
        return missing;
    });
    return removed;
}

/// @return the members of @p nodes by their data centre, without those of which it isn't known
std::map<std::string, std::vector<NodeIndex>> byDataCentre(const DispatcherRanking &ranking, const std::vector<NodeIndex> &nodes)
{
    std::map<std::string, std::vector<NodeIndex>> result;
    for (const NodeIndex it : nodes) {
        if (!ranking.nodes[it].dataCentre.empty()) {
            result[ranking.nodes[it].dataCentre].push_back(it);
        }
    }
    return result;
}

void updateDataCentres(DispatcherRanking &ranking, const std::vector<NodeIndex> &added, const std::vector<NodeIndex> &removed)
{
    const auto addedThere = byDataCentre(ranking, added);
    auto removedThere = byDataCentre(ranking, removed);
    for (const auto &[name, nodes] : addedThere) {
        removedThere.try_emplace(name);
    }
    for (const auto &[name, nodes] : removedThere) {
        const auto found = addedThere.find(name);
        CandidateList &list = ranking.byDataCentre[name];
        const CandidateChange change = updateCandidates(ranking, list, found == addedThere.end() ? std::vector<NodeIndex>{} : found->second, nodes);
        updateServices(ranking, &name, change);
        if (list.byAge.empty()) {
            ranking.byDataCentre.erase(name);
        }
    }
}

// Targets and owners

DispatcherGroup &groupOf(ServiceRanking &service, const DividedTarget &target)
{
    return target.local ? service.local.find(target.target.dataCentre)->second : service.shared;
}

/// Adds the target's slots to those of its owner.
/// @param sign -1 to subtract them
void countSlots(ServiceRanking &service, const DividedTarget &target, int sign)
{
    if (target.owner == noNode || !target.target.serving) {
        return;
    }
    DispatcherGroup &group = groupOf(service, target);
    std::int64_t &slots = group.slots[target.owner];
    slots += sign * static_cast<std::int64_t>(target.target.weightedSlots);
    if (slots == 0) {
        group.slots.erase(target.owner);
    }
}

void countInDataCentre(ServiceRanking &service, const RankedTarget &target, int sign)
{
    DataCentreSlots &sums = service.dataCentres[target.dataCentre];
    sums.targets += sign;
    sums.servingSlots += target.serving ? sign * target.slots : 0;
    if (sums.targets == 0) {
        service.dataCentres.erase(target.dataCentre);
    }
}

void setOwner(ServiceRanking &service, DividedTarget &target, NodeIndex owner, std::uint64_t rank)
{
    countSlots(service, target, -1);
    target.owner = owner;
    target.ownerRank = rank;
    countSlots(service, target, 1);
}

void releaseTarget(ServiceRanking &service, DividedTarget &target)
{
    setOwner(service, target, noNode, 0);
    service.unowned.push_back(target.target.id);
}

std::size_t candidatesIn(const DispatcherRanking &ranking, const std::string &dataCentre)
{
    const auto it = ranking.byDataCentre.find(dataCentre);
    return it == ranking.byDataCentre.end() ? 0 : it->second.count;
}

/// Moves the targets of a data centre to its own dispatchers, or back to the shared ones.
void regroup(DispatcherRanking &ranking, ServiceRanking &service, const std::string &dataCentre, bool local)
{
    if (local) {
        const CandidateList &list = ranking.byDataCentre.find(dataCentre)->second;
        std::vector<NodeIndex> &ranked = service.local[dataCentre].ranked;
        ranked.assign(list.byAge.begin(), list.byAge.begin() + static_cast<std::ptrdiff_t>(list.count));
        sortByRank(ranking, service.key, ranked);
    }
    for (auto &[id, it] : service.targets) {
        ++ranking.counts.visits;
        if (it.target.dataCentre == dataCentre) {
            releaseTarget(service, it);
            it.local = local;
        }
    }
    if (!local) {
        service.local.erase(dataCentre);
    }
}

void updateGroups(DispatcherRanking &ranking, ServiceRanking &service)
{
    std::vector<std::string> left;
    for (const auto &[name, group] : service.local) {
        if (!service.dataCentres.contains(name)) {
            left.push_back(name);
        }
    }
    for (const std::string &it : left) {
        service.local.erase(it);
    }
    for (const auto &[name, sums] : service.dataCentres) {
        const bool local = sums.servingSlots >= ranking.slotsPerDispatcher && candidatesIn(ranking, name) > 0;
        if (local != service.local.contains(name)) {
            regroup(ranking, service, name, local);
        }
    }
}

/// Moves a target to one of the new dispatchers if that has a higher rank than the owner.
void considerAdded(DispatcherRanking &ranking, ServiceRanking &service, DividedTarget &target, const std::vector<NodeIndex> &added, RankingChanges &changes)
{
    for (const NodeIndex it : added) {
        const std::uint64_t rank = rankOf(ranking, target.target.id, it);
        ++ranking.counts.comparisons;
        if (rank == target.ownerRank) {
            releaseTarget(service, target); // equal ranks are decided by the order of the dispatchers
            return;
        }
        if (rank > target.ownerRank) {
            setOwner(service, target, it, rank);
            changes.owners.push_back({target.target.id, ranking.nodes[it].key.instance});
        }
    }
}

/// @return the elements of @p from that @p without doesn't contain
std::vector<NodeIndex> difference(std::span<const NodeIndex> from, std::span<const NodeIndex> without)
{
    const NodeSet present(without.begin(), without.end());
    std::vector<NodeIndex> result;
    std::ranges::copy_if(from, std::back_inserter(result), [&](NodeIndex it) { return !present.contains(it); });
    return result;
}

/// Determines the dispatchers of a group again.
/// @param dataCentre of the group; nullptr: the shared group
void updateDispatchersOf(
    DispatcherRanking &ranking, ServiceRanking &service, DispatcherGroup &group, const std::string *dataCentre, int servingSlots, RankingChanges &changes)
{
    const int wanted = std::max((servingSlots + ranking.slotsPerDispatcher - 1) / ranking.slotsPerDispatcher, 1);
    const std::span<const NodeIndex> next(group.ranked.data(), std::min(group.ranked.size(), static_cast<std::size_t>(wanted)));
    ranking.counts.visits += static_cast<std::int64_t>(next.size());
    if (std::ranges::equal(next, group.dispatchers)) {
        return;
    }
    const std::vector<NodeIndex> added = difference(next, group.dispatchers);
    const std::vector<NodeIndex> removedNodes = difference(group.dispatchers, next);
    const NodeSet removed(removedNodes.begin(), removedNodes.end());
    for (auto &[id, it] : service.targets) {
        ++ranking.counts.visits;
        const bool isMember = it.local ? dataCentre != nullptr && it.target.dataCentre == *dataCentre : dataCentre == nullptr;
        if (!isMember) {
            continue;
        }
        if (it.owner == noNode || removed.contains(it.owner)) {
            releaseTarget(service, it);
        } else {
            considerAdded(ranking, service, it, added, changes);
        }
    }
    group.dispatchers.assign(next.begin(), next.end());
}

void findOwner(DispatcherRanking &ranking, ServiceRanking &service, DividedTarget &target, RankingChanges &changes)
{
    NodeIndex best = noNode;
    std::uint64_t bestRank = 0;
    for (const NodeIndex it : groupOf(service, target).dispatchers) {
        const std::uint64_t rank = rankOf(ranking, target.target.id, it);
        ++ranking.counts.comparisons;
        if (best == noNode || rank > bestRank) {
            best = it;
            bestRank = rank;
        }
    }
    setOwner(service, target, best, bestRank);
    changes.owners.push_back({target.target.id, best == noNode ? 0 : ranking.nodes[best].key.instance});
}

void refreshService(DispatcherRanking &ranking, ServiceRanking &service, RankingChanges &changes)
{
    updateGroups(ranking, service);
    int sharedSlots = 0;
    for (const auto &[name, sums] : service.dataCentres) {
        const auto group = service.local.find(name);
        if (group == service.local.end()) {
            sharedSlots += sums.servingSlots;
        } else {
            updateDispatchersOf(ranking, service, group->second, &name, sums.servingSlots, changes);
        }
    }
    updateDispatchersOf(ranking, service, service.shared, nullptr, sharedSlots, changes);
    for (const std::uint64_t id : std::exchange(service.unowned, {})) {
        const auto it = service.targets.find(id);
        // A target may be listed twice.
        if (it != service.targets.end() && it->second.owner == noNode) {
            findOwner(ranking, service, it->second, changes);
        }
    }
}

ServiceRanking &serviceFor(DispatcherRanking &ranking, const std::string &name)
{
    const auto [it, added] = ranking.services.try_emplace(name);
    ServiceRanking &service = it->second;
    if (added) {
        service.key = idOf(name);
        service.shared.ranked.assign(ranking.all.byAge.begin(), ranking.all.byAge.begin() + static_cast<std::ptrdiff_t>(ranking.all.count));
        sortByRank(ranking, service.key, service.shared.ranked);
    }
    return service;
}

DispatcherTable toTable(const DispatcherRanking &ranking, const DispatcherGroup &group)
{
    DispatcherTable table;
    std::int64_t sum = 0;
    for (const NodeIndex it : group.dispatchers) {
        const auto slots = group.slots.find(it);
        sum += slots == group.slots.end() ? 0 : slots->second;
        table.dispatchers.push_back(ranking.nodes[it].key);
        table.cumulativeSlots.push_back(sum);
    }
    return table;
}

} // namespace

bool setRankedNodes(DispatcherRanking &ranking, std::span<const RankedNode> nodes)
{
    ++ranking.nodeUpdates;
    std::vector<const RankedNode *> unknown;
    ranking.counts.visits += static_cast<std::int64_t>(nodes.size());
    for (const RankedNode &it : nodes) {
        if (!markSeen(ranking, it)) {
            unknown.push_back(&it);
        }
    }
    const std::vector<NodeIndex> removed = takeMissing(ranking);
    std::vector<NodeIndex> added;
    for (const RankedNode *it : unknown) {
        added.push_back(addNode(ranking, *it));
        ranking.nodeIndexes[it->key.instance] = added.back();
    }
    if (added.empty() && removed.empty()) {
        return false;
    }
    updateServices(ranking, nullptr, updateCandidates(ranking, ranking.all, added, removed));
    updateDataCentres(ranking, added, removed);
    ranking.releasedNodes.insert(ranking.releasedNodes.end(), removed.begin(), removed.end());
    return true;
}

void setRankedTarget(DispatcherRanking &ranking, const std::string &service, const RankedTarget &target)
{
    const auto known = ranking.serviceOfTarget.find(target.id);
    if (known != ranking.serviceOfTarget.end()) {
        ServiceRanking &current = ranking.services.find(known->second)->second;
        DividedTarget &divided = current.targets.find(target.id)->second;
        if (known->second == service && divided.target == target) {
            return;
        }
        if (known->second == service && divided.target.dataCentre == target.dataCentre) {
            countSlots(current, divided, -1);
            countInDataCentre(current, divided.target, -1);
            divided.target = target;
            countInDataCentre(current, divided.target, 1);
            countSlots(current, divided, 1);
            markChanged(ranking, service, current);
            return;
        }
        removeRankedTarget(ranking, target.id);
    }
    ServiceRanking &into = serviceFor(ranking, service);
    ranking.serviceOfTarget[target.id] = service;
    countInDataCentre(into, target, 1);
    const bool local = into.local.contains(target.dataCentre);
    into.targets.emplace(target.id, DividedTarget{target, local});
    into.unowned.push_back(target.id);
    markChanged(ranking, service, into);
}

void removeRankedTarget(DispatcherRanking &ranking, std::uint64_t id)
{
    const auto known = ranking.serviceOfTarget.find(id);
    if (known == ranking.serviceOfTarget.end()) {
        return;
    }
    ServiceRanking &service = ranking.services.find(known->second)->second;
    const auto it = service.targets.find(id);
    countSlots(service, it->second, -1);
    countInDataCentre(service, it->second.target, -1);
    service.targets.erase(it);
    markChanged(ranking, known->second, service);
    ranking.serviceOfTarget.erase(known);
}

RankingChanges refreshRanking(DispatcherRanking &ranking)
{
    RankingChanges changes;
    changes.services = std::exchange(ranking.changed, {});
    for (const std::string &it : changes.services) {
        ServiceRanking &service = ranking.services.find(it)->second;
        service.changed = false;
        if (service.targets.empty()) {
            ranking.services.erase(it);
        } else {
            refreshService(ranking, service, changes);
        }
    }
    ranking.freeNodes.insert(ranking.freeNodes.end(), ranking.releasedNodes.begin(), ranking.releasedNodes.end());
    ranking.releasedNodes.clear();
    return changes;
}

ServiceDispatchers dispatchersOf(const DispatcherRanking &ranking, const ServiceRanking &service, std::string_view ownDataCentre)
{
    ServiceDispatchers result;
    for (const auto &[name, group] : service.local) {
        result.byDataCentre[name] = toTable(ranking, group);
    }
    result.table = toTable(ranking, service.shared);
    int sharedSlots = 0;
    for (const auto &[name, sums] : service.dataCentres) {
        sharedSlots += service.local.contains(name) ? 0 : sums.servingSlots;
    }
    selectTable(result, ownDataCentre, sharedSlots);
    return result;
}

} // namespace pimentofold
