#include <pimentofold/targetchoice.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

namespace {

constexpr double shedCut = 0.5; // half, since a shed mostly means that others use a part of the slots
constexpr double lossCut = 0.25;
constexpr double leastShare = 0.05; // a target at share 0 would never show that it has recovered
constexpr double contradictionCut = 0.5;
constexpr int runsNeeded = 100; // before that a single run would decide whether runs are short
constexpr double runGain = 0.02;
constexpr double trustGain = 0.1;
// Loads per slot that differ by less count as equal: half a request on a target of four slots. With 0.05 the
// imbalance of targets with two to four slots at 70% load was 1.10, with this it is 1.05.
constexpr double equalLoad = 0.125;
// Half of the request to be placed counts as load, so that neither small nor large targets are preferred.
constexpr double placedHalf = 0.5;

double halved(double value, Time age, Time halfLife)
{
    return age <= 0 ? value : value * std::exp2(-static_cast<double>(age) / static_cast<double>(halfLife));
}

/// @param set a TargetSet, const or not
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

double shareNow(const TargetSet &set, const TargetLoad &target, Time now)
{
    if (target.slotShare >= 1) {
        return 1;
    }
    const double grown = static_cast<double>(now - target.slotShareAt) / static_cast<double>(set.settings.slotShareRecovery);
    return std::min(1.0, target.slotShare + grown);
}

double rampNow(const TargetSet &set, const TargetLoad &target, Time now)
{
    if (now >= target.slowStartUntil) {
        return 1;
    }
    const double done = static_cast<double>(now - target.slowStartFrom) / static_cast<double>(target.slowStartUntil - target.slowStartFrom);
    return std::max(set.settings.minSlowStart, done);
}

double weightNow(const TargetSet &set, const TargetLoad &target, Time now)
{
    return target.slots * shareNow(set, target, now) * rampNow(set, target, now);
}

void cutShare(const TargetSet &set, TargetLoad &target, double factor, Time now)
{
    target.slotShare = std::max(leastShare, shareNow(set, target, now) * factor);
    target.slotShareAt = now;
}

void fadeFlows(const TargetSet &set, TargetLoad &target, Time now)
{
    target.openFlows = halved(target.openFlows, now - target.openFlowsAt, set.settings.flowHalfLife);
    target.openFlowsAt = now;
}

TargetLoad joining(const TargetSet &set, const TargetEntry &entry, bool firstView, Time now)
{
    TargetLoad target;
    target.id = entry.id;
    target.openFlowsAt = now;
    target.slotShareAt = now;
    target.reportedAt = now;
    target.slowStartFrom = now;
    target.slowStartUntil = firstView ? now : now + set.settings.slowStart;
    return target;
}

/// Two reports contradict what this process sees: less load than it has had on the target all the time
/// since the last report, and a target full of others' requests that nevertheless runs this process' requests.
bool contradicts(const TargetLoad &target, const TargetReport &report)
{
    const int reported = report.inUse + report.queued;
    const bool tooLow = reported < target.minInFlight;
    const bool tooHigh = report.inUse - target.inFlight >= target.slots && target.completedSinceReport > 0;
    return tooLow || tooHigh;
}

void takeWarmup(TargetLoad &target, Time warmup, Time now)
{
    if (warmup <= 0) {
        return;
    }
    if (target.slowStartUntil <= now) {
        target.slowStartFrom = now;
    }
    target.slowStartUntil = now + warmup;
}

int mostAhead(const TargetSet &set)
{
    const bool isShort = set.runCount >= runsNeeded && set.meanRunTime < static_cast<double>(set.settings.shortRunLimit);
    return isShort && set.settings.pipelineDepth > 0 ? set.settings.shortRunPipelineDepth : set.settings.pipelineDepth;
}

double openScore(const TargetSet &set, const TargetLoad &target, Time now)
{
    const double flows = halved(target.openFlows, now - target.openFlowsAt, set.settings.flowHalfLife);
    return (flows + estimatedLoad(set, target, now)) / weightNow(set, target, now);
}

/// Draws a target with a probability in proportion to its weight.
/// @param except is left out
const TargetLoad *drawForOpen(const TargetSet &set, const TargetLoad *except, Time now, Random &random)
{
    const TargetLoad *drawn = nullptr;
    double total = 0;
    for (const TargetLoad &it : set.targets) {
        if (&it == except || !acceptsNewWork(set, it, now)) {
            continue;
        }
        const double weight = weightNow(set, it, now);
        total += weight;
        if (unit(random) * total < weight) {
            drawn = &it;
        }
    }
    return drawn;
}

/// Chooses the target with the lowest load per slot among those with fewer requests of this process than their
/// usable slots.
/// @param ahead also counts what may be sent ahead
std::optional<Id> chooseBelow(const TargetSet &set, bool ahead, Time now, Random &random)
{
    const TargetLoad *best = nullptr;
    double bestLoad = 0;
    double total = 0;
    for (const TargetLoad &it : set.targets) {
        const int most = usableSlots(set, it, now) + (ahead ? pipelineSlots(set, it, now) : 0);
        if (!acceptsNewWork(set, it, now) || it.inFlight >= most) {
            continue;
        }
        const double weight = weightNow(set, it, now);
        const double load = (estimatedLoad(set, it, now) + placedHalf) / weight;
        if (best == nullptr || load < bestLoad - equalLoad) {
            best = &it;
            bestLoad = load;
            total = weight;
        } else if (load <= bestLoad + equalLoad) {
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
    const bool firstView = set.targets.empty();
    for (TargetLoad &it : set.targets) {
        it.listed = false;
    }
    std::vector<TargetLoad> joined;
    for (const TargetEntry &it : entries) {
        TargetLoad *target = find(set, it.id);
        if (target == nullptr) {
            target = &joined.emplace_back(joining(set, it, firstView, now));
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
        cutShare(set, *it, lossCut, now);
    }
    it->reachable = reachable;
}

void reportStatus(TargetSet &set, Id target, const TargetReport &report, Time now)
{
    TargetLoad *it = find(set, target);
    if (it == nullptr) {
        return;
    }
    it->reportWeight = contradicts(*it, report) ? it->reportWeight * contradictionCut : std::min(1.0, it->reportWeight + trustGain);
    it->healthy = report.healthy;
    it->draining = report.draining;
    it->othersLoad = std::clamp(report.inUse + report.queued - it->inFlight, 0, it->slots);
    it->reportedAt = now;
    it->minInFlight = it->inFlight;
    it->completedSinceReport = 0;
    takeWarmup(*it, report.warmup, now);
    set.version += 1;
    updateHealthIgnored(set);
}

void flowOpened(TargetSet &set, Id target, Time now)
{
    if (TargetLoad *it = find(set, target)) {
        fadeFlows(set, *it, now);
        it->openFlows += 1;
    }
}

void flowClosed(TargetSet &set, Id target, Time now)
{
    if (TargetLoad *it = find(set, target)) {
        fadeFlows(set, *it, now);
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
    set.runCount = std::min(set.runCount + 1, runsNeeded);
    set.meanRunTime += std::max(runGain, 1.0 / set.runCount) * (static_cast<double>(run) - set.meanRunTime);
}

void requestEnded(TargetSet &set, Id target, TargetOutcome outcome, Time now)
{
    TargetLoad *it = find(set, target);
    if (it == nullptr || it->inFlight == 0) {
        return;
    }
    set.version += outcome != TargetOutcome::Done || it->pausedUntil > 0 ? 1 : 0;
    const bool wasAhead = it->inFlight > it->slots;
    it->inFlight -= 1;
    it->minInFlight = std::min(it->minInFlight, it->inFlight);
    switch (outcome) {
    case TargetOutcome::Done:
        it->completedSinceReport += 1;
        it->pausedUntil = 0;
        break;
    case TargetOutcome::Shed:
        cutShare(set, *it, shedCut, now);
        it->pausedUntil = now + set.settings.shedPause;
        it->pipelineFrom = wasAhead ? now + set.settings.pipelinePauseAfterShed : it->pipelineFrom;
        break;
    case TargetOutcome::Draining:
        it->draining = true;
        break;
    case TargetOutcome::Lost:
        cutShare(set, *it, lossCut, now);
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
    const TargetLoad *one = drawForOpen(set, nullptr, now, random);
    if (one == nullptr) {
        return std::nullopt;
    }
    const TargetLoad *other = drawForOpen(set, one, now, random);
    const bool keep = other == nullptr || openScore(set, *one, now) <= openScore(set, *other, now);
    return keep ? one->id : other->id;
}

std::optional<Id> chooseForRequest(const TargetSet &set, Time now, Random &random)
{
    const std::optional<Id> free = chooseBelow(set, false, now, random);
    return free || mostAhead(set) == 0 ? free : chooseBelow(set, true, now, random);
}

bool mayStartOn(const TargetSet &set, Id target)
{
    const TargetLoad *it = findTarget(set, target);
    return it != nullptr && it->reachable && it->inFlight < it->slots;
}

int pipelineSlots(const TargetSet &set, const TargetLoad &target, Time now)
{
    const bool undisturbed = shareNow(set, target, now) >= 1 && now >= target.slowStartUntil && now >= target.pipelineFrom;
    return undisturbed ? mostAhead(set) : 0;
}

bool acceptsNewWork(const TargetSet &set, const TargetLoad &target, Time now)
{
    const bool healthy = target.healthy || set.healthIgnored;
    return target.serving && target.reachable && healthy && !target.draining && now >= target.pausedUntil;
}

int usableSlots(const TargetSet &set, const TargetLoad &target, Time now)
{
    const auto slots = static_cast<int>(std::lround(weightNow(set, target, now)));
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
        totals.reachable += it.slots + mostAhead(set);
    }
    return totals;
}

double estimatedLoad(const TargetSet &set, const TargetLoad &target, Time now)
{
    const auto own = static_cast<double>(target.inFlight);
    if (target.othersLoad == 0) {
        return own;
    }
    const double others = halved(target.othersLoad, now - target.reportedAt, set.settings.reportHalfLife) * target.reportWeight;
    return std::max(own, std::min(own + others, static_cast<double>(target.slots)));
}

const TargetLoad *findTarget(const TargetSet &set, Id target)
{
    return find(set, target);
}

} // namespace pimentofold
