#include <pimentofold/targettable.h>

#include <algorithm>
#include <unordered_set>

namespace pimentofold {

namespace {

std::uint64_t routeKey(const Address &address)
{
    return static_cast<std::uint64_t>(address.ip) << 16 | address.port;
}

void removeToken(TargetTable &table, const EdgeTarget &target)
{
    const auto [begin, end] = table.tokens.equal_range(target.token);
    const auto it = std::find_if(begin, end, [&](const auto &entry) { return entry.second == target.record.id; });
    if (it != end) {
        table.tokens.erase(it);
    }
}

using ServiceTargets = std::map<std::string, std::vector<std::uint64_t>, std::less<>>;

void removeId(ServiceTargets &services, const EdgeTarget &target)
{
    const auto it = services.find(target.record.service);
    if (it == services.end()) {
        return;
    }
    const auto position = std::ranges::lower_bound(it->second, target.record.id);
    if (position != it->second.end() && *position == target.record.id) {
        it->second.erase(position);
    }
    if (it->second.empty()) {
        services.erase(it);
    }
}

void addId(ServiceTargets &services, const EdgeTarget &target)
{
    std::vector<std::uint64_t> &ids = services[target.record.service];
    const auto position = std::ranges::lower_bound(ids, target.record.id);
    if (position == ids.end() || *position != target.record.id) {
        ids.insert(position, target.record.id);
    }
}

void removeFromService(TargetTable &table, const EdgeTarget &target)
{
    removeId(table.services, target);
    removeId(table.ownedTargets, target);
}

void addToService(TargetTable &table, const EdgeTarget &target)
{
    addId(table.services, target);
    if (target.owner == 0) {
        addId(table.ownedTargets, target);
    }
}

/// Observations of an earlier incarnation don't apply to the new process.
void resetObservations(EdgeTarget &target)
{
    EdgeTarget fresh;
    fresh.record = target.record;
    fresh.token = target.token;
    fresh.owner = target.owner;
    target = fresh;
}

void updateRecord(EdgeTarget &target, const TargetRecord &record, Time now)
{
    const bool sameIncarnation = target.record.startedAt == record.startedAt && target.record.address == record.address;
    target.record = record;
    target.otherService.clear();
    if (!sameIncarnation) {
        resetObservations(target);
        target.incarnationSeenAt = now;
    } else if (!target.registered) {
        // The target has written its entry again, so it is alive.
        target.lastProgressAt = now;
    }
    target.registered = true;
    target.warmupEndsAt = now + record.warmup;
    if (record.state == TargetState::Draining) {
        const bool isNew = target.drainingSince == never;
        target.drainingSince = std::min(target.drainingSince, now);
        target.drainBeganAfter = isNew && record.drainingFor ? now - *record.drainingFor : target.drainBeganAfter;
    } else {
        target.drainingSince = never;
        target.drainBeganAfter = never;
    }
}

/// @return whether a target whose service isn't confirmed has renewed an entry with another service
bool renewsOtherService(const EdgeTarget &target, const TargetRecord &record)
{
    const bool rises = record.sequence == 0 || record.sequence > target.otherSequence;
    return !target.serviceConfirmed && record.startedAt == target.record.startedAt && record.service == target.otherService && rises;
}

/// Entries from other nodes have no sequence; the node that reads the store has checked them.
bool confirmsService(const EdgeTarget &target, const TargetRecord &record)
{
    const bool rises = record.sequence == 0 || record.sequence > target.record.sequence;
    return record.startedAt == target.record.startedAt && record.service == target.record.service && rises;
}

/// Adds or replaces a route. An unchanged route keeps its revision, so that it isn't sent to peers again.
void storeRoute(TargetTable &table, const EdgeRoute &route, const StoreRevision &revision)
{
    RouteEntry &entry = table.routes[routeKey(route.address)];
    if (entry.revision != 0 && !entry.removed && entry.route == route) {
        return;
    }
    entry = {route, revision, false};
}

// A peer that is further behind gets the whole configuration.
constexpr std::size_t maxConfigHistory = 64;

/// Records the version in force. A version with unreadable routes is left out: which of them stay in force differs from node to node.
void recordConfigHistory(TargetTable &table, const EdgeConfig &config)
{
    if (!table.configHistory.empty() && config.revision < table.configHistory.back()) {
        // A node that has started from the store's older copy hears of the lost version. Its routes have revisions of the earlier era,
        // below that of the copy.
        table.configHistory.clear();
    }
    if (!config.unreadableRoutes.empty()) {
        return;
    }
    table.configHistory.push_back(config.revision);
    if (table.configHistory.size() <= maxConfigHistory) {
        return;
    }
    table.configHistory.pop_front();
    std::erase_if(table.routes, [&](const auto &it) { return it.second.removed && it.second.revision <= table.configHistory.front(); });
}

void updateConfigHeader(TargetTable &table, const EdgeConfig &config)
{
    recordConfigHistory(table, config);
    table.configRevision = config.revision;
    table.configVersion = config.version;
    table.idleTimeout = config.idleTimeout;
    applyServices(table.slowStart, config);
}

/// @return whether a configuration contains the route in a form that can't be decoded
bool isUnreadable(const EdgeConfig &config, const EdgeRoute &route)
{
    const auto names = [&](const std::string &it) { return it == route.name || it == toString(route.address); };
    return !config.unreadableRoutes.empty() && std::ranges::any_of(config.unreadableRoutes, names);
}

/// @return whether @p record is the known entry, given out again by a later era of the store
bool isSameEntry(const EdgeTarget &target, const TargetRecord &record)
{
    if (!target.registered || target.record.revision.era == record.revision.era) {
        return false;
    }
    TargetRecord known = target.record;
    known.revision = record.revision;
    known.drainingFor = record.drainingFor;
    return known == record;
}

bool hasService(const EdgeRoute &route, const std::string &service)
{
    return std::ranges::any_of(route.weightedServices, [&](const WeightedService &it) { return it.service == service; });
}

} // namespace

void addFirstRoutes(TargetTable &table, const std::vector<EdgeRoute> &routes)
{
    if (table.configRevision != 0) {
        return;
    }
    for (const EdgeRoute &it : routes) {
        storeRoute(table, it, 0);
    }
}

void dropFirstRoutes(TargetTable &table)
{
    if (table.configRevision == 0) {
        table.routes.clear();
    }
}

bool isNewerConfig(const TargetTable &table, const StoreRevision &revision, std::int64_t version)
{
    if (revision.era == table.configRevision.era || table.configRevision == 0) {
        return revision > table.configRevision;
    }
    return version > table.configVersion || (version == table.configVersion && revision > table.configRevision);
}

bool applyConfig(TargetTable &table, const EdgeConfig &config)
{
    if (!isNewerConfig(table, config.revision, config.version)) {
        return false;
    }
    std::unordered_set<std::uint64_t> present;
    for (const EdgeRoute &it : config.routes) {
        present.insert(routeKey(it.address));
        storeRoute(table, it, config.revision);
    }
    for (auto &[key, entry] : table.routes) {
        if (!entry.removed && !present.contains(key) && !isUnreadable(config, entry.route)) {
            entry.removed = true;
            entry.revision = config.revision;
        }
    }
    updateConfigHeader(table, config);
    return true;
}

bool applyConfigChange(TargetTable &table, const StoreRevision &base, const EdgeConfig &change, const std::vector<Address> &removed)
{
    if (!isNewerConfig(table, change.revision, change.version) || base != table.configRevision) {
        return false;
    }
    for (const EdgeRoute &it : change.routes) {
        storeRoute(table, it, change.revision);
    }
    for (const Address &it : removed) {
        const auto entry = table.routes.find(routeKey(it));
        if (entry != table.routes.end() && !entry->second.removed) {
            entry->second.removed = true;
            entry->second.revision = change.revision;
        }
    }
    updateConfigHeader(table, change);
    return true;
}

bool isInConfigHistory(const TargetTable &table, const StoreRevision &revision)
{
    return std::ranges::find(table.configHistory, revision) != table.configHistory.end();
}

void recordTargetGap(TargetTable &table, const StoreRevision &from, const StoreRevision &to)
{
    if (to <= from) {
        return;
    }
    TargetGap &gap = table.targetGap;
    if (from >= gap.to) {
        table.targetHistoryStart = std::max(table.targetHistoryStart, gap.to);
        gap = {from, to};
    } else {
        gap = {std::min(gap.from, from), std::max(gap.to, to)};
    }
}

std::vector<std::uint64_t>
finishTargetList(TargetTable &table, const std::set<std::uint64_t> &listed, const StoreRevision &known, const StoreRevision &revision, Time now)
{
    std::vector<std::uint64_t> missing;
    for (const auto &[id, target] : table.targets) {
        if (target.registered && !listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::uint64_t id : missing) {
        removeTarget(table, id, revision, now);
    }
    if (table.targetHistoryStart > 0) {
        recordTargetGap(table, known, revision);
    }
    setTargetHistoryStart(table, revision);
    return missing;
}

void setTargetHistoryStart(TargetTable &table, const StoreRevision &revision)
{
    if (table.targetHistoryStart == 0) {
        table.targetHistoryStart = revision;
    }
}

bool contradictsService(const TargetTable &table, const TargetRecord &record)
{
    const EdgeTarget *target = findTarget(table, record.id);
    return target != nullptr && record.startedAt <= target->record.startedAt && target->record.service != record.service
        && !renewsOtherService(*target, record);
}

bool isOlderCopy(const TargetTable &table, const TargetRecord &record)
{
    const EdgeTarget *target = findTarget(table, record.id);
    if (target == nullptr || record.revision.era <= target->record.revision.era) {
        return false;
    }
    const TargetRecord &known = target->record;
    if (record.startedAt != known.startedAt) {
        return record.startedAt < known.startedAt;
    }
    // A target doesn't become ready again in the same start.
    const bool wasReady = known.state == TargetState::Draining && record.state == TargetState::Ready;
    return record.sequence < known.sequence || (record.sequence == known.sequence && wasReady);
}

bool applyTarget(TargetTable &table, const TargetRecord &record, Time now)
{
    const auto [it, added] = table.targets.try_emplace(record.id);
    EdgeTarget &target = it->second;
    if (added) {
        target.record = record;
        target.token = tokenOf(record.id);
        target.incarnationSeenAt = now;
        table.tokens.emplace(target.token, record.id);
        addToService(table, target);
        table.changedTargets.insert(record.id);
        updateRecord(target, record, now);
        return true;
    }
    if (record.revision <= std::max(target.record.revision, target.removedRevision) || isSameEntry(target, record)) {
        return false;
    }
    table.changedTargets.insert(record.id);
    if (contradictsService(table, record)) {
        target.otherService = record.startedAt == target.record.startedAt ? record.service : "";
        target.otherSequence = record.sequence;
        target.removedAt = target.registered ? now : target.removedAt;
        target.registered = false;
        target.removedRevision = record.revision;
        return true;
    }
    if (target.record.service != record.service) {
        const bool renewed = renewsOtherService(target, record);
        removeFromService(table, target);
        updateRecord(target, record, now);
        addToService(table, target);
        target.serviceConfirmed = renewed;
        return true;
    }
    const bool confirmed = confirmsService(target, record);
    updateRecord(target, record, now);
    target.serviceConfirmed = target.serviceConfirmed || confirmed;
    return true;
}

bool removeTarget(TargetTable &table, std::uint64_t id, const StoreRevision &revision, Time now)
{
    EdgeTarget *target = findTarget(table, id);
    if (target == nullptr || revision < target->record.revision) {
        return false;
    }
    if (!target->registered) {
        // It was there again meanwhile, without this node's knowledge. A peer may know it still.
        target->removedRevision = std::max(target->removedRevision, revision);
        return false;
    }
    table.changedTargets.insert(id);
    target->registered = false;
    target->removedAt = now;
    target->removedRevision = revision;
    return true;
}

void setOwner(TargetTable &table, EdgeTarget &target, Id owner)
{
    if (target.owner == owner) {
        return;
    }
    target.owner = owner;
    if (owner == 0) {
        addId(table.ownedTargets, target);
    } else {
        removeId(table.ownedTargets, target);
    }
}

void purgeRemovedTargets(TargetTable &table, Time now)
{
    std::erase_if(table.targets, [&](const auto &entry) {
        const EdgeTarget &target = entry.second;
        if (target.registered || target.openFlows > 0 || now - target.removedAt < removedTargetRetention) {
            return false;
        }
        table.targetHistoryStart = std::max(table.targetHistoryStart, target.removedRevision);
        removeToken(table, target);
        removeFromService(table, target);
        table.changedTargets.insert(target.record.id);
        return true;
    });
}

const EdgeRoute *findRoute(const TargetTable &table, const Address &address)
{
    const auto it = table.routes.find(routeKey(address));
    return it == table.routes.end() || it->second.removed ? nullptr : &it->second.route;
}

EdgeTarget *findTarget(TargetTable &table, std::uint64_t id)
{
    const auto it = table.targets.find(id);
    return it == table.targets.end() ? nullptr : &it->second;
}

const EdgeTarget *findTarget(const TargetTable &table, std::uint64_t id)
{
    const auto it = table.targets.find(id);
    return it == table.targets.end() ? nullptr : &it->second;
}

EdgeTarget *findTargetByToken(TargetTable &table, FlowToken token, const EdgeRoute *route)
{
    EdgeTarget *found = nullptr;
    const auto [begin, end] = table.tokens.equal_range(token);
    for (auto it = begin; it != end; ++it) {
        EdgeTarget *target = findTarget(table, it->second);
        if (target != nullptr && (found == nullptr || (route != nullptr && hasService(*route, target->record.service)))) {
            found = target;
        }
    }
    return found;
}

FlowCounts countFlows(const TargetTable &table)
{
    FlowCounts counts;
    for (const auto &[id, target] : table.targets) {
        counts.working += target.workingFlows;
        counts.idle += target.openFlows - target.workingFlows;
    }
    return counts;
}

FlowToken tokenOf(std::uint64_t id)
{
    const auto token = static_cast<FlowToken>(mix(id, 0));
    return token == 0 ? 1 : token;
}

bool acceptsNewFlows(const EdgeTarget &target, Time now)
{
    if (!target.registered) {
        return target.drainingSince == never && target.lastAnswerAt > target.removedAt - second && now - target.removedAt < expiredEntryGracePeriod;
    }
    return target.record.state == TargetState::Ready;
}

} // namespace pimentofold
