#include <algorithm>
#include <iterator>

#include <pimentofold/evacuation/evacuation.h>
#include <pimentofold/outlier/judgement.h>
#include <pimentofold/outlier/measurement.h>
#include <pimentofold/outlier/outlier.h>
#include <pimentofold/reachability/reachability.h>
#include <pimentofold/targettable.h>

namespace pimentofold {

namespace {

/// With fewer times of a route, its percentile isn't known.
constexpr std::size_t minRouteEntries = 10;
/// A target without requests is forgotten after this time, when its last ejection no longer counts.
constexpr Time historyRetention = ejectionMemory;
/// A time up to this multiple of the median is usual even above the 95th percentile, which is close to the median where times hardly
/// vary.
constexpr double usualRatio = 3;

/// Gain of the moving average of the requests at work, in each tick: an average over about half a second.
constexpr double workingGain = 0.2;

using OverdueByTarget = std::map<std::uint64_t, OverdueCallers>;

void updateRouteTimes(RouteTimes &route, Time requestTimeout, Time now)
{
    std::vector<Time> durations;
    for (const RouteTimes::Entry &it : route.entries) {
        if (now - it.at < maxSampleAge) {
            durations.push_back(it.duration);
        }
    }
    if (durations.size() < minRouteEntries) {
        route.median = route.usual = route.overdue = 0;
        return;
    }
    std::ranges::sort(durations);
    const auto median = static_cast<double>(durations[durations.size() / 2]);
    constexpr std::size_t partsAbove = 20; // the 95th percentile has a twentieth above it
    const auto percentile = static_cast<double>(durations[durations.size() - 1 - durations.size() / partsAbove]);
    const double bounded = std::min(percentile, median * maxPercentileRatio);
    route.median = std::max<Time>(static_cast<Time>(median), 1);
    route.usual = static_cast<Time>(std::max(bounded, median * usualRatio));
    route.overdue = std::min(std::max(static_cast<Time>(bounded * overdueFactor), minOverdueTime), requestTimeout);
}

void updateRoutes(OutlierDetection &detection, Time now)
{
    for (auto &[service, it] : detection.routes) {
        updateRouteTimes(it, detection.settings.requestTimeout, now);
    }
    std::erase_if(detection.routes, [&](const auto &it) {
        return std::ranges::none_of(it.second.entries, [&](const RouteTimes::Entry &entry) { return now - entry.at < historyRetention; });
    });
}

/// Stops measuring the requests that have taken too long, and counts the overdue ones among the others.
OverdueByTarget takeOverdue(TargetTable &table, Time now)
{
    OutlierDetection &detection = table.outliers;
    OverdueByTarget overdue;
    std::vector<FlowKey> expired;
    for (const auto &[flow, request] : detection.requests) {
        const auto route = detection.routes.find(flow.service);
        const auto history = detection.targets.find(request.target);
        if (now - request.startedAt >= detection.settings.requestTimeout) {
            expired.push_back(flow);
        } else if (route != detection.routes.end() && route->second.overdue > 0 && history != detection.targets.end()
                   && request.startedAt >= history->second.evidenceSince && durationOf(request, now) >= route->second.overdue) {
            overdue[request.target].push_back(flow.caller.ip);
        }
    }
    for (const FlowKey &it : expired) {
        endUnanswered(table, it, now);
    }
    return overdue;
}

/// Forgets targets that are gone, restarted, owned by another node or without requests for long.
void removeHistories(TargetTable &table, Time now)
{
    std::erase_if(table.outliers.targets, [&](const auto &it) {
        EdgeTarget *target = findTarget(table, it.first);
        const TargetHistory &history = it.second;
        const bool isIdle = now - history.lastSampleAt >= historyRetention && (target == nullptr || !target->performance.ejected);
        const bool isStale = target == nullptr || target->owner != 0 || target->record.startedAt != history.startedAt;
        if (target != nullptr && (isStale || isIdle)) {
            target->performance = {};
        }
        return isStale || isIdle;
    });
}

/// Targets of one service that this node owns and whose requests it has measured.
struct ServiceTargets {
    std::vector<Judgement> judged; ///< those that aren't ejected
    std::vector<Judgement> ejected;
    /// Requests at work, without the overdue ones. These stay where they are; if they counted, some hanging targets would keep
    /// each other from being ejected.
    int working = 0;
};

/// The targets of one service that this node owns and that accept new flows.
struct ServiceRoom {
    std::size_t targets = 0;
    std::size_t ejected = 0;
    int slots = 0; ///< of the targets that aren't ejected, cold or suspected
};

ServiceRoom roomOf(TargetTable &table, const std::string &service, Time now)
{
    ServiceRoom room;
    const auto ids = table.services.find(service);
    if (ids == table.services.end()) {
        return room;
    }
    for (const std::uint64_t id : ids->second) {
        const EdgeTarget &target = *findTarget(table, id);
        if (target.owner != 0 || !acceptsNewFlows(target, now) || isEvacuated(table, target) || isWithheld(table, target, now)) {
            continue;
        }
        ++room.targets;
        if (target.performance.ejected) {
            ++room.ejected;
        } else if (isMeasured(table, target, now)) {
            room.slots += target.record.slots;
        }
    }
    return room;
}

/// @param working requests at work on the service
/// @return whether the ejections leave enough targets and slots
bool isSufficient(const ServiceRoom &room, double working)
{
    return room.ejected * ejectionDivisor <= room.targets && room.slots >= minRoom * working;
}

void appendEvent(std::vector<OutlierEvent> &events, const EdgeTarget &target, const TargetHistory &history, std::size_t peers)
{
    OutlierEvent event;
    event.ejected = target.performance.ejected;
    event.target = target.record.id;
    event.service = target.record.service;
    event.reason = history.reason;
    event.relativeTime = history.relativeTime;
    event.overdueShare = history.overdueShare;
    event.peers = peers;
    events.push_back(std::move(event));
}

void ejectTarget(OutlierDetection &detection, EdgeTarget &target, TargetHistory &history, EjectionReason reason, Time now)
{
    const bool isRepeated = history.ejectedAt != never && now - history.ejectedAt < ejectionMemory;
    history.recentEjections = isRepeated ? history.recentEjections + 1 : 1;
    history.ejectedAt = now;
    history.reason = reason;
    history.trialsPassed = 0;
    history.trialInterval = minTrialInterval;
    constexpr int maxDoublings = 10;
    const Time pause = std::min(minTrialInterval << std::min(history.recentEjections - 1, maxDoublings), maxEjectionPause);
    target.performance.ejected = true;
    target.performance.returnedAt = never;
    target.performance.nextTrialAt = now + pause;
    ++detection.ejections.at(static_cast<std::size_t>(reason));
}

void returnTarget(EdgeTarget &target, TargetHistory &history, Time now)
{
    target.performance = {};
    target.performance.returnedAt = now;
    history.evidenceSince = now;
    history.samples.clear();
    history.slowSince = never;
}

/// Lets targets return that have passed their trials.
void returnTested(ServiceTargets &targets, Time now, std::vector<OutlierEvent> &events)
{
    std::erase_if(targets.ejected, [&](const Judgement &it) {
        if (it.history->trialsPassed < trialsToReturn) {
            return false;
        }
        returnTarget(*it.target, *it.history, now);
        appendEvent(events, *it.target, *it.history, targets.judged.size());
        events.back().byTrials = true;
        return true;
    });
}

/// Lets the least bad targets return when the others have had too little room for the service's load for roomShortLimit.
void returnForRoom(TargetTable &table, const std::string &service, ServiceTargets &targets, Time now, std::vector<OutlierEvent> &events)
{
    ServiceLoad &load = table.outliers.services[service];
    if (targets.ejected.empty() || isSufficient(roomOf(table, service, now), load.working)) {
        load.roomShortSince = never;
        return;
    }
    load.roomShortSince = std::min(load.roomShortSince, now);
    if (now - load.roomShortSince < roomShortLimit) {
        return;
    }
    // Hanging targets are worse than slow ones.
    std::ranges::sort(targets.ejected, [](const Judgement &a, const Judgement &b) {
        return a.history->reason != b.history->reason ? a.history->reason < b.history->reason : a.history->overdueShare > b.history->overdueShare;
    });
    while (!targets.ejected.empty() && !isSufficient(roomOf(table, service, now), load.working)) {
        const Judgement &it = targets.ejected.back();
        returnTarget(*it.target, *it.history, now);
        appendEvent(events, *it.target, *it.history, targets.judged.size());
        targets.ejected.pop_back();
    }
}

void ejectOutliers(TargetTable &table, const std::string &service, ServiceTargets &targets, Time now, std::vector<OutlierEvent> &events)
{
    const double working = std::max(table.outliers.services[service].working, static_cast<double>(targets.working));
    for (const EjectionCandidate &it : findOutliers(targets.judged, now)) {
        EdgeTarget &target = *it.judged->target;
        ServiceRoom room = roomOf(table, service, now);
        ++room.ejected;
        room.slots -= target.record.slots;
        if (!isSufficient(room, working)) {
            return;
        }
        ejectTarget(table.outliers, target, *it.judged->history, it.reason, now);
        appendEvent(events, target, *it.judged->history, targets.judged.size() - 1);
    }
}

/// Ends the trials that are overdue as failed, without waiting for their end.
void failOverdueTrials(TargetTable &table, Time now)
{
    OutlierDetection &detection = table.outliers;
    for (auto &[flow, request] : detection.requests) {
        const auto route = detection.routes.find(flow.service);
        const bool isOverdue = route != detection.routes.end() && route->second.overdue > 0 && durationOf(request, now) >= route->second.overdue;
        if (!request.trial || !isOverdue) {
            continue;
        }
        EdgeTarget *target = findTarget(table, request.target);
        const auto history = detection.targets.find(request.target);
        if (target != nullptr && history != detection.targets.end() && target->performance.ejected) {
            endTrial(*target, history->second, false, now);
        }
        request.trial = false;
    }
}

std::map<std::string, ServiceTargets> judgeTargets(TargetTable &table, const OverdueByTarget &overdue, Time now)
{
    std::map<std::string, ServiceTargets> services;
    for (auto &[id, history] : table.outliers.targets) {
        EdgeTarget &target = *findTarget(table, id);
        if (!isMeasured(table, target, now)) {
            // Earlier requests say nothing about the target once it is usable again.
            history.samples.clear();
            history.evidenceSince = now;
            history.slowSince = never;
            target.performance.slowdown = 1;
        }
        const auto it = overdue.find(id);
        const Judgement judged = judgeTarget(table.outliers, target, history, it == overdue.end() ? nullptr : &it->second, now);
        ServiceTargets &service = services[target.record.service];
        service.working += std::max(target.workingFlows - (it == overdue.end() ? 0 : static_cast<int>(it->second.size())), 0);
        (target.performance.ejected ? service.ejected : service.judged).push_back(judged);
    }
    return services;
}

} // namespace

void tickOutlierDetection(TargetTable &table, Time now, std::vector<OutlierEvent> &events)
{
    OutlierDetection &detection = table.outliers;
    if (!detection.settings.enabled || now < detection.nextTickAt) {
        return;
    }
    checkForPause(detection, now);
    removeHistories(table, now);
    updateRoutes(detection, now);
    failOverdueTrials(table, now);
    const OverdueByTarget overdue = takeOverdue(table, now);
    detection.ejectedCount = 0;
    std::map<std::string, ServiceTargets> services = judgeTargets(table, overdue, now);
    std::erase_if(detection.services, [&](const auto &it) { return !services.contains(it.first); });
    for (auto &[service, targets] : services) {
        compareTargets(targets.judged, now);
        returnTested(targets, now, events);
        ServiceLoad &load = detection.services[service];
        load.working += workingGain * (targets.working - load.working);
        returnForRoom(table, service, targets, now, events);
        ejectOutliers(table, service, targets, now, events);
    }
    detection.ejectedCount =
        static_cast<std::size_t>(std::ranges::count_if(detection.targets, [&](const auto &it) { return findTarget(table, it.first)->performance.ejected; }));
    detection.nextTickAt = detection.requests.empty() && detection.targets.empty() ? never : now + outlierTickInterval;
}

Time nextOutlierTick(const TargetTable &table)
{
    return table.outliers.settings.enabled ? table.outliers.nextTickAt : never;
}

} // namespace pimentofold
