#include <pimentofold/dispatch.h>

#include <algorithm>
#include <span>

#include <pimentofold/evacuation/evacuation.h>
#include <pimentofold/outlier/outlier.h>
#include <pimentofold/reachability/reachability.h>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 16> eventNames{"flow_placed",
                                                      "flow_offered_again",
                                                      "flow_relayed",
                                                      "flow_waiting",
                                                      "flow_given_up",
                                                      "flow_opened",
                                                      "flow_ended",
                                                      "packet_stale",
                                                      "packet_early",
                                                      "no_route",
                                                      "no_target",
                                                      "unknown_token",
                                                      "flow_refused",
                                                      "flow_location_asked",
                                                      "flow_located",
                                                      "flow_location_unknown"};

constexpr Time sweepInterval = second;
/// Sweep interval while flows wait, because targets may gain room without the end of a flow being reported.
constexpr Time waitingSweepInterval = 20 * millisecond;
/// When placing waiting flows, this many routes without a target with room are passed over. It bounds the work of each pass.
constexpr std::size_t maxHeldRoutes = 8;
/// The caller of a flow that has waited for longer may have given up, so a missing answer isn't counted against the target.
constexpr Time longWaitThreshold = 100 * millisecond;

void removeFromLoad(TargetTable &table, PlacedFlow &flow)
{
    EdgeTarget *target = flow.load == FlowLoad::None ? nullptr : findTarget(table, flow.target);
    if (target != nullptr) {
        target->openFlows = std::max(target->openFlows - 1, 0);
        if (flow.load == FlowLoad::Working) {
            target->workingFlows = std::max(target->workingFlows - 1, 0);
        } else {
            target->idleLoad = std::max(target->idleLoad - flow.idleLoad, 0.0);
        }
    }
    flow.load = FlowLoad::None;
    flow.idleLoad = 0;
}

/// Counts the flow at its target in another way than before.
/// @param idleLoad what the flow adds to the target's idleLoad if @p load is Idle
void setLoad(TargetTable &table, PlacedFlow &flow, FlowLoad load, double idleLoad, Time now)
{
    removeFromLoad(table, flow);
    flow.loadChangedAt = now;
    EdgeTarget *target = findTarget(table, flow.target);
    if (target == nullptr) {
        return;
    }
    flow.load = load;
    ++target->openFlows;
    if (load == FlowLoad::Working) {
        ++target->workingFlows;
    } else {
        flow.idleLoad = idleLoad;
        target->idleLoad += idleLoad;
    }
}

double idleLoadOf(const Dispatcher &dispatcher, const FlowKey &key)
{
    const auto it = dispatcher.routeActivity.find(key.service);
    return it == dispatcher.routeActivity.end() ? RouteActivity::initialWorkingShare : it->second.workingShare;
}

void offerTo(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, PlacedFlow &placed, EdgeTarget &target, Time now, ForwardOutput &out)
{
    removeFromLoad(table, placed);
    if (placed.offerCount < maxOffersPerFlow) {
        placed.offeredTargets[placed.offerCount++] = target.record.id;
    }
    placed.target = target.record.id;
    placed.placedAt = now;
    setLoad(table, placed, FlowLoad::Working, 0, now);
    target.lastFlowAt = now;
    if (isSuspected(target, dispatcher.settings.placement)) {
        // A single flow at a time probes whether the target answers again.
        target.nextProbeAt = now + dispatcher.settings.placement.maxProbeInterval;
    }
    recordColdOpening(table, target, now);
    recordOffer(table, target, now);
    recordRequestStarted(table, flow.key, target, now);
    out.packets.push_back({target.record.address, target.record.id, target.token, flow.openingPacket});
    appendEvent(out, placed.offerCount > 1 ? ForwardEvent::OfferedAgain : ForwardEvent::Placed, flow.key, &target, static_cast<int>(placed.offerCount), 0);
}

PlaceResult enqueueFlow(Dispatcher &dispatcher, const OpeningFlow &flow, const EdgeRoute &route, Time now, ForwardOutput &out)
{
    if (dispatcher.waitingFlows.size() >= dispatcher.settings.maxWaitingFlows) {
        return PlaceResult::NoTarget;
    }
    dispatcher.waitingFlows.insert_or_assign(flow.key, WaitingFlow{flow, route.urgency, route.responseTimeGoal, now});
    dispatcher.nextSweepAt = std::min(dispatcher.nextSweepAt, now + waitingSweepInterval);
    out.heldNotices.push_back({flow.originNode, flow.key});
    appendEvent(out, ForwardEvent::Waiting, flow.key, nullptr, flow.attempt, 0);
    return PlaceResult::Waiting;
}

