#include <pimentofold/targetchoice.h>

#include <algorithm>
#include <numeric>

namespace pimentofold {

namespace {

constexpr double shrinkBelow = 0.6;

std::uint64_t rank(Id thing, const InstanceKey &member)
{
    // The incarnation is left out, so that a restarted member keeps its rank.
    return mix(static_cast<std::uint64_t>(thing), static_cast<std::uint64_t>(member.instance));
}

} // namespace

std::vector<InstanceKey> rankForService(Id service, std::span<const InstanceKey> members)
{
    std::vector<InstanceKey> ranked(members.begin(), members.end());
    std::sort(ranked.begin(), ranked.end(), [service](const InstanceKey &a, const InstanceKey &b) {
        const std::uint64_t rankA = rank(service, a);
        const std::uint64_t rankB = rank(service, b);
        return rankA != rankB ? rankA > rankB : a.instance < b.instance;
    });
    return ranked;
}

int dispatcherCount(double rate, int current, int members, int targets)
{
    int count = std::max(1, current);
    const int most = std::max(1, std::min(members, targets));
    while (count < most && rate > count * requestsPerDispatcher) {
        count *= 2;
    }
    while (count > 1 && rate < shrinkBelow * 0.5 * count * requestsPerDispatcher) {
        count /= 2;
    }
    return std::min(count, most);
}

std::optional<InstanceKey> ownerOfTarget(Id target, std::span<const InstanceKey> dispatchers)
{
    const auto it = std::max_element(
        dispatchers.begin(), dispatchers.end(), [target](const InstanceKey &a, const InstanceKey &b) { return rank(target, a) < rank(target, b); });
    return it == dispatchers.end() ? std::nullopt : std::optional(*it);
}

DispatcherTable makeDispatcherTable(Id service, std::span<const TargetEntry> targets, std::span<const InstanceKey> members, int count)
{
    DispatcherTable table;
    table.dispatchers = rankForService(service, members);
    table.dispatchers.resize(std::min(table.dispatchers.size(), static_cast<std::size_t>(std::max(1, count))));
    table.cumulativeSlots.resize(table.dispatchers.size());
    for (const TargetEntry &it : targets) {
        const auto owner = std::find(table.dispatchers.begin(), table.dispatchers.end(), ownerOfTarget(it.id, table.dispatchers));
        if (it.serving && owner != table.dispatchers.end()) {
            table.cumulativeSlots[static_cast<std::size_t>(owner - table.dispatchers.begin())] += it.slots;
        }
    }
    std::partial_sum(table.cumulativeSlots.begin(), table.cumulativeSlots.end(), table.cumulativeSlots.begin());
    return table;
}

std::vector<TargetEntry> ownedTargets(const DispatcherTable &table, std::span<const TargetEntry> targets, const InstanceKey &self)
{
    std::vector<TargetEntry> owned;
    for (const TargetEntry &it : targets) {
        if (ownerOfTarget(it.id, table.dispatchers) == self) {
            owned.push_back(it);
        }
    }
    return owned;
}

std::optional<InstanceKey> dispatcherFor(const DispatcherTable &table, std::uint64_t requestHash)
{
    if (table.dispatchers.empty()) {
        return std::nullopt;
    }
    const std::int64_t slots = table.cumulativeSlots.back();
    if (slots == 0) {
        return table.dispatchers.front();
    }
    const auto drawn = static_cast<std::int64_t>(requestHash % static_cast<std::uint64_t>(slots));
    const auto it = std::upper_bound(table.cumulativeSlots.begin(), table.cumulativeSlots.end(), drawn);
    return table.dispatchers[static_cast<std::size_t>(it - table.cumulativeSlots.begin())];
}

} // namespace pimentofold
