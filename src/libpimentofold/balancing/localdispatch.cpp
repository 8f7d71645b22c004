#include <pimentofold/balancing/localdispatch.h>

#include <algorithm>

namespace pimentofold {

namespace {

/// Targets that are divided among the same dispatchers.
struct TargetGroup {
    std::vector<TargetEntry> entries; ///< with the slots by which the flows are divided
    std::vector<int> slots; ///< of each target
    std::vector<std::size_t> positions; ///< of the entries in the list of all targets
    int servingSlots = 0; ///< of the targets that accept new flows
};

void append(TargetGroup &group, const TargetEntry &entry, int slots, std::size_t position)
{
    group.entries.push_back(entry);
    group.slots.push_back(slots);
    group.positions.push_back(position);
    group.servingSlots += entry.serving ? slots : 0;
}

/// Moves the groups of data centres without dispatchers of their own into one.
TargetGroup takeShared(std::map<std::string, TargetGroup, std::less<>> &groups, const DispatcherCandidates &candidates, int slotsPerDispatcher)
{
    TargetGroup shared;
    for (auto it = groups.begin(); it != groups.end();) {
        const auto found = candidates.byDataCentre.find(it->first);
        if (found != candidates.byDataCentre.end() && !found->second.empty() && it->second.servingSlots >= slotsPerDispatcher) {
            ++it;
            continue;
        }
        for (std::size_t i = 0; i < it->second.entries.size(); ++i) {
            append(shared, it->second.entries[i], it->second.slots[i], it->second.positions[i]);
        }
        it = groups.erase(it);
    }
    return shared;
}

DispatcherTable makeGroupTable(Id service, const TargetGroup &group, const std::vector<InstanceKey> &candidates, int slotsPerDispatcher)
{
    const int count = std::max((group.servingSlots + slotsPerDispatcher - 1) / slotsPerDispatcher, 1);
    return makeDispatcherTable(service, group.entries, candidates, count);
}

void recordOwners(const TargetGroup &group, const DispatcherTable &table, std::vector<Id> &owners)
{
    for (std::size_t i = 0; i < group.positions.size(); ++i) {
        owners[group.positions[i]] = table.dispatchers.empty() ? 0 : table.dispatchers[table.owners[i]].instance;
    }
}

/// Adds the dispatchers of @p other with the slots that they own there.
void appendDispatchers(DispatcherTable &table, const DispatcherTable &other)
{
    const std::int64_t before = table.cumulativeSlots.empty() ? 0 : table.cumulativeSlots.back();
    for (std::size_t i = 0; i < other.dispatchers.size(); ++i) {
        table.dispatchers.push_back(other.dispatchers[i]);
        table.cumulativeSlots.push_back(before + other.cumulativeSlots[i]);
    }
}

} // namespace

std::size_t candidateCount(std::size_t members, const std::function<std::int64_t(std::size_t position)> &startOf)
{
    constexpr Time minAgeDifference = 3 * second;
    constexpr std::size_t oldestShare = 8; // one eighth of the members, rounded up
    if (members == 0) {
        return 0;
    }
    const std::int64_t startedBefore = startOf(members - 1) - minAgeDifference;
    std::size_t first = 0;
    std::size_t last = members;
    while (first < last) {
        const std::size_t middle = first + (last - first) / 2;
        if (startOf(middle) < startedBefore) {
            first = middle + 1;
        } else {
            last = middle;
        }
    }
    return first > 0 ? first : (members + oldestShare - 1) / oldestShare;
}

std::vector<InstanceKey> dispatcherCandidates(const std::vector<InstanceKey> &members)
{
    std::vector<InstanceKey> byAge = members;
    std::ranges::sort(byAge, [](const InstanceKey &a, const InstanceKey &b) {
        return a.incarnation != b.incarnation ? a.incarnation < b.incarnation : a.instance < b.instance;
    });
    byAge.resize(candidateCount(byAge.size(), [&](std::size_t position) { return byAge[position].incarnation; }));
    return byAge;
}

void selectTable(ServiceDispatchers &dispatchers, std::string_view ownDataCentre, int sharedSlots)
{
    const auto own = dispatchers.byDataCentre.find(ownDataCentre);
    if (own != dispatchers.byDataCentre.end()) {
        dispatchers.table = own->second;
        return;
    }
    if (sharedSlots == 0 && !dispatchers.byDataCentre.empty()) {
        dispatchers.table = {};
    }
    for (const auto &[dataCentre, table] : dispatchers.byDataCentre) {
        appendDispatchers(dispatchers.table, table);
    }
}

ServiceDispatchers
divideTargets(Id service, std::span<const PlacedTarget> targets, const DispatcherCandidates &candidates, std::string_view ownDataCentre, int slotsPerDispatcher)
{
    std::map<std::string, TargetGroup, std::less<>> groups;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto it = groups.try_emplace(std::string(targets[i].dataCentre)).first;
        TargetEntry entry = targets[i].entry;
        entry.slots = targets[i].weightedSlots.value_or(entry.slots);
        append(it->second, entry, targets[i].entry.slots, i);
    }
    const TargetGroup shared = takeShared(groups, candidates, slotsPerDispatcher);
    ServiceDispatchers result;
    result.owners.resize(targets.size());
    result.table = makeGroupTable(service, shared, candidates.all, slotsPerDispatcher);
    recordOwners(shared, result.table, result.owners);
    for (const auto &[dataCentre, group] : groups) {
        const std::vector<InstanceKey> &members = candidates.byDataCentre.find(dataCentre)->second;
        const DispatcherTable &table = result.byDataCentre[dataCentre] = makeGroupTable(service, group, members, slotsPerDispatcher);
        recordOwners(group, table, result.owners);
    }
    selectTable(result, ownDataCentre, shared.servingSlots);
    return result;
}

} // namespace pimentofold