PlacementQuery queryFor(const Dispatcher &dispatcher, const OpeningFlow &flow, std::span<const std::uint64_t> tried, const EdgeRoute &route)
{
    return {route, tried, dispatcher.settings.dataCentre, flow.preferOwned, dispatcher.settings.flowsPerSlot, flow.attempt};
}

EdgeTarget *chooseTargetFor(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, const PlacedFlow *placed, const EdgeRoute &route, Time now)
{
    const std::span<const std::uint64_t> tried =
        placed == nullptr ? std::span<const std::uint64_t>() : std::span<const std::uint64_t>(placed->offeredTargets.data(), placed->offerCount);
    const PlacementQuery query = queryFor(dispatcher, flow, tried, route);
    return choosePlacementTarget(table, dispatcher.settings.placement, query, now, dispatcher.random);
}

/// @return whether a cold target may get the flow later
bool isHeldBack(const Dispatcher &dispatcher, const TargetTable &table, const OpeningFlow &flow, const EdgeRoute &route, Time now)
{
    return isHeldBackByColdLimit(table, dispatcher.settings.placement, queryFor(dispatcher, flow, {}, route), now);
}

/// Removes the record of a flow and its load, if there is one.
void removePlacedFlow(Dispatcher &dispatcher, TargetTable &table, const FlowKey &key)
{
    dropRequest(table, key);
    const auto it = dispatcher.placedFlows.find(key);
    if (it != dispatcher.placedFlows.end()) {
        removeFromLoad(table, it->second);
        dispatcher.placedFlows.erase(it);
    }
}

/// Forgets a flow for which only evacuated targets are left, and notifies the node that asked for its placement.
PlaceResult refuseEvacuated(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, ForwardOutput &out)
{
    removePlacedFlow(dispatcher, table, flow.key);
    appendEvent(out, ForwardEvent::NoTarget, flow.key, nullptr, flow.attempt, 0);
    if (flow.originNode != 0) {
        out.refusedNotices.push_back({flow.originNode, flow.key});
    }
    return PlaceResult::Evacuated;
}

/// Forgets a flow for which only unreachable targets are left, and notifies the node that asked for its placement if the flow has
/// to be refused at once. Without a notice that node places the flow itself, by its own evidence.
PlaceResult refuseUnreachable(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, Time now, ForwardOutput &out)
{
    removePlacedFlow(dispatcher, table, flow.key);
    appendEvent(out, ForwardEvent::NoTarget, flow.key, nullptr, flow.attempt, 0);
    if (flow.originNode != 0 && refusesUnreachable(table.reachability, now)) {
        out.refusedNotices.push_back({flow.originNode, flow.key});
    }
    return PlaceResult::Unreachable;
}

/// Lets a flow wait for which no target was found, if a cold target may get it later. A flow for which only evacuated targets are
/// left is refused.
/// @return the result of the placement
PlaceResult waitOrRefuse(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, const EdgeRoute &route, Time now, ForwardOutput &out)
{
    if (!isHeldBack(dispatcher, table, flow, route, now)) {
        if (hasOnlyUnreachableTargets(table, route, now)) {
            return refuseUnreachable(dispatcher, table, flow, now, out);
        }
        if (hasEvacuatedTargets(table, route, now)) {
            return refuseEvacuated(dispatcher, table, flow, out);
        }
        appendEvent(out, ForwardEvent::NoTarget, flow.key, nullptr, flow.attempt, 0);
        return PlaceResult::NoTarget;
    }
    ++table.slowStart.limited;
    removePlacedFlow(dispatcher, table, flow.key);
    return enqueueFlow(dispatcher, flow, route, now, out);
}

/// Order in which waiting flows are placed. Flows that can still meet their response time goal come first, the most urgent
/// and then the oldest ones before the others. Late flows follow, those with the fewest retransmissions first, since their
/// callers are the least likely to have given up.
bool hasPrecedence(const WaitingFlow &a, const WaitingFlow &b, Time now, Time serviceTime)
{
    const auto isLate = [&](const WaitingFlow &it) {
        return it.responseTimeGoal > 0 && it.flow.openingAge + (now - it.waitingSince) + serviceTime > it.responseTimeGoal;
    };
    const bool lateA = isLate(a);
    const bool lateB = isLate(b);
    if (lateA != lateB) {
        return lateB;
    }
    if (!lateA && a.urgency != b.urgency) {
        return a.urgency < b.urgency;
    }
    if (lateA && a.flow.openingAge != b.flow.openingAge) {
        return a.flow.openingAge < b.flow.openingAge;
    }
    return a.waitingSince < b.waitingSince;
}

