#include <pimentofold/outlier/judgement.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>

#include <pimentofold/outlier/outlier.h>
#include <pimentofold/targettable.h>

namespace pimentofold {

namespace {

/// @return the median; 0 for an empty list
double medianOf(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

/// @return index of the first sample that is judged
std::size_t firstJudged(const TargetHistory &history, Time now)
{
    const std::vector<RequestSample> &samples = history.samples;
    std::size_t first = samples.size();
    while (first > 0) {
        const Time age = now - samples[first - 1].endedAt;
        const bool needed = samples.size() - first < minSamples;
        if (age >= (needed ? maxSampleAge : sampleWindow)) {
            break;
        }
        --first;
    }
    return first;
}

/// One request that is judged.
struct Evidence {
    std::uint32_t caller = 0;
    double ratio = 0; ///< time against the route's median
    bool slow = false;
    bool overdue = false;
};

/// Requests of other callers than the worst one that an ejection needs. A single slow one is chance.
constexpr std::size_t minOthers = 3;

/// @param flag Evidence::slow or Evidence::overdue
/// @return the requests of all callers but the one with the most requests with this flag; none if there are too few
std::vector<Evidence> withoutWorstCaller(const std::vector<Evidence> &evidence, bool Evidence::*flag)
{
    std::map<std::uint32_t, int> counts;
    for (const Evidence &it : evidence) {
        counts[it.caller] += it.*flag ? 1 : 0;
    }
    const auto worst = std::ranges::max_element(counts, {}, &std::pair<const std::uint32_t, int>::second);
    std::vector<Evidence> others;
    if (counts.empty()) {
        return others;
    }
    std::ranges::copy_if(evidence, std::back_inserter(others), [&](const Evidence &it) { return it.caller != worst->first; });
    if (others.size() < minOthers) {
        others.clear();
    }
    return others;
}

double othersOverdueShare(const std::vector<Evidence> &evidence)
{
    const std::vector<Evidence> others = withoutWorstCaller(evidence, &Evidence::overdue);
    const auto overdue = static_cast<double>(std::ranges::count_if(others, &Evidence::overdue));
    return others.empty() ? 0 : overdue / static_cast<double>(others.size());
}

double othersTime(const std::vector<Evidence> &evidence)
{
    std::vector<double> ratios;
    for (const Evidence &it : withoutWorstCaller(evidence, &Evidence::slow)) {
        ratios.push_back(it.ratio);
    }
    return medianOf(std::move(ratios));
}

/// Requests of a part of the targets.
struct ShareCount {
    int requests = 0;
    int overdue = 0;
};

bool hasOutlyingShare(const Judgement &it)
{
    return it.overdue >= minOverdueRequests && it.overdueShare() >= ejectionShare && it.othersOverdueShare >= ejectionShare;
}

/// @return whether the share is above that of the peers by more than chance explains
bool exceedsPeers(const Judgement &it, const ShareCount &peers)
{
    constexpr double deviations = 4;
    if (peers.requests == 0) {
        return false;
    }
    const double peerShare = static_cast<double>(peers.overdue) / peers.requests;
    const double expected = peerShare * it.requests;
    return it.overdueShare() >= peerShareFactor * peerShare && it.overdue >= expected + deviations * std::sqrt(expected) + 1;
}

/// @return requests of the targets that a suspicious one is compared with: of the inconspicuous ones, or of all others when the
///         suspicious ones are too many to be ejected
ShareCount countPeers(const std::vector<Judgement> &judged, const Judgement &subject)
{
    const auto suspicious = static_cast<std::size_t>(std::ranges::count_if(judged, hasOutlyingShare));
    const bool isMinority = suspicious * ejectionDivisor <= judged.size();
    ShareCount peers;
    for (const Judgement &it : judged) {
        if (&it != &subject && !(isMinority && hasOutlyingShare(it))) {
            peers.requests += it.requests;
            peers.overdue += it.overdue;
        }
    }
    return peers;
}

bool isSlowOutlier(const Judgement &it, Time now)
{
    const TargetHistory &history = *it.history;
    const bool isRecent = !history.samples.empty() && now - history.samples.back().endedAt < sampleWindow;
    return history.slowSince != never && now - history.slowSince >= minSlowTime && isRecent && it.othersTime >= ejectionSlowdown;
}

} // namespace

Judgement judgeTarget(const OutlierDetection &detection, EdgeTarget &target, TargetHistory &history, const OverdueCallers *overdue, Time now)
{
    Judgement result;
    result.target = &target;
    result.history = &history;
    std::vector<Evidence> evidence;
    std::vector<double> ratios;
    evidence.reserve(history.samples.size());
    ratios.reserve(history.samples.size());
    auto route = detection.routes.end();
    for (std::size_t i = firstJudged(history, now); i < history.samples.size(); ++i) {
        const RequestSample &it = history.samples[i];
        if (route == detection.routes.end() || route->first != it.service) {
            route = detection.routes.find(it.service);
        }
        if (route != detection.routes.end() && route->second.median > 0) {
            ratios.push_back(static_cast<double>(it.duration) / static_cast<double>(route->second.median));
            evidence.push_back({it.caller, ratios.back(), it.duration > route->second.usual, it.duration >= route->second.overdue});
        }
    }
    result.samples = ratios.size();
    result.relativeTime = ratios.size() < minSamples ? 0 : medianOf(std::move(ratios));
    // Only outliers need the comparison of the callers, which takes longer than the rest.
    result.othersTime = result.relativeTime >= ejectionSlowdown / 2 ? othersTime(evidence) : 0;
    for (std::size_t i = 0; overdue != nullptr && i < overdue->size(); ++i) {
        evidence.push_back({(*overdue)[i], 0, false, true});
    }
    result.requests = static_cast<int>(evidence.size());
    result.overdue = static_cast<int>(std::ranges::count_if(evidence, &Evidence::overdue));
    result.othersOverdueShare = result.overdueShare() >= ejectionShare ? othersOverdueShare(evidence) : 0;
    return result;
}

void compareTargets(std::vector<Judgement> &judged, Time now)
{
    std::vector<double> times;
    for (const Judgement &it : judged) {
        if (it.relativeTime > 0) {
            times.push_back(it.relativeTime);
        }
    }
    const bool hasPeers = times.size() > 1;
    const double median = medianOf(std::move(times));
    for (Judgement &it : judged) {
        it.othersTime = median > 0 ? it.othersTime / median : 0;
        it.relativeTime = hasPeers && median > 0 && it.relativeTime > 0 ? it.relativeTime / median : 0;
        it.target->performance.slowdown = slowdownOf(it.relativeTime, it.samples);
        it.history->relativeTime = it.relativeTime > 0 ? it.relativeTime : 1;
        it.history->overdueShare = it.overdueShare();
        if (it.relativeTime < ejectionSlowdown) {
            it.history->slowSince = never;
        } else if (it.history->slowSince == never) {
            it.history->slowSince = now;
        }
    }
}

std::vector<EjectionCandidate> findOutliers(std::vector<Judgement> &judged, Time now)
{
    std::vector<EjectionCandidate> outliers;
    for (Judgement &it : judged) {
        if (it.requests < static_cast<int>(minSamples)) {
            continue;
        }
        if (hasOutlyingShare(it) && exceedsPeers(it, countPeers(judged, it))) {
            outliers.push_back({&it, EjectionReason::Unanswered, it.overdueShare() / ejectionShare});
        } else if (isSlowOutlier(it, now)) {
            outliers.push_back({&it, EjectionReason::Slow, it.relativeTime / ejectionSlowdown});
        }
    }
    std::ranges::stable_sort(outliers, [](const EjectionCandidate &a, const EjectionCandidate &b) { return a.severity > b.severity; });
    return outliers;
}

} // namespace pimentofold
