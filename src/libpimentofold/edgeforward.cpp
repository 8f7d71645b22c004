#include <pimentofold/edgeforward.h>

#include <algorithm>
#include <cmath>
#include <span>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 9> eventNames{
    "flow_placed", "flow_offered_again", "flow_opened", "flow_ended", "packet_held", "no_route", "no_target", "unknown_token", "flow_refused"};

constexpr Time sweepInterval = second;

int loadOf(const EdgeTarget &target)
{
    return target.flows + target.peerFlows;
}

void note(ForwardOutput &out, ForwardEvent event, const FlowKey &key, const EdgeTarget *target, const EdgeFlow *flow, Time now)
{
    ForwardNote it;
    it.event = event;
    it.flow = key;
    if (target != nullptr) {
        it.target = target->record.id;
        it.token = target->token;
        it.load = loadOf(*target);
    }
    if (flow != nullptr) {
        it.offers = static_cast<int>(flow->offers);
        it.elapsed = now - flow->startedAt;
    }
    out.notes.push_back(it);
}

void forwardTo(const EdgeTarget &target, std::string_view bytes, ForwardOutput &out)
{
    out.packets.push_back({target.record.address, target.record.id, target.token, std::string(bytes)});
}

void uncount(EdgeForwarder &forwarder, EdgeFlow &flow)
{
    if (!flow.counted) {
        return;
    }
    flow.counted = false;
    if (EdgeTarget *target = findTarget(forwarder.table, flow.target)) {
        target->flows = std::max(target->flows - 1, 0);
    }
}

void assign(EdgeForwarder &forwarder, EdgeFlow &flow, EdgeTarget &target)
{
    if (flow.counted && flow.target == target.record.id) {
        return;
    }
    uncount(forwarder, flow);
    flow.target = target.record.id;
    flow.counted = true;
    ++target.flows;
}

void learnAnswerTime(EdgeForwarder &forwarder, Time sample)
{
    const auto value = static_cast<double>(sample);
    if (forwarder.answerTime == 0) {
        forwarder.answerTime = value;
        forwarder.answerDeviation = value / 2;
        return;
    }
    // The gains of TCP's estimate of round-trip times (RFC 6298).
    forwarder.answerDeviation += (std::abs(value - forwarder.answerTime) - forwarder.answerDeviation) / 4;
    forwarder.answerTime += (value - forwarder.answerTime) / 8;
}

/// Offers a flow to the next target.
void offer(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, const EdgeRoute &route, Time now, ForwardOutput &out)
{
    const std::span<const std::uint64_t> tried(flow.offered.data(), flow.offers);
    EdgeTarget *target = choosePlacement(forwarder.table, forwarder.settings.placement, route, tried, forwarder.settings.dataCentre, now, forwarder.random);
    if (target == nullptr) {
        note(out, ForwardEvent::NoTarget, key, nullptr, &flow, now);
        return;
    }
    if (flow.offers < mostOffers) {
        flow.offered[flow.offers++] = target->record.id;
    }
    assign(forwarder, flow, *target);
    target->usedAt = now;
    flow.offeredAt = now;
    if (isSuspected(*target, forwarder.settings.placement)) {
        // One flow at a time shows whether the target is back.
        target->trialAt = now + forwarder.settings.placement.mostTrialWait;
    }
    forwarder.checks.emplace(now + answerWait(forwarder), key);
    forwardTo(*target, flow.opening, out);
    note(out, flow.offers > 1 ? ForwardEvent::OfferedAgain : ForwardEvent::Placed, key, target, &flow, now);
}

/// Counts that the target of the last offer gave no sign, and offers the flow to another one.
void offerAgain(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    if (EdgeTarget *silent = findTarget(forwarder.table, flow.target)) {
        noteUnanswered(*silent, forwarder.settings.placement, now);
    }
    if (const EdgeRoute *route = findRoute(forwarder.table, key.service)) {
        offer(forwarder, key, flow, *route, now, out);
    }
}

void handleOpening(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    const EdgeRoute *route = findRoute(forwarder.table, packet.flow.service);
    if (route == nullptr) {
        note(out, ForwardEvent::NoRoute, packet.flow, nullptr, nullptr, now);
        return;
    }
    const auto known = forwarder.flows.find(packet.flow);
    if (known != forwarder.flows.end() && known->second.stage == FlowStage::Opening) {
        EdgeFlow &flow = known->second;
        flow.packetAt = now;
        if (now - flow.offeredAt >= answerWait(forwarder)) {
            offerAgain(forwarder, packet.flow, flow, now, out);
        }
        return;
    }
    if (known != forwarder.flows.end()) {
        if (packet.acknowledged > 0) {
            // A copy that was overtaken by the rest of the flow.
            if (const EdgeTarget *target = findTarget(forwarder.table, known->second.target)) {
                forwardTo(*target, packet.bytes, out);
            }
            return;
        }
        uncount(forwarder, known->second);
        forwarder.flows.erase(known);
    }
    if (forwarder.flows.size() >= forwarder.settings.mostFlows) {
        tickForwarder(forwarder, now, out);
    }
    EdgeFlow flow;
    flow.startedAt = now;
    flow.packetAt = now;
    flow.opening = packet.bytes;
    if (forwarder.flows.size() >= forwarder.settings.mostFlows) {
        offer(forwarder, packet.flow, flow, *route, now, out);
        uncount(forwarder, flow);
        return;
    }
    const auto it = forwarder.flows.emplace(packet.flow, std::move(flow)).first;
    offer(forwarder, packet.flow, it->second, *route, now, out);
    if (it->second.offers == 0) {
        forwarder.flows.erase(it);
        out.resets.push_back({packet.flow, 0});
        note(out, ForwardEvent::Refused, packet.flow, nullptr, nullptr, now);
    }
}

