#include <pimentofold/replication/storereplication.h>

#include <algorithm>
#include <array>
#include <set>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 3> healthNames{"unknown", "answering", "failing"};

std::set<std::uint64_t> idsOf(const std::vector<TargetRecord> &targets)
{
    std::set<std::uint64_t> ids;
    for (const TargetRecord &it : targets) {
        ids.insert(it.id);
    }
    return ids;
}

bool applyTargets(StoreReplication &replication, TargetTable &table, const StoreChanges &changes, Time now)
{
    if (changes.known.targets <= replication.known.targets) {
        return true;
    }
    const bool complete = changes.base.targets == 0;
    const StoreRevision before = replication.known.targets;
    if (!complete && (changes.hasTargetGap ? changes.base.targets != before : changes.base.targets > before)) {
        return false;
    }
    const bool removesUnknown = std::ranges::any_of(changes.removedTargets, [&](const TargetRemoval &it) { return findTarget(table, it.id) == nullptr; });
    if (!complete && (changes.hasTargetGap || removesUnknown)) {
        recordTargetGap(table, before, changes.known.targets);
    }
    for (const TargetRecord &it : changes.targets) {
        if (!isOlderCopy(table, it)) {
            applyTarget(table, it, now);
        }
    }
    for (const TargetRemoval &it : changes.removedTargets) {
        removeTarget(table, it.id, it.revision, now);
    }
    if (complete) {
        finishTargetList(table, idsOf(changes.targets), before, changes.known.targets, now);
    }
    replication.known.targets = changes.known.targets;
    return true;
}

bool applyRoutes(StoreReplication &replication, TargetTable &table, const StoreChanges &changes)
{
    if (changes.known.config <= replication.known.config) {
        return true;
    }
    const bool newer = isNewerConfig(table, changes.config.revision, changes.config.version);
    if (newer && changes.configBase == 0) {
        applyConfig(table, changes.config);
    } else if (newer && !applyConfigChange(table, changes.configBase, changes.config, changes.removedRoutes)) {
        return false;
    }
    replication.known.config = changes.known.config;
    return true;
}

Time totalRankDelay(const ReplicationSettings &settings, int rank)
{
    const int lateDelays = std::clamp(rank - settings.maxRankDelays, 0, settings.maxLateRankDelays);
    return settings.rankDelay * std::min(rank, settings.maxRankDelays) + settings.lateRankDelay * lateDelays;
}

} // namespace

std::string_view name(StoreHealth health)
{
    return healthNames.at(static_cast<std::size_t>(health));
}

std::int64_t eraOf(const KnownRevisions &known)
{
    return std::max({known.config.era, known.targets.era, known.evacuations.era});
}

std::uint64_t leaderOrder(Id node)
{
    constexpr std::uint64_t salt = 0x666f6c6c6f77; // gives an order that is independent of other rankings of the nodes
    return mix(salt, static_cast<std::uint64_t>(node));
}

Time firstStartDelay(const ReplicationSettings &settings, std::optional<std::size_t> seedPosition, Random &random)
{
    if (seedPosition) {
        return settings.startupPeerWait + settings.seedDelay * static_cast<Time>(*seedPosition);
    }
    return settings.firstStartWait + static_cast<Time>(unit(random) * static_cast<double>(settings.firstStartJitter));
}

bool shouldLead(const StoreReplication &replication, int rank, Time now)
{
    if (now < replication.leaderBackoffUntil) {
        return false;
    }
    bool healthyLeader = false;
    std::size_t failingLeadersBefore = 0;
    for (const auto &[id, it] : replication.otherLeaders) {
        if (now - it.heartbeatReceivedAt > replication.settings.heartbeatTimeout) {
            continue;
        }
        const bool precedes = leaderOrder(id) < leaderOrder(replication.self);
        if (it.healthy && (precedes || replication.storeHealth == StoreHealth::Failing)) {
            return false;
        }
        healthyLeader = healthyLeader || it.healthy;
        failingLeadersBefore += !it.healthy && precedes ? 1 : 0;
    }
    if (replication.leading) {
        return true;
    }
    if (healthyLeader || failingLeadersBefore >= replication.settings.maxFailingLeaders) {
        return false;
    }
    if (replication.confirmedAt == 0) {
        return now - replication.startedAt >= replication.settings.startupPeerWait;
    }
    if (now - replication.confirmedAt >= replication.settings.heartbeatTimeout + totalRankDelay(replication.settings, rank)) {
        return true;
    }
    const int position = std::max(rank - static_cast<int>(failingLeadersBefore), 0);
    return replication.failureReportedAt != never && now - replication.failureReportedAt >= replication.settings.rankDelay * position;
}

