#include <pimentofold/edgeforward.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

namespace {

constexpr Time sweepInterval = second;

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

/// @return the dispatcher of a flow, 0 when it is this node
Id dispatcherOf(const EdgeForwarder &forwarder, const FlowKey &key)
{
    const EdgeRoute *route = findRoute(forwarder.table, key.service);
    const auto table = route == nullptr ? forwarder.dispatchers.end() : forwarder.dispatchers.find(route->shares.front().service);
    if (table == forwarder.dispatchers.end()) {
        return 0;
    }
    const std::optional<InstanceKey> found = dispatcherFor(table->second, std::hash<FlowKey>{}(key));
    return !found || found->instance == forwarder.self.instance ? 0 : found->instance;
}

OpeningFlow toOpening(const FlowKey &key, const EdgeFlow &flow)
{
    OpeningFlow opening;
    opening.key = key;
    opening.opening = flow.opening;
    opening.attempt = flow.attempts;
    opening.openAge = flow.openAge;
    return opening;
}

void refuse(const FlowKey &key, ForwardOutput &out)
{
    out.resets.push_back({key, 0});
    appendNote(out, ForwardEvent::Refused, key, nullptr, 0, 0);
}

/// Offers a flow through its dispatcher, or places it here.
void offer(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    ++flow.attempts;
    flow.offeredAt = now;
    forwarder.checks.emplace(now + answerWait(forwarder), key);
    if (flow.dispatcher != 0) {
        out.openings.push_back({flow.dispatcher, flow.attempts, flow.opening});
        appendNote(out, ForwardEvent::Relayed, key, nullptr, flow.attempts, now - flow.startedAt);
        out.notes.back().node = flow.dispatcher;
        return;
    }
    const OpeningFlow opening = toOpening(key, flow);
    const PlaceResult result = placeFlow(forwarder.dispatcher, forwarder.table, opening, now, out);
    if (result == PlaceResult::NoTarget && flow.attempts == 1) {
        flow.stage = FlowStage::Ended;
        refuse(key, out);
    } else if (result == PlaceResult::Waiting) {
        noteHeld(forwarder, key, now);
    } else if (result == PlaceResult::Settled) {
        flow.attempts = forwarder.settings.mostAttempts;
    }
}

void noteMiss(EdgeForwarder &forwarder, Id dispatcher, Time now)
{
    DispatcherMisses &it = forwarder.misses[dispatcher];
    if (++it.misses >= forwarder.settings.mostDispatcherMisses && now >= it.avoidUntil) {
        it.avoidUntil = now + forwarder.settings.avoidTime;
        updateDispatchers(forwarder, now);
    }
}

void offerAgain(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    if (flow.dispatcher != 0 && flow.attempts >= 2) {
        // Neither the dispatcher's first target nor its second one has answered, so the fault may be its own.
        noteMiss(forwarder, flow.dispatcher, now);
        out.ended.push_back({flow.dispatcher, key, 0});
        flow.dispatcher = 0;
    }
    offer(forwarder, key, flow, now, out);
}

void handleCopy(EdgeForwarder &forwarder, const FlowPacket &packet, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    flow.packetAt = now;
    if (flow.stage == FlowStage::Opening) {
        if (now - flow.offeredAt >= answerWait(forwarder)) {
            flow.openAge = packet.openAge;
            offerAgain(forwarder, packet.flow, flow, now, out);
        }
        return;
    }
    // A copy that was overtaken by the rest of the flow.
    if (const EdgeTarget *target = findTarget(forwarder.table, flow.target)) {
        out.packets.push_back({target->record.address, target->record.id, target->token, std::string(packet.bytes)});
    }
}

void endFlow(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    if (flow.stage == FlowStage::Ended) {
        return;
    }
    flow.stage = FlowStage::Ended;
    const EdgeTarget *target = findTarget(forwarder.table, flow.target);
    appendNote(out, ForwardEvent::Ended, key, target, flow.attempts, now - flow.startedAt);
    if (flow.dispatcher != 0) {
        out.ended.push_back({flow.dispatcher, key, flow.target});
    }
    endPlacedFlow(forwarder.dispatcher, forwarder.table, key, flow.target, now, out);
}

void handleOpening(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    if (findRoute(forwarder.table, packet.flow.service) == nullptr) {
        appendNote(out, ForwardEvent::NoRoute, packet.flow, nullptr, 0, 0);
        return;
    }
    const auto known = forwarder.flows.find(packet.flow);
    if (known != forwarder.flows.end()) {
        if (packet.openAge > 0 || known->second.stage == FlowStage::Opening) {
            handleCopy(forwarder, packet, known->second, now, out);
            return;
        }
        endFlow(forwarder, packet.flow, known->second, now, out);
        forwarder.flows.erase(known);
    }
    EdgeFlow flow;
    flow.startedAt = now;
    flow.packetAt = now;
    flow.openAge = packet.openAge;
    flow.opening = packet.bytes;
    flow.dispatcher = dispatcherOf(forwarder, packet.flow);
    if (forwarder.flows.size() >= forwarder.settings.mostFlows) {
        flow.dispatcher = 0;
        flow.attempts = 1;
        placeFlow(forwarder.dispatcher, forwarder.table, toOpening(packet.flow, flow), now, out);
        return;
    }
    EdgeFlow &kept = forwarder.flows.emplace(packet.flow, std::move(flow)).first->second;
    offer(forwarder, packet.flow, kept, now, out);
}

void openFlow(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, EdgeTarget &target, Time now, ForwardOutput &out)
{
    if (flow.attempts == 1) {
        learnAnswerTime(forwarder, now - flow.offeredAt);
    }
    flow.stage = FlowStage::Open;
    flow.target = target.record.id;
    flow.opening.clear();
    flow.opening.shrink_to_fit();
    noteAnswered(target, now);
    if (flow.dispatcher != 0) {
        forwarder.misses.erase(flow.dispatcher);
    }
    appendNote(out, ForwardEvent::Opened, key, &target, flow.attempts, now - flow.startedAt);
}

/// @return the target of a packet after the opening one, nullptr when it is unknown
EdgeTarget *targetOf(EdgeForwarder &forwarder, const FlowPacket &packet, const EdgeFlow *flow)
{
    if (flow != nullptr && flow->stage != FlowStage::Opening) {
        if (EdgeTarget *target = findTarget(forwarder.table, flow->target)) {
            return target;
        }
    }
    return packet.token == 0 ? nullptr : findByToken(forwarder.table, packet.token, findRoute(forwarder.table, packet.flow.service));
}

/// Remembers a flow that was opened through another node.
EdgeFlow *adoptFlow(EdgeForwarder &forwarder, const FlowKey &key, const EdgeTarget &target, Time now, ForwardOutput &out)
{
    if (forwarder.flows.size() >= forwarder.settings.mostFlows) {
        return nullptr;
    }
    EdgeFlow flow;
    flow.stage = FlowStage::Open;
    flow.startedAt = now;
    flow.target = target.record.id;
    flow.dispatcher = dispatcherOf(forwarder, key);
    if (flow.dispatcher != 0) {
        out.opened.push_back({flow.dispatcher, key, flow.target});
    } else {
        openPlacedFlow(forwarder.dispatcher, forwarder.table, key, flow.target, now);
    }
    return &forwarder.flows.emplace(key, std::move(flow)).first->second;
}

void handleLater(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    const auto known = forwarder.flows.find(packet.flow);
    EdgeFlow *flow = known == forwarder.flows.end() ? nullptr : &known->second;
    EdgeTarget *target = targetOf(forwarder, packet, flow);
    if (target == nullptr) {
        appendNote(out, ForwardEvent::UnknownToken, packet.flow, nullptr, 0, 0);
        out.notes.back().token = packet.token;
        return;
    }
    if (flow == nullptr) {
        flow = adoptFlow(forwarder, packet.flow, *target, now, out);
    }
    if (flow != nullptr) {
        flow->packetAt = now;
        if (flow->stage == FlowStage::Opening) {
            openFlow(forwarder, packet.flow, *flow, *target, now, out);
        }
        if (packet.finishes || packet.resets) {
            endFlow(forwarder, packet.flow, *flow, now, out);
        }
    }
    out.packets.push_back({target->record.address, target->record.id, target->token, std::string(packet.bytes)});
}

void sweep(EdgeForwarder &forwarder, Time now)
{
    for (auto it = forwarder.flows.begin(); it != forwarder.flows.end();) {
        const EdgeFlow &flow = it->second;
        const Time idle = now - flow.packetAt;
        const bool done = flow.stage == FlowStage::Ended && idle >= forwarder.settings.endedRetention;
        it = done || idle >= forwarder.settings.idleLimit ? forwarder.flows.erase(it) : std::next(it);
    }
    forgetGoneTargets(forwarder.table, now);
}

void runChecks(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    while (!forwarder.checks.empty() && forwarder.checks.begin()->first <= now) {
        const FlowKey key = forwarder.checks.begin()->second;
        const bool tooLate = now - forwarder.checks.begin()->first > forwarder.settings.pauseLimit;
        forwarder.checks.erase(forwarder.checks.begin());
        const auto it = forwarder.flows.find(key);
        if (it == forwarder.flows.end() || it->second.stage != FlowStage::Opening) {
            continue;
        }
        if (tooLate || it->second.attempts >= forwarder.settings.mostAttempts) {
            // The caller may try again with a copy; until then the flow is no load.
            endPlacedFlow(forwarder.dispatcher, forwarder.table, key, 0, now, out);
            continue;
        }
        if (now - it->second.offeredAt >= forwarder.settings.leastAnswerWait) {
            offerAgain(forwarder, key, it->second, now, out);
        }
    }
}

} // namespace

