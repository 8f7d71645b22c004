#include <pimentofold/outlier/outlier.h>

#include <algorithm>
#include <cmath>

#include <pimentofold/outlier/measurement.h>
#include <pimentofold/targettable.h>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, ejectionReasonCount> reasonNames{"unanswered", "slow"};

/// Times kept of one route. Enough for a 95th percentile.
constexpr std::size_t maxRouteEntries = 256;
/// Bounds the memory. Requests of further routes have no times to be compared with.
constexpr std::size_t maxRoutes = 256;
/// Requests that start this soon after a pause aren't measured: the notices of their start may have waited in the socket.
constexpr Time backlogTime = 50 * millisecond;
/// Share of its new flows that a target gets right after its return.
constexpr double firstReturnShare = 0.1;
/// Above this load a trial would wait behind other requests.
constexpr double maxTrialLoad = 1; // requests at work for each slot

void addRouteTime(OutlierDetection &detection, const Address &service, Time duration, Time now)
{
    if (detection.routes.size() >= maxRoutes && !detection.routes.contains(service)) {
        return;
    }
    RouteTimes &route = detection.routes[service];
    if (route.entries.size() < maxRouteEntries) {
        route.entries.push_back({now, duration});
        return;
    }
    route.entries[route.next] = {now, duration};
    route.next = (route.next + 1) % maxRouteEntries;
}

/// @param duration divided by the request's place in the queue
/// @param answered false: OutlierSettings::requestTimeout has passed
void endRequest(TargetTable &table, std::unordered_map<FlowKey, MeasuredRequest>::iterator it, Time duration, bool answered, Time now)
{
    OutlierDetection &detection = table.outliers;
    const FlowKey flow = it->first;
    const MeasuredRequest request = it->second;
    detection.requests.erase(it);
    EdgeTarget *target = findTarget(table, request.target);
    const auto history = detection.targets.find(request.target);
    if (target == nullptr || history == detection.targets.end()) {
        return;
    }
    if (request.trial && target->performance.ejected) {
        const auto route = detection.routes.find(flow.service);
        const bool isKnown = route != detection.routes.end() && route->second.usual > 0;
        const bool isUsual = !isKnown || duration <= route->second.usual;
        endTrial(*target, history->second, answered && isUsual, now);
    }
    if (request.startedAt < history->second.evidenceSince) {
        return;
    }
    std::vector<RequestSample> &samples = history->second.samples;
    if (samples.size() >= maxSamples) {
        samples.erase(samples.begin());
    }
    samples.push_back({now, duration, flow.service, flow.caller.ip});
    history->second.lastSampleAt = now;
    if (answered && !target->performance.ejected) {
        addRouteTime(detection, flow.service, duration, now);
    }
}

} // namespace