/// @param held addresses of routes whose flows are passed over
/// @return the waiting flow that comes first in the order of hasPrecedence(); the end of the list when there is none
auto nextWaiting(Dispatcher &dispatcher, std::span<const Address> held, Time now)
{
    const auto serviceTime = static_cast<Time>(dispatcher.meanServiceTime);
    auto best = dispatcher.waitingFlows.end();
    for (auto it = dispatcher.waitingFlows.begin(); it != dispatcher.waitingFlows.end(); ++it) {
        if (std::ranges::find(held, it->first.service) != held.end()) {
            continue;
        }
        if (best == dispatcher.waitingFlows.end() || hasPrecedence(it->second, best->second, now, serviceTime)) {
            best = it;
        }
    }
    return best;
}

/// Places waiting flows in the order of hasPrecedence() until no target has room for the next one. With slow start, flows of
/// other routes follow then, since flows for cold targets may wait for a long time.
void placeWaiting(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out)
{
    std::vector<Address> held;
    while (true) {
        const auto next = nextWaiting(dispatcher, held, now);
        if (next == dispatcher.waitingFlows.end()) {
            return;
        }
        const EdgeRoute *route = findRoute(table, next->first.service);
        if (route == nullptr) {
            dispatcher.waitingFlows.erase(next);
            continue;
        }
        EdgeTarget *target = chooseTargetFor(dispatcher, table, next->second.flow, nullptr, *route, now);
        const bool heldBack = target == nullptr && isHeldBack(dispatcher, table, next->second.flow, *route, now);
        const bool unreachable = target == nullptr && !heldBack && hasOnlyUnreachableTargets(table, *route, now);
        if (unreachable || (target == nullptr && !heldBack && hasEvacuatedTargets(table, *route, now))) {
            appendEvent(out, ForwardEvent::NoTarget, next->first, nullptr, next->second.flow.attempt, now - next->second.waitingSince);
            if (!unreachable || refusesUnreachable(table.reachability, now)) {
                out.refusedNotices.push_back({next->second.flow.originNode, next->first});
            }
            dispatcher.waitingFlows.erase(next);
            continue;
        }
        if (target == nullptr || !hasRoom(*target, dispatcher.settings.flowsPerSlot)) {
            if (!table.slowStart.settings.enabled || held.size() >= maxHeldRoutes) {
                return;
            }
            held.push_back(next->first.service);
            continue;
        }
        const OpeningFlow flow = std::move(next->second.flow);
        const Time since = next->second.waitingSince;
        dispatcher.waitingFlows.erase(next);
        PlacedFlow &placed = dispatcher.placedFlows[flow.key];
        placed = {};
        placed.waitedLong = now - since > longWaitThreshold;
        offerTo(dispatcher, table, flow, placed, *target, now, out);
    }
}

void dropExpiredWaiting(Dispatcher &dispatcher, Time now, ForwardOutput &out)
{
    std::erase_if(dispatcher.waitingFlows, [&](const auto &it) {
        const bool expired = now - it.second.waitingSince > dispatcher.settings.maxWaitTime;
        if (expired) {
            appendEvent(out, ForwardEvent::GivenUp, it.first, nullptr, it.second.flow.attempt, now - it.second.waitingSince);
        }
        return expired;
    });
}

void updateMeanServiceTime(Dispatcher &dispatcher, Time sample)
{
    constexpr double gain = 0.05;
    const auto value = static_cast<double>(sample);
    dispatcher.meanServiceTime = dispatcher.meanServiceTime == 0 ? value : dispatcher.meanServiceTime + gain * (value - dispatcher.meanServiceTime);
}

/// @return the record of the flow, which is added if it is unknown; nullptr when the target is unknown or too many flows are recorded
PlacedFlow *recordOf(Dispatcher &dispatcher, const TargetTable &table, const FlowNotice &notice, Time now)
{
    if (findTarget(table, notice.target) == nullptr) {
        return nullptr;
    }
    const auto known = dispatcher.placedFlows.find(notice.flow);
    if (known != dispatcher.placedFlows.end()) {
        return &known->second;
    }
    if (dispatcher.placedFlows.size() >= dispatcher.settings.maxFlows) {
        return nullptr;
    }
    PlacedFlow &added = dispatcher.placedFlows[notice.flow];
    added.openedElsewhere = true;
    added.placedAt = now;
    return &added;
}

