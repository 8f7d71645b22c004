#include <libpimentofold/queueing/unplaceable.h>

#include <pimentofold/evacuation/evacuation.h>
#include <pimentofold/reachability/reachability.h>

namespace pimentofold {

namespace {

PlacementQuery queryFor(const Dispatcher &dispatcher, const OpeningFlow &flow, std::span<const std::uint64_t> tried, const EdgeRoute &route)
{
    return {route, tried, dispatcher.settings.dataCentre, flow.preferOwned, dispatcher.settings.flowsPerSlot, flow.attempt, dispatcher.queue.fair};
}

} // namespace

EdgeTarget *chooseTargetFor(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, const PlacedFlow *placed, const EdgeRoute &route, Time now)
{
    const std::span<const std::uint64_t> tried =
        placed == nullptr ? std::span<const std::uint64_t>() : std::span<const std::uint64_t>(placed->offeredTargets.data(), placed->offerCount);
    const PlacementQuery query = queryFor(dispatcher, flow, tried, route);
    return choosePlacementTarget(table, dispatcher.settings.placement, query, now, dispatcher.random);
}

Unplaceable whyUnplaceable(const Dispatcher &dispatcher, const TargetTable &table, const OpeningFlow &flow, const EdgeRoute &route, Time now)
{
    if (isHeldBackByColdLimit(table, dispatcher.settings.placement, queryFor(dispatcher, flow, {}, route), now)) {
        return Unplaceable::HeldBack;
    }
    if (hasOnlyUnreachableTargets(table, route, now)) {
        return Unplaceable::Unreachable;
    }
    return hasEvacuatedTargets(table, route, now) ? Unplaceable::Evacuated : Unplaceable::NoTarget;
}

void refuseFlow(Dispatcher &dispatcher, const OpeningFlow &flow, RefusalReason reason, bool hasWaited, Time now, ForwardOutput &out)
{
    if (dispatcher.queue.fair) {
        recordRefusal(dispatcher.queue.refusals, flow.key, reason, now);
    }
    if (hasWaited || flow.originNode != 0) {
        out.refusedNotices.push_back({flow.originNode, flow.key, reason});
    }
}

void dropUnplaceable(Dispatcher &dispatcher, const TargetTable &table, const FlowKey &key, Unplaceable why, Time now, ForwardOutput &out)
{
    const WaitingFlow waiting = dispatcher.queue.flows.at(key);
    remove(dispatcher.queue, key, now);
    appendEvent(out, ForwardEvent::NoTarget, key, nullptr, waiting.flow.attempt, now - waiting.waitingSince);
    const bool isUnreachable = why == Unplaceable::Unreachable;
    if (!isUnreachable || refusesUnreachable(table.reachability, now)) {
        refuseFlow(dispatcher, waiting.flow, isUnreachable ? RefusalReason::Unreachable : RefusalReason::Evacuated, true, now, out);
    }
}

} // namespace pimentofold
