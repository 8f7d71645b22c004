#include <pimentofold/dispatch.h>

#include <algorithm>
#include <utility>

#include <pimentofold/outlier/outlier.h>
#include <pimentofold/queueing/waitinglist.h>
#include <pimentofold/reachability/reachability.h>

#include <libpimentofold/queueing/unplaceable.h>
#include <libpimentofold/queueing/waiting.h>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 17> eventNames{"flow_placed",
                                                      "flow_offered_again",
                                                      "flow_relayed",
                                                      "flow_waiting",
                                                      "flow_given_up",
                                                      "flow_opened",
                                                      "flow_ended",
                                                      "packet_stale",
                                                      "opening_withdrawn",
                                                      "packet_early",
                                                      "no_route",
                                                      "no_target",
                                                      "unknown_token",
                                                      "flow_refused",
                                                      "flow_location_asked",
                                                      "flow_located",
                                                      "flow_location_unknown"};

constexpr Time sweepInterval = second;
/// When placing waiting flows, this many routes without a target with room are passed over. It bounds the work of each pass.
constexpr std::size_t maxHeldRoutes = 8;
/// The caller of a flow that has waited for longer may have given up, so a missing answer isn't counted against the target.
constexpr Time longWaitThreshold = 100 * millisecond;
/// With fair queueing, most waiting flows that one pass places, to bound the work of an event. The next pass follows at once.
constexpr int maxPlacementsPerPass = 64;

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
    appendEvent(out,
                placed.offerCount > 1 ? ForwardEvent::OfferedAgain : ForwardEvent::Placed,
                flow.key,
                &target,
                static_cast<int>(placed.offerCount),
                flow.openingAge);
    out.events.back().node = flow.originNode;
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

/// Lets a flow wait for which no target was found, if a cold target may get it later. A flow for which only evacuated targets are
/// left is refused, and so is one for which only unreachable targets are left if that is to be done at once. Without a notice, the
/// node that asked for the placement places the flow itself, by its own evidence.
/// @return the result of the placement
PlaceResult waitOrRefuse(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, const EdgeRoute &route, Time now, ForwardOutput &out)
{
    const Unplaceable why = whyUnplaceable(dispatcher, table, flow, route, now);
    if (why == Unplaceable::HeldBack) {
        ++table.slowStart.limited;
        removePlacedFlow(dispatcher, table, flow.key);
        return enqueueFlow(dispatcher, table, flow, route, now, out);
    }
    appendEvent(out, ForwardEvent::NoTarget, flow.key, nullptr, flow.attempt, 0);
    if (why == Unplaceable::NoTarget) {
        return PlaceResult::NoTarget;
    }
    removePlacedFlow(dispatcher, table, flow.key);
    if (why == Unplaceable::Evacuated) {
        refuseFlow(dispatcher, flow, RefusalReason::Evacuated, false, now, out);
        return PlaceResult::Evacuated;
    }
    if (refusesUnreachable(table.reachability, now)) {
        refuseFlow(dispatcher, flow, RefusalReason::Unreachable, false, now, out);
    }
    return PlaceResult::Unreachable;
}

/// Offers a waiting flow to a target that has room.
void offerWaiting(Dispatcher &dispatcher, TargetTable &table, const FlowKey &key, EdgeTarget &target, Time now, ForwardOutput &out)
{
    const WaitingFlow waiting = dispatcher.queue.flows.at(key);
    if (dispatcher.queue.fair) {
        recordPlacement(dispatcher.queue, target.record.service, &key, now);
        out.queueWaits.push_back({key.service, now - waiting.waitingSince});
    }
    remove(dispatcher.queue, key, now);
    PlacedFlow &placed = dispatcher.placedFlows[key];
    placed = {};
    placed.waitedLong = now - waiting.waitingSince > longWaitThreshold;
    offerTo(dispatcher, table, waiting.flow, placed, target, now, out);
}

/// What became of a waiting flow.
enum class WaitingOutcome {
    Placed,
    Removed, ///< it can't be placed any more
    NoRoom, ///< it goes on to wait
};