bool canPlace(const EdgeForwarder &forwarder)
{
    return forwarder.table.configRevision > 0 && forwarder.table.targetHistory > 0 && !forwarder.table.targets.empty();
}

Time noteRunning(EdgeForwarder &forwarder, Time now)
{
    const Time gap = forwarder.ranAt == 0 ? 0 : now - forwarder.ranAt;
    forwarder.ranAt = now;
    if (gap <= forwarder.settings.pauseLimit) {
        return 0;
    }
    forwarder.backlogUntil = now + forwarder.settings.backlogTime;
    return gap;
}

void handlePacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    if (packet.opens && now < forwarder.backlogUntil) {
        appendNote(out, ForwardEvent::Stale, packet.flow, nullptr, 0, 0);
        return;
    }
    if (!canPlace(forwarder)) {
        if (forwarder.early.size() < forwarder.settings.mostEarly) {
            forwarder.early.push_back({std::string(packet.bytes), now});
            appendNote(out, ForwardEvent::Early, packet.flow, nullptr, 0, 0);
        }
        return;
    }
    if (packet.opens) {
        handleOpening(forwarder, packet, now, out);
    } else {
        handleLater(forwarder, packet, now, out);
    }
}

void placeForPeer(EdgeForwarder &forwarder, const OpeningFlow &flow, Time now, ForwardOutput &out)
{
    if (now < forwarder.backlogUntil) {
        appendNote(out, ForwardEvent::Stale, flow.key, nullptr, flow.attempt, 0);
    } else if (canPlace(forwarder)) {
        placeFlow(forwarder.dispatcher, forwarder.table, flow, now, out);
    }
}

