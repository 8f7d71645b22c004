#include <pimentofold/storereplication.h>

#include <algorithm>
#include <array>
#include <unordered_set>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 3> contactNames{"unknown", "answering", "failing"};

/// Removes what a complete list doesn't hold.
void removeMissing(TargetTable &table, const StoreChanges &changes, Time now)
{
    std::unordered_set<std::uint64_t> present;
    for (const TargetRecord &it : changes.targets) {
        present.insert(it.id);
    }
    std::vector<std::uint64_t> missing;
    for (const auto &[id, target] : table.targets) {
        if (target.registered && !present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::uint64_t id : missing) {
        removeTarget(table, id, changes.known.targets, now);
    }
}

bool applyTargets(StoreShare &share, TargetTable &table, const StoreChanges &changes, Time now)
{
    if (changes.known.targets <= share.known.targets) {
        return true;
    }
    if (changes.base.targets > share.known.targets) {
        return false;
    }
    for (const TargetRecord &it : changes.targets) {
        applyTarget(table, it, now);
    }
    for (const TargetRemoval &it : changes.removedTargets) {
        removeTarget(table, it.id, it.revision, now);
    }
    if (changes.base.targets == 0) {
        removeMissing(table, changes, now);
        setTargetHistoryStart(table, changes.known.targets);
    }
    share.known.targets = changes.known.targets;
    return true;
}

bool applyRoutes(StoreShare &share, TargetTable &table, const StoreChanges &changes)
{
    if (changes.known.config <= share.known.config) {
        return true;
    }
    const bool newer = changes.config.revision > table.configRevision;
    if (newer && changes.configBase == 0) {
        applyConfig(table, changes.config);
    } else if (newer && !applyConfigChange(table, changes.configBase, changes.config, changes.removedRoutes)) {
        return false;
    }
    share.known.config = changes.known.config;
    return true;
}

Time rankWait(const ShareSettings &settings, int rank)
{
    const int lateSteps = std::clamp(rank - settings.mostRankSteps, 0, settings.mostLateRankSteps);
    return settings.rankStep * std::min(rank, settings.mostRankSteps) + settings.lateRankStep * lateSteps;
}

} // namespace

std::string_view name(StoreContact contact)
{
    return contactNames.at(static_cast<std::size_t>(contact));
}

std::uint64_t followRank(Id node)
{
    constexpr std::uint64_t purpose = 0x666f6c6c6f77; // keeps this order apart from those for other uses
    return mix(purpose, static_cast<std::uint64_t>(node));
}

Time firstCallWait(const ShareSettings &settings, std::optional<std::size_t> seedPosition, Random &random)
{
    if (seedPosition) {
        return settings.startWait + settings.seedStep * static_cast<Time>(*seedPosition);
    }
    return settings.firstStartWait + static_cast<Time>(unit(random) * static_cast<double>(settings.firstStartSpread));
}

bool shouldFollow(const StoreShare &share, int rank, Time now)
{
    if (now < share.restUntil) {
        return false;
    }
    bool healthyFollower = false;
    std::size_t unhealthyBefore = 0;
    for (const auto &[id, it] : share.followers) {
        if (now - it.heardAt > share.settings.silenceLimit) {
            continue;
        }
        const bool goesFirst = followRank(id) < followRank(share.self);
        if (it.healthy && (goesFirst || share.contact == StoreContact::Failing)) {
            return false;
        }
        healthyFollower = healthyFollower || it.healthy;
        unhealthyBefore += !it.healthy && goesFirst ? 1 : 0;
    }
    if (share.following) {
        return true;
    }
    if (healthyFollower || unhealthyBefore >= share.settings.mostUnhealthy) {
        return false;
    }
    if (share.confirmedAt == 0) {
        return now - share.startedAt >= share.settings.startWait;
    }
    if (now - share.confirmedAt >= share.settings.silenceLimit + rankWait(share.settings, rank)) {
        return true;
    }
    const int position = std::max(rank - static_cast<int>(unhealthyBefore), 0);
    return share.troubleAt != never && now - share.troubleAt >= share.settings.rankStep * position;
}

void noteContact(StoreShare &share, StoreContact contact, Time now)
{
    if (share.contact == StoreContact::Answering && contact != StoreContact::Answering) {
        share.failingSince = now;
    }
    share.contact = contact;
    if (!share.following) {
        return;
    }
    if (contact == StoreContact::Answering) {
        share.confirmedAt = now;
    } else if (now - share.failingSince >= share.settings.unhealthyLimit) {
        share.restUntil = now + share.settings.restTime;
    }
}

bool takeBeat(StoreShare &share, const StoreBeat &beat, Time now)
{
    std::erase_if(share.followers, [&](const auto &it) { return now - it.second.heardAt > share.settings.beatMemory; });
    share.followers[beat.sender] = {beat.healthy, now};
    share.troubleAt = beat.healthy ? never : std::min(share.troubleAt, now);
    share.heard.config = std::max(share.heard.config, beat.known.config);
    share.heard.targets = std::max(share.heard.targets, beat.known.targets);
    const bool missing = beat.known.config > share.known.config || beat.known.targets > share.known.targets;
    if (!missing && beat.healthy) {
        share.confirmedAt = std::max(share.confirmedAt, now - beat.age);
    }
    return missing;
}

bool isBehind(const StoreShare &share)
{
    return share.heard.config > share.known.config || share.heard.targets > share.known.targets;
}

void startFollowing(StoreShare &share, Time now)
{
    share.following = true;
    share.contact = StoreContact::Unknown;
    share.failingSince = now;
    share.beatKnown = share.known;
}

bool knowsMore(const StoreShare &share, const KnownRevisions &peer)
{
    return share.known.config > peer.config || share.known.targets > peer.targets;
}

bool isBeatDue(const StoreShare &share, Time now)
{
    return share.following && share.contact != StoreContact::Unknown && (now - share.beatAt >= share.settings.beatInterval || share.known != share.beatKnown);
}

StoreChanges changesSince(const TargetTable &table, const KnownRevisions &base, std::int64_t configBase, const KnownRevisions &known, Time now)
{
    StoreChanges changes;
    changes.base = base;
    changes.known = known;
    changes.configBase = configBase < table.configHistoryStart ? 0 : configBase;
    if (base.targets < table.targetHistoryStart) {
        changes.base.targets = 0;
    }
    changes.config.revision = table.configRevision;
    changes.config.version = table.configVersion;
    changes.config.idleTimeout = table.idleTimeout;
    for (const auto &[key, entry] : table.routes) {
        if (entry.revision <= changes.configBase) {
            continue;
        }
        if (!entry.removed) {
            changes.config.routes.push_back(entry.route);
        } else if (changes.configBase > 0) {
            changes.removedRoutes.push_back(entry.route.address);
        }
    }
    for (const auto &[id, target] : table.targets) {
        if (target.registered && target.record.revision > changes.base.targets) {
            changes.targets.push_back(target.record);
            changes.targets.back().warmup = std::max<Time>(target.warmupEndsAt - now, 0);
        } else if (!target.registered && target.removedRevision > changes.base.targets && changes.base.targets > 0) {
            changes.removedTargets.push_back({id, target.removedRevision});
        }
    }
    return changes;
}

bool applyChanges(StoreShare &share, TargetTable &table, const StoreChanges &changes, Time now)
{
    const bool targets = applyTargets(share, table, changes, now);
    const bool routes = applyRoutes(share, table, changes);
    return targets && routes;
}

} // namespace pimentofold
