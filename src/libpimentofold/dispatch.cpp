#include <pimentofold/dispatch.h>

#include <algorithm>
#include <span>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 13> eventNames{"flow_placed",
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
                                                      "flow_refused"};

constexpr Time sweepInterval = second;
/// While flows wait, targets may gain room without a notice.
constexpr Time waitingInterval = 20 * millisecond;
/// The caller of a flow that waited longer may have given up, so that a missing answer says nothing about the target.
constexpr Time longWait = 100 * millisecond;

void uncount(TargetTable &table, PlacedFlow &flow)
{
    if (!flow.counted) {
        return;
    }
    flow.counted = false;
    if (EdgeTarget *target = findTarget(table, flow.target)) {
        target->flows = std::max(target->flows - 1, 0);
    }
}

bool hasRoom(const EdgeTarget &target, const DispatchSettings &settings)
{
    return target.flows < target.record.slots * settings.flowsPerSlot + 1;
}

void sendTo(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, PlacedFlow &placed, EdgeTarget &target, Time now, ForwardOutput &out)
{
    uncount(table, placed);
    if (placed.offers < mostOffers) {
        placed.offered[placed.offers++] = target.record.id;
    }
    placed.target = target.record.id;
    placed.counted = true;
    placed.placedAt = now;
    ++target.flows;
    target.usedAt = now;
    if (isSuspected(target, dispatcher.settings.placement)) {
        // One flow at a time shows whether the target is back.
        target.trialAt = now + dispatcher.settings.placement.mostTrialWait;
    }
    out.packets.push_back({target.record.address, target.record.id, target.token, flow.opening});
    appendNote(out, placed.offers > 1 ? ForwardEvent::OfferedAgain : ForwardEvent::Placed, flow.key, &target, static_cast<int>(placed.offers), 0);
}

PlaceResult letWait(Dispatcher &dispatcher, const OpeningFlow &flow, const EdgeRoute &route, Time now, ForwardOutput &out)
{
    if (dispatcher.waiting.size() >= dispatcher.settings.mostWaiting) {
        return PlaceResult::NoTarget;
    }
    dispatcher.waiting.insert_or_assign(flow.key, WaitingFlow{flow, route.urgency, route.aim, now});
    dispatcher.nextSweepAt = std::min(dispatcher.nextSweepAt, now + waitingInterval);
    out.held.push_back({flow.origin, flow.key});
    appendNote(out, ForwardEvent::Waiting, flow.key, nullptr, flow.attempt, 0);
    return PlaceResult::Waiting;
}

EdgeTarget *choose(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, const PlacedFlow *placed, const EdgeRoute &route, Time now)
{
    const std::span<const std::uint64_t> tried =
        placed == nullptr ? std::span<const std::uint64_t>() : std::span<const std::uint64_t>(placed->offered.data(), placed->offers);
    PlacementQuery query{route, tried, dispatcher.settings.dataCentre, flow.ownTargets};
    return choosePlacement(table, dispatcher.settings.placement, query, now, dispatcher.random);
}

/// Order in which waiting flows get room: those that can still be answered in time, the most urgent and then the
/// oldest first; then the late ones, those with the fewest copies first, since their callers are the least likely to have
/// given up.
bool goesBefore(const WaitingFlow &a, const WaitingFlow &b, Time now, Time serviceTime)
{
    const auto isLate = [&](const WaitingFlow &it) { return it.aim > 0 && it.flow.openAge + (now - it.since) + serviceTime > it.aim; };
    const bool lateA = isLate(a);
    const bool lateB = isLate(b);
    if (lateA != lateB) {
        return lateB;
    }
    if (!lateA && a.urgency != b.urgency) {
        return a.urgency < b.urgency;
    }
    if (lateA && a.flow.openAge != b.flow.openAge) {
        return a.flow.openAge < b.flow.openAge;
    }
    return a.since < b.since;
}

/// Places waiting flows in order until one finds no room.
void placeWaiting(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out)
{
    const auto serviceTime = static_cast<Time>(dispatcher.serviceTime);
    while (!dispatcher.waiting.empty()) {
        const auto next =
            std::ranges::min_element(dispatcher.waiting, [&](const auto &a, const auto &b) { return goesBefore(a.second, b.second, now, serviceTime); });
        const EdgeRoute *route = findRoute(table, next->first.service);
        if (route == nullptr) {
            dispatcher.waiting.erase(next);
            continue;
        }
        EdgeTarget *target = choose(dispatcher, table, next->second.flow, nullptr, *route, now);
        if (target == nullptr || !hasRoom(*target, dispatcher.settings)) {
            return;
        }
        const OpeningFlow flow = std::move(next->second.flow);
        const Time since = next->second.since;
        dispatcher.waiting.erase(next);
        PlacedFlow &placed = dispatcher.flows[flow.key];
        placed = {};
        placed.waited = now - since > longWait;
        sendTo(dispatcher, table, flow, placed, *target, now, out);
    }
}

void giveUpWaiting(Dispatcher &dispatcher, Time now, ForwardOutput &out)
{
    std::erase_if(dispatcher.waiting, [&](const auto &it) {
        const bool over = now - it.second.since > dispatcher.settings.waitLimit;
        if (over) {
            appendNote(out, ForwardEvent::GivenUp, it.first, nullptr, it.second.flow.attempt, now - it.second.since);
        }
        return over;
    });
}

