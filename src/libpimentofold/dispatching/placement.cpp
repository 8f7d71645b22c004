#include <pimentofold/placement.h>

#include <algorithm>
#include <limits>
#include <vector>

#include <pimentofold/evacuation/evacuation.h>
#include <pimentofold/outlier/outlier.h>
#include <pimentofold/reachability/reachability.h>

namespace pimentofold {

namespace {

/// Preference classes of targets, best first. A class is used only when all better ones are empty.
enum class Preference {
    Preferred,
    OwnedElsewhere, ///< another dispatcher places the target's flows, so this node doesn't know its load
    Suspected,
    Tried,
    Draining, ///< a draining target still accepts flows for a short time after the store took its entry
    Excluded,
};

/// @return whether the flow has been tried so often that a target in another data centre is preferred
bool prefersOtherDataCentre(const PlacementSettings &settings, const PlacementQuery &query)
{
    return settings.maxLocalAttempts > 0 && query.attempt > settings.maxLocalAttempts;
}

Preference preferenceOf(const EdgeTarget &target, const PlacementSettings &settings, const PlacementQuery &query, Time now)
{
    if (!acceptsNewFlows(target, now)) {
        const bool mayUse = target.registered && target.drainBeganAfter != never && now - target.drainBeganAfter < settings.drainingUseTime;
        return mayUse ? Preference::Draining : Preference::Excluded;
    }
    if (std::ranges::find(query.triedTargets, target.record.id) != query.triedTargets.end()) {
        return Preference::Tried;
    }
    if ((isSuspected(target, settings) && now < target.nextProbeAt) || isEjected(target, query.route.type, now)) {
        return Preference::Suspected;
    }
    return query.preferOwned && target.owner != 0 && !prefersOtherDataCentre(settings, query) ? Preference::OwnedElsewhere : Preference::Preferred;
}

double costOf(const EdgeTarget &target, const PlacementSettings &settings, const PlacementQuery &query, bool cold, Time now)
{
    const double slowdown = cold || now < target.warmupEndsAt ? 1 + settings.warmupSlowdown : 1;
    // Once a probe of a suspected target is due, its unanswered packets must not raise its cost, or it would not get the probe.
    const double unansweredPenalty = isSuspected(target, settings) ? 0 : settings.unansweredCost * target.unansweredOpenings;
    const bool isOther = target.record.dataCentre != query.dataCentre;
    const double distancePenalty = isOther == prefersOtherDataCentre(settings, query) ? 0 : settings.otherDataCentreCost;
    const double work = expectedWork(target, (target.workingFlows + target.idleLoad + 1) * slowdown, query.flowsPerSlot, now);
    return (work + unansweredPenalty + distancePenalty) / std::max(target.record.slots, 1);
}

/// @return whether a target of this class is expected to answer a new flow
bool isUsual(Preference preference)
{
    return preference <= Preference::OwnedElsewhere;
}

/// The best target found so far.
struct Candidate {
    EdgeTarget *target = nullptr;
    Preference preference = Preference::Excluded;
    double cost = std::numeric_limits<double>::max();
};

void considerTarget(Candidate &best, EdgeTarget &target, Preference preference, double cost)
{
    if (preference > best.preference) {
        return;
    }
    const bool better = preference < best.preference || cost < best.cost || (cost == best.cost && target.lastFlowAt < best.target->lastFlowAt);
    if (better) {
        best = {&target, preference, cost};
    }
}

/// The best targets of a list.
struct Candidates {
    Candidate best;
    Candidate bestCold; ///< used when no warm target has room
};

Candidates findCandidates(TargetTable &table, const std::vector<std::uint64_t> &ids, const PlacementSettings &settings, const PlacementQuery &query, Time now)
{
    Candidates found;
    for (const std::uint64_t id : ids) {
        EdgeTarget &target = *findTarget(table, id);
        if (isEvacuated(table, target) || isWithheld(table, target, now)) {
            continue;
        }
        const Preference preference = preferenceOf(target, settings, query, now);
        if (preference == Preference::Excluded) {
            continue;
        }
        const ColdUse use = coldUseOf(table, target, now);
        if (use == ColdUse::Excluded || (use != ColdUse::Warm && !hasRoom(target, query.flowsPerSlot))) {
            continue;
        }
        const double cost = costOf(target, settings, query, use != ColdUse::Warm, now);
        if (use != ColdUse::AboveRate) {
            considerTarget(found.best, target, preference, cost);
        }
        if (use != ColdUse::Warm) {
            considerTarget(found.bestCold, target, preference, cost);
        }
    }
    return found;
}

/// Looks at the targets that this node owns first. When one of them is preferred, no target of another owner is better: such a
/// target has a worse preference, and is excluded while it is cold.
Candidates findCandidates(TargetTable &table, const std::string &service, const PlacementSettings &settings, const PlacementQuery &query, Time now)
{
    const auto owned = table.ownedTargets.find(service);
    if (query.preferOwned && owned != table.ownedTargets.end() && !prefersOtherDataCentre(settings, query)) {
        const Candidates found = findCandidates(table, owned->second, settings, query, now);
        if (found.best.preference == Preference::Preferred) {
            return found;
        }
    }
    const auto ids = table.services.find(service);
    return ids == table.services.end() ? Candidates{} : findCandidates(table, ids->second, settings, query, now);
}

/// @return the preferred target of one service
Candidate chooseOfService(TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, const std::string &service, Time now)
{
    const auto [best, bestCold] = findCandidates(table, service, settings, query, now);
    if (best.target == nullptr || bestCold.target == nullptr) {
        return best.target == nullptr ? bestCold : best;
    }
    // A target that is suspected, has been tried before or is draining counts as one without room.
    const bool bestHasRoom = isUsual(best.preference) && hasRoom(*best.target, query.flowsPerSlot);
    return !bestHasRoom && isUsual(bestCold.preference) ? bestCold : best;
}

/// @param services never empty
const std::string &drawService(std::span<const WeightedService> services, Random &random)
{
    double sum = 0;
    for (const WeightedService &it : services) {
        sum += it.weight;
    }
    double draw = unit(random) * sum;
    for (const WeightedService &it : services) {
        draw -= it.weight;
        if (draw < 0) {
            return it.service;
        }
    }
    return services.back().service;
}

/// Draws services by weight until one has a target with room.
/// @return that target, or else the best one of the drawn services
EdgeTarget *chooseWithOverflow(TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, Time now, Random &random)
{
    std::vector<WeightedService> left = query.route.weightedServices;
    std::erase_if(left, [](const WeightedService &it) { return it.weight <= 0; });
    Candidate best;
    while (!left.empty()) {
        const std::string service = drawService(left, random);
        std::erase_if(left, [&](const WeightedService &it) { return it.service == service; });
        const Candidate found = chooseOfService(table, settings, query, service, now);
        if (found.target != nullptr && isUsual(found.preference) && hasRoom(*found.target, query.flowsPerSlot)) {
            return found.target;
        }
        if (found.target != nullptr && found.preference < best.preference) {
            best = found;
        }
    }
    return best.target;
}

} // namespace

EdgeTarget *choosePlacementTarget(TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, Time now, Random &random)
{
    if (query.overflow) {
        return chooseWithOverflow(table, settings, query, now, random);
    }
    return chooseOfService(table, settings, query, drawService(query.route.weightedServices, random), now).target;
}

bool isHeldBackByColdLimit(const TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, Time now)
{
    if (!table.slowStart.settings.enabled) {
        return false;
    }
    for (const WeightedService &service : query.route.weightedServices) {
        const auto ids = table.services.find(service.service);
        if (ids == table.services.end() || service.weight <= 0) {
            continue;
        }
        const auto isHeldBack = [&](std::uint64_t id) {
            const EdgeTarget &target = *findTarget(table, id);
            return isCold(table, target, now) && !isEvacuated(table, target) && !isWithheld(table, target, now)
                && preferenceOf(target, settings, query, now) != Preference::Excluded;
        };
        if (std::ranges::any_of(ids->second, isHeldBack)) {
            return true;
        }
    }
    return false;
}

bool hasRoom(const EdgeTarget &target, double flowsPerSlot)
{
    return target.workingFlows < target.record.slots * flowsPerSlot + 1;
}

void recordUnanswered(EdgeTarget &target, const PlacementSettings &settings, Time now)
{
    ++target.unansweredOpenings;
    constexpr int maxDoublings = 6;
    const int doublings = std::clamp(target.unansweredOpenings - settings.suspectThreshold, 0, maxDoublings);
    target.nextProbeAt = now + std::min(settings.maxProbeInterval, settings.minProbeInterval << doublings);
}

void recordAnswer(EdgeTarget &target, Time now)
{
    target.unansweredOpenings = 0;
    target.lastAnswerAt = now;
}

bool isSuspected(const EdgeTarget &target, const PlacementSettings &settings)
{
    return target.lostSince != never || target.unansweredOpenings >= settings.suspectThreshold;
}

} // namespace pimentofold
