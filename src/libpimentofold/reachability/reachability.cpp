#include <pimentofold/reachability/reachability.h>

#include <algorithm>
#include <utility>

#include <pimentofold/evacuation/evacuation.h>

namespace pimentofold {

namespace {

/// Interval at which routes are examined while a data centre is unreachable.
constexpr Time evaluationInterval = 100 * millisecond;
constexpr Time pruneInterval = second;
/// Routes beyond this number have no influence on the readiness.
constexpr std::size_t maxRoutes = 1'000;

/// What is left of a route's targets.
struct RouteTargets {
    bool usable = false; ///< a target that is neither evacuated nor unreachable
    bool unreachable = false; ///< a target that only its data centre's being unreachable excludes
};

void examineTarget(const TargetTable &table, std::uint64_t id, Time now, RouteTargets &result)
{
    const EdgeTarget *target = findTarget(table, id);
    if (target == nullptr || isEvacuated(table, *target) || !acceptsNewFlows(*target, now)) {
        return;
    }
    (isUnreachable(table.reachability, target->record.dataCentre) ? result.unreachable : result.usable) = true;
}

RouteTargets targetsOf(const TargetTable &table, const EdgeRoute &route, Time now)
{
    RouteTargets result;
    for (const WeightedService &service : route.weightedServices) {
        const auto ids = table.services.find(service.service);
        if (ids == table.services.end() || service.weight <= 0) {
            continue;
        }
        for (const std::uint64_t id : ids->second) {
            examineTarget(table, id, now, result);
            if (result.usable) {
                return result;
            }
        }
    }
    return result;
}

/// Marks the routes without a target.
/// @return whether there are routes with recent openings and none of them has a target
bool updateRoutes(TargetTable &table, Time now)
{
    bool anyUsable = false;
    for (auto &[service, it] : table.reachability.routes) {
        const EdgeRoute *route = findRoute(table, service);
        const RouteTargets targets = route == nullptr ? RouteTargets() : targetsOf(table, *route, now);
        it.stranded = !targets.usable && targets.unreachable;
        anyUsable = anyUsable || targets.usable;
    }
    return !anyUsable && std::ranges::any_of(table.reachability.routes, [](const auto &it) { return it.second.stranded; });
}

int strandedOpenings(const Reachability &state, Time now)
{
    int sum = 0;
    for (const auto &[service, it] : state.routes) {
        sum += it.stranded ? recentEvents(it.openings, now) : 0;
    }
    return sum;
}

int keptAnswers(const Reachability &state, Time now)
{
    int sum = 0;
    for (const auto &[name, it] : state.dataCentres) {
        sum += it.unreachableSince == never ? recentEvents(it.answers, now) : 0;
    }
    return sum;
}

void updateReadiness(TargetTable &table, Time now)
{
    Reachability &state = table.reachability;
    const bool stranded = state.unreachableCount > 0 && updateRoutes(table, now);
    if (!stranded) {
        state.notReadySince = never;
        return;
    }
    if (state.notReadySince != never) {
        return;
    }
    const int openings = strandedOpenings(state, now);
    const int answers = keptAnswers(state, now);
    if (openings >= answers) {
        state.notReadySince = now;
        state.openingsAtDecision = openings;
        state.answersAtDecision = answers;
    }
}

bool isInUse(const TargetTable &table, const std::string &dataCentre)
{
    return std::ranges::any_of(table.targets, [&](const auto &it) { return it.second.record.dataCentre == dataCentre; });
}

/// Forgets routes without recent openings and data centres without targets and nodes.
void prune(TargetTable &table, Time now)
{
    Reachability &state = table.reachability;
    if (state.notReadySince == never) {
        // A node that isn't ready gets no openings, so the routes that made it so stay.
        std::erase_if(state.routes, [&](const auto &it) { return now - it.second.lastAt > recentRouteTime; });
    }
    std::erase_if(state.dataCentres, [&](const auto &it) {
        const bool unused = it.second.nodes.empty() && !isInUse(table, it.first);
        if (unused && it.second.unreachableSince != never) {
            --state.unreachableCount;
            state.changed = true;
        }
        return unused;
    });
}

} // namespace

bool usesReachability(const EdgeSettings &settings)
{
    return settings.dataCentreCount > 1 && settings.evacuationBound > 0;
}

void enableReachability(TargetTable &table, bool enabled)
{
    Reachability &state = table.reachability;
    if (state.enabled == enabled) {
        return;
    }
    std::unordered_map<Id, OtherNode> nodes = std::move(state.otherNodes);
    const bool changed = state.unreachableCount > 0;
    state = {};
    state.enabled = enabled;
    state.changed = changed;
    setNodes(state, std::move(nodes));
}

bool isWithheld(const TargetTable &table, const EdgeTarget &target, Time now)
{
    const Reachability &state = table.reachability;
    if (state.unreachableCount == 0) {
        return false;
    }
    const auto it = state.dataCentres.find(target.record.dataCentre);
    return it != state.dataCentres.end() && it->second.unreachableSince != never && now < it->second.nextOpeningProbeAt;
}

bool hasOnlyUnreachableTargets(const TargetTable &table, const EdgeRoute &route, Time now)
{
    if (table.reachability.unreachableCount == 0) {
        return false;
    }
    const RouteTargets targets = targetsOf(table, route, now);
    return targets.unreachable && !targets.usable;
}

bool refusesUnreachable(const Reachability &state, Time now)
{
    return state.notReadySince == never || now - state.notReadySince >= silentTime;
}

void recordRouteOpening(Reachability &state, const Address &service, Time now)
{
    if (!state.enabled || (state.routes.size() >= maxRoutes && !state.routes.contains(service))) {
        return;
    }
    RouteOpenings &it = state.routes[service];
    if (it.lastAt == 0 && state.unreachableCount > 0) {
        state.nextEvaluationAt = now;
    }
    it.lastAt = now;
    addEvent(it.openings, now);
}

bool isStranded(const Reachability &state, const Address &service)
{
    if (state.unreachableCount == 0) {
        return false;
    }
    const auto it = state.routes.find(service);
    return it != state.routes.end() && it->second.stranded;
}

void recordRelay(Reachability &state, Id dispatcher, Time now)
{
    const auto it = state.otherNodes.find(dispatcher);
    if (it != state.otherNodes.end()) {
        recordAttempt(state, it->second.dataCentre, static_cast<std::uint64_t>(dispatcher), now);
    }
}

void recordOffer(TargetTable &table, const EdgeTarget &target, Time now)
{
    Reachability &state = table.reachability;
    recordAttempt(state, target.record.dataCentre, target.record.id, now);
    if (isUnreachable(state, target.record.dataCentre)) {
        state.dataCentres.find(target.record.dataCentre)->second.nextOpeningProbeAt = now + unreachableProbeInterval;
    }
}

void recordTargetAnswer(TargetTable &table, const EdgeTarget &target, Time now)
{
    Reachability &state = table.reachability;
    recordHeard(state, target.record.dataCentre, now);
    if (const auto it = state.dataCentres.find(target.record.dataCentre); it != state.dataCentres.end()) {
        addEvent(it->second.answers, now);
    }
}

bool tickReachability(TargetTable &table, Time now, std::vector<Id> &pings)
{
    Reachability &state = table.reachability;
    if (!state.enabled) {
        return std::exchange(state.changed, false);
    }
    updateEvidence(state, now, pings);
    if (now >= state.nextPruneAt) {
        state.nextPruneAt = now + pruneInterval;
        prune(table, now);
    }
    if (state.changed || now >= state.nextEvaluationAt) {
        updateReadiness(table, now);
        state.nextEvaluationAt = state.unreachableCount > 0 ? now + evaluationInterval : never;
    }
    return std::exchange(state.changed, false);
}

Time nextReachabilityTick(const Reachability &state)
{
    if (state.changed) {
        return 0;
    }
    return state.enabled ? std::min(nextEvidenceUpdate(state), state.nextEvaluationAt) : never;
}

bool isReadyForFlows(const Reachability &state)
{
    return state.notReadySince == never;
}

} // namespace pimentofold
