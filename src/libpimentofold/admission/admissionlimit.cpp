#include <libpimentofold/admission/admissionlimit.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

namespace {

constexpr double meanRunTimeGain = 0.05;
constexpr double minRunTimeGain = 0.02; // lets the minimum run time follow runs that have become slower
// The mean of 100 exponentially distributed run times has a standard deviation of 10%. With batches of 20 the deviation was
// mistaken for waits, and 18% of the requests were refused at 70% load with run times of 200 ms.
constexpr int batchSize = 100;
constexpr double waitSetPointInRuns = 1.0; // multiple of the baseline run time; a value of 0.5 was within the random variation
constexpr double baselineFallGain = 0.25;
constexpr double baselineRiseGain = 0.01; // a lasting change of the run time becomes the baseline after about 100 batches
// Flows that collide on a target by chance cause 4% sheds at 70% load; a limit that reacted to single sheds lost 17% of the
// goodput.
constexpr double shedTolerance = 0.2;
constexpr double shedFactor = 0.5; // multiplied by the share of sheds; the limit is reduced by the product
constexpr double waitDecreaseFactor = 0.9;
constexpr double gradientTolerance = 1.5;
constexpr double gradientSmoothing = 0.2;

/// Means of wait time and baseline run time over the kinds, weighted by their completion rates.
struct WaitSummary {
    double waitTime = 0;
    double baselineRunTime = 0;
};

WaitSummary summariseWaits(const Admission &admission)
{
    WaitSummary sum;
    double weight = 0;
    for (const WorkKindState &it : admission.kinds) {
        sum.waitTime += it.waitTime * it.completedRate;
        sum.baselineRunTime += it.baselineRunTime * it.completedRate;
        weight += it.completedRate;
    }
    if (weight > 0) {
        sum.waitTime /= weight;
        sum.baselineRunTime /= weight;
    }
    return sum;
}

/// @return the new limit by additive increase and multiplicative decrease
double aimdLimit(const Admission &admission, const WaitSummary &summary)
{
    const LimitState &state = admission.limit;
    const double setPoint = std::max(static_cast<double>(admission.settings.waitSetPoint), waitSetPointInRuns * summary.baselineRunTime);
    const double shedShare = static_cast<double>(state.shed) / (state.completed + state.shed);
    if (shedShare > shedTolerance) {
        return state.limit * (1 - shedFactor * shedShare);
    }
    if (summary.waitTime > setPoint) {
        return state.limit * waitDecreaseFactor;
    }
    return state.limitReached ? state.limit + 1 : state.limit;
}

/// @return the new limit by the ratio of the baseline to the current run time
double gradientLimit(const Admission &admission, const WaitSummary &summary)
{
    const LimitState &state = admission.limit;
    const double runTime = summary.baselineRunTime + summary.waitTime;
    double ratio = runTime > 0 ? std::clamp(gradientTolerance * summary.baselineRunTime / runTime, 0.5, 1.0) : 1.0;
    if (state.shed > 0) {
        // Sheds end immediately and aren't part of the mean run time, so the limit is reduced by their share in addition.
        ratio *= static_cast<double>(state.completed) / (state.completed + state.shed);
    }
    const double room = state.limitReached ? std::sqrt(state.limit) : 0;
    const double unsmoothedLimit = std::max(0.5, ratio) * state.limit + room;
    return state.limit + gradientSmoothing * (unsmoothedLimit - state.limit);
}

} // namespace

void recordRunTime(Admission &admission, WorkKindState &kind, Time run)
{
    const auto time = static_cast<double>(run);
    if (kind.meanRunTime == 0) {
        kind.meanRunTime = time;
        kind.minRunTime = time;
    }
    kind.meanRunTime += meanRunTimeGain * (time - kind.meanRunTime);
    kind.minRunTime += time < kind.minRunTime ? time - kind.minRunTime : minRunTimeGain * (time - kind.minRunTime);
    kind.batchRunTime += time;
    kind.batchCount += 1;
    admission.limit.completed += 1;
    if (kind.batchCount < batchSize) {
        return;
    }
    const double mean = kind.batchRunTime / kind.batchCount;
    kind.batchRunTime = 0;
    kind.batchCount = 0;
    if (kind.baselineRunTime == 0) {
        kind.baselineRunTime = mean;
    }
    kind.baselineRunTime += (mean < kind.baselineRunTime ? baselineFallGain : baselineRiseGain) * (mean - kind.baselineRunTime);
    kind.waitTime = std::max(0.0, mean - kind.baselineRunTime);
}

void adaptLimit(Admission &admission, int slots, Time now)
{
    LimitState &state = admission.limit;
    const double upperBound = std::max(1.0, std::min(static_cast<double>(slots), admission.settings.maxLimit));
    if (state.limit == 0 || admission.settings.limitAlgorithm == LimitAlgorithm::Fixed) {
        state.limit = upperBound;
        return;
    }
    if (now - state.adaptedAt < admission.settings.adaptInterval || state.completed + state.shed == 0) {
        return;
    }
    const WaitSummary summary = summariseWaits(admission);
    const double newLimit = admission.settings.limitAlgorithm == LimitAlgorithm::Aimd ? aimdLimit(admission, summary) : gradientLimit(admission, summary);
    state.limit = std::clamp(newLimit, std::max(1.0, admission.settings.minLimitShare * upperBound), upperBound);
    state.adaptedAt = now;
    state.completed = 0;
    state.shed = 0;
    state.limitReached = false;
}

} // namespace pimentofold
