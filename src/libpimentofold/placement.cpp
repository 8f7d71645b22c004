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
    if (!takesNewFlows(target, now)) {
        const bool mayUse = target.listed && target.drainingAt != never && now - target.drainingAt < leavingUse;
        return mayUse ? Group::Leaving : Group::None;
    }
    if (std::ranges::find(query.tried, target.record.id) != query.tried.end()) {
        return Group::Tried;
    }
    if (isSuspected(target, settings) && now < target.trialAt) {
        return Group::Suspected;
    }
    return query.ownTargets && !target.owned ? Group::Foreign : Group::Preferred;
}

double costOf(const EdgeTarget &target, const PlacementSettings &settings, std::string_view dataCentre, Time now)
{
    const double factor = now < target.warmUntil ? 1 + settings.coldCost : 1;
    // A target on trial isn't kept from it by its unanswered packets.
    const double doubt = isSuspected(target, settings) ? 0 : settings.unansweredCost * target.unanswered;
    const double distance = target.record.dataCentre == dataCentre ? 0 : settings.otherDataCentreCost;
    return ((target.flows + 1) * factor + doubt + distance) / std::max(target.record.slots, 1);
}

const std::string &drawService(const EdgeRoute &route, Random &random)
{
    double sum = 0;
    for (const RouteShare &it : route.shares) {
        sum += it.weight;
    }
    double draw = unit(random) * sum;
    for (const RouteShare &it : route.shares) {
        draw -= it.weight;
        if (draw < 0) {
            return it.service;
        }
    }
    return route.shares.back().service;
}

} // namespace

EdgeTarget *choosePlacement(TargetTable &table, const PlacementSettings &settings, const PlacementQuery &query, Time now, Random &random)
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
        const bool better = group < bestGroup || cost < bestCost || (cost == bestCost && target.usedAt < best->usedAt);
        if (better) {
            best = &target;
            bestGroup = group;
            bestCost = cost;
        }
    }
    return best;
}

void noteUnanswered(EdgeTarget &target, const PlacementSettings &settings, Time now)
{
    ++target.unanswered;
    constexpr int mostDoublings = 6;
    const int doublings = std::clamp(target.unanswered - settings.suspectedAfter, 0, mostDoublings);
    target.trialAt = now + std::min(settings.mostTrialWait, settings.leastTrialWait << doublings);
}

void noteAnswered(EdgeTarget &target, Time now)
{
    target.unanswered = 0;
    target.answeredAt = now;
}

bool isSuspected(const EdgeTarget &target, const PlacementSettings &settings)
{
    return target.unanswered >= settings.suspectedAfter;
}

} // namespace pimentofold
