#include <pimentofold/slowstart/slowstart.h>

#include <algorithm>
#include <cmath>

#include <pimentofold/targetchoice.h>
#include <pimentofold/targettable.h>

namespace pimentofold {

namespace {

constexpr double ownerShare = 0.5; // two nodes may believe that they own the same target
/// A cold target counts as this part of a warm one when flows are divided among the dispatchers.
constexpr int coldWeightDivisor = 4;

/// @return the limits of the target's service; nullptr when its targets are used without limit
const ServiceLimits *limitsOf(const TargetTable &table, const EdgeTarget &target)
{
    if (!table.slowStart.settings.enabled) {
        return nullptr;
    }
    const auto it = table.slowStart.services.find(target.record.service);
    return it == table.slowStart.services.end() || it->second.coldTime <= 0 ? nullptr : &it->second;
}

/// @return end of the cold time that began with the end of an evacuation; 0 when there was none or an entry of the target is newer
Time coldUntilByEvacuation(const TargetTable &table, const EdgeTarget &target, const ServiceLimits &limits)
{
    const auto it = table.slowStart.dataCentres.find(target.record.dataCentre);
    const bool applies = it != table.slowStart.dataCentres.end() && target.record.revision <= it->second.revision;
    return applies ? it->second.since + limits.coldTime : 0;
}

/// @return whether the opening at @p openedAt counts at @p now
bool isInWindow(Time openedAt, Time now)
{
    return now - openedAt < coldWindow;
}

std::size_t countInWindow(const ColdBudget &budget, Time now)
{
    return static_cast<std::size_t>(std::ranges::count_if(budget.openings, [&](Time it) { return isInWindow(it, now); }));
}

/// @return whether one more opening stays below the rate that the target can take
bool isWithinRate(const ColdBudget &budget, double rate, std::size_t count, Time now)
{
    if (rate >= 1) {
        return static_cast<double>(count) + 1 <= rate;
    }
    return rate > 0 && (budget.lastOpeningAt == never || static_cast<double>(now - budget.lastOpeningAt) >= static_cast<double>(second) / rate);
}

/// @return whether the node may use the cold targets that it owns
bool mayUseColdTargets(const SlowStart &slowStart, Time now)
{
    const bool foundOthers = slowStart.members.size() > 1 || now - slowStart.startedAt >= aloneWaitTime;
    return slowStart.majority && foundOthers;
}

void updateMajority(SlowStart &slowStart, Time now)
{
    for (const Id it : slowStart.members) {
        slowStart.membersSeen[it] = now;
    }
    std::erase_if(slowStart.membersSeen, [&](const auto &it) { return now - it.second > memberMemory; });
    const bool majority = slowStart.members.size() * 2 > slowStart.membersSeen.size();
    if (majority && !slowStart.majority) {
        // Other nodes may have owned the targets in the meantime.
        for (auto &[id, budget] : slowStart.budgets) {
            budget.ownedSince = now;
        }
    }
    slowStart.majority = majority;
}

} // namespace

SlowStartSettings slowStartSettings(const EdgeSettings &settings)
{
    SlowStartSettings result;
    result.enabled = settings.coldOvershoot.has_value() || settings.coldSlack.has_value();
    result.overshoot = settings.coldOvershoot.value_or(result.overshoot);
    result.slack = settings.coldSlack.value_or(result.slack);
    result.entryAge = settings.targetHeartbeat;
    return result;
}

void applyServices(SlowStart &slowStart, const EdgeConfig &config)
{
    if (!config.services) {
        return;
    }
    std::map<std::string, ServiceLimits, std::less<>> services;
    for (const ServiceLimits &it : *config.services) {
        if (it.coldTime > 0) {
            services.insert_or_assign(it.name, it);
        }
    }
    for (const std::string &it : config.unreadableServices) {
        const auto previous = slowStart.services.find(it);
        if (previous != slowStart.services.end()) {
            services.insert_or_assign(it, previous->second);
        }
    }
    if (services != slowStart.services) {
        slowStart.services = std::move(services);
        slowStart.servicesRevision = config.revision;
    }
}

std::vector<ServiceLimits> servicesOf(const SlowStart &slowStart)
{
    std::vector<ServiceLimits> services;
    for (const auto &[name, limits] : slowStart.services) {
        services.push_back(limits);
    }
    return services;
}

void markDataCentreCold(TargetTable &table, std::string_view dataCentre, const StoreRevision &revision, Time now)
{
    const auto [it, added] = table.slowStart.dataCentres.try_emplace(std::string(dataCentre));
    if (added || revision > it->second.revision) {
        it->second = {revision, now};
    }
}

Time coldUntil(const TargetTable &table, const EdgeTarget &target)
{
    const ServiceLimits *limits = limitsOf(table, target);
    const Time byEntry = target.record.warmup > 0 ? target.warmupEndsAt + table.slowStart.settings.entryAge : 0;
    if (limits == nullptr) {
        // Before the configuration has arrived, each service may have limits.
        return table.slowStart.settings.enabled && table.configRevision == 0 ? byEntry : 0;
    }
    return std::max(byEntry, coldUntilByEvacuation(table, target, *limits));
}

Time coldTimeLeft(const TargetTable &table, const EdgeTarget &target, Time now)
{
    const ServiceLimits *limits = limitsOf(table, target);
    const Time byEvacuation = limits == nullptr ? 0 : coldUntilByEvacuation(table, target, *limits);
    // A target that is cold only for the possible age of its entry has to be cold at the receiver too.
    const Time shortest = isCold(table, target, now) ? 1 : 0;
    return std::max(std::max(target.warmupEndsAt, byEvacuation) - now, shortest);
}

bool isCold(const TargetTable &table, const EdgeTarget &target, Time now)
{
    const SlowStart &slowStart = table.slowStart;
    const bool byEntry = target.record.warmup > 0 && now < target.warmupEndsAt + slowStart.settings.entryAge;
    if (!slowStart.settings.enabled || (!byEntry && slowStart.dataCentres.empty())) {
        // Most calls end here: a placement asks for each target of the service.
        return false;
    }
    return now < coldUntil(table, target);
}

std::size_t countColdTargets(const TargetTable &table, Time now)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(table.targets, [&](const auto &it) { return it.second.registered && isCold(table, it.second, now); }));
}

