#include <pimentofold/targetloss/targetloss.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace pimentofold {

namespace {

/// Interval while stalls or verdicts are open. Shorter than VerdictSettings::maxRunGap.
constexpr Time openCaseInterval = 25 * millisecond;
/// Interval while targets are lost, to notice their recovery.
constexpr Time lostTargetInterval = 100 * millisecond;

bool isRepeatable(const EdgeRoute &route)
{
    return route.type == RouteType::Safe || route.type == RouteType::Download;
}

LossEventRecord makeEvent(LossEvent event, std::uint64_t target)
{
    LossEventRecord record;
    record.event = event;
    record.target = target;
    return record;
}

void scheduleTick(TargetLoss &loss, Time at)
{
    loss.nextTickAt = std::min(loss.nextTickAt, at);
}

/// Tells the owner that a target that it has declared lost makes progress.
void reportProgress(const EdgeTarget &target, Time now, ForwardOutput &out)
{
    if (target.owner == 0) {
        return;
    }
    TargetEvidence evidence;
    evidence.target = target.record.id;
    evidence.startedAt = target.record.startedAt;
    evidence.progressAge = now - target.lastProgressAt;
    out.evidence.push_back({target.owner, {evidence}});
}

void recoverTarget(EdgeForwarder &forwarder, EdgeTarget &target, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    target.lostSince = never;
    target.unansweredOpenings = 0;
    target.noVerdictUntil = now + loss.verdicts.settings.recoveryHold;
    loss.lost.erase(target.record.id);
    std::erase_if(loss.resets, [&](const auto &it) { return it.second.target == target.record.id; });
    out.lossEvents.push_back(makeEvent(LossEvent::Recovered, target.record.id));
    reportProgress(target, now, out);
}

void resetFlow(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, ResetReason reason, Time now, ForwardOutput &out)
{
    flow.stage = FlowStage::Ended;
    out.resets.push_back({key, flow.progress.acknowledgement});
    LossEventRecord event = makeEvent(LossEvent::FlowReset, flow.target);
    event.flow = key;
    event.reason = reason;
    out.lossEvents.push_back(std::move(event));
    // No target is named, so that the notice isn't taken as an answer of the target.
    const FlowNotice notice{FlowNoticeKind::Ended, flow.dispatcher, key, 0};
    if (flow.dispatcher != 0) {
        out.flowNotices.push_back(notice);
    } else {
        handleFlowNotice(forwarder.dispatcher, forwarder.table, notice, now, out);
    }
}

/// @return whether the flow may be reset if its target is lost and its activity allows it
bool isResettable(const EdgeForwarder &forwarder, const FlowKey &key, const EdgeFlow &flow, const EdgeTarget &target, Time now)
{
    return flow.stage == FlowStage::Open && flow.target == target.record.id && flow.progress.acknowledgementKnown && flow.startedAt < target.lostSince
        && flow.progress.progressAt <= target.lostSince && keepsFlows(forwarder, key.service, now);
}

/// @return whether a request is in progress on the flow that its caller may repeat
bool hasRepeatableRequest(const EdgeForwarder &forwarder, const FlowKey &key, const EdgeFlow &flow)
{
    const EdgeRoute *route = findRoute(forwarder.table, key.service);
    return flow.activity.working && route != nullptr && isRepeatable(*route);
}

/// Resets the flows of lost targets that carry a request, and schedules the reset of the idle ones.
void resetFlowsOf(EdgeForwarder &forwarder, const std::set<std::uint64_t> &targets, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    for (auto &[key, flow] : forwarder.flows) {
        if (!targets.contains(flow.target)) {
            continue;
        }
        const EdgeTarget *target = findTarget(forwarder.table, flow.target);
        if (target == nullptr || !isResettable(forwarder, key, flow, *target, now)) {
            continue;
        }
        if (hasRepeatableRequest(forwarder, key, flow)) {
            resetFlow(forwarder, key, flow, ResetReason::Working, now, out);
        } else if (!flow.activity.working && flow.progress.progressAt > 0) {
            // Without progress at this node, the flow's target is known only from a token, which may be another target's.
            const auto spread = static_cast<std::uint64_t>(loss.settings.resetSpread);
            const Time due = now + static_cast<Time>(below(forwarder.dispatcher.random, spread));
            loss.resets.emplace(due, ScheduledReset{key, flow.target});
            scheduleTick(loss, due);
        }
    }
}

void runScheduledResets(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    while (!loss.resets.empty() && loss.resets.begin()->first <= now) {
        const ScheduledReset due = loss.resets.begin()->second;
        loss.resets.erase(loss.resets.begin());
        const auto flow = forwarder.flows.find(due.flow);
        const EdgeTarget *target = findTarget(forwarder.table, due.target);
        const bool stillLost = target != nullptr && target->lostSince != never && target->lastProgressAt <= target->lostSince;
        if (flow == forwarder.flows.end() || !stillLost || !isResettable(forwarder, due.flow, flow->second, *target, now)) {
            continue;
        }
        if (!flow->second.activity.working) {
            resetFlow(forwarder, due.flow, flow->second, ResetReason::Idle, now, out);
        }
    }
}

/// Puts verdicts into force at this node.
/// @return ids of the targets that are lost from now on
std::set<std::uint64_t> acceptVerdicts(EdgeForwarder &forwarder, std::span<const LostTarget> lost, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    std::set<std::uint64_t> accepted;
    for (const LostTarget &it : lost) {
        EdgeTarget *target = findTarget(forwarder.table, it.target);
        const bool current = target != nullptr && target->record.startedAt == it.startedAt && target->lostSince == never && now >= target->noVerdictUntil;
        if (!current || (target->registered && target->record.state == TargetState::Draining)) {
            continue;
        }
        if (target->lastProgressAt > 0 && now - target->lastProgressAt <= loss.settings.refusalAge) {
            target->noVerdictUntil = now + loss.verdicts.settings.recoveryHold;
            reportProgress(*target, now, out);
        } else if (it.dataCentre.empty()) {
            target->lostSince = now;
            target->nextProbeAt = now + forwarder.dispatcher.settings.placement.minProbeInterval;
            accepted.insert(it.target);
        } else if (it.dataCentre == forwarder.dispatcher.settings.dataCentre && !isSuspected(*target, forwarder.dispatcher.settings.placement)) {
            target->unansweredOpenings = forwarder.dispatcher.settings.placement.suspectThreshold;
            target->nextProbeAt = now + forwarder.dispatcher.settings.placement.minProbeInterval;
        }
    }
    return accepted;
}

/// Schedules the check whether a packet's data is repeated. Flows that have made no progress at this node may have been moved
/// to other nodes by the router, so their retransmissions may not come here.
void scheduleAcknowledgementCheck(TargetLoss &loss, const FlowPacket &packet, const EdgeFlow &flow)
{
    const auto sent = std::ranges::find(flow.progress.inFlight, packet.sequence, &ForwardedSegment::sequence);
    if (packet.payloadBytes == 0 || flow.progress.progressAt == 0 || sent == flow.progress.inFlight.end()) {
        return;
    }
    const Time interval = std::clamp(2 * sent->interval, firstRetransmissionTime, maxRetransmissionInterval);
    const Time due = sent->lastSentAt + interval + retransmissionSlack;
    loss.acknowledgementChecks.emplace(due, AcknowledgementCheck{packet.flow, flow.target, packet.sequence, sent->lastSentAt});
    scheduleTick(loss, due);
}

/// Data that wasn't repeated when it was due has been acknowledged: its target was alive when it was sent, although it may be
/// slow or hang.
void runAcknowledgementChecks(EdgeForwarder &forwarder, Time now)
{
    TargetLoss &loss = forwarder.targetLoss;
    while (!loss.acknowledgementChecks.empty() && loss.acknowledgementChecks.begin()->first <= now) {
        const AcknowledgementCheck check = loss.acknowledgementChecks.begin()->second;
        loss.acknowledgementChecks.erase(loss.acknowledgementChecks.begin());
        const auto flow = forwarder.flows.find(check.flow);
        EdgeTarget *target = findTarget(forwarder.table, check.target);
        if (flow == forwarder.flows.end() || flow->second.stage != FlowStage::Open || target == nullptr || check.sentAt <= loss.pausedUntil) {
            continue;
        }
        const std::vector<ForwardedSegment> &inFlight = flow->second.progress.inFlight;
        const auto sent = std::ranges::find(inFlight, check.sequence, &ForwardedSegment::sequence);
        if (sent != inFlight.end() && sent->lastSentAt == check.sentAt) {
            target->lastProgressAt = std::max(target->lastProgressAt, check.sentAt);
            loss.evidence.acknowledgedAt[check.target] = check.sentAt;
        }
    }
}

/// Adds data that targets have acknowledged to the messages for their owners.
void reportAcknowledgements(EdgeForwarder &forwarder, std::map<Id, EvidenceMessage> &messages, Time now)
{
    LossEvidence &evidence = forwarder.targetLoss.evidence;
    std::erase_if(evidence.acknowledgedAt, [&](const auto &it) {
        const EdgeTarget *target = findTarget(forwarder.table, it.first);
        if (target == nullptr || target->owner == 0) {
            return true;
        }
        std::vector<TargetEvidence> &entries = messages[target->owner].evidence;
        if (now < evidence.nextReportAt[target->owner] || entries.size() >= maxEvidenceEntries) {
            return false;
        }
        TargetEvidence entry;
        entry.target = it.first;
        entry.startedAt = target->record.startedAt;
        entry.progressAge = now - it.second;
        entries.push_back(entry);
        return true;
    });
}

/// Passes this node's evidence to the owners of the targets, each at most once in evidenceInterval.
void reportEvidence(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    LossEvidence &evidence = forwarder.targetLoss.evidence;
    std::map<Id, EvidenceMessage> messages;
    for (auto &[id, stalls] : evidence.stalled) {
        const EdgeTarget *target = findTarget(forwarder.table, id);
        // The owner also learns of progress at other nodes.
        if (target != nullptr) {
            const Time since = std::max(target->lastProgressAt, target->incarnationSeenAt);
            std::erase_if(stalls.stalls, [&](const FlowStall &it) { return it.since < since; });
        }
        if (!stalls.changed || target == nullptr || now < evidence.nextReportAt[target->owner]) {
            continue;
        }
        TargetEvidence entry = countableStalls(evidence, id, now);
        EvidenceMessage &message = messages[target->owner];
        if (entry.stalledFlows == 0 || message.evidence.size() >= maxEvidenceEntries) {
            continue;
        }
        entry.startedAt = target->record.startedAt;
        entry.progressAge = target->lastProgressAt == 0 ? -1 : now - target->lastProgressAt;
        message.evidence.push_back(entry);
        stalls.changed = false;
    }
    reportAcknowledgements(forwarder, messages, now);
    for (auto &[owner, message] : messages) {
        if (message.evidence.empty()) {
            continue;
        }
        evidence.nextReportAt[owner] = now + evidenceInterval;
        message.owner = owner;
        if (owner == 0) {
            handleEvidence(forwarder, message.evidence, forwarder.self.instance, forwarder.dispatcher.settings.dataCentre, now, out);
        } else {
            out.evidence.push_back(std::move(message));
        }
    }
}

/// @return whether a route to the service has flows with more than one request
bool serviceKeepsFlows(const EdgeForwarder &forwarder, const std::string &service, Time now)
{
    return std::ranges::any_of(forwarder.targetLoss.secondRequestAt, [&](const auto &it) {
        const EdgeRoute *route = findRoute(forwarder.table, it.first);
        return route != nullptr && keepsFlows(forwarder, it.first, now)
            && std::ranges::any_of(route->weightedServices, [&](const WeightedService &share) { return share.service == service; });
    });
}

void giveVerdicts(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    const VerdictQueries queries{[&](const std::string &service) { return serviceKeepsFlows(forwarder, service, now); },
                                 [&] {
                                     const auto keeps = [&](const Address &service) { return keepsFlows(forwarder, service, now); };
                                     return summarizeWork(forwarder.dispatcher, keeps, now);
                                 }};
    VerdictOutput decided = tickVerdicts(loss.verdicts, forwarder.table, queries, now);
    std::set<std::uint64_t> targets;
    for (const GivenVerdict &given : decided.verdicts) {
        const LostTarget &it = given.lost;
        LossEventRecord event = makeEvent(it.dataCentre.empty() ? LossEvent::Lost : LossEvent::Unreachable, it.target);
        event.dataCentre = it.dataCentre;
        event.stalledFlows = given.stalledFlows;
        event.reportingNodes = given.reportingNodes;
        out.lossEvents.push_back(std::move(event));
        if (it.dataCentre.empty()) {
            EdgeTarget &target = *findTarget(forwarder.table, it.target);
            target.nextProbeAt = now + forwarder.dispatcher.settings.placement.minProbeInterval;
            targets.insert(it.target);
        }
    }
    loss.lost.insert(targets.begin(), targets.end());
    if (!targets.empty()) {
        resetFlowsOf(forwarder, targets, now, out);
    }
    VerdictRecipients recipients = recipientsOf(loss.holders, decided.broadcast, loss.verdicts.ownedSince, forwarder.members.size(), now);
    std::ranges::move(recipients.all, std::back_inserter(out.lostTargets));
    std::ranges::move(recipients.messages, std::back_inserter(out.lostTargetMessages));
}

/// Repeats verdicts to a node that reports stalls on lost targets, since the node can't have received them.
void answerEvidence(const EdgeForwarder &forwarder, std::span<const TargetEvidence> evidence, Id sender, Time now, ForwardOutput &out)
{
    LostTargetMessage answer{sender, {}};
    for (const TargetEvidence &it : evidence) {
        const EdgeTarget *target = findTarget(forwarder.table, it.target);
        const bool applies = target != nullptr && target->owner == 0 && target->record.startedAt == it.startedAt && it.stalledFlows > 0;
        if (applies && target->lostSince != never && target->lastProgressAt <= target->lostSince
            && now - target->lostSince < forwarder.targetLoss.holders.settings.answerTime) {
            answer.lost.push_back({it.target, it.startedAt, ""});
        }
    }
    if (!answer.lost.empty()) {
        out.lostTargetMessages.push_back(std::move(answer));
    }
}

/// Withdraws verdicts on targets that make progress, and forgets those on earlier incarnations.
void checkLostTargets(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    const std::set<std::uint64_t> lost = forwarder.targetLoss.lost;
    for (const std::uint64_t id : lost) {
        EdgeTarget *target = findTarget(forwarder.table, id);
        if (target == nullptr || target->lostSince == never) {
            forwarder.targetLoss.lost.erase(id);
        } else if (target->lastProgressAt > target->lostSince) {
            recoverTarget(forwarder, *target, now, out);
        }
    }
}

Time followingTick(const EdgeForwarder &forwarder, Time now)
{
    const TargetLoss &loss = forwarder.targetLoss;
    Time due = loss.resets.empty() ? never : loss.resets.begin()->first;
    if (!loss.acknowledgementChecks.empty()) {
        due = std::min(due, loss.acknowledgementChecks.begin()->first);
    }
    if (!loss.evidence.stalled.empty() || !loss.evidence.acknowledgedAt.empty() || hasOpenCases(loss.verdicts)) {
        due = std::min(due, now + openCaseInterval);
    }
    if (!loss.lost.empty()) {
        due = std::min(due, now + lostTargetInterval);
    }
    return due;
}

void observeProgressOf(EdgeForwarder &forwarder, const FlowPacket &packet, EdgeTarget &target, Time provenForwardAt, Time now, ForwardOutput &out)
{
    target.lastProgressAt = now;
    recordProgress(forwarder.targetLoss.evidence, target.record.id, packet.flow.caller.ip, provenForwardAt, now);
    if (target.lostSince != never) {
        recoverTarget(forwarder, target, now, out);
    }
}

/// Withdraws the verdicts of this node that no other node has got yet.
void withdrawPendingVerdicts(EdgeForwarder &forwarder)
{
    TargetLoss &loss = forwarder.targetLoss;
    for (const PendingVerdict &it : loss.verdicts.pending) {
        EdgeTarget *target = it.repeated || !it.lost.dataCentre.empty() ? nullptr : findTarget(forwarder.table, it.lost.target);
        if (target != nullptr) {
            target->lostSince = never;
            loss.lost.erase(it.lost.target);
        }
    }
}

} // namespace