void startWork(Dispatcher &dispatcher, TargetTable &table, const FlowNotice &notice, Time now)
{
    PlacedFlow *placed = recordOf(dispatcher, table, notice, now);
    if (placed == nullptr) {
        return;
    }
    removeFromLoad(table, *placed);
    placed->target = notice.target;
    setLoad(table, *placed, FlowLoad::Working, 0, now);
    recordRequestStarted(table, notice.flow, *findTarget(table, notice.target), now);
}

void endWork(Dispatcher &dispatcher, TargetTable &table, const FlowNotice &notice, Time now, ForwardOutput &out)
{
    PlacedFlow *placed = recordOf(dispatcher, table, notice, now);
    if (placed == nullptr) {
        return;
    }
    if (placed->offerCount > 0 && !placed->answered) {
        updateMeanServiceTime(dispatcher, now - placed->placedAt);
    }
    removeFromLoad(table, *placed);
    placed->target = notice.target;
    placed->answered = true;
    placed->answeredAt = now;
    recordRequestAnswered(table, notice.flow, notice.target, now);
    setLoad(table, *placed, FlowLoad::Idle, idleLoadOf(dispatcher, notice.flow), now);
    placeWaiting(dispatcher, table, now, out);
}

void endPlacedFlow(Dispatcher &dispatcher, TargetTable &table, const FlowNotice &notice, Time now, ForwardOutput &out)
{
    dispatcher.waitingFlows.erase(notice.flow);
    recordRequestEnded(table, notice.flow, notice.target, now);
    const auto it = dispatcher.placedFlows.find(notice.flow);
    if (it == dispatcher.placedFlows.end()) {
        return;
    }
    if (notice.target != 0 && it->second.offerCount > 0 && !it->second.answered) {
        updateMeanServiceTime(dispatcher, now - it->second.placedAt);
    }
    removeFromLoad(table, it->second);
    dispatcher.placedFlows.erase(it);
    placeWaiting(dispatcher, table, now, out);
}

/// Takes a sample of how many flows of each route have a request at work.
void updateRouteActivity(Dispatcher &dispatcher)
{
    constexpr double gain = 0.2;
    for (auto &[service, it] : dispatcher.routeActivity) {
        if (it.open > 0) {
            it.workingShare += gain * (static_cast<double>(it.working) / it.open - it.workingShare);
        }
        it.open = 0;
        it.working = 0;
    }
}

/// Counts requests and flows without further notices as answered or ended, and samples the activity of the others.
void sweepPlacedFlows(Dispatcher &dispatcher, TargetTable &table, Time now)
{
    const Time idleTimeout = table.idleTimeout > 0 ? table.idleTimeout : dispatcher.settings.idleFlowTimeout;
    for (auto it = dispatcher.placedFlows.begin(); it != dispatcher.placedFlows.end();) {
        PlacedFlow &flow = it->second;
        const Time unchanged = now - flow.loadChangedAt;
        const bool isWorking = flow.load == FlowLoad::Working;
        const bool unanswered = isWorking && unchanged >= dispatcher.settings.workTimeout;
        if ((unanswered && !flow.answered) || (!isWorking && unchanged >= idleTimeout)) {
            removeFromLoad(table, flow);
            it = dispatcher.placedFlows.erase(it);
            continue;
        }
        if (unanswered) {
            setLoad(table, flow, FlowLoad::Idle, idleLoadOf(dispatcher, it->first), now);
        }
        if (flow.answered) {
            RouteActivity &activity = dispatcher.routeActivity[it->first.service];
            ++activity.open;
            activity.working += isWorking ? 1 : 0;
        }
        ++it;
    }
    updateRouteActivity(dispatcher);
}

} // namespace

std::string_view name(ForwardEvent event)
{
    return eventNames.at(static_cast<std::size_t>(event));
}

void appendEvent(ForwardOutput &out, ForwardEvent event, const FlowKey &key, const EdgeTarget *target, int attempts, Time elapsed)
{
    ForwardEventRecord result;
    result.event = event;
    result.flow = key;
    if (target != nullptr) {
        result.target = target->record.id;
        result.token = target->token;
        result.load = target->workingFlows;
    }
    result.attempts = attempts;
    result.elapsed = elapsed;
    out.events.push_back(result);
}

