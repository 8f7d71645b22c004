#include <pimentofold/edgeforward.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include <pimentofold/evacuation/evacuation.h>
#include <pimentofold/reachability/reachability.h>
#include <pimentofold/targetloss/targetloss.h>

namespace pimentofold {

namespace {

/// @return whether a member is avoided because it didn't answer, or can't be reached
bool anyLeftOut(const EdgeForwarder &forwarder, Time now)
{
    return forwarder.table.reachability.unreachableCount > 0
        || std::ranges::any_of(forwarder.dispatcherMisses, [&](const auto &it) { return it.second.avoidUntil > now; });
}

/// Also sets dispatcherRetryAt.
/// @return the members without those that are avoided or unreachable
std::vector<RankedNode> usableNodes(EdgeForwarder &forwarder, Time now)
{
    std::vector<RankedNode> usable;
    usable.reserve(forwarder.members.size());
    for (const InstanceKey &it : forwarder.members) {
        const auto missed = forwarder.dispatcherMisses.find(it.instance);
        if (missed != forwarder.dispatcherMisses.end() && missed->second.avoidUntil > now) {
            forwarder.dispatcherRetryAt = std::min(forwarder.dispatcherRetryAt, missed->second.avoidUntil);
            continue;
        }
        if (isUnreachableNode(forwarder.table.reachability, it.instance)) {
            continue;
        }
        const auto place = forwarder.memberDataCentres.find(it.instance);
        const bool hasPlace = forwarder.settings.localDispatch && place != forwarder.memberDataCentres.end();
        usable.push_back({it, hasPlace ? std::string_view(place->second) : std::string_view()});
    }
    return usable;
}

/// @return whether the members, or those that are left out, have changed
bool updateNodes(EdgeForwarder &forwarder, Time now)
{
    DispatcherInputs &inputs = forwarder.dispatcherInputs;
    const bool leftOut = anyLeftOut(forwarder, now);
    const bool changed = forwarder.members != inputs.members || std::exchange(forwarder.memberDataCentresChanged, false);
    forwarder.dispatcherRetryAt = never;
    if (!changed && !leftOut && !inputs.leavesOutNodes) {
        return false;
    }
    const std::vector<RankedNode> usable = usableNodes(forwarder, now);
    const bool leavesOutNodes = usable.size() < forwarder.members.size();
    const bool otherNodes = setRankedNodes(inputs.ranking, usable) || leavesOutNodes != inputs.leavesOutNodes;
    inputs.leavesOutNodes = leavesOutNodes;
    inputs.members = forwarder.members;
    return changed || otherNodes;
}

void updateTarget(EdgeForwarder &forwarder, const EdgeTarget &target, int weightedSlots, Time now)
{
    const TargetTable &table = forwarder.table;
    DispatcherInputs &inputs = forwarder.dispatcherInputs;
    const bool accepting = acceptsNewFlows(target, now) && !isEvacuated(table, target);
    setRankedTarget(inputs.ranking, target.record.service, {target.record.id, target.record.dataCentre, target.record.slots, weightedSlots, accepting});
    if (!target.registered && now - target.removedAt < expiredEntryGracePeriod) {
        inputs.expiring.insert(target.record.id);
    }
}

/// Takes over all targets of a service. A cold target changes the weights of the others too.
void updateService(EdgeForwarder &forwarder, const std::string &service, const std::vector<std::uint64_t> &ids, Time now)
{
    const TargetTable &table = forwarder.table;
    std::vector<TargetEntry> weighted;
    weighted.reserve(ids.size());
    bool cold = false;
    for (const std::uint64_t id : ids) {
        const EdgeTarget &target = *findTarget(table, id);
        weighted.push_back({static_cast<Id>(id), target.record.slots, true});
        cold = cold || isCold(table, target, now);
    }
    weighColdTargets(table, weighted, now);
    for (std::size_t i = 0; i < ids.size(); ++i) {
        updateTarget(forwarder, *findTarget(table, ids[i]), weighted[i].slots, now);
    }
    if (cold) {
        forwarder.dispatcherInputs.coldServices.insert(service);
    } else {
        forwarder.dispatcherInputs.coldServices.erase(service);
    }
}

/// @return whether something has changed on which all targets depend
bool updateCommonInputs(EdgeForwarder &forwarder)
{
    DispatcherInputs &inputs = forwarder.dispatcherInputs;
    const SlowStart &slowStart = forwarder.table.slowStart;
    const bool coldDataCentres = slowStart.settings.enabled && !slowStart.dataCentres.empty();
    const bool same = inputs.known && inputs.evacuated == forwarder.table.evacuations.dataCentres && inputs.slowStart == slowStart.settings.enabled
        && inputs.servicesRevision == slowStart.servicesRevision && !coldDataCentres && !inputs.coldDataCentres;
    inputs.known = true;
    inputs.evacuated = forwarder.table.evacuations.dataCentres;
    inputs.slowStart = slowStart.settings.enabled;
    inputs.servicesRevision = slowStart.servicesRevision;
    inputs.coldDataCentres = coldDataCentres;
    return !same;
}

/// Takes over the targets that have changed, and those whose state changes with time.
/// @return whether something has changed on which all targets depend
bool updateTargets(EdgeForwarder &forwarder, Time now)
{
    const TargetTable &table = forwarder.table;
    DispatcherInputs &inputs = forwarder.dispatcherInputs;
    std::unordered_set<std::uint64_t> changed = std::exchange(forwarder.table.changedTargets, {});
    changed.merge(std::exchange(inputs.expiring, {}));
    const bool all = updateCommonInputs(forwarder);
    std::set<std::string> services = inputs.coldServices;
    for (const std::uint64_t id : changed) {
        const EdgeTarget *target = findTarget(table, id);
        if (target == nullptr) {
            removeRankedTarget(inputs.ranking, id);
        } else if (isCold(table, *target, now)) {
            services.insert(target->record.service);
        } else {
            updateTarget(forwarder, *target, target->record.slots, now);
        }
    }
    if (all) {
        for (const auto &[service, ids] : table.services) {
            updateService(forwarder, service, ids, now);
        }
        return true;
    }
    for (const std::string &it : services) {
        const auto ids = table.services.find(it);
        if (ids == table.services.end()) {
            inputs.coldServices.erase(it);
        } else {
            updateService(forwarder, it, ids->second, now);
        }
    }
    return false;
}

/// @return ids of the targets of a service that this node owns in its data centre
std::vector<std::uint64_t> ownLocalTargets(const EdgeForwarder &forwarder, const std::string &service)
{
    std::vector<std::uint64_t> result;
    const auto owned = forwarder.table.ownedTargets.find(service);
    if (owned != forwarder.table.ownedTargets.end()) {
        std::ranges::copy_if(owned->second, std::back_inserter(result), [&](std::uint64_t id) {
            return findTarget(forwarder.table, id)->record.dataCentre == forwarder.dispatcher.settings.dataCentre;
        });
    }
    return result;
}

void applyChanges(EdgeForwarder &forwarder, const RankingChanges &changes)
{
    for (const OwnerChange &it : changes.owners) {
        if (EdgeTarget *target = findTarget(forwarder.table, it.target)) {
            setOwner(forwarder.table, *target, it.owner == forwarder.self.instance ? 0 : it.owner);
        }
    }
    const DispatcherRanking &ranking = forwarder.dispatcherInputs.ranking;
    for (const std::string &service : changes.services) {
        const auto ranked = ranking.services.find(service);
        if (ranked == ranking.services.end()) {
            forwarder.dispatchers.erase(service);
            continue;
        }
        ServiceDispatchers found = dispatchersOf(ranking, ranked->second, forwarder.dispatcher.settings.dataCentre);
        updateBalance(forwarder.balancing, service, found, ownLocalTargets(forwarder, service));
        forwarder.dispatchers[service] = std::move(found.table);
    }
    removeServicesWithoutTargets(forwarder.balancing, forwarder.dispatchers);
}

/// Forgets everything when a setting has changed on which the dispatchers depend.
void resetAfterSettings(EdgeForwarder &forwarder)
{
    DispatcherInputs &inputs = forwarder.dispatcherInputs;
    const std::string &dataCentre = forwarder.dispatcher.settings.dataCentre;
    if (inputs.known && inputs.self == forwarder.self.instance && inputs.dataCentre == dataCentre && inputs.localDispatch == forwarder.settings.localDispatch
        && inputs.ranking.slotsPerDispatcher == forwarder.settings.slotsPerDispatcher) {
        return;
    }
    inputs = {};
    inputs.self = forwarder.self.instance;
    inputs.dataCentre = dataCentre;
    inputs.localDispatch = forwarder.settings.localDispatch;
    inputs.ranking.slotsPerDispatcher = forwarder.settings.slotsPerDispatcher;
    forwarder.dispatchers.clear();
    forwarder.balancing.dataCentre = dataCentre;
    forwarder.balancing.self = forwarder.self.instance;
}

MemberView memberView(const EdgeForwarder &forwarder)
{
    MemberView view;
    view.leavesOutLiveNodes = forwarder.dispatcherInputs.leavesOutNodes;
    view.members.reserve(forwarder.members.size());
    for (const InstanceKey &it : forwarder.members) {
        view.members.push_back(it.instance);
    }
    return view;
}

/// Applies the idle timeout of the configuration to everything that depends on how long nodes remember flows.
void updateRetention(EdgeForwarder &forwarder)
{
    forwarder.flowRetention = flowRetention(forwarder.settings.retention, forwarder.table.idleTimeout);
    forwarder.locations.settings.retention = locationRetention(forwarder.settings.retention, forwarder.table.idleTimeout);
    HolderSettings &holders = forwarder.targetLoss.holders.settings;
    holders.minOwnership = forwarder.flowRetention;
    holders.memory = std::max<Time>(minute, 2 * forwarder.flowRetention);
}

} // namespace

void updateDispatchers(EdgeForwarder &forwarder, Time now)
{
    updateRetention(forwarder);
    resetAfterSettings(forwarder);
    const bool changesTargets = !forwarder.table.changedTargets.empty();
    const bool changesNodes = updateNodes(forwarder, now);
    const bool changesAll = updateTargets(forwarder, now);
    const RankingChanges changes = refreshRanking(forwarder.dispatcherInputs.ranking);
    applyChanges(forwarder, changes);
    if (changesNodes || changesTargets || changesAll || !changes.owners.empty()) {
        updateColdOwners(forwarder.table, memberView(forwarder), now);
    }
    updateOwnership(forwarder, now);
}

} // namespace pimentofold