void observeForLoss(EdgeForwarder &forwarder, const FlowPacket &packet, EdgeFlow &flow, EdgeTarget &target, ActivityChange change, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    if (!loss.settings.enabled || packet.resets || flow.stage != FlowStage::Open) {
        return;
    }
    if (change == ActivityChange::RequestStarted && ++flow.progress.requests > 1) {
        loss.secondRequestAt[packet.flow.service] = now;
    }
    const bool keeps = keepsFlows(forwarder, packet.flow.service, now);
    const ProgressObservation seen = observeProgress(flow.progress, packet, keeps, now);
    if (seen.progressed) {
        observeProgressOf(forwarder, packet, target, seen.provenForwardAt, now, out);
    }
    if (keeps) {
        scheduleAcknowledgementCheck(loss, packet, flow);
    }
    // A flow to an earlier incarnation stalls until the new process resets it, which says nothing about the new process.
    const bool isCurrent = flow.startedAt >= target.incarnationSeenAt;
    const bool counts =
        seen.stalled && isCurrent && target.lostSince == never && seen.stall.since > loss.pausedUntil && seen.stall.since >= target.lastProgressAt;
    if (counts) {
        recordStall(loss.evidence, target.record.id, seen.stall);
        scheduleTick(loss, now);
    }
    const bool recentlyLost = target.lostSince != never && now - target.lostSince <= loss.settings.requestResetTime;
    if (recentlyLost && packet.payloadBytes > 0 && isResettable(forwarder, packet.flow, flow, target, now)
        && hasRepeatableRequest(forwarder, packet.flow, flow)) {
        resetFlow(forwarder, packet.flow, flow, ResetReason::Request, now, out);
    }
}