std::size_t ownerLimit(const SlowStartSettings &settings, double coldRate)
{
    return static_cast<std::size_t>(std::floor((coldRate * settings.overshoot + settings.slack) * ownerShare));
}

ColdUse coldUseOf(const TargetTable &table, const EdgeTarget &target, Time now)
{
    if (!isCold(table, target, now)) {
        return ColdUse::Warm;
    }
    const SlowStart &slowStart = table.slowStart;
    const auto it = slowStart.budgets.find(target.record.id);
    const bool owned = target.owner == 0 && it != slowStart.budgets.end() && now - it->second.ownedSince >= coldWindow;
    const ServiceLimits *limits = limitsOf(table, target);
    if (limits == nullptr || !owned || !mayUseColdTargets(slowStart, now)) {
        return ColdUse::Excluded;
    }
    const double rate = limits->coldRate;
    const std::size_t count = countInWindow(it->second, now);
    if (count >= ownerLimit(slowStart.settings, rate)) {
        return ColdUse::Excluded;
    }
    return isWithinRate(it->second, rate, count, now) ? ColdUse::WithinRate : ColdUse::AboveRate;
}

void recordColdOpening(TargetTable &table, const EdgeTarget &target, Time now)
{
    if (!isCold(table, target, now)) {
        return;
    }
    ++table.slowStart.openings;
    const auto it = table.slowStart.budgets.find(target.record.id);
    if (it == table.slowStart.budgets.end()) {
        return;
    }
    std::erase_if(it->second.openings, [&](Time openedAt) { return !isInWindow(openedAt, now); });
    it->second.openings.push_back(now);
    it->second.lastOpeningAt = now;
}

void updateColdOwners(TargetTable &table, const MemberView &view, Time now)
{
    SlowStart &slowStart = table.slowStart;
    if (slowStart.startedAt == never) {
        slowStart.startedAt = now;
    }
    // The previous members have been seen until now.
    for (const Id it : slowStart.members) {
        slowStart.membersSeen[it] = now;
    }
    slowStart.members = view.members;
    updateMajority(slowStart, now);
    std::erase_if(slowStart.budgets, [&](const auto &it) {
        const EdgeTarget *target = findTarget(table, it.first);
        return target == nullptr || target->owner != 0 || limitsOf(table, *target) == nullptr;
    });
    if (view.leavesOutLiveNodes) {
        return;
    }
    for (const auto &[service, limits] : slowStart.services) {
        const auto ids = table.ownedTargets.find(service);
        if (!slowStart.settings.enabled || ids == table.ownedTargets.end()) {
            continue;
        }
        for (const std::uint64_t id : ids->second) {
            if (findTarget(table, id)->owner == 0) {
                slowStart.budgets.try_emplace(id, ColdBudget{now, never, {}});
            }
        }
    }
}

void tickSlowStart(TargetTable &table, Time now)
{
    SlowStart &slowStart = table.slowStart;
    updateMajority(slowStart, now);
    Time longest = 0;
    for (const auto &[name, limits] : slowStart.services) {
        longest = std::max(longest, limits.coldTime);
    }
    std::erase_if(slowStart.dataCentres, [&](const auto &it) { return now - it.second.since >= longest; });
}

void restartOwnership(TargetTable &table, Time now)
{
    for (auto &[id, budget] : table.slowStart.budgets) {
        budget.ownedSince = now;
    }
}

void weighColdTargets(const TargetTable &table, std::vector<TargetEntry> &entries, Time now)
{
    if (!table.slowStart.settings.enabled) {
        return;
    }
    std::vector<bool> cold;
    cold.reserve(entries.size());
    for (const TargetEntry &it : entries) {
        cold.push_back(isCold(table, *findTarget(table, static_cast<std::uint64_t>(it.id)), now));
    }
    if (std::ranges::find(cold, true) == cold.end()) {
        return;
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i].slots *= cold[i] ? 1 : coldWeightDivisor;
    }
}

} // namespace pimentofold