WaitingOutcome tryWaiting(Dispatcher &dispatcher, TargetTable &table, const FlowKey &key, Time now, ForwardOutput &out)
{
    const EdgeRoute *route = findRoute(table, key.service);
    if (route == nullptr) {
        remove(dispatcher.queue, key, now);
        return WaitingOutcome::Removed;
    }
    const OpeningFlow &flow = dispatcher.queue.flows.at(key).flow;
    EdgeTarget *target = chooseTargetFor(dispatcher, table, flow, nullptr, *route, now);
    const Unplaceable why = target == nullptr ? whyUnplaceable(dispatcher, table, flow, *route, now) : Unplaceable::NoTarget;
    if (why == Unplaceable::Unreachable || why == Unplaceable::Evacuated) {
        dropUnplaceable(dispatcher, table, key, why, now, out);
        return WaitingOutcome::Removed;
    }
    if (target == nullptr || !hasRoom(*target, dispatcher.settings.flowsPerSlot)) {
        return WaitingOutcome::NoRoom;
    }
    offerWaiting(dispatcher, table, key, *target, now, out);
    return WaitingOutcome::Placed;
}

/// Places waiting flows in the order of nextToPlace() until no service with waiting flows has room.
/// @return whether further flows may be placed, which were left for the next pass
bool placeFairly(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out)
{
    if (dispatcher.queue.flows.empty()) {
        return false;
    }
    startPlacement(dispatcher.queue, now);
    int placed = 0;
    while (const std::optional<FlowKey> key = nextToPlace(dispatcher.queue, now)) {
        if (placed == maxPlacementsPerPass) {
            return true;
        }
        const WaitingOutcome outcome = tryWaiting(dispatcher, table, *key, now, out);
        placed += outcome == WaitingOutcome::Placed ? 1 : 0;
        if (outcome == WaitingOutcome::NoRoom) {
            skipServices(dispatcher.queue, *key);
        }
    }
    return false;
}

/// Places waiting flows in the order of nextWaiting() until no target has room for the next one. With slow start, flows of
/// other routes follow then, since flows for cold targets may wait for a long time.
void placeInOrder(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out)
{
    std::vector<Address> held;
    while (const std::optional<FlowKey> key = nextWaiting(dispatcher.queue, held, now)) {
        if (tryWaiting(dispatcher, table, *key, now, out) != WaitingOutcome::NoRoom) {
            continue;
        }
        if (!table.slowStart.settings.enabled || held.size() >= maxHeldRoutes) {
            return;
        }
        held.push_back(key->service);
    }
}

void placeWaiting(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out)
{
    if (dispatcher.placementHeldSince != never) {
        dispatcher.placementDue = true;
        return;
    }
    if (!dispatcher.queue.fair) {
        placeInOrder(dispatcher, table, now, out);
    } else if (placeFairly(dispatcher, table, now, out)) {
        dispatcher.nextSweepAt = now;
    }
}

void updateMeanServiceTime(Dispatcher &dispatcher, Time sample)
{
    constexpr double gain = 0.05;
    const auto value = static_cast<double>(sample);
    dispatcher.meanServiceTime = dispatcher.meanServiceTime == 0 ? value : dispatcher.meanServiceTime + gain * (value - dispatcher.meanServiceTime);
    dispatcher.queue.serviceTime = static_cast<Time>(dispatcher.meanServiceTime);
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
    remove(dispatcher.queue, notice.flow, now);
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
    if (dispatcher.queue.flows.contains(flow.key)) {
        out.heldNotices.push_back({flow.originNode, flow.key});
        return PlaceResult::Waiting;
    }
    if (refuseAgain(dispatcher, flow, now, out)) {
        return PlaceResult::Refused;
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
        return enqueueFlow(dispatcher, table, flow, *route, now, out);
    }
    recordPlacement(dispatcher.queue, target->record.service, nullptr, now);
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
    dispatcher.nextSweepAt = now + sweepInterval;
    placeWaiting(dispatcher, table, now, out);
    refuseHopeless(dispatcher, now, out);
    dispatcher.nextSweepAt = std::min(dispatcher.nextSweepAt, now + (dispatcher.queue.flows.empty() ? sweepInterval : waitingSweepInterval));
}

void resumePlacement(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out)
{
    dispatcher.placementHeldSince = never;
    if (std::exchange(dispatcher.placementDue, false)) {
        placeWaiting(dispatcher, table, now, out);
    }
}

Time nextDispatcherTick(const Dispatcher &dispatcher)
{
    return dispatcher.nextSweepAt;
}

} // namespace pimentofold