void recordRun(EdgeForwarder &forwarder, Time gap, Time now)
{
    TargetLoss &loss = forwarder.targetLoss;
    if (!loss.settings.enabled || gap <= loss.settings.pauseThreshold) {
        return;
    }
    loss.pausedUntil = now;
    clearEvidence(loss.evidence);
    withdrawPendingVerdicts(forwarder);
    clearVerdicts(loss.verdicts);
    loss.resets.clear();
    loss.acknowledgementChecks.clear();
}

void updateOwnership(EdgeForwarder &forwarder, Time now)
{
    if (forwarder.targetLoss.settings.enabled) {
        forwarder.targetLoss.verdicts.dataCentre = forwarder.dispatcher.settings.dataCentre;
        recordOwnership(forwarder.targetLoss.verdicts, forwarder.table, now);
        removeHolders(forwarder.targetLoss.holders, forwarder.targetLoss.verdicts.ownedSince);
    }
}

void recordFlowHolder(EdgeForwarder &forwarder, std::uint64_t target, Id node, Time now)
{
    TargetLoss &loss = forwarder.targetLoss;
    if (loss.settings.enabled && loss.verdicts.ownedSince.contains(target)) {
        recordHolder(loss.holders, target, node, now);
    }
}

void handleEvidence(EdgeForwarder &forwarder, std::span<const TargetEvidence> evidence, Id sender, const std::string &dataCentre, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    if (!loss.settings.enabled) {
        return;
    }
    for (const TargetEvidence &it : evidence) {
        recordFlowHolder(forwarder, it.target, sender, now);
        if (recordEvidence(loss.verdicts, forwarder.table, it, sender, dataCentre, now)) {
            LossEventRecord event = makeEvent(LossEvent::Suspected, it.target);
            event.stalledFlows = it.stalledFlows;
            out.lossEvents.push_back(std::move(event));
        }
    }
    answerEvidence(forwarder, evidence, sender, now, out);
    scheduleTick(loss, now);
}

