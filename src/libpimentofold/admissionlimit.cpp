#include <libpimentofold/admissionlimit.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

namespace {

constexpr double meanRunGain = 0.05;
constexpr double leastRunGain = 0.02; // lets the least run follow work that has become slower
// The mean of 100 exponentially distributed runs varies by 10%. With batches of 20 the variation was taken for waits,
// and 18% of the requests were refused at 70% load of 200 ms runs.
constexpr int batchSize = 100;
constexpr double waitInRuns = 1.0; // one run of wait for each run; half a run was within the variation
constexpr double baselineFall = 0.25;
constexpr double baselineRise = 0.01; // a lasting change of the run time is taken for the baseline after about 100 batches
// Flows that meet on a target by chance shed 4% at 70% load; a limit that answers single sheds cost 17% of the goodput.
constexpr double shedTolerance = 0.2;
constexpr double shedCut = 0.5; // of the share of sheds
constexpr double waitFactor = 0.9;
constexpr double gradientTolerance = 1.5;
constexpr double gradientSmoothing = 0.2;

/// Mean wait and baseline over the kinds, weighted by their rates.
struct WaitSummary {
    double waitTime = 0;
    double baselineRunTime = 0;
};

WaitSummary summarise(const Admission &admission)
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

double aimd(const Admission &admission, const WaitSummary &now)
{
    const LimitState &state = admission.limit;
    const double setPoint = std::max(static_cast<double>(admission.settings.waitSetPoint), waitInRuns * now.baselineRunTime);
    const double shedShare = static_cast<double>(state.shed) / (state.completed + state.shed);
    if (shedShare > shedTolerance) {
        return state.limit * (1 - shedCut * shedShare);
    }
    if (now.waitTime > setPoint) {
        return state.limit * waitFactor;
    }
    return state.limitReached ? state.limit + 1 : state.limit;
}

double gradient(const Admission &admission, const WaitSummary &now)
{
    const LimitState &state = admission.limit;
    const double run = now.baselineRunTime + now.waitTime;
    double ratio = run > 0 ? std::clamp(gradientTolerance * now.baselineRunTime / run, 0.5, 1.0) : 1.0;
    if (state.shed > 0) {
        // Sheds end at once and would make the mean run look short.
        ratio *= static_cast<double>(state.completed) / (state.completed + state.shed);
    }
    const double room = state.limitReached ? std::sqrt(state.limit) : 0;
    const double wanted = std::max(0.5, ratio) * state.limit + room;
    return state.limit + gradientSmoothing * (wanted - state.limit);
}

} // namespace

void recordRunTime(Admission &admission, WorkKindState &kind, Time run)
{
    const auto time = static_cast<double>(run);
    if (kind.meanRunTime == 0) {
        kind.meanRunTime = time;
        kind.minRunTime = time;
    }
    kind.meanRunTime += meanRunGain * (time - kind.meanRunTime);
    kind.minRunTime += time < kind.minRunTime ? time - kind.minRunTime : leastRunGain * (time - kind.minRunTime);
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
    kind.baselineRunTime += (mean < kind.baselineRunTime ? baselineFall : baselineRise) * (mean - kind.baselineRunTime);
    kind.waitTime = std::max(0.0, mean - kind.baselineRunTime);
}

void adaptLimit(Admission &admission, int slots, Time now)
{
    LimitState &state = admission.limit;
    const double most = std::max(1.0, std::min(static_cast<double>(slots), admission.settings.maxLimit));
    if (state.limit == 0 || admission.settings.limitAlgorithm == LimitAlgorithm::Fixed) {
        state.limit = most;
        return;
    }
    if (now - state.adaptedAt < admission.settings.adaptInterval || state.completed + state.shed == 0) {
        return;
    }
    const WaitSummary summary = summarise(admission);
    const double wanted = admission.settings.limitAlgorithm == LimitAlgorithm::Aimd ? aimd(admission, summary) : gradient(admission, summary);
    state.limit = std::clamp(wanted, std::max(1.0, admission.settings.minLimitShare * most), most);
    state.adaptedAt = now;
    state.completed = 0;
    state.shed = 0;
    state.limitReached = false;
}

} // namespace pimentofold