void noteHeld(EdgeForwarder &forwarder, const FlowKey &flow, Time now)
{
    const auto it = forwarder.flows.find(flow);
    if (it == forwarder.flows.end() || it->second.stage != FlowStage::Opening) {
        return;
    }
    // The dispatcher has offered the flow to no target yet, so this attempt counts as none.
    it->second.attempts = std::max(it->second.attempts - 1, 0);
    it->second.offeredAt = now + forwarder.settings.heldWait - answerWait(forwarder);
    forwarder.checks.emplace(now + forwarder.settings.heldWait, flow);
}

void noteSettled(EdgeForwarder &forwarder, const FlowKey &flow)
{
    const auto it = forwarder.flows.find(flow);
    if (it != forwarder.flows.end() && it->second.stage == FlowStage::Opening) {
        it->second.attempts = forwarder.settings.mostAttempts;
    }
}

void openForPeer(EdgeForwarder &forwarder, const FlowKey &flow, std::uint64_t target, Time now)
{
    openPlacedFlow(forwarder.dispatcher, forwarder.table, flow, target, now);
}

void endForPeer(EdgeForwarder &forwarder, const FlowKey &flow, std::uint64_t target, Time now, ForwardOutput &out)
{
    endPlacedFlow(forwarder.dispatcher, forwarder.table, flow, target, now, out);
}