void handleLostTargets(EdgeForwarder &forwarder, std::span<const LostTarget> lost, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    if (!loss.settings.enabled || now < loss.pausedUntil + (loss.pausedUntil > 0 ? loss.settings.pauseBacklogTime : 0)) {
        return;
    }
    const std::set<std::uint64_t> accepted = acceptVerdicts(forwarder, lost, now, out);
    loss.lost.insert(accepted.begin(), accepted.end());
    if (!accepted.empty()) {
        resetFlowsOf(forwarder, accepted, now, out);
        scheduleTick(loss, now + lostTargetInterval);
    }
}

void tickTargetLoss(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    TargetLoss &loss = forwarder.targetLoss;
    if (!loss.settings.enabled) {
        return;
    }
    loss.nextTickAt = never;
    checkLostTargets(forwarder, now, out);
    runAcknowledgementChecks(forwarder, now);
    reportEvidence(forwarder, now, out);
    expireStalls(loss.evidence, now);
    giveVerdicts(forwarder, now, out);
    runScheduledResets(forwarder, now, out);
    scheduleTick(loss, followingTick(forwarder, now));
}

Time nextLossTick(const EdgeForwarder &forwarder)
{
    return forwarder.targetLoss.settings.enabled ? forwarder.targetLoss.nextTickAt : never;
}

bool keepsFlows(const EdgeForwarder &forwarder, const Address &service, Time now)
{
    const auto it = forwarder.targetLoss.secondRequestAt.find(service);
    return it != forwarder.targetLoss.secondRequestAt.end() && now - it->second < forwarder.targetLoss.settings.routeMemory;
}

} // namespace pimentofold
