#include <pimentofold/targetchoice.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

namespace {

constexpr double shedFactor = 0.5; // only half, since a shed mostly means that other processes use a part of the slots
constexpr double lossFactor = 0.25;
constexpr double minSlotShare = 0.05; // a target without any share would get no requests and could not prove that it has recovered
constexpr double contradictionFactor = 0.5;
constexpr int minRunCount = 100; // with fewer run times, a single one would decide whether runs count as short
constexpr double runTimeGain = 0.02; // weight of a new run time in the moving average
constexpr double reportWeightGain = 0.1;
// Loads per slot that differ by less count as equal. The margin is half a request on a target of four slots. The imbalance
// of targets with two to four slots at 70% load is 1.05; a margin of 0.05 gave 1.10.
constexpr double equalLoadMargin = 0.125;
// The request to be placed counts as half a request of load, so that neither small nor large targets are preferred.
constexpr double placedRequestLoad = 0.5;

double decayed(double value, Time age, Time halfLife)
{
    return age <= 0 ? value : value * std::exp2(-static_cast<double>(age) / static_cast<double>(halfLife));
}

/// @param set const or non-const TargetSet
/// @return the target's state; nullptr when the set doesn't contain the target
template<typename Set>
auto find(Set &set, Id target) -> decltype(set.targets.data())
{
    const auto it = std::lower_bound(set.targets.begin(), set.targets.end(), target, [](const TargetLoad &load, Id id) { return load.id < id; });
    return it != set.targets.end() && it->id == target ? &*it : nullptr;
}

void updateHealthIgnored(TargetSet &set)
{
    const auto serving = std::count_if(set.targets.begin(), set.targets.end(), [](const TargetLoad &it) { return it.serving; });
    const auto unhealthy = std::count_if(set.targets.begin(), set.targets.end(), [](const TargetLoad &it) { return it.serving && !it.healthy; });
    set.healthIgnored = unhealthy * 2 > serving;
}

/// @return the slot share with its recovery up to now, 0 to 1
double currentSlotShare(const TargetSet &set, const TargetLoad &target, Time now)
{
    if (target.slotShare >= 1) {
        return 1;
    }
    const double recovered = static_cast<double>(now - target.slotShareAt) / static_cast<double>(set.settings.slotShareRecovery);
    return std::min(1.0, target.slotShare + recovered);
}

/// @return share of its slots that the target gets under slow start, from minSlowStart to 1
double slowStartFactor(const TargetSet &set, const TargetLoad &target, Time now)
{
    if (now >= target.slowStartUntil) {
        return 1;
    }
    const double elapsed = static_cast<double>(now - target.slowStartFrom) / static_cast<double>(target.slowStartUntil - target.slowStartFrom);
    return std::max(set.settings.minSlowStart, elapsed);
}

/// @return the slots of a target, scaled by slot share and slow start
double currentWeight(const TargetSet &set, const TargetLoad &target, Time now)
{
    return target.slots * currentSlotShare(set, target, now) * slowStartFactor(set, target, now);
}

void reduceSlotShare(const TargetSet &set, TargetLoad &target, double factor, Time now)
{
    target.slotShare = std::max(minSlotShare, currentSlotShare(set, target, now) * factor);
    target.slotShareAt = now;
}

void decayOpenFlows(const TargetSet &set, TargetLoad &target, Time now)
{
    target.openFlows = decayed(target.openFlows, now - target.openFlowsAt, set.settings.flowHalfLife);
    target.openFlowsAt = now;
}

TargetLoad makeJoiningTarget(const TargetSet &set, const TargetEntry &entry, bool isFirstView, Time now)
{
    TargetLoad target;
    target.id = entry.id;
    target.openFlowsAt = now;
    target.slotShareAt = now;
    target.reportedAt = now;
    target.slowStartFrom = now;
    target.slowStartUntil = isFirstView ? now : now + set.settings.slowStart;
    return target;
}

/// A report contradicts the observations of this process in two cases: the reported load is lower than the number of requests
/// that this process had on the target at all times since the last report, or all slots are reported in use by other
/// processes although the target completed requests of this process.
bool contradictsObservations(const TargetLoad &target, const TargetReport &report)
{
    const int reported = report.inUse + report.queued;
    const bool tooLow = reported < target.minInFlight;
    const bool tooHigh = report.inUse - target.inFlight >= target.slots && target.completedSinceReport > 0;
    return tooLow || tooHigh;
}

void applyWarmup(TargetLoad &target, Time warmup, Time now)
{
    if (warmup <= 0) {
        return;
    }
    if (target.slowStartUntil <= now) {
        target.slowStartFrom = now;
    }
    target.slowStartUntil = now + warmup;
}

/// @return the pipeline depth for the mean run time of the service
int currentPipelineDepth(const TargetSet &set)
{
    const bool isShort = set.runCount >= minRunCount && set.meanRunTime < static_cast<double>(set.settings.shortRunLimit);
    return isShort && set.settings.pipelineDepth > 0 ? set.settings.shortRunPipelineDepth : set.settings.pipelineDepth;
}

/// @return open flows and estimated requests per weight; the target with the lower score gets the flow
double flowScore(const TargetSet &set, const TargetLoad &target, Time now)
{
    const double flows = decayed(target.openFlows, now - target.openFlowsAt, set.settings.flowHalfLife);
    return (flows + estimatedLoad(set, target, now)) / currentWeight(set, target, now);
}

/// Draws one of the targets that accept new work by reservoir sampling, with a probability proportional to its weight.
/// @param excluded target that isn't drawn; may be nullptr
/// @return nullptr when there is no such target
const TargetLoad *drawForFlow(const TargetSet &set, const TargetLoad *excluded, Time now, Random &random)
{
    const TargetLoad *drawn = nullptr;
    double total = 0;
    for (const TargetLoad &it : set.targets) {
        if (&it == excluded || !acceptsNewWork(set, it, now)) {
            continue;
        }
        const double weight = currentWeight(set, it, now);
        total += weight;
        if (unit(random) * total < weight) {
            drawn = &it;
        }
    }
    return drawn;
}

/// Chooses the target with the lowest load per slot among those on which this process has fewer requests in flight than
/// usable slots. Ties are broken by reservoir sampling with the weights of the targets.
/// @param pipelined whether pipelined requests are allowed beyond the usable slots
/// @return std::nullopt when no target has capacity
std::optional<Id> chooseLeastLoaded(const TargetSet &set, bool pipelined, Time now, Random &random)
{
    const TargetLoad *best = nullptr;
    double bestLoad = 0;
    double total = 0;
    for (const TargetLoad &it : set.targets) {
        const int maxInFlight = usableSlots(set, it, now) + (pipelined ? pipelineSlots(set, it, now) : 0);
        if (!acceptsNewWork(set, it, now) || it.inFlight >= maxInFlight) {
            continue;
        }
        const double weight = currentWeight(set, it, now);
        const double load = (estimatedLoad(set, it, now) + placedRequestLoad) / weight;
        if (best == nullptr || load < bestLoad - equalLoadMargin) {
            best = &it;
            bestLoad = load;
            total = weight;
        } else if (load <= bestLoad + equalLoadMargin) {
            total += weight;
            best = unit(random) * total < weight ? &it : best;
            bestLoad = std::min(bestLoad, load);
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

} // namespace

void setTargets(TargetSet &set, std::span<const TargetEntry> entries, Time now)
{
    const bool isFirstView = set.targets.empty();
    for (TargetLoad &it : set.targets) {
        it.listed = false;
    }
    std::vector<TargetLoad> joined;
    for (const TargetEntry &it : entries) {
        TargetLoad *target = find(set, it.id);
        if (target == nullptr) {
            target = &joined.emplace_back(makeJoiningTarget(set, it, isFirstView, now));
        }
        target->listed = true;
        target->serving = it.serving;
        target->slots = std::max(1, it.slots);
    }
    set.targets.insert(set.targets.end(), joined.begin(), joined.end());
    std::erase_if(set.targets, [](const TargetLoad &it) { return !it.listed && it.inFlight == 0; });
    for (TargetLoad &it : set.targets) {
        it.serving = it.serving && it.listed;
    }
    std::sort(set.targets.begin(), set.targets.end(), [](const TargetLoad &a, const TargetLoad &b) { return a.id < b.id; });
    updateHealthIgnored(set);
    set.version += 1;
}

void setReachable(TargetSet &set, Id target, bool reachable, Time now)
{
    TargetLoad *it = find(set, target);
    if (it == nullptr) {
        return;
    }
    set.version += it->reachable != reachable ? 1 : 0;
    if (it->reachable && !reachable) {
        reduceSlotShare(set, *it, lossFactor, now);
    }
    it->reachable = reachable;
}

void reportStatus(TargetSet &set, Id target, const TargetReport &report, Time now)
{
    TargetLoad *it = find(set, target);
    if (it == nullptr) {
        return;
    }
    it->reportWeight = contradictsObservations(*it, report) ? it->reportWeight * contradictionFactor : std::min(1.0, it->reportWeight + reportWeightGain);
    it->healthy = report.healthy;
    it->draining = report.draining;
    it->othersLoad = std::clamp(report.inUse + report.queued - it->inFlight, 0, it->slots);
    it->reportedAt = now;
    it->minInFlight = it->inFlight;
    it->completedSinceReport = 0;
    applyWarmup(*it, report.warmup, now);
    set.version += 1;
    updateHealthIgnored(set);
}

void flowOpened(TargetSet &set, Id target, Time now)
{
    if (TargetLoad *it = find(set, target)) {
        decayOpenFlows(set, *it, now);
        it->openFlows += 1;
    }
}

void flowClosed(TargetSet &set, Id target, Time now)
{
    if (TargetLoad *it = find(set, target)) {
        decayOpenFlows(set, *it, now);
        it->openFlows = std::max(0.0, it->openFlows - 1);
    }
}

void requestStarted(TargetSet &set, Id target)
{
    if (TargetLoad *it = find(set, target)) {
        it->inFlight += 1;
        it->started += 1;
    }
}

void recordRunTime(TargetSet &set, Time run)
{
    set.runCount = std::min(set.runCount + 1, minRunCount);
    set.meanRunTime += std::max(runTimeGain, 1.0 / set.runCount) * (static_cast<double>(run) - set.meanRunTime);
}

void requestEnded(TargetSet &set, Id target, TargetOutcome outcome, Time now)
{
    TargetLoad *it = find(set, target);
    if (it == nullptr || it->inFlight == 0) {
        return;
    }
    set.version += outcome != TargetOutcome::Done || it->pausedUntil > 0 ? 1 : 0;
    const bool wasPipelined = it->inFlight > it->slots;
    it->inFlight -= 1;
    it->minInFlight = std::min(it->minInFlight, it->inFlight);
    switch (outcome) {
    case TargetOutcome::Done:
        it->completedSinceReport += 1;
        it->pausedUntil = 0;
        break;
    case TargetOutcome::Shed:
        reduceSlotShare(set, *it, shedFactor, now);
        it->pausedUntil = now + set.settings.shedPause;
        it->pipelineFrom = wasPipelined ? now + set.settings.pipelinePauseAfterShed : it->pipelineFrom;
        break;
    case TargetOutcome::Draining:
        it->draining = true;
        break;
    case TargetOutcome::Lost:
        reduceSlotShare(set, *it, lossFactor, now);
        break;
    case TargetOutcome::Cancelled:
        break;
    }
    if (!it->listed && it->inFlight == 0) {
        set.targets.erase(set.targets.begin() + (it - set.targets.data()));
    }
}

std::optional<Id> chooseForFlow(const TargetSet &set, Time now, Random &random)
{
    const TargetLoad *one = drawForFlow(set, nullptr, now, random);
    if (one == nullptr) {
        return std::nullopt;
    }
    const TargetLoad *other = drawForFlow(set, one, now, random);
    const bool keep = other == nullptr || flowScore(set, *one, now) <= flowScore(set, *other, now);
    return keep ? one->id : other->id;
}

std::optional<Id> chooseForRequest(const TargetSet &set, Time now, Random &random)
{
    const std::optional<Id> free = chooseLeastLoaded(set, false, now, random);
    return free || currentPipelineDepth(set) == 0 ? free : chooseLeastLoaded(set, true, now, random);
}

bool mayStartOn(const TargetSet &set, Id target)
{
    const TargetLoad *it = findTarget(set, target);
    return it != nullptr && it->reachable && it->inFlight < it->slots;
}

int pipelineSlots(const TargetSet &set, const TargetLoad &target, Time now)
{
    const bool undisturbed = currentSlotShare(set, target, now) >= 1 && now >= target.slowStartUntil && now >= target.pipelineFrom;
    return undisturbed ? currentPipelineDepth(set) : 0;
}

bool acceptsNewWork(const TargetSet &set, const TargetLoad &target, Time now)
{
    const bool healthy = target.healthy || set.healthIgnored;
    return target.serving && target.reachable && healthy && !target.draining && now >= target.pausedUntil;
}

int usableSlots(const TargetSet &set, const TargetLoad &target, Time now)
{
    const auto slots = static_cast<int>(std::lround(currentWeight(set, target, now)));
    return std::clamp(slots, 1, target.slots);
}

SlotTotals slotTotals(const TargetSet &set, Time now)
{
    SlotTotals totals;
    for (const TargetLoad &it : set.targets) {
        if (!it.reachable) {
            continue;
        }
        const bool newWork = it.serving && !it.draining;
        totals.usable += newWork ? usableSlots(set, it, now) : it.slots;
        totals.pipeline += acceptsNewWork(set, it, now) ? pipelineSlots(set, it, now) : 0;
        totals.reachable += it.slots + currentPipelineDepth(set);
    }
    return totals;
}

double estimatedLoad(const TargetSet &set, const TargetLoad &target, Time now)
{
    const auto own = static_cast<double>(target.inFlight);
    if (target.othersLoad == 0) {
        return own;
    }
    const double others = decayed(target.othersLoad, now - target.reportedAt, set.settings.reportHalfLife) * target.reportWeight;
    return std::max(own, std::min(own + others, static_cast<double>(target.slots)));
}

const TargetLoad *findTarget(const TargetSet &set, Id target)
{
    return find(set, target);
}

} // namespace pimentofold