std::string_view name(EjectionReason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

void checkForPause(OutlierDetection &detection, Time now)
{
    if (detection.lastRunAt != 0 && now - detection.lastRunAt >= maxRunGap) {
        detection.requests.clear();
        detection.measuredFrom = now + backlogTime;
        for (auto &[id, it] : detection.targets) {
            it.slowSince = never;
        }
    }
    detection.lastRunAt = std::max(detection.lastRunAt, now);
}

bool isMeasured(const TargetTable &table, const EdgeTarget &target, Time now)
{
    const bool isSuspected = target.lostSince != never || target.unansweredOpenings >= table.outliers.settings.suspectThreshold;
    return target.owner == 0 && !isSuspected && acceptsNewFlows(target, now) && now >= target.warmupEndsAt && !isCold(table, target, now);
}

Time durationOf(const MeasuredRequest &request, Time now)
{
    return static_cast<Time>(static_cast<double>(now - request.startedAt) / request.queuePlace);
}

void endTrial(EdgeTarget &target, TargetHistory &history, bool passed, Time now)
{
    history.trialsPassed = passed ? history.trialsPassed + 1 : 0;
    history.trialInterval = passed ? minTrialInterval : std::min(history.trialInterval * 2, maxTrialInterval);
    target.performance.nextTrialAt = now + history.trialInterval;
}

void endUnanswered(TargetTable &table, const FlowKey &flow, Time now)
{
    const auto it = table.outliers.requests.find(flow);
    if (it != table.outliers.requests.end()) {
        endRequest(table, it, now - it->second.startedAt, false, now);
    }
}

void recordRequestStarted(TargetTable &table, const FlowKey &flow, EdgeTarget &target, Time now)
{
    OutlierDetection &detection = table.outliers;
    if (!detection.settings.enabled) {
        return;
    }
    checkForPause(detection, now);
    const auto known = detection.requests.find(flow);
    const bool continuesTrial = known != detection.requests.end() && known->second.trial && known->second.target == target.record.id;
    if (known != detection.requests.end() && !continuesTrial) {
        dropRequest(table, flow);
    }
    const bool hasSpace = continuesTrial || detection.requests.size() < detection.settings.maxRequests;
    if (now < detection.measuredFrom || !hasSpace || !isMeasured(table, target, now)) {
        return;
    }
    TargetHistory &history = detection.targets[target.record.id];
    if (history.startedAt != target.record.startedAt) {
        history = {};
        history.startedAt = target.record.startedAt;
        target.performance = {};
    }
    history.lastSampleAt = std::max(history.lastSampleAt, now);
    const double place = std::max(static_cast<double>(target.workingFlows) / std::max(target.record.slots, 1), 1.0);
    const bool trial = continuesTrial || (target.performance.ejected && now >= target.performance.nextTrialAt);
    detection.requests.insert_or_assign(flow, MeasuredRequest{target.record.id, now, place, trial});
    if (trial) {
        // No other trial until this one has ended.
        target.performance.nextTrialAt = now + detection.settings.requestTimeout;
    }
    detection.nextTickAt = std::min(detection.nextTickAt, now + outlierTickInterval);
}

void recordRequestAnswered(TargetTable &table, const FlowKey &flow, std::uint64_t target, Time now)
{
    OutlierDetection &detection = table.outliers;
    if (!detection.settings.enabled) {
        return;
    }
    checkForPause(detection, now);
    const auto it = detection.requests.find(flow);
    if (it == detection.requests.end()) {
        return;
    }
    if (it->second.target == target) {
        endRequest(table, it, durationOf(it->second, now), true, now);
    } else {
        dropRequest(table, flow);
    }
}

void dropRequest(TargetTable &table, const FlowKey &flow)
{
    const auto it = table.outliers.requests.find(flow);
    if (it == table.outliers.requests.end()) {
        return;
    }
    EdgeTarget *target = it->second.trial ? findTarget(table, it->second.target) : nullptr;
    if (target != nullptr) {
        // The trial has no result, so another one is due.
        target->performance.nextTrialAt = it->second.startedAt + minTrialInterval;
    }
    table.outliers.requests.erase(it);
}

void recordRequestEnded(TargetTable &table, const FlowKey &flow, std::uint64_t target, Time now)
{
    recordRequestAnswered(table, flow, target, now);
}

bool isEjected(const EdgeTarget &target, RouteType type, Time now)
{
    const TargetPerformance &performance = target.performance;
    if (!performance.ejected || target.owner != 0) {
        return false;
    }
    const bool mayRepeat = type == RouteType::Safe || type == RouteType::Download;
    const Time trialAt = performance.nextTrialAt + (mayRepeat ? 0 : unsafeTrialDelay);
    return now < trialAt || target.workingFlows > target.record.slots * maxTrialLoad;
}

double expectedSlowdown(const EdgeTarget &target, Time now)
{
    const TargetPerformance &performance = target.performance;
    if (target.owner != 0) {
        return 1;
    }
    if (performance.ejected) {
        return now < performance.nextTrialAt ? performance.slowdown : 0;
    }
    if (performance.returnedAt == never || now - performance.returnedAt >= returnTime) {
        return performance.slowdown;
    }
    const double share = static_cast<double>(now - performance.returnedAt) / static_cast<double>(returnTime);
    return performance.slowdown / std::max(share, firstReturnShare);
}

double expectedWork(const EdgeTarget &target, double work, double flowsPerSlot, Time now)
{
    const double slowdown = expectedSlowdown(target, now);
    const double fullLoad = target.record.slots * flowsPerSlot + 1; // a target with this many requests at work has no room
    if (target.workingFlows < target.record.slots) {
        return std::min(work * slowdown, std::max(work, fullLoad));
    }
    // A flow would wait for a fast target although others have room.
    return target.workingFlows < fullLoad ? work * slowdown : work * std::max(slowdown, 1.0);
}

double slowdownOf(double relativeTime, std::size_t samples)
{
    if (samples < minSamples || relativeTime <= 0) {
        return 1;
    }
    // The logarithm of a median of exponentially distributed times has a standard deviation of about 1.4 divided by the root of the
    // number of samples. With a constant near that, healthy targets under heavy load would get different shares by chance, and more
    // requests would be late.
    constexpr double noise = 5;
    const double logNoise = std::log(1 + noise / std::sqrt(static_cast<double>(samples)));
    const double logTime = std::log(relativeTime);
    const double weight = std::clamp(std::abs(logTime) / logNoise - 1, 0.0, 1.0);
    return std::clamp(std::exp(logTime * weight), minSlowdown, maxSlowdown);
}

} // namespace pimentofold
