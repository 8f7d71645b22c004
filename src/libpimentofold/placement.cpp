#include <pimentofold/placement.h>

#include <algorithm>
#include <limits>

namespace pimentofold {

namespace {

/// Order of preference; a later group is used only when the earlier ones are empty.
enum class Group {
    Preferred,
    Foreign, ///< owned by another dispatcher, which counts its flows
    Suspected,
    Tried,
    Leaving, ///< a draining target still accepts flows for a while after its entry changed
    None,
};

/// A leaving target may be used as a last resort for this long after this node learned that it leaves, which is well
/// within the drain bounds of every installation.
constexpr Time leavingUse = second;

Group groupOf(const EdgeTarget &target, const PlacementSettings &settings, const PlacementQuery &query, Time now)
{
    if (!acceptsNewFlows(target, now)) {
        const bool mayUse = target.registered && target.drainingSince != never && now - target.drainingSince < leavingUse;
        return mayUse ? Group::Leaving : Group::None;
    }
    if (std::ranges::find(query.triedTargets, target.record.id) != query.triedTargets.end()) {
        return Group::Tried;
    }
    if (isSuspected(target, settings) && now < target.nextProbeAt) {
        return Group::Suspected;
    }
    return query.preferOwned && !target.owned ? Group::Foreign : Group::Preferred;
}

double costOf(const EdgeTarget &target, const PlacementSettings &settings, std::string_view dataCentre, Time now)
{
    const double factor = now < target.warmupEndsAt ? 1 + settings.warmupSlowdown : 1;
    // A target on trial isn't kept from it by its unanswered packets.
    const double doubt = isSuspected(target, settings) ? 0 : settings.unansweredCost * target.unansweredOpenings;
    const double distance = target.record.dataCentre == dataCentre ? 0 : settings.otherDataCentreCost;
    return ((target.openFlows + 1) * factor + doubt + distance) / std::max(target.record.slots, 1);
}

const std::string &drawService(const EdgeRoute &route, Random &random)
{
    double sum = 0;
    for (const WeightedService &it : route.weightedServices) {
        sum += it.weight;
    }
    double draw = unit(random) * sum;
    for (const WeightedService &it : route.weightedServices) {
        draw -= it.weight;
        if (draw < 0) {
            return it.service;
        }
    }
    return route.weightedServices.back().service;
}

} // namespace

EdgeTarget *choosePlacementTarget(TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, Time now, Random &random)
{
    const auto ids = table.services.find(drawService(query.route, random));
    if (ids == table.services.end()) {
        return nullptr;
    }
    EdgeTarget *best = nullptr;
    Group bestGroup = Group::None;
    double bestCost = std::numeric_limits<double>::max();
    for (const std::uint64_t id : ids->second) {
        EdgeTarget &target = *findTarget(table, id);
        const Group group = groupOf(target, settings, query, now);
        if (group == Group::None || group > bestGroup) {
            continue;
        }
        const double cost = costOf(target, settings, query.dataCentre, now);
        const bool better = group < bestGroup || cost < bestCost || (cost == bestCost && target.lastFlowAt < best->lastFlowAt);
        if (better) {
            best = &target;
            bestGroup = group;
            bestCost = cost;
        }
    }
    return best;
}

void recordUnanswered(EdgeTarget &target, const PlacementSettings &settings, Time now)
{
    ++target.unansweredOpenings;
    constexpr int mostDoublings = 6;
    const int doublings = std::clamp(target.unansweredOpenings - settings.suspectThreshold, 0, mostDoublings);
    target.nextProbeAt = now + std::min(settings.maxProbeInterval, settings.minProbeInterval << doublings);
}

void recordAnswer(EdgeTarget &target, Time now)
{
    target.unansweredOpenings = 0;
    target.lastAnswerAt = now;
}

bool isSuspected(const EdgeTarget &target, const PlacementSettings &settings)
{
    return target.unansweredOpenings >= settings.suspectThreshold;
}

} // namespace pimentofold