PlaceResult placeFlow(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, Time now, ForwardOutput &out)
{
    const EdgeRoute *route = findRoute(table, flow.key.service);
    if (route == nullptr) {
        appendEvent(out, ForwardEvent::NoRoute, flow.key, nullptr, flow.attempt, 0);
        return PlaceResult::NoRoute;
    }
    if (dispatcher.waitingFlows.contains(flow.key)) {
        out.heldNotices.push_back({flow.originNode, flow.key});
        return PlaceResult::Waiting;
    }
    const auto known = dispatcher.placedFlows.find(flow.key);
    PlacedFlow *placed = known == dispatcher.placedFlows.end() ? nullptr : &known->second;
    if (placed != nullptr && flow.attempt == 1) {
        if (now - placed->placedAt < dispatcher.settings.maxWaitTime) {
            // The request was repeated while the flow waited here; the flow has been placed meanwhile.
            return PlaceResult::Placed;
        }
        // The caller has reused the port for a new flow.
        removeFromLoad(table, *placed);
        *placed = {};
    }
    if (placed != nullptr && placed->offerCount > 0 && (placed->openedElsewhere || placed->waitedLong)) {
        if (!placed->openedElsewhere) {
            removeFromLoad(table, *placed);
        }
        out.settledNotices.push_back({flow.originNode, flow.key});
        return PlaceResult::Settled;
    }
    if (placed != nullptr && placed->offerCount > 0) {
        if (EdgeTarget *unresponsive = findTarget(table, placed->target)) {
            recordUnanswered(*unresponsive, dispatcher.settings.placement, now);
        }
    }
    EdgeTarget *target = chooseTargetFor(dispatcher, table, flow, placed, *route, now);
    if (target == nullptr) {
        return waitOrRefuse(dispatcher, table, flow, *route, now, out);
    }
    const bool isFirst = placed == nullptr || placed->offerCount == 0;
    if (isFirst && !hasRoom(*target, dispatcher.settings.flowsPerSlot)) {
        return enqueueFlow(dispatcher, flow, *route, now, out);
    }
    if (placed == nullptr && dispatcher.placedFlows.size() >= dispatcher.settings.maxFlows) {
        // Beyond the limit, flows are placed without being stored.
        PlacedFlow temporary;
        offerTo(dispatcher, table, flow, temporary, *target, now, out);
        removeFromLoad(table, temporary);
        dropRequest(table, flow.key);
        return PlaceResult::Placed;
    }
    offerTo(dispatcher, table, flow, placed == nullptr ? dispatcher.placedFlows[flow.key] : *placed, *target, now, out);
    return PlaceResult::Placed;
}

void handleFlowNotice(Dispatcher &dispatcher, TargetTable &table, const FlowNotice &notice, Time now, ForwardOutput &out)
{
    if (EdgeTarget *answered = findTarget(table, notice.target); answered != nullptr && notice.kind != FlowNoticeKind::WorkStarted) {
        recordAnswer(*answered, now);
        if (notice.kind == FlowNoticeKind::WorkEnded) {
            recordHeard(table.reachability, answered->record.dataCentre, now);
        }
    }
    switch (notice.kind) {
    case FlowNoticeKind::Opened:
        if (const auto it = dispatcher.placedFlows.find(notice.flow); it != dispatcher.placedFlows.end()) {
            it->second.openedElsewhere = true;
        }
        break;
    case FlowNoticeKind::WorkStarted:
        startWork(dispatcher, table, notice, now);
        break;
    case FlowNoticeKind::WorkEnded:
        if (EdgeTarget *target = findTarget(table, notice.target)) {
            target->lastProgressAt = now;
        }
        endWork(dispatcher, table, notice, now, out);
        break;
    case FlowNoticeKind::Ended:
        endPlacedFlow(dispatcher, table, notice, now, out);
        break;
    }
}

void tickDispatcher(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out)
{
    if (now < dispatcher.nextSweepAt) {
        return;
    }
    if (now >= dispatcher.nextPlacedSweepAt) {
        dispatcher.nextPlacedSweepAt = now + sweepInterval;
        sweepPlacedFlows(dispatcher, table, now);
    }
    dropExpiredWaiting(dispatcher, now, out);
    placeWaiting(dispatcher, table, now, out);
    dispatcher.nextSweepAt = now + (dispatcher.waitingFlows.empty() ? sweepInterval : waitingSweepInterval);
}

Time nextDispatcherTick(const Dispatcher &dispatcher)
{
    return dispatcher.nextSweepAt;
}

} // namespace pimentofold
