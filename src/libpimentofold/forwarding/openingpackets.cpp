#include <libpimentofold/forwarding/openingpackets.h>

#include <pimentofold/backlog/relayedopenings.h>
#include <pimentofold/balancing/balancing.h>
#include <pimentofold/evacuation/evacuation.h>
#include <pimentofold/reachability/reachability.h>

#include <libpimentofold/flowlocation/locationreports.h>

namespace pimentofold {

namespace {

OpeningFlow toOpeningFlow(const EdgeForwarder &forwarder, const FlowKey &key, const EdgeFlow &flow)
{
    OpeningFlow opening;
    opening.key = key;
    opening.openingPacket = flow.openingPacket;
    opening.attempt = flow.attempts;
    opening.openingAge = flow.openingAge;
    opening.dataCentre = forwarder.dispatcher.settings.dataCentre;
    return opening;
}

void resetRefused(const FlowKey &key, RefusalReason reason, ForwardOutput &out)
{
    out.resets.push_back({key, 0});
    appendEvent(out, ForwardEvent::Refused, key, nullptr, 0, 0);
    out.events.back().reason = reason;
}

/// @return whether a flow has to be refused after this result of its placement
bool mustRefuse(PlaceResult result, const Reachability &reachability, Time now)
{
    const bool isUnreachable = result == PlaceResult::Unreachable && refusesUnreachable(reachability, now);
    return result == PlaceResult::Evacuated || result == PlaceResult::Refused || isUnreachable;
}

/// @return why a flow has to be refused after this result of its placement at this node
RefusalReason refusalReason(const Dispatcher &dispatcher, PlaceResult result, const FlowKey &key, Time now)
{
    if (result == PlaceResult::Evacuated || result == PlaceResult::Unreachable) {
        return result == PlaceResult::Evacuated ? RefusalReason::Evacuated : RefusalReason::Unreachable;
    }
    const std::optional<RefusalRecord> refusal = findRefusal(dispatcher.queue.refusals, key, now);
    return refusal ? refusal->reason : RefusalReason::NoTarget;
}

/// @return whether the node that received an opening packet is in this node's data centre
bool isFromOwnDataCentre(const EdgeForwarder &forwarder, const OpeningFlow &flow)
{
    const auto origin = forwarder.memberDataCentres.find(flow.originNode);
    return flow.originNode == 0 || (origin != forwarder.memberDataCentres.end() && origin->second == forwarder.balancing.dataCentre);
}

/// Makes this node the dispatcher of a flow that opens, and tells the previous one, which may have got an earlier attempt.
void leaveDispatcher(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    if (flow.relayed) {
        flow.leftDispatcher = true;
        flow.relayed = false;
        notifyDispatcher(forwarder, {FlowNoticeKind::Ended, flow.dispatcher, key, 0}, now, out);
    }
    flow.dispatcher = 0;
}

/// Starts a placement attempt: relays the opening packet to the flow's dispatcher, or places the flow at this node.
void attemptPlacement(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    ++flow.attempts;
    flow.lastOfferAt = now;
    forwarder.answerChecks.emplace(now + answerTimeout(forwarder), key);
    Reachability &reachability = forwarder.table.reachability;
    if (isStranded(reachability, key.service) || isUnreachableNode(reachability, flow.dispatcher)) {
        leaveDispatcher(forwarder, key, flow, now, out);
    }
    if (flow.dispatcher != 0) {
        recordRelay(reachability, flow.dispatcher, now);
        flow.relayed = true;
        out.relayedOpenings.push_back({flow.dispatcher, flow.attempts, flow.openingPacket, 0, flow.openingAge});
        appendEvent(out, ForwardEvent::Relayed, key, nullptr, flow.attempts, now - flow.startedAt);
        out.events.back().node = flow.dispatcher;
        return;
    }
    const OpeningFlow opening = toOpeningFlow(forwarder, key, flow);
    if (relayElsewhere(forwarder, opening, now, out)) {
        return;
    }
    const PlaceResult result = placeFlow(forwarder.dispatcher, forwarder.table, opening, now, out);
    if (result == PlaceResult::NoTarget && flow.attempts == 1) {
        flow.stage = FlowStage::Ended;
        resetRefused(key, RefusalReason::NoTarget, out);
    } else if (mustRefuse(result, reachability, now)) {
        refuseUnplaceableFlow(key, flow, refusalReason(forwarder.dispatcher, result, key, now), out);
    } else if (result == PlaceResult::Waiting) {
        handleHeldNotice(forwarder, 0, key, now);
    } else if (result == PlaceResult::Settled) {
        flow.attempts = forwarder.settings.maxAttempts;
    }
}

void recordDispatcherMiss(EdgeForwarder &forwarder, Id dispatcher, Time now)
{
    DispatcherMisses &it = forwarder.dispatcherMisses[dispatcher];
    if (++it.misses >= forwarder.settings.maxDispatcherMisses && now >= it.avoidUntil) {
        it.avoidUntil = now + forwarder.settings.dispatcherAvoidTime;
        updateDispatchers(forwarder, now);
    }
}

void handleRetransmission(EdgeForwarder &forwarder, const FlowPacket &packet, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    flow.lastPacketAt = now;
    ++flow.openingCopies;
    if (flow.stage == FlowStage::Opening) {
        if (now - flow.lastOfferAt >= answerTimeout(forwarder)) {
            flow.openingAge = packet.openingAge + packet.heldFor;
            retryPlacement(forwarder, packet.flow, flow, now, out);
        }
        return;
    }
    // A retransmission that arrived after later packets of the flow. An evacuated target gets no opening packet, whatever the flow.
    if (const EdgeTarget *target = findTarget(forwarder.table, flow.target); target != nullptr && !isEvacuated(forwarder.table, *target)) {
        if (isCold(forwarder.table, *target, now)) {
            // It would count as a further opening, and the target has the flow already.
            ++forwarder.table.slowStart.limited;
            return;
        }
        out.packets.push_back({target->record.address, target->record.id, target->token, std::string(packet.bytes)});
    }
}

} // namespace

Id dispatcherOf(const EdgeForwarder &forwarder, const FlowKey &key)
{
    const EdgeRoute *route = findRoute(forwarder.table, key.service);
    const auto table = route == nullptr ? forwarder.dispatchers.end() : forwarder.dispatchers.find(route->weightedServices.front().service);
    if (table == forwarder.dispatchers.end()) {
        return 0;
    }
    const std::optional<InstanceKey> found = dispatcherFor(table->second, std::hash<FlowKey>{}(key));
    return !found || found->instance == forwarder.self.instance ? 0 : found->instance;
}

void refuseUnplaceableFlow(const FlowKey &key, EdgeFlow &flow, RefusalReason reason, ForwardOutput &out)
{
    flow.stage = FlowStage::Ended;
    flow.refused = true;
    resetRefused(key, reason, out);
}

bool relayElsewhere(EdgeForwarder &forwarder, const OpeningFlow &flow, Time now, ForwardOutput &out)
{
    if (flow.attempt > 1) {
        withdrawElsewhere(forwarder, flow.key, out);
        return false;
    }
    const Dispatcher &dispatcher = forwarder.dispatcher;
    const bool isKnown = dispatcher.placedFlows.contains(flow.key) || dispatcher.queue.flows.contains(flow.key);
    if (forwarder.balancing.services.empty() || isKnown || !isFromOwnDataCentre(forwarder, flow)) {
        return false;
    }
    const EdgeRoute *route = findRoute(forwarder.table, flow.key.service);
    if (route == nullptr) {
        return false;
    }
    const std::string &service = route->weightedServices.front().service;
    countOpening(forwarder.balancing, service);
    const std::optional<Id> to = remoteDispatcherFor(forwarder.balancing, service, std::hash<FlowKey>{}(flow.key));
    if (!to) {
        return false;
    }
    ++forwarder.balancing.flowsLeft;
    forwarder.relayedElsewhere[flow.key] = {*to, now};
    out.relayedOpenings.push_back({*to, flow.attempt, flow.openingPacket, flow.originNode, flow.openingAge});
    appendEvent(out, ForwardEvent::Relayed, flow.key, nullptr, flow.attempt, 0);
    out.events.back().node = *to;
    return true;
}

void notifyDispatcher(EdgeForwarder &forwarder, const FlowNotice &notice, Time now, ForwardOutput &out)
{
    if (notice.dispatcher != 0) {
        out.flowNotices.push_back(notice);
    } else {
        handleFlowNotice(forwarder.dispatcher, forwarder.table, notice, now, out);
    }
}

void retryPlacement(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    if (flow.dispatcher != 0 && flow.attempts >= 2) {
        // Neither the first nor the second target that the dispatcher chose has answered, so the dispatcher itself may be at fault.
        recordDispatcherMiss(forwarder, flow.dispatcher, now);
        leaveDispatcher(forwarder, key, flow, now, out);
    }
    attemptPlacement(forwarder, key, flow, now, out);
}

void withdrawOffers(EdgeForwarder &forwarder, const FlowKey &key, Time now, ForwardOutput &out)
{
    const auto it = forwarder.flows.find(key);
    if (it == forwarder.flows.end() || it->second.stage != FlowStage::Opening) {
        return;
    }
    const EdgeFlow &flow = it->second;
    appendEvent(out, ForwardEvent::Withdrawn, key, nullptr, flow.attempts, now - flow.startedAt + flow.startAge);
    notifyDispatcher(forwarder, {FlowNoticeKind::Ended, flow.dispatcher, key, 0}, now, out);
    if (flow.dispatcher != 0) {
        notifyDispatcher(forwarder, {FlowNoticeKind::Ended, 0, key, 0}, now, out);
    }
    forwarder.flows.erase(it);
}

void endFlow(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    if (flow.stage == FlowStage::Ended) {
        return;
    }
    flow.stage = FlowStage::Ended;
    if (flow.locationReported) {
        reportFlowEnd(forwarder, key, flow, out);
    }
    const EdgeTarget *target = findTarget(forwarder.table, flow.target);
    appendEvent(out, ForwardEvent::Ended, key, target, flow.attempts, now - flow.startedAt);
    notifyDispatcher(forwarder, {FlowNoticeKind::Ended, flow.dispatcher, key, flow.target}, now, out);
    if (flow.dispatcher != 0) {
        // This node may have offered the flow itself as well, when the dispatcher didn't answer.
        notifyDispatcher(forwarder, {FlowNoticeKind::Ended, 0, key, flow.target}, now, out);
    }
}

void handleOpeningPacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    if (findRoute(forwarder.table, packet.flow.service) == nullptr) {
        appendEvent(out, ForwardEvent::NoRoute, packet.flow, nullptr, 0, 0);
        return;
    }
    const auto existing = forwarder.flows.find(packet.flow);
    if (existing != forwarder.flows.end()) {
        if ((packet.openingAge > 0 && !existing->second.refused) || existing->second.stage == FlowStage::Opening) {
            handleRetransmission(forwarder, packet, existing->second, now, out);
            return;
        }
        endFlow(forwarder, packet.flow, existing->second, now, out);
        forwarder.flows.erase(existing);
    }
    if (packet.openingAge + packet.heldFor >= openingTimeout) {
        // The caller has given the flow up while this node held the packet.
        appendEvent(out, ForwardEvent::Stale, packet.flow, nullptr, 0, packet.openingAge + packet.heldFor);
        return;
    }
    dropQuestion(forwarder.locations, packet.flow);
    forgetLocation(forwarder.locations, packet.flow, std::nullopt);
    recordRouteOpening(forwarder.table.reachability, packet.flow.service, now);
    EdgeFlow flow;
    flow.startAge = packet.openingAge + packet.heldFor;
    flow.openingCopies = 1;
    flow.startedAt = now;
    flow.lastPacketAt = now;
    flow.sequence = packet.sequence;
    flow.openingAge = packet.openingAge + packet.heldFor;
    flow.openingPacket = packet.bytes;
    flow.dispatcher = dispatcherOf(forwarder, packet.flow);
    if (forwarder.flows.size() >= forwarder.settings.maxFlows) {
        flow.dispatcher = 0;
        flow.attempts = 1;
        const PlaceResult result = placeFlow(forwarder.dispatcher, forwarder.table, toOpeningFlow(forwarder, packet.flow, flow), now, out);
        if (mustRefuse(result, forwarder.table.reachability, now)) {
            resetRefused(packet.flow, refusalReason(forwarder.dispatcher, result, packet.flow, now), out);
        }
        return;
    }
    EdgeFlow &stored = forwarder.flows.emplace(packet.flow, std::move(flow)).first->second;
    attemptPlacement(forwarder, packet.flow, stored, now, out);
}

} // namespace pimentofold