void openFlow(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, EdgeTarget &target, Time now, ForwardOutput &out)
{
    if (flow.target == target.record.id) {
        learnAnswerTime(forwarder, now - flow.offeredAt);
    }
    flow.stage = FlowStage::Open;
    flow.opening.clear();
    flow.opening.shrink_to_fit();
    assign(forwarder, flow, target);
    noteAnswered(target, now);
    note(out, ForwardEvent::Opened, key, &target, &flow, now);
}

void handleLater(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    const auto known = forwarder.flows.find(packet.flow);
    EdgeFlow *flow = known == forwarder.flows.end() ? nullptr : &known->second;
    EdgeTarget *target = nullptr;
    if (flow != nullptr && flow->stage != FlowStage::Opening) {
        target = findTarget(forwarder.table, flow->target);
    }
    if (target == nullptr && packet.token != 0) {
        target = findByToken(forwarder.table, packet.token, findRoute(forwarder.table, packet.flow.service));
    }
    if (target == nullptr) {
        note(out, ForwardEvent::UnknownToken, packet.flow, nullptr, flow, now);
        out.notes.back().token = packet.token;
        return;
    }
    if (flow == nullptr && forwarder.flows.size() < forwarder.settings.mostFlows) {
        EdgeFlow adopted;
        adopted.startedAt = now;
        adopted.stage = FlowStage::Open;
        adopted.target = target->record.id;
        flow = &forwarder.flows.emplace(packet.flow, std::move(adopted)).first->second;
    }
    if (flow != nullptr) {
        flow->packetAt = now;
        if (flow->stage == FlowStage::Opening) {
            openFlow(forwarder, packet.flow, *flow, *target, now, out);
        }
        if ((packet.finishes || packet.resets) && flow->stage == FlowStage::Open) {
            flow->stage = FlowStage::Ended;
            uncount(forwarder, *flow);
            note(out, ForwardEvent::Ended, packet.flow, target, flow, now);
        }
    }
    forwardTo(*target, packet.bytes, out);
}

void sweep(EdgeForwarder &forwarder, Time now)
{
    const ForwardSettings &settings = forwarder.settings;
    for (auto it = forwarder.flows.begin(); it != forwarder.flows.end();) {
        EdgeFlow &flow = it->second;
        const Time idle = now - flow.packetAt;
        if (idle >= settings.silentLimit) {
            uncount(forwarder, flow);
        }
        const bool done = flow.stage == FlowStage::Ended && idle >= settings.endedRetention;
        it = done || idle >= settings.idleLimit ? forwarder.flows.erase(it) : std::next(it);
    }
    forgetGoneTargets(forwarder.table, now);
}

} // namespace

std::string_view name(ForwardEvent event)
{
    return eventNames.at(static_cast<std::size_t>(event));
}

bool canPlace(const EdgeForwarder &forwarder)
{
    return forwarder.table.config.revision > 0 && !forwarder.table.targets.empty();
}

void handlePacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    if (!canPlace(forwarder)) {
        if (forwarder.held.size() < forwarder.settings.mostHeld) {
            forwarder.held.push_back({std::string(packet.bytes), now});
            note(out, ForwardEvent::Held, packet.flow, nullptr, nullptr, now);
        }
        return;
    }
    if (packet.opens) {
        handleOpening(forwarder, packet, now, out);
    } else {
        handleLater(forwarder, packet, now, out);
    }
}

void tickForwarder(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    while (!forwarder.checks.empty() && forwarder.checks.begin()->first <= now) {
        const FlowKey key = forwarder.checks.begin()->second;
        forwarder.checks.erase(forwarder.checks.begin());
        const auto it = forwarder.flows.find(key);
        if (it == forwarder.flows.end() || it->second.stage != FlowStage::Opening || it->second.offers >= mostOffers) {
            continue;
        }
        if (now - it->second.offeredAt >= forwarder.settings.leastAnswerWait) {
            offerAgain(forwarder, key, it->second, now, out);
        }
    }
    if (now >= forwarder.nextSweepAt) {
        forwarder.nextSweepAt = now + sweepInterval;
        sweep(forwarder, now);
    }
}

Time nextTick(const EdgeForwarder &forwarder)
{
    const Time check = forwarder.checks.empty() ? never : forwarder.checks.begin()->first;
    return std::min(check, forwarder.nextSweepAt);
}

std::vector<HeldPacket> takeHeld(EdgeForwarder &forwarder, Time now)
{
    std::vector<HeldPacket> held;
    held.swap(forwarder.held);
    std::erase_if(held, [&](const HeldPacket &it) { return now - it.at > forwarder.settings.heldLimit; });
    return held;
}

Time answerWait(const EdgeForwarder &forwarder)
{
    const ForwardSettings &settings = forwarder.settings;
    if (forwarder.answerTime == 0) {
        return settings.firstAnswerWait;
    }
    const auto wait = static_cast<Time>(2 * forwarder.answerTime + 4 * forwarder.answerDeviation);
    return std::clamp(wait, settings.leastAnswerWait, settings.mostAnswerWait);
}

} // namespace pimentofold
