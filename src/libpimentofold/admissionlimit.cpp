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
    double wait = 0;
    double baseline = 0;
};

WaitSummary summarise(const Admission &admission)
{
    WaitSummary sum;
    double weight = 0;
    for (const WorkKindState &it : admission.kinds) {
        sum.wait += it.wait * it.endedRate;
        sum.baseline += it.baseline * it.endedRate;
        weight += it.endedRate;
    }
    if (weight > 0) {
        sum.wait /= weight;
        sum.baseline /= weight;
    }
    return sum;
}

double aimd(const Admission &admission, const WaitSummary &now)
{
    const LimitState &state = admission.limit;
    const double setPoint = std::max(static_cast<double>(admission.settings.waitSetPoint), waitInRuns * now.baseline);
    const double shedShare = static_cast<double>(state.shed) / (state.ended + state.shed);
    if (shedShare > shedTolerance) {
        return state.limit * (1 - shedCut * shedShare);
    }
    if (now.wait > setPoint) {
        return state.limit * waitFactor;
    }
    return state.wasFull ? state.limit + 1 : state.limit;
}

double gradient(const Admission &admission, const WaitSummary &now)
{
    const LimitState &state = admission.limit;
    const double run = now.baseline + now.wait;
    double ratio = run > 0 ? std::clamp(gradientTolerance * now.baseline / run, 0.5, 1.0) : 1.0;
    if (state.shed > 0) {
        // Sheds end at once and would make the mean run look short.
        ratio *= static_cast<double>(state.ended) / (state.ended + state.shed);
    }
    const double room = state.wasFull ? std::sqrt(state.limit) : 0;
    const double wanted = std::max(0.5, ratio) * state.limit + room;
    return state.limit + gradientSmoothing * (wanted - state.limit);
}

} // namespace

void recordRun(Admission &admission, WorkKindState &kind, Time run)
{
    const auto time = static_cast<double>(run);
    if (kind.meanRun == 0) {
        kind.meanRun = time;
        kind.leastRun = time;
    }
    kind.meanRun += meanRunGain * (time - kind.meanRun);
    kind.leastRun += time < kind.leastRun ? time - kind.leastRun : leastRunGain * (time - kind.leastRun);
    kind.batchSum += time;
    kind.batchEnded += 1;
    admission.limit.ended += 1;
    if (kind.batchEnded < batchSize) {
        return;
    }
    const double mean = kind.batchSum / kind.batchEnded;
    kind.batchSum = 0;
    kind.batchEnded = 0;
    if (kind.baseline == 0) {
        kind.baseline = mean;
    }
    kind.baseline += (mean < kind.baseline ? baselineFall : baselineRise) * (mean - kind.baseline);
    kind.wait = std::max(0.0, mean - kind.baseline);
}

void adaptLimit(Admission &admission, int slots, Time now)
{
    LimitState &state = admission.limit;
    const double most = std::max(1.0, std::min(static_cast<double>(slots), admission.settings.limitMost));
    if (state.limit == 0 || admission.settings.law == LimitLaw::Fixed) {
        state.limit = most;
        return;
    }
    if (now - state.adaptedAt < admission.settings.adaptEvery || state.ended + state.shed == 0) {
        return;
    }
    const WaitSummary summary = summarise(admission);
    const double wanted = admission.settings.law == LimitLaw::Aimd ? aimd(admission, summary) : gradient(admission, summary);
    state.limit = std::clamp(wanted, std::max(1.0, admission.settings.limitLeastShare * most), most);
    state.adaptedAt = now;
    state.ended = 0;
    state.shed = 0;
    state.wasFull = false;
}

} // namespace pimentofold
