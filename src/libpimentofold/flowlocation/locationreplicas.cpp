#include <pimentofold/flowlocation/locationreplicas.h>

#include <algorithm>
#include <unordered_map>

namespace pimentofold {

namespace {

// With at most 20,000 locations a node that stops has passed all of them on within the time that it still runs.
constexpr std::size_t maxReportsPerStep = 100;
constexpr std::size_t maxChecksPerStep = 400;
constexpr Time stepInterval = 10 * millisecond;

using Holders = std::array<InstanceKey, locationHolderCount>;

/// The members by id.
struct MemberIndex {
    std::vector<Id> ids;
    std::unordered_map<Id, InstanceKey> keys;
};

MemberIndex indexOf(const LocationMembers &members)
{
    MemberIndex index;
    index.ids.reserve(members.live.size());
    for (const InstanceKey &it : members.live) {
        if (!members.leaving || it.instance != members.self) {
            index.ids.push_back(it.instance);
            index.keys[it.instance] = it;
        }
    }
    return index;
}

Holders holdersIn(const MemberIndex &index, const FlowKey &flow)
{
    constexpr Id nobody = 0;
    Holders holders{};
    const std::vector<Id> ids = locationHolders(index.ids, nobody, flow, locationHolderCount);
    for (std::size_t n = 0; n < ids.size(); ++n) {
        holders.at(n) = index.keys.at(ids[n]);
    }
    return holders;
}

} // namespace

std::array<InstanceKey, locationHolderCount> replicaHolders(const LocationMembers &members, const FlowKey &flow)
{
    return holdersIn(indexOf(members), flow);
}

void scheduleReplication(FlowLocations &locations, Time dueAt)
{
    locations.unchecked.clear();
    for (const auto &[flow, stored] : locations.stored) {
        if (stored.replicated) {
            locations.unchecked.push_back(flow);
        }
    }
    locations.replicationDueAt = locations.unchecked.empty() ? never : dueAt;
}

std::vector<LocationReport> nextReplicas(FlowLocations &locations, const LocationMembers &members, Time now)
{
    std::vector<LocationReport> reports;
    if (now < locations.replicationDueAt) {
        return reports;
    }
    const MemberIndex index = indexOf(members);
    for (std::size_t n = 0; n < maxChecksPerStep && reports.size() < maxReportsPerStep && !locations.unchecked.empty(); ++n) {
        const FlowKey flow = locations.unchecked.back();
        locations.unchecked.pop_back();
        const auto it = locations.stored.find(flow);
        if (it == locations.stored.end() || !it->second.replicated || now - it->second.openedAt >= locations.settings.retention) {
            continue;
        }
        const Holders holders = holdersIn(index, flow);
        for (const InstanceKey &holder : holders) {
            const bool hasIt = std::ranges::find(it->second.holders, holder) != it->second.holders.end();
            if (holder.instance != 0 && holder.instance != members.self && !hasIt) {
                reports.push_back({holder.instance, flow, it->second.location, now - it->second.openedAt});
            }
        }
        it->second.holders = holders;
    }
    locations.passedOn += static_cast<std::int64_t>(reports.size());
    locations.replicationDueAt = locations.unchecked.empty() ? never : now + stepInterval;
    return reports;
}

} // namespace pimentofold
