#include <libpimentofold/queueing/waiting.h>

#include <algorithm>

#include <pimentofold/queueing/waitestimate.h>

#include <libpimentofold/queueing/unplaceable.h>

namespace pimentofold {

namespace {

QueueLimits queueLimits(const Dispatcher &dispatcher)
{
    return {dispatcher.settings.maxWaitingFlows, dispatcher.settings.maxWaitTime};
}

/// Handles a flow for which the admission queue has no place. It is refused if it couldn't be placed while its caller waits.
/// Otherwise the node that received it has to ask again, since a refusal takes one of the caller's few attempts.
/// @return the result of the placement
PlaceResult
turnAway(Dispatcher &dispatcher, const OpeningFlow &flow, const EdgeRoute &route, RefusalReason reason, bool hasWaited, Time now, ForwardOutput &out)
{
    if (flow.attempt == 1 && isHopelessAtEnd(dispatcher.queue, route, now - flow.openingAge, now)) {
        refuseFlow(dispatcher, flow, reason, hasWaited, now, out);
        return PlaceResult::Refused;
    }
    ++dispatcher.queue.deferred;
    recordOpening(dispatcher.queue.openings, flow.key, now - flow.openingAge, now);
    if (!hasWaited) {
        // A node whose flow has waited asks again in any case.
        out.heldNotices.push_back({flow.originNode, flow.key});
    }
    return PlaceResult::Waiting;
}

/// Applies the limit of the admission queue after a flow was added to it.
/// @return the result of the placement of the added flow; nothing when it keeps its place
std::optional<PlaceResult> limitQueue(Dispatcher &dispatcher, const TargetTable &table, const FlowKey &added, Time now, ForwardOutput &out)
{
    AdmissionQueue &queue = dispatcher.queue;
    if (queue.flows.size() <= dispatcher.settings.maxWaitingFlows) {
        return std::nullopt;
    }
    const WaitingFlow waiting = queue.flows.at(lastToPlace(queue, now));
    OpeningFlow last = waiting.flow;
    last.openingAge += now - waiting.waitingSince;
    remove(queue, last.key, now);
    const EdgeRoute *route = findRoute(table, last.key.service);
    const bool isAdded = last.key == added;
    const PlaceResult result = route == nullptr ? PlaceResult::NoRoute : turnAway(dispatcher, last, *route, RefusalReason::QueueFull, !isAdded, now, out);
    return isAdded ? std::optional(result) : std::nullopt;
}

} // namespace

PlaceResult enqueueFlow(Dispatcher &dispatcher, const TargetTable &table, const OpeningFlow &flow, const EdgeRoute &route, Time now, ForwardOutput &out)
{
    AdmissionQueue &queue = dispatcher.queue;
    if (!queue.fair && queue.flows.size() >= dispatcher.settings.maxWaitingFlows) {
        return PlaceResult::NoTarget;
    }
    WaitingFlow waiting{flow, route.urgency, route.responseTimeGoal, now};
    waiting.flow.openingAge = queue.fair ? ageOf(queue.openings, flow.key, flow.openingAge, now) : flow.openingAge;
    waiting.isRetry = queue.fair && isRetry(queue.refusals, flow.key, now);
    if (waiting.isRetry && exceedsRetryLimit(queue, queueLimits(dispatcher))) {
        return turnAway(dispatcher, waiting.flow, route, RefusalReason::RetryLimit, false, now, out);
    }
    enqueue(queue, std::move(waiting), route, queueLimits(dispatcher), now);
    if (const std::optional<PlaceResult> result = queue.fair ? limitQueue(dispatcher, table, flow.key, now, out) : std::nullopt) {
        return *result;
    }
    dispatcher.nextSweepAt = std::min(dispatcher.nextSweepAt, now + waitingSweepInterval);
    out.heldNotices.push_back({flow.originNode, flow.key});
    appendEvent(out, ForwardEvent::Waiting, flow.key, nullptr, flow.attempt, 0);
    return PlaceResult::Waiting;
}

void dropExpiredWaiting(Dispatcher &dispatcher, Time now, ForwardOutput &out)
{
    for (const WaitingFlow &it : takeExpired(dispatcher.queue, queueLimits(dispatcher), now)) {
        appendEvent(out, ForwardEvent::GivenUp, it.flow.key, nullptr, it.flow.attempt, now - it.waitingSince);
    }
}

void refuseHopeless(Dispatcher &dispatcher, Time now, ForwardOutput &out)
{
    if (!dispatcher.queue.fair || dispatcher.queue.flows.empty()) {
        return;
    }
    for (const WaitingFlow &it : takeHopeless(dispatcher.queue, now)) {
        refuseFlow(dispatcher, it.flow, RefusalReason::NoTime, true, now, out);
    }
}

bool refuseAgain(Dispatcher &dispatcher, const OpeningFlow &flow, Time now, ForwardOutput &out)
{
    RefusalRecords &refusals = dispatcher.queue.refusals;
    const std::optional<RefusalRecord> refusal = findRefusal(refusals, flow.key, now);
    if (!refusal) {
        return false;
    }
    if (flow.openingAge == 0 && flow.attempt == 1) {
        forgetRefusal(refusals, flow.key);
        return false;
    }
    if (flow.originNode != 0) {
        out.refusedNotices.push_back({flow.originNode, flow.key, refusal->reason});
    }
    return true;
}

} // namespace pimentofold
