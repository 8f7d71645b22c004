#include <pimentofold/edgeforward.h>

#include <algorithm>

#include <pimentofold/backlog/relayedopenings.h>
#include <pimentofold/balancing/balancing.h>
#include <pimentofold/evacuation/evacuation.h>
#include <pimentofold/outlier/outlier.h>
#include <pimentofold/reachability/reachability.h>
#include <pimentofold/targetloss/targetloss.h>

#include <libpimentofold/flowlocation/locationreports.h>
#include <libpimentofold/forwarding/laterpackets.h>
#include <libpimentofold/forwarding/openingpackets.h>

namespace pimentofold {

namespace {

constexpr Time sweepInterval = second;

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

/// @param dispatcher that has sent a notice; 0: this node
/// @return whether this node has begun to place the flow itself since, so that the notice no longer holds
bool isFromFormerDispatcher(const EdgeFlow &flow, Id dispatcher)
{
    return dispatcher != 0 && flow.leftDispatcher;
}

} // namespace

bool missesOpeningCopy(const EdgeFlow &flow, Time now)
{
    return openingCopiesSent(now - flow.startedAt + flow.startAge) > flow.openingCopies;
}

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

void handleHeldNotice(EdgeForwarder &forwarder, Id dispatcher, const FlowKey &flow, Time now)
{
    const auto it = forwarder.flows.find(flow);
    if (it == forwarder.flows.end() || it->second.stage != FlowStage::Opening || isFromFormerDispatcher(it->second, dispatcher)) {
        return;
    }
    // The dispatcher hasn't offered the flow to a target yet, so this attempt isn't counted.
    it->second.attempts = std::max(it->second.attempts - 1, 0);
    it->second.lastOfferAt = now + forwarder.settings.heldRetryInterval - answerTimeout(forwarder);
    forwarder.answerChecks.emplace(now + forwarder.settings.heldRetryInterval, flow);
}

void handleSettledNotice(EdgeForwarder &forwarder, Id dispatcher, const FlowKey &flow)
{
    const auto it = forwarder.flows.find(flow);
    if (it != forwarder.flows.end() && it->second.stage == FlowStage::Opening && !isFromFormerDispatcher(it->second, dispatcher)) {
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
