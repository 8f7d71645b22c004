#include <algorithm>
#include <map>

#include <testsupport/lossworld.h>

#include <libpimentofold/edgetestdata.h>

namespace pimentofold::testsupport {

namespace {

/// Hash of a sequence of numbers.
class Hash
{
public:
    template<typename... T>
    void add(const T &...values)
    {
        ((m_value = mix(m_value, static_cast<std::uint64_t>(values))), ...);
    }

    void add(const FlowKey &key)
    {
        add(std::hash<FlowKey>{}(key));
    }

    std::uint64_t value() const
    {
        return m_value;
    }

private:
    std::uint64_t m_value = 0;
};

void addProgress(Hash &hash, const FlowProgress &progress)
{
    hash.add(progress.acknowledgementKnown, progress.acknowledgement, progress.progressAt, progress.requests, progress.inFlight.size());
    for (const ForwardedSegment &it : progress.inFlight) {
        hash.add(it.sequence, it.firstSentAt, it.lastSentAt, it.interval, it.retransmissions);
    }
}

void addFlow(Hash &hash, const EdgeForwarder &node, const FlowKey &key)
{
    const auto flow = node.flows.find(key);
    if (flow != node.flows.end()) {
        const EdgeFlow &it = flow->second;
        hash.add(1, it.stage, it.dispatcher, it.activity.working, it.activity.requestEnd, it.activity.answerStart, it.countedAsWorking, it.startedAt);
        addProgress(hash, it.progress);
    }
    const auto placed = node.dispatcher.placedFlows.find(key);
    if (placed != node.dispatcher.placedFlows.end()) {
        hash.add(2, placed->second.load, placed->second.loadChangedAt, placed->second.answeredAt);
    }
}

void addEvidence(Hash &hash, const LossEvidence &evidence, Time now)
{
    for (const auto &[target, it] : evidence.stalled) {
        hash.add(target, it.changed, it.stalls.size());
        for (const FlowStall &stall : it.stalls) {
            hash.add(stall.flow);
            hash.add(stall.since, stall.repeatedAt, stall.interval, stall.retransmissions);
        }
    }
    for (const auto &[owner, at] : evidence.nextReportAt) {
        hash.add(owner, std::max(at, now));
    }
    for (const auto &[target, at] : evidence.acknowledgedAt) {
        hash.add(target, at);
    }
    const auto proven = evidence.provenAt.find(judgedTarget);
    hash.add(proven == evidence.provenAt.end() ? never : proven->second);
    // Ordered, so that the same state always has the same hash.
    for (const auto &[caller, at] : std::map(evidence.callerProgressAt.begin(), evidence.callerProgressAt.end())) {
        hash.add(caller, at);
    }
}

void addVerdicts(Hash &hash, const LossVerdicts &verdicts, Time now)
{
    for (const auto &[target, it] : verdicts.suspected) {
        hash.add(target, it.startedAt, it.conditionsSince, it.contradictedAt, it.reports.size());
        for (const LossReport &report : it.reports) {
            hash.add(report.node, report.stalledFlows, report.retransmissions, report.since, report.receivedAt);
        }
    }
    for (const auto &[target, since] : verdicts.lostStallsSince) {
        hash.add(target, since);
    }
    for (const PendingVerdict &it : verdicts.pending) {
        hash.add(it.lost.startedAt, it.dueAt, it.repeated);
    }
    const auto owned = verdicts.ownedSince.find(judgedTarget);
    const VerdictSettings &settings = verdicts.settings;
    // Times that are so old that they make no difference count as equal.
    hash.add(owned == verdicts.ownedSince.end() ? never : std::max(owned->second, now - settings.minOwnership), std::max(verdicts.nextBroadcastAt, now));
    hash.add(std::max(verdicts.workAt, now - settings.workInterval), std::max(verdicts.lastRunAt, now - settings.maxRunGap - 1));
    hash.add(verdicts.store.answeringSince);
}

void addNode(Hash &hash, const EdgeForwarder &node, Time now)
{
    const EdgeTarget &target = *findTarget(node.table, judgedTarget);
    hash.add(target.record.startedAt,
             target.owner,
             target.lastProgressAt,
             target.lostSince,
             target.noVerdictUntil,
             target.unansweredOpenings,
             target.incarnationSeenAt);
    const TargetLoss &loss = node.targetLoss;
    addEvidence(hash, loss.evidence, now);
    addVerdicts(hash, loss.verdicts, now);
    for (const auto &[at, it] : loss.resets) {
        hash.add(at);
        hash.add(it.flow);
    }
    for (const auto &[at, it] : loss.acknowledgementChecks) {
        hash.add(at, it.sequence, it.sentAt);
        hash.add(it.flow);
    }
    hash.add(loss.lost.size(), loss.pausedUntil, loss.nextTickAt, node.dispatcher.random.state);
}

void addPending(Hash &hash, const LossWorldEvent &it)
{
    hash.add(it.at, it.kind, it.node, it.from, it.flow, it.request, it.packet.sequence, it.packet.acknowledgement, it.packet.payloadBytes, it.verdict);
    hash.add(it.notice.kind, it.notice.dispatcher);
    hash.add(it.notice.flow);
    for (std::size_t n = 0; it.evidence && n < it.evidence->size(); ++n) {
        const TargetEvidence &entry = (*it.evidence)[n];
        hash.add(entry.startedAt, entry.stalledFlows, entry.retransmissions, entry.stalledFor, entry.progressAge);
    }
    for (std::size_t n = 0; it.verdicts && n < it.verdicts->size(); ++n) {
        hash.add((*it.verdicts)[n].startedAt);
    }
}

} // namespace

std::uint64_t fingerprint(const LossWorld &world)
{
    Hash hash;
    hash.add(world.now, world.incarnation, world.silent, world.handedOver, world.verdicts);
    for (std::size_t node = 0; node < lossNodes; ++node) {
        hash.add(world.pausedSince[node], world.pausedUntil[node], world.withdrawnVerdict[node], world.declared[node]);
        addNode(hash, *world.nodes[node], lossStart + world.now);
        for (const LossFlow &it : world.flows) {
            FlowKey key = it.key;
            addFlow(hash, *world.nodes[node], key);
            // The caller's previous flow may still be known.
            key.caller.port -= static_cast<std::uint16_t>(lossNodes);
            addFlow(hash, *world.nodes[node], key);
        }
    }
    for (const LossFlow &it : world.flows) {
        hash.add(it.key);
        hash.add(it.node, it.incarnation, it.sequence, it.acknowledgement, it.request, it.acceptedRequest);
        hash.add(it.working, it.delivered, it.atNode, it.closed);
    }
    for (const LossWorldEvent &it : world.events) {
        addPending(hash, it);
    }
    return hash.value();
}

} // namespace pimentofold::testsupport
