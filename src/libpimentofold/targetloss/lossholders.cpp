#include <pimentofold/targetloss/lossholders.h>

#include <map>

namespace pimentofold {

namespace {

/// @return the known holders; nullptr when there may be others
const TargetHolders *holdersOf(const FlowHolders &holders, const LostTarget &lost, const std::unordered_map<std::uint64_t, Time> &ownedSince, Time now)
{
    static const TargetHolders none;
    const auto owned = ownedSince.find(lost.target);
    if (owned == ownedSince.end() || now - owned->second < holders.settings.minOwnership) {
        return nullptr;
    }
    const auto found = holders.targets.find(lost.target);
    if (found == holders.targets.end()) {
        return &none;
    }
    const Time overflowedAt = found->second.overflowedAt;
    return overflowedAt != never && now - overflowedAt < holders.settings.memory ? nullptr : &found->second;
}

} // namespace

void recordHolder(FlowHolders &holders, std::uint64_t target, Id node, Time now)
{
    TargetHolders &known = holders.targets[target];
    if (known.reportedAt.size() >= holders.settings.maxNodes && !known.reportedAt.contains(node)) {
        std::erase_if(known.reportedAt, [&](const auto &it) { return now - it.second >= holders.settings.memory; });
        if (known.reportedAt.size() >= holders.settings.maxNodes) {
            known.overflowedAt = now;
            return;
        }
    }
    known.reportedAt[node] = now;
}

void removeHolders(FlowHolders &holders, const std::unordered_map<std::uint64_t, Time> &ownedSince)
{
    std::erase_if(holders.targets, [&](const auto &it) { return !ownedSince.contains(it.first); });
}

VerdictRecipients recipientsOf(
    const FlowHolders &holders, std::span<const LostTarget> verdicts, const std::unordered_map<std::uint64_t, Time> &ownedSince, std::size_t nodes, Time now)
{
    VerdictRecipients result;
    std::map<Id, std::vector<LostTarget>> byNode;
    for (const LostTarget &lost : verdicts) {
        const TargetHolders *known = holdersOf(holders, lost, ownedSince, now);
        if (known == nullptr) {
            result.all.push_back(lost);
            continue;
        }
        for (const auto &[node, reportedAt] : known->reportedAt) {
            if (now - reportedAt < holders.settings.memory) {
                byNode[node].push_back(lost);
            }
        }
    }
    if (byNode.size() + 1 >= nodes) {
        result.all.assign(verdicts.begin(), verdicts.end());
        return result;
    }
    for (auto &[node, lost] : byNode) {
        result.messages.push_back({node, std::move(lost)});
    }
    return result;
}

} // namespace pimentofold
