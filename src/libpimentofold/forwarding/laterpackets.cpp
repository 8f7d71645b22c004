#include <libpimentofold/forwarding/laterpackets.h>

#include <cmath>

#include <pimentofold/outlier/outlier.h>
#include <pimentofold/reachability/reachability.h>
#include <pimentofold/targetloss/targetloss.h>

#include <libpimentofold/flowlocation/locationreports.h>
#include <libpimentofold/forwarding/openingpackets.h>

namespace pimentofold {

namespace {

/// Adds a measurement of the time from an offer to the caller's next packet.
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

/// Makes the owner of the target the dispatcher of a flow that has left the data centre, since it has placed the flow.
void followToOwner(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, const EdgeTarget &target, Time now, ForwardOutput &out)
{
    const bool left = target.record.dataCentre != forwarder.dispatcher.settings.dataCentre;
    if (forwarder.settings.localDispatch && left && flow.dispatcher != target.owner) {
        notifyDispatcher(forwarder, {FlowNoticeKind::Ended, flow.dispatcher, key, 0}, now, out);
        flow.dispatcher = target.owner;
    }
}

/// Records that the caller has gone on, and reports the location of a flow that may have been offered more than once.
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
    if (flow.attempts > 1 || flow.leftDispatcher || missesOpeningCopy(flow, now)) {
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

/// @return whether the first packet after the opening ones may belong to a flow that has opened through another node: this node offers
///         the flow as well, and the token may be that of a target whose answer came after the flow had opened
bool mayBeOpenElsewhere(const EdgeForwarder &forwarder, const FlowPacket &packet, Time now)
{
    const auto it = forwarder.flows.find(packet.flow);
    if (it == forwarder.flows.end() || it->second.stage != FlowStage::Opening) {
        return false;
    }
    // A caller goes on as soon as a target has answered, from the byte after its opening packet.
    const bool isLate = now - it->second.lastOfferAt > forwarder.settings.maxAnswerTimeout;
    const bool hasProgressed = packet.sequence != it->second.sequence && packet.sequence != it->second.sequence + 1;
    return isLate || hasProgressed || missesOpeningCopy(it->second, now);
}

/// Forwards a packet after the opening one.
/// @param located id of the target that other nodes have named; 0: the token decides if this node doesn't know the flow
void forwardLaterPacket(EdgeForwarder &forwarder, const FlowPacket &packet, std::uint64_t located, Time now, ForwardOutput &out)
{
    if (located != 0) {
        withdrawOffers(forwarder, packet.flow, now, out);
    }
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

} // namespace

void handleLaterPacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out)
{
    if (isAsked(forwarder.locations, packet.flow)) {
        holdPacket(forwarder.locations, packet);
        return;
    }
    // Beyond the limit flows aren't stored, and each of their packets would cause a question.
    const bool isNew = !forwarder.flows.contains(packet.flow) && forwarder.flows.size() < forwarder.settings.maxFlows;
    const bool isUnknown = isNew || mayBeOpenElsewhere(forwarder, packet, now);
    const std::uint64_t located = isUnknown ? findLocation(forwarder.locations, packet.flow, packet.sequence, now).target : 0;
    if (isUnknown && located == 0 && mayHaveSeveralOffers(forwarder.table, packet.flow) && askForLocation(forwarder, packet, now, out)) {
        return;
    }
    forwardLaterPacket(forwarder, packet, located, now, out);
}

void forwardHeldPackets(EdgeForwarder &forwarder, EndedQuestion &question, Time now, ForwardOutput &out)
{
    const EdgeTarget *target = findTarget(forwarder.table, question.target);
    appendEvent(out, target == nullptr ? ForwardEvent::LocationUnknown : ForwardEvent::Located, question.flow, target, 0, now - question.askedAt);
    for (HeldPacket &it : question.packets) {
        it.packet.bytes = it.bytes;
        forwardLaterPacket(forwarder, it.packet, question.target, now, out);
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
    if (const auto it = forwarder.flows.find(report.flow); it != forwarder.flows.end() && mayBeSameFlow(it->second.sequence, report.location.sequence)) {
        withdrawOffers(forwarder, report.flow, now, out);
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

} // namespace pimentofold