void learnServiceTime(Dispatcher &dispatcher, Time sample)
{
    constexpr double gain = 0.05;
    const auto value = static_cast<double>(sample);
    dispatcher.serviceTime = dispatcher.serviceTime == 0 ? value : dispatcher.serviceTime + gain * (value - dispatcher.serviceTime);
}

} // namespace

std::string_view name(ForwardEvent event)
{
    return eventNames.at(static_cast<std::size_t>(event));
}

void appendNote(ForwardOutput &out, ForwardEvent event, const FlowKey &key, const EdgeTarget *target, int attempts, Time elapsed)
{
    ForwardNote note;
    note.event = event;
    note.flow = key;
    if (target != nullptr) {
        note.target = target->record.id;
        note.token = target->token;
        note.load = target->flows;
    }
    note.attempts = attempts;
    note.elapsed = elapsed;
    out.notes.push_back(note);
}

PlaceResult placeFlow(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, Time now, ForwardOutput &out)
{
    const EdgeRoute *route = findRoute(table, flow.key.service);
    if (route == nullptr) {
        appendNote(out, ForwardEvent::NoRoute, flow.key, nullptr, flow.attempt, 0);
        return PlaceResult::NoRoute;
    }
    if (dispatcher.waiting.contains(flow.key)) {
        out.held.push_back({flow.origin, flow.key});
        return PlaceResult::Waiting;
    }
    const auto known = dispatcher.flows.find(flow.key);
    PlacedFlow *placed = known == dispatcher.flows.end() ? nullptr : &known->second;
    if (placed != nullptr && flow.attempt == 1) {
        if (now - placed->placedAt < dispatcher.settings.waitLimit) {
            // Asked for while it waited here; it was placed meanwhile.
            return PlaceResult::Placed;
        }
        // The caller uses the port for a new flow.
        uncount(table, *placed);
        *placed = {};
    }
    if (placed != nullptr && placed->offers > 0 && (placed->opened || placed->waited)) {
        if (!placed->opened) {
            uncount(table, *placed);
        }
        out.settled.push_back({flow.origin, flow.key});
        return PlaceResult::Settled;
    }
    if (placed != nullptr && placed->offers > 0) {
        if (EdgeTarget *silent = findTarget(table, placed->target)) {
            noteUnanswered(*silent, dispatcher.settings.placement, now);
        }
    }
    EdgeTarget *target = choose(dispatcher, table, flow, placed, *route, now);
    if (target == nullptr) {
        appendNote(out, ForwardEvent::NoTarget, flow.key, nullptr, flow.attempt, 0);
        return PlaceResult::NoTarget;
    }
    const bool isFirst = placed == nullptr || placed->offers == 0;
    if (isFirst && !hasRoom(*target, dispatcher.settings)) {
        return letWait(dispatcher, flow, *route, now, out);
    }
    if (placed == nullptr && dispatcher.flows.size() >= dispatcher.settings.mostFlows) {
        // Beyond the limit flows are placed but not remembered.
        PlacedFlow forgotten;
        sendTo(dispatcher, table, flow, forgotten, *target, now, out);
        uncount(table, forgotten);
        return PlaceResult::Placed;
    }
    sendTo(dispatcher, table, flow, placed == nullptr ? dispatcher.flows[flow.key] : *placed, *target, now, out);
    return PlaceResult::Placed;
}

void openPlacedFlow(Dispatcher &dispatcher, TargetTable &table, const FlowKey &key, std::uint64_t target, Time now)
{
    if (EdgeTarget *answered = findTarget(table, target)) {
        noteAnswered(*answered, now);
    }
    const auto it = dispatcher.flows.find(key);
    if (it != dispatcher.flows.end()) {
        it->second.opened = true;
    }
}

void endPlacedFlow(Dispatcher &dispatcher, TargetTable &table, const FlowKey &key, std::uint64_t target, Time now, ForwardOutput &out)
{
    if (EdgeTarget *answered = findTarget(table, target)) {
        noteAnswered(*answered, now);
    }
    dispatcher.waiting.erase(key);
    const auto it = dispatcher.flows.find(key);
    if (it == dispatcher.flows.end()) {
        return;
    }
    if (target != 0) {
        learnServiceTime(dispatcher, now - it->second.placedAt);
    }
    uncount(table, it->second);
    dispatcher.flows.erase(it);
    placeWaiting(dispatcher, table, now, out);
}

void tickDispatcher(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out)
{
    if (now < dispatcher.nextSweepAt) {
        return;
    }
    for (auto it = dispatcher.flows.begin(); it != dispatcher.flows.end();) {
        if (now - it->second.placedAt < dispatcher.settings.flowMemory) {
            ++it;
            continue;
        }
        uncount(table, it->second);
        it = dispatcher.flows.erase(it);
    }
    giveUpWaiting(dispatcher, now, out);
    placeWaiting(dispatcher, table, now, out);
    dispatcher.nextSweepAt = now + (dispatcher.waiting.empty() ? sweepInterval : waitingInterval);
}

Time nextDispatcherTick(const Dispatcher &dispatcher)
{
    return dispatcher.nextSweepAt;
}

} // namespace pimentofold
