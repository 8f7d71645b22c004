#include <pimentofold/targetchoice.h>

#include <algorithm>
#include <numeric>

namespace pimentofold {

namespace {

constexpr double shrinkUtilisation = 0.6; // of half of the dispatchers; see dispatcherCount()

/// @return index of the dispatcher that owns the target; 0 when there is none
std::size_t ownerIndex(Id target, std::span<const InstanceKey> dispatchers)
{
    std::size_t best = 0;
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < dispatchers.size(); ++i) {
        const std::uint64_t it = rendezvousRank(target, dispatchers[i]);
        if (i == 0 || it > bestRank) {
            best = i;
            bestRank = it;
        }
    }
    return best;
}

} // namespace

std::uint64_t rendezvousRank(Id key, const InstanceKey &member)
{
    return mix(static_cast<std::uint64_t>(key), static_cast<std::uint64_t>(member.instance));
}

std::vector<InstanceKey> rankForService(Id service, std::span<const InstanceKey> members)
{
    struct RankedMember {
        std::uint64_t rank = 0;
        InstanceKey key;
    };
    std::vector<RankedMember> byRank;
    byRank.reserve(members.size());
    for (const InstanceKey &it : members) {
        byRank.push_back({rendezvousRank(service, it), it});
    }
    std::ranges::sort(byRank,
                      [](const RankedMember &a, const RankedMember &b) { return a.rank != b.rank ? a.rank > b.rank : a.key.instance < b.key.instance; });
    std::vector<InstanceKey> ranked;
    ranked.reserve(byRank.size());
    for (const RankedMember &it : byRank) {
        ranked.push_back(it.key);
    }
    return ranked;
}

int dispatcherCount(double rate, int current, int members, int targets)
{
    int count = std::max(1, current);
    const int maxCount = std::max(1, std::min(members, targets));
    while (count < maxCount && rate > count * requestsPerDispatcher) {
        count *= 2;
    }
    while (count > 1 && rate < shrinkUtilisation * 0.5 * count * requestsPerDispatcher) {
        count /= 2;
    }
    return std::min(count, maxCount);
}

std::optional<InstanceKey> ownerOfTarget(Id target, std::span<const InstanceKey> dispatchers)
{
    return dispatchers.empty() ? std::nullopt : std::optional(dispatchers[ownerIndex(target, dispatchers)]);
}

DispatcherTable makeDispatcherTable(Id service, std::span<const TargetEntry> targets, std::span<const InstanceKey> members, int count)
{
    DispatcherTable table;
    table.dispatchers = rankForService(service, members);
    table.dispatchers.resize(std::min(table.dispatchers.size(), static_cast<std::size_t>(std::max(1, count))));
    table.cumulativeSlots.resize(table.dispatchers.size());
    table.owners.reserve(targets.size());
    for (const TargetEntry &it : targets) {
        const std::size_t owner = ownerIndex(it.id, table.dispatchers);
        table.owners.push_back(owner);
        if (it.serving && owner < table.dispatchers.size()) {
            table.cumulativeSlots[owner] += it.slots;
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
    const auto slot = static_cast<std::int64_t>(requestHash % static_cast<std::uint64_t>(slots));
    const auto it = std::upper_bound(table.cumulativeSlots.begin(), table.cumulativeSlots.end(), slot);
    return table.dispatchers[static_cast<std::size_t>(it - table.cumulativeSlots.begin())];
}

} // namespace pimentofold