std::vector<InstanceKey> settledMembers(const std::vector<InstanceKey> &members)
{
    constexpr Time settlingTime = 3 * second;
    constexpr std::size_t oldestShare = 8; // one in so many
    std::vector<InstanceKey> byAge = members;
    std::ranges::sort(byAge, [](const InstanceKey &a, const InstanceKey &b) {
        return a.incarnation != b.incarnation ? a.incarnation < b.incarnation : a.instance < b.instance;
    });
    if (byAge.empty()) {
        return byAge;
    }
    const std::int64_t limit = byAge.back().incarnation - settlingTime;
    auto settled = static_cast<std::size_t>(std::ranges::count_if(byAge, [&](const InstanceKey &it) { return it.incarnation < limit; }));
    if (settled == 0) {
        settled = (byAge.size() + oldestShare - 1) / oldestShare;
    }
    byAge.resize(settled);
    return byAge;
}

void updateDispatchers(EdgeForwarder &forwarder, Time now)
{
    std::vector<InstanceKey> members;
    forwarder.rolesUntil = never;
    for (const InstanceKey &it : forwarder.members) {
        const auto missed = forwarder.misses.find(it.instance);
        if (missed != forwarder.misses.end() && missed->second.avoidUntil > now) {
            forwarder.rolesUntil = std::min(forwarder.rolesUntil, missed->second.avoidUntil);
            continue;
        }
        members.push_back(it);
    }
    const std::vector<InstanceKey> settled = settledMembers(members);
    forwarder.dispatchers.clear();
    for (const auto &[service, ids] : forwarder.table.services) {
        std::vector<TargetEntry> entries;
        int slots = 0;
        for (const std::uint64_t id : ids) {
            const EdgeTarget &target = *findTarget(forwarder.table, id);
            const bool serving = takesNewFlows(target, now);
            entries.push_back({static_cast<Id>(id), target.record.slots, serving});
            slots += serving ? target.record.slots : 0;
        }
        const int count = std::max((slots + forwarder.settings.slotsPerDispatcher - 1) / forwarder.settings.slotsPerDispatcher, 1);
        const DispatcherTable &table = forwarder.dispatchers[service] = makeDispatcherTable(idOf(service), entries, settled, count);
        for (const std::uint64_t id : ids) {
            const std::optional<InstanceKey> owner = ownerOfTarget(static_cast<Id>(id), table.dispatchers);
            findTarget(forwarder.table, id)->owned = !owner || owner->instance == forwarder.self.instance;
        }
    }
}

void tickForwarder(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    runChecks(forwarder, now, out);
    tickDispatcher(forwarder.dispatcher, forwarder.table, now, out);
    if (now >= forwarder.rolesUntil) {
        updateDispatchers(forwarder, now);
    }
    if (now >= forwarder.nextSweepAt) {
        forwarder.nextSweepAt = now + sweepInterval;
        sweep(forwarder, now);
    }
}

Time nextTick(const EdgeForwarder &forwarder)
{
    const Time check = forwarder.checks.empty() ? never : forwarder.checks.begin()->first;
    return std::min({check, forwarder.nextSweepAt, nextDispatcherTick(forwarder.dispatcher)});
}

std::vector<EarlyPacket> takeEarly(EdgeForwarder &forwarder, Time now)
{
    std::vector<EarlyPacket> early;
    early.swap(forwarder.early);
    std::erase_if(early, [&](const EarlyPacket &it) { return now - it.at > forwarder.settings.earlyLimit; });
    return early;
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