void updateStoreHealth(StoreReplication &replication, StoreHealth health, Time now)
{
    if (replication.storeHealth == StoreHealth::Answering && health != StoreHealth::Answering) {
        replication.noAnswerSince = now;
    }
    replication.storeHealth = health;
    if (!replication.leading) {
        return;
    }
    if (health == StoreHealth::Answering) {
        replication.confirmedAt = now;
    } else if (now - replication.noAnswerSince >= replication.settings.leaderFailureLimit) {
        replication.leaderBackoffUntil = now + replication.settings.leaderBackoff;
    }
}

bool handleHeartbeat(StoreReplication &replication, const StoreHeartbeat &heartbeat, Time now)
{
    if (eraOf(heartbeat.known) < eraOf(replication.known)) {
        return false;
    }
    std::erase_if(replication.otherLeaders, [&](const auto &it) { return now - it.second.heartbeatReceivedAt > replication.settings.leaderExpiry; });
    replication.otherLeaders[heartbeat.sender] = {heartbeat.healthy, now};
    replication.failureReportedAt = heartbeat.healthy ? never : std::min(replication.failureReportedAt, now);
    replication.announced.config = std::max(replication.announced.config, heartbeat.known.config);
    replication.announced.targets = std::max(replication.announced.targets, heartbeat.known.targets);
    const bool missing = heartbeat.known.config > replication.known.config || heartbeat.known.targets > replication.known.targets;
    if (!missing && heartbeat.healthy) {
        replication.confirmedAt = std::max(replication.confirmedAt, now - heartbeat.age);
    }
    return missing;
}

bool isBehind(const StoreReplication &replication)
{
    return replication.announced.config > replication.known.config || replication.announced.targets > replication.known.targets;
}

void startLeading(StoreReplication &replication, Time now)
{
    replication.leading = true;
    replication.storeHealth = StoreHealth::Unknown;
    replication.noAnswerSince = now;
    replication.heartbeatSentKnown = replication.known;
}

bool isAheadOf(const StoreReplication &replication, const KnownRevisions &peer)
{
    return replication.known.config > peer.config || replication.known.targets > peer.targets || replication.known.evacuations > peer.evacuations;
}

bool isHeartbeatDue(const StoreReplication &replication, Time now)
{
    return replication.leading && replication.storeHealth != StoreHealth::Unknown
        && (now - replication.heartbeatSentAt >= replication.settings.heartbeatInterval || replication.known != replication.heartbeatSentKnown);
}

StoreChanges changesSince(const TargetTable &table, const KnownRevisions &base, const StoreRevision &configBase, const KnownRevisions &known, Time now)
{
    StoreChanges changes;
    changes.base = base;
    changes.known = known;
    changes.configBase = isInConfigHistory(table, configBase) ? configBase : StoreRevision();
    const TargetGap &gap = table.targetGap;
    const bool isInGap = base.targets > gap.from && base.targets < gap.to;
    if (base.targets < table.targetHistoryStart || isInGap) {
        changes.base.targets = 0;
    }
    changes.hasTargetGap = changes.base.targets > 0 && changes.base.targets < gap.to;
    changes.config.revision = table.configRevision;
    changes.config.version = table.configVersion;
    changes.config.idleTimeout = table.idleTimeout;
    if (changes.configBase == 0 || table.slowStart.servicesRevision > changes.configBase) {
        changes.config.services = servicesOf(table.slowStart);
    }
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
            changes.targets.back().warmup = coldTimeLeft(table, target, now);
            changes.targets.back().drainingFor = target.drainBeganAfter == never ? std::nullopt : std::optional(now - target.drainBeganAfter);
        } else if (!target.registered && target.removedRevision > changes.base.targets && changes.base.targets > 0) {
            changes.removedTargets.push_back({id, target.removedRevision});
        }
    }
    return changes;
}

bool applyChanges(StoreReplication &replication, TargetTable &table, const StoreChanges &changes, Time now)
{
    const bool targets = applyTargets(replication, table, changes, now);
    const bool routes = applyRoutes(replication, table, changes);
    return targets && routes;
}

} // namespace pimentofold
