#include <pimentofold/edgeforward.h>

#include <algorithm>
#include <cmath>

#include <pimentofold/backlog/relayedopenings.h>
#include <pimentofold/balancing/balancing.h>
#include <pimentofold/evacuation/evacuation.h>
#include <pimentofold/outlier/outlier.h>
#include <pimentofold/reachability/reachability.h>
#include <pimentofold/targetloss/targetloss.h>

#include <libpimentofold/flowlocation/locationreports.h>

namespace pimentofold {

namespace {

constexpr Time sweepInterval = second;

void updateAnswerTime(EdgeForwarder &forwarder, Time sample)
{
    const auto value = static_cast<double>(sample);
    if (forwarder.meanAnswerTime == 0) {
        forwarder.meanAnswerTime = value;
        forwarder.answerTimeDeviation = value / 2;
        return;
    }
    // Gains of TCP's round-trip time estimation (RFC 6298).
    forwarder.answerTimeDeviation += (std::abs(value - forwarder.meanAnswerTime) - forwarder.answerTimeDeviation) / 4;
    forwarder.meanAnswerTime += (value - forwarder.meanAnswerTime) / 8;
}

/// @return the dispatcher of a flow; 0 when this node is the dispatcher or none is known
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

/// Refuses a flow that no target may get, or none in time. Its caller may open another flow at once.
void refuseUnplaceableFlow(const FlowKey &key, EdgeFlow &flow, RefusalReason reason, ForwardOutput &out)
{
    flow.stage = FlowStage::Ended;
    flow.refused = true;
    resetRefused(key, reason, out);
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

/// Relays an opening packet to another data centre if the flow is to leave this one. Only first attempts leave, so that a
/// dispatcher elsewhere that doesn't answer costs one attempt. An opening packet from another data centre never leaves again.
/// @return whether the packet was relayed
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
    out.relayedOpenings.push_back({*to, flow.attempt, flow.openingPacket, flow.originNode});
    appendEvent(out, ForwardEvent::Relayed, flow.key, nullptr, flow.attempt, 0);
    out.events.back().node = *to;
    return true;
}

/// Sends a notice to a flow's dispatcher, or handles it at once if this node is the dispatcher.
void notifyDispatcher(EdgeForwarder &forwarder, const FlowNotice &notice, Time now, ForwardOutput &out)
{
    if (notice.dispatcher != 0) {
        out.flowNotices.push_back(notice);
    } else {
        handleFlowNotice(forwarder.dispatcher, forwarder.table, notice, now, out);
    }
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
        out.relayedOpenings.push_back({flow.dispatcher, flow.attempts, flow.openingPacket, 0});
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
        handleHeldNotice(forwarder, key, now);
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

void retryPlacement(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    if (flow.dispatcher != 0 && flow.attempts >= 2) {
        // Neither the first nor the second target that the dispatcher chose has answered, so the dispatcher itself may be at fault.
        recordDispatcherMiss(forwarder, flow.dispatcher, now);
        leaveDispatcher(forwarder, key, flow, now, out);
    }
    attemptPlacement(forwarder, key, flow, now, out);
}

void handleRetransmission(EdgeForwarder &forwarder, const FlowPacket &packet, EdgeFlow &flow, Time now, ForwardOutput &out)
{
    flow.lastPacketAt = now;
    if (flow.stage == FlowStage::Opening) {
        if (now - flow.lastOfferAt >= answerTimeout(forwarder)) {
            flow.openingAge = packet.openingAge;
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
    dropQuestion(forwarder.locations, packet.flow);
    forgetLocation(forwarder.locations, packet.flow, std::nullopt);
    recordRouteOpening(forwarder.table.reachability, packet.flow.service, now);
    EdgeFlow flow;
    flow.startedElsewhere = packet.openingAge > 0;
    flow.startedAt = now;
    flow.lastPacketAt = now;
    flow.sequence = packet.sequence;
    flow.openingAge = packet.openingAge;
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

/// Makes the owner of the target the dispatcher of a flow that has left the data centre, since it has placed the flow.
void followToOwner(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, const EdgeTarget &target, Time now, ForwardOutput &out)
{
    const bool left = target.record.dataCentre != forwarder.dispatcher.settings.dataCentre;
    if (forwarder.settings.localDispatch && left && flow.dispatcher != target.owner) {
        notifyDispatcher(forwarder, {FlowNoticeKind::Ended, flow.dispatcher, key, 0}, now, out);
        flow.dispatcher = target.owner;
    }
}

void markFlowOpen(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, EdgeTarget &target, Time now, ForwardOutput &out)
{
    if (flow.attempts == 1) {
        updateAnswerTime(forwarder, now - flow.lastOfferAt);
    }
    flow.stage = FlowStage::Open;
    flow.target = target.record.id;
    flow.openingPacket.clear();
    flow.openingPacket.shrink_to_fit();
    recordAnswer(target, now);
    target.lastProgressAt = now;
    if (flow.attempts > 1 || flow.leftDispatcher || flow.startedElsewhere) {
        reportLocation(forwarder, key, flow, locationHolderCount, now, out);
    }
    recordHeard(forwarder.table.reachability, target.record.dataCentre, now);
    if (flow.dispatcher != 0) {
        forwarder.dispatcherMisses.erase(flow.dispatcher);
        recordHeardFromNode(forwarder.table.reachability, flow.dispatcher, now);
    }
    followToOwner(forwarder, key, flow, target, now, out);
    appendEvent(out, ForwardEvent::Opened, key, &target, flow.attempts, now - flow.startedAt);
}

/// @return the target of a packet after the opening packet; nullptr when the target is unknown
EdgeTarget *targetOf(EdgeForwarder &forwarder, const FlowPacket &packet, const EdgeFlow *flow)
{
    if (flow != nullptr && flow->stage != FlowStage::Opening) {
        if (EdgeTarget *target = findTarget(forwarder.table, flow->target)) {
            return target;
        }
    }
    return packet.token == 0 ? nullptr : findTargetByToken(forwarder.table, packet.token, findRoute(forwarder.table, packet.flow.service));
}

/// @return the flow of a packet; nullptr when this node doesn't know it, or knows only an earlier flow with the same addresses
EdgeFlow *findFlow(EdgeForwarder &forwarder, const FlowPacket &packet)
{
    const auto it = forwarder.flows.find(packet.flow);
    return it == forwarder.flows.end() || !mayBeSameFlow(it->second.sequence, packet.sequence) ? nullptr : &it->second;
}

/// Stores a flow that was opened through another node, and reports to its dispatcher that the flow is open.
/// @param packet the first packet of the flow that this node has received
/// @return nullptr when too many flows are stored, or an earlier one with the same addresses
EdgeFlow *storeOpenFlow(EdgeForwarder &forwarder, const FlowPacket &packet, const EdgeTarget &target, Time now, ForwardOutput &out)
{
    const FlowKey &key = packet.flow;
    if (forwarder.flows.size() >= forwarder.settings.maxFlows || forwarder.flows.contains(key)) {
        return nullptr;
    }
    EdgeFlow flow;
    flow.stage = FlowStage::Open;
    flow.startedAt = now;
    flow.sequence = packet.sequence;
    flow.target = target.record.id;
    // With local dispatch, the flow may have been placed in another data centre, by the dispatcher of its target.
    flow.dispatcher = forwarder.settings.localDispatch ? target.owner : dispatcherOf(forwarder, key);
    // Whether the dispatcher counts a request isn't known here, so the first packet's activity is reported in any case.
    flow.countedAsWorking = packet.payloadBytes == 0;
    notifyDispatcher(forwarder, {FlowNoticeKind::Opened, flow.dispatcher, key, flow.target}, now, out);
    return &forwarder.flows.emplace(key, std::move(flow)).first->second;
}

/// Reports to the dispatcher when a request on the flow starts or is answered. A flow whose target got another dispatcher is
/// reported to the new one from its next request on.
void reportActivity(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, const EdgeTarget &target, ActivityChange change, Time now, ForwardOutput &out)
{
    const bool starts = change == ActivityChange::RequestStarted;
    if (change == ActivityChange::None || starts == flow.countedAsWorking) {
        return;
    }
    flow.countedAsWorking = starts;
    if (starts && flow.dispatcher != target.owner) {
        notifyDispatcher(forwarder, {FlowNoticeKind::Ended, flow.dispatcher, key, 0}, now, out);
        flow.dispatcher = target.owner;
    }
    const FlowNoticeKind kind = starts ? FlowNoticeKind::WorkStarted : FlowNoticeKind::WorkEnded;
    notifyDispatcher(forwarder, {kind, flow.dispatcher, key, flow.target}, now, out);
}

/// Forwards a packet after the opening one.
/// @param located id of the target that other nodes have named; 0: the token decides if this node doesn't know the flow
void forwardLaterPacket(EdgeForwarder &forwarder, const FlowPacket &packet, std::uint64_t located, Time now, ForwardOutput &out)
{
    EdgeFlow *flow = findFlow(forwarder, packet);
    EdgeTarget *target = flow == nullptr ? findTarget(forwarder.table, located) : nullptr;
    const bool isLocated = target != nullptr;
    if (!isLocated) {
        target = targetOf(forwarder, packet, flow);
    }
    if (target == nullptr) {
        appendEvent(out, ForwardEvent::UnknownToken, packet.flow, nullptr, 0, 0);
        out.events.back().token = packet.token;
        return;
    }
    const bool isKnown = flow != nullptr;
    if (flow == nullptr) {
        flow = storeOpenFlow(forwarder, packet, *target, now, out);
    }
    if (flow != nullptr && isLocated) {
        flow->locationReported = true;
        if (packet.token != target->token) {
            // The caller has the wrong token until the target's next answer. Nodes that didn't know the flow have recorded that token's
            // target from the question.
            reportLocation(forwarder, packet.flow, *flow, locationQuestionCount, now, out);
        }
    }
    if (flow != nullptr) {
        flow->lastPacketAt = now;
        if (flow->stage == FlowStage::Opening) {
            markFlowOpen(forwarder, packet.flow, *flow, *target, now, out);
        }
        const ActivityChange change = observePacket(flow->activity, packet);
        observeForLoss(forwarder, packet, *flow, *target, change, now, out);
        if (packet.finishes || packet.resets) {
            endFlow(forwarder, packet.flow, *flow, now, out);
        } else if (flow->stage == FlowStage::Open) {
            if (isKnown && change == ActivityChange::AnswerStarted) {
                recordTargetAnswer(forwarder.table, *target, now);
            }
            reportActivity(forwarder, packet.flow, *flow, *target, change, now, out);
        }
    }
    out.packets.push_back({target->record.address, target->record.id, target->token, std::string(packet.bytes)});
}

/// Asks other nodes for the target of a flow that this node doesn't know, and holds the packet.
/// @return false when the packet has to be forwarded at once
bool askForLocation(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    std::vector<Id> holders = otherHolders(forwarder, packet.flow, locationQuestionCount);
    if (!startQuestion(forwarder.locations, packet, holders, now)) {
        return false;
    }
    const EdgeTarget *named = targetOf(forwarder, packet, nullptr);
    for (const Id it : holders) {
        out.locationMessages.push_back({LocationMessageKind::Question, it, packet.flow, {named == nullptr ? 0 : named->record.id, packet.sequence}, 0});
    }
    appendEvent(out, ForwardEvent::LocationAsked, packet.flow, nullptr, 0, 0);
    return true;
}

/// @return whether a flow of this route may have been offered to more than one target
bool mayHaveSeveralOffers(const TargetTable &table, const FlowKey &key)
{
    const EdgeRoute *route = findRoute(table, key.service);
    std::size_t targets = 0;
    for (std::size_t n = 0; route != nullptr && n < route->weightedServices.size(); ++n) {
        const auto ids = table.services.find(route->weightedServices[n].service);
        targets += ids == table.services.end() ? 0 : ids->second.size();
    }
    return targets > 1;
}

void handleLaterPacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    if (isAsked(forwarder.locations, packet.flow)) {
        holdPacket(forwarder.locations, packet);
        return;
    }
    // Beyond the limit flows aren't stored, and each of their packets would cause a question.
    const bool isUnknown = !forwarder.flows.contains(packet.flow) && forwarder.flows.size() < forwarder.settings.maxFlows;
    const std::uint64_t located = isUnknown ? findLocation(forwarder.locations, packet.flow, packet.sequence, now).target : 0;
    if (isUnknown && located == 0 && mayHaveSeveralOffers(forwarder.table, packet.flow) && askForLocation(forwarder, packet, now, out)) {
        return;
    }
    forwardLaterPacket(forwarder, packet, located, now, out);
}

/// Forwards the packets that were held while a question was open.
void forwardHeldPackets(EdgeForwarder &forwarder, EndedQuestion &question, Time now, ForwardOutput &out)
{
    const EdgeTarget *target = findTarget(forwarder.table, question.target);
    appendEvent(out, target == nullptr ? ForwardEvent::LocationUnknown : ForwardEvent::Located, question.flow, target, 0, now - question.askedAt);
    for (HeldPacket &it : question.packets) {
        it.packet.bytes = it.bytes;
        forwardLaterPacket(forwarder, it.packet, question.target, now, out);
    }
}

void removeExpired(EdgeForwarder &forwarder, Time now)
{
    removeExpiredLocations(forwarder.locations, now);
    removeOldRelays(forwarder, now);
    for (auto it = forwarder.flows.begin(); it != forwarder.flows.end();) {
        const EdgeFlow &flow = it->second;
        const Time idle = now - flow.lastPacketAt;
        const bool endedExpired = flow.stage == FlowStage::Ended && idle >= forwarder.settings.endedFlowRetention;
        if (!endedExpired && idle < forwarder.flowRetention) {
            ++it;
            continue;
        }
        ++(endedExpired ? forwarder.forgotten.ended : forwarder.forgotten.idle);
        it = forwarder.flows.erase(it);
    }
    purgeRemovedTargets(forwarder.table, now);
}

void runAnswerChecks(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    while (!forwarder.answerChecks.empty() && forwarder.answerChecks.begin()->first <= now) {
        const FlowKey key = forwarder.answerChecks.begin()->second;
        const bool isOverdue = now - forwarder.answerChecks.begin()->first > forwarder.settings.pauseThreshold;
        forwarder.answerChecks.erase(forwarder.answerChecks.begin());
        const auto it = forwarder.flows.find(key);
        if (it == forwarder.flows.end() || it->second.stage != FlowStage::Opening) {
            continue;
        }
        // The caller has stopped retransmitting its opening packet.
        const bool isGivenUp = forwarder.dispatcher.queue.fair && now - it->second.lastPacketAt + it->second.openingAge > openingTimeout;
        if (isOverdue || isGivenUp || it->second.attempts >= forwarder.settings.maxAttempts) {
            // The flow no longer counts as load. A retransmission of the caller may place it again.
            notifyDispatcher(forwarder, {FlowNoticeKind::Ended, 0, key, 0}, now, out);
            continue;
        }
        if (now - it->second.lastOfferAt >= forwarder.settings.minAnswerTimeout) {
            retryPlacement(forwarder, key, it->second, now, out);
        }
    }
}

/// @return whether the complete list of targets is known and not empty
bool hasTargets(const TargetTable &table)
{
    return table.targetHistoryStart > 0 && !table.targets.empty();
}

/// Derives the dispatchers again after a data centre has become reachable or unreachable. Nodes and targets there that didn't answer
/// get flows again once they are reachable.
void onReachabilityChanged(EdgeForwarder &forwarder, Time now)
{
    const Reachability &reachability = forwarder.table.reachability;
    std::erase_if(forwarder.dispatcherMisses, [&](const auto &it) { return !isUnreachableNode(reachability, it.first); });
    for (auto &[id, target] : forwarder.table.targets) {
        if (!isUnreachable(reachability, target.record.dataCentre)) {
            target.nextProbeAt = std::min(target.nextProbeAt, now);
        }
    }
    updateDispatchers(forwarder, now);
}

} // namespace

bool knowsTargets(const EdgeForwarder &forwarder)
{
    return forwarder.table.configRevision > 0 && hasTargets(forwarder.table);
}

bool canPlaceFlows(const EdgeForwarder &forwarder)
{
    return knowsTargets(forwarder) && !waitsForEvacuations(forwarder.evacuationWait, forwarder.table.evacuations);
}

bool canPlaceFlow(const EdgeForwarder &forwarder, const Address &service)
{
    if (forwarder.table.configRevision > 0) {
        return canPlaceFlows(forwarder);
    }
    const bool knowsEvacuations = !waitsForEvacuations(forwarder.evacuationWait, forwarder.table.evacuations);
    return knowsEvacuations && hasTargets(forwarder.table) && findRoute(forwarder.table, service) != nullptr;
}

Time detectPause(EdgeForwarder &forwarder, Time now)
{
    const Time pause = forwarder.lastRunAt == 0 ? 0 : now - forwarder.lastRunAt;
    forwarder.lastRunAt = now;
    recordRun(forwarder, pause, now);
    if (pause <= forwarder.settings.pauseThreshold) {
        return 0;
    }
    forwarder.dropOpeningsUntil = now + forwarder.settings.backlogDropTime;
    restartOwnership(forwarder.table, now);
    restartEvidence(forwarder.table.reachability, now);
    return pause;
}

void handlePacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    if (packet.opens && now < forwarder.dropOpeningsUntil) {
        appendEvent(out, ForwardEvent::Stale, packet.flow, nullptr, 0, 0);
        return;
    }
    if (!canPlaceFlow(forwarder, packet.flow.service)) {
        if (forwarder.earlyPackets.size() < forwarder.settings.maxEarlyPackets) {
            forwarder.earlyPackets.push_back({packet.flow.service, std::string(packet.bytes), now});
            appendEvent(out, ForwardEvent::Early, packet.flow, nullptr, 0, 0);
        }
        return;
    }
    if (packet.opens) {
        handleOpeningPacket(forwarder, packet, now, out);
    } else {
        handleLaterPacket(forwarder, packet, now, out);
    }
}

void placeForPeer(EdgeForwarder &forwarder, const OpeningFlow &flow, Time now, ForwardOutput &out)
{
    if (now < forwarder.dropOpeningsUntil) {
        appendEvent(out, ForwardEvent::Stale, flow.key, nullptr, flow.attempt, 0);
    } else if (canPlaceFlow(forwarder, flow.key.service) && !relayElsewhere(forwarder, flow, now, out)) {
        OpeningFlow opening = flow;
        const auto origin = forwarder.memberDataCentres.find(flow.originNode);
        opening.dataCentre = origin == forwarder.memberDataCentres.end() ? "" : origin->second;
        placeFlow(forwarder.dispatcher, forwarder.table, opening, now, out);
    }
}

void handleHeldNotice(EdgeForwarder &forwarder, const FlowKey &flow, Time now)
{
    const auto it = forwarder.flows.find(flow);
    if (it == forwarder.flows.end() || it->second.stage != FlowStage::Opening) {
        return;
    }
    // The dispatcher hasn't offered the flow to a target yet, so this attempt isn't counted.
    it->second.attempts = std::max(it->second.attempts - 1, 0);
    it->second.lastOfferAt = now + forwarder.settings.heldRetryInterval - answerTimeout(forwarder);
    forwarder.answerChecks.emplace(now + forwarder.settings.heldRetryInterval, flow);
}

void handleSettledNotice(EdgeForwarder &forwarder, const FlowKey &flow)
{
    const auto it = forwarder.flows.find(flow);
    if (it != forwarder.flows.end() && it->second.stage == FlowStage::Opening) {
        it->second.attempts = forwarder.settings.maxAttempts;
    }
}

void handleRefusedNotice(EdgeForwarder &forwarder, Id dispatcher, const FlowKey &flow, Time now, ForwardOutput &out, RefusalReason reason)
{
    const auto it = forwarder.flows.find(flow);
    if (it != forwarder.flows.end() && it->second.stage == FlowStage::Opening && it->second.dispatcher == dispatcher) {
        // This node may have offered the flow itself before.
        notifyDispatcher(forwarder, {FlowNoticeKind::Ended, 0, flow, 0}, now, out);
        refuseUnplaceableFlow(flow, it->second, reason, out);
    }
}

void handleLocationAnswer(EdgeForwarder &forwarder, Id sender, const FlowKey &flow, std::uint64_t target, Time now, ForwardOutput &out)
{
    if (std::optional<EndedQuestion> ended = answerQuestion(forwarder.locations, flow, sender, target)) {
        forwardHeldPackets(forwarder, *ended, now, out);
    }
}

void handleLocationReport(EdgeForwarder &forwarder, const LocationReport &report, Time now, ForwardOutput &out)
{
    if (report.location.target == 0) {
        forgetLocation(forwarder.locations, report.flow, report.location.sequence);
        return;
    }
    const LocationMembers members{forwarder.members, forwarder.self.instance, forwarder.leaving};
    storeLocation(forwarder.locations, report.flow, report.location, replicaHolders(members, report.flow), now - report.age);
    if (forwarder.leaving) {
        scheduleReplication(forwarder.locations, now);
    }
    if (std::optional<EndedQuestion> ended = answerQuestion(forwarder.locations, report.flow, 0, report.location.target)) {
        forwardHeldPackets(forwarder, *ended, now, out);
    }
}

void tickForwarder(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    if (tickReachability(forwarder.table, now, out.pings)) {
        onReachabilityChanged(forwarder, now);
    }
    runAnswerChecks(forwarder, now, out);
    for (EndedQuestion &it : expireQuestions(forwarder.locations, now)) {
        forwardHeldPackets(forwarder, it, now, out);
    }
    tickDispatcher(forwarder.dispatcher, forwarder.table, now, out);
    tickOutlierDetection(forwarder.table, now, out.outlierEvents);
    tickTargetLoss(forwarder, now, out);
    replicateLocations(forwarder, now, out);
    tickBalancing(forwarder.balancing, forwarder.dispatcher, forwarder.table, now, out);
    if (now >= forwarder.dispatcherRetryAt) {
        updateDispatchers(forwarder, now);
    }
    if (now >= forwarder.nextSweepAt) {
        forwarder.nextSweepAt = now + sweepInterval;
        removeExpired(forwarder, now);
        tickSlowStart(forwarder.table, now);
    }
}

Time nextForwarderTick(const EdgeForwarder &forwarder)
{
    const Time check = forwarder.answerChecks.empty() ? never : forwarder.answerChecks.begin()->first;
    return std::min({check,
                     nextQuestionDeadline(forwarder.locations),
                     forwarder.locations.replicationDueAt,
                     forwarder.nextSweepAt,
                     nextDispatcherTick(forwarder.dispatcher),
                     nextOutlierTick(forwarder.table),
                     nextLossTick(forwarder),
                     forwarder.balancing.nextTickAt,
                     nextReachabilityTick(forwarder.table.reachability)});
}

bool hasPacketsWithoutRoute(const EdgeForwarder &forwarder)
{
    return std::ranges::any_of(forwarder.earlyPackets, [&](const EarlyPacket &it) { return findRoute(forwarder.table, it.service) == nullptr; });
}

std::vector<EarlyPacket> takeEarlyPackets(EdgeForwarder &forwarder, Time now)
{
    std::vector<EarlyPacket> early;
    std::vector<EarlyPacket> kept;
    for (EarlyPacket &it : forwarder.earlyPackets) {
        if (now - it.receivedAt <= forwarder.settings.earlyPacketRetention) {
            (canPlaceFlow(forwarder, it.service) ? early : kept).push_back(std::move(it));
        }
    }
    forwarder.earlyPackets = std::move(kept);
    return early;
}

Time answerTimeout(const EdgeForwarder &forwarder)
{
    const ForwardSettings &settings = forwarder.settings;
    if (forwarder.meanAnswerTime == 0) {
        return settings.initialAnswerTimeout;
    }
    const auto wait = static_cast<Time>(2 * forwarder.meanAnswerTime + 4 * forwarder.answerTimeDeviation);
    return std::clamp(wait, settings.minAnswerTimeout, settings.maxAnswerTimeout);
}

} // namespace pimentofold
