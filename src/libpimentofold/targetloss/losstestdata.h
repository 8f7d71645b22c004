#pragma once

#include <functional>
#include <string>
#include <vector>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/targetloss/targetloss.h>

/// A target's owner and a node with a flow of that target, for the tests of lost targets.
namespace pimentofold::losstest {

constexpr std::uint64_t judged = 3; ///< id of the target in the tests of verdicts
constexpr Time start = 100 * second;

inline TargetEvidence makeEvidence(int flows, int retransmissions)
{
    TargetEvidence evidence;
    evidence.target = judged;
    evidence.startedAt = 1;
    evidence.stalledFlows = flows;
    evidence.retransmissions = retransmissions;
    evidence.stalledFor = 250 * millisecond;
    return evidence;
}

struct Report {
    TargetEvidence evidence;
    Id node;
    std::string dataCentre;
};

/// One owner, with ten targets of data centre dc1.
struct Owner {
    EdgeForwarder forwarder = testdata::makeForwarder(10, 0);
    ForwardOutput out;

    Owner()
    {
        forwarder.targetLoss.settings.enabled = true;
        updateOwnership(forwarder, 0);
        forwarder.targetLoss.verdicts.lastRunAt = start;
        recordStoreContact(forwarder.targetLoss.verdicts, true, start, 0);
        forwarder.targetLoss.secondRequestAt[testdata::shopAddress] = start;
        for (std::uint32_t caller = 1; caller <= 4; ++caller) {
            addFlow(caller, judged, FlowLoad::Working, start - 250 * millisecond);
            for (int n = 0; n < answersPerOverdueRequest; ++n) {
                addFlow(caller, judged + 1, FlowLoad::Idle, start - 100 * millisecond);
            }
        }
    }

    void addFlow(std::uint32_t caller, std::uint64_t targetId, FlowLoad load, Time changedAt)
    {
        const auto port = static_cast<std::uint16_t>(forwarder.dispatcher.placedFlows.size());
        PlacedFlow &flow = forwarder.dispatcher.placedFlows[{{caller, port}, testdata::shopAddress}];
        flow.target = targetId;
        flow.load = load;
        flow.loadChangedAt = changedAt;
        flow.answeredAt = load == FlowLoad::Idle ? changedAt : 0;
    }

    void removeFlows(const std::function<bool(std::uint32_t caller, FlowLoad load)> &matches)
    {
        std::erase_if(forwarder.dispatcher.placedFlows, [&](const auto &it) { return matches(it.first.caller.ip, it.second.load); });
    }

    EdgeTarget &target()
    {
        return *findTarget(forwarder.table, judged);
    }

    void report(const Report &it, Time now)
    {
        handleEvidence(forwarder, std::vector<TargetEvidence>{it.evidence}, it.node, it.dataCentre, now, out);
    }

    void run(Time from, Time to)
    {
        for (Time now = from; now <= to; now += 20 * millisecond) {
            tickTargetLoss(forwarder, now, out);
        }
    }

    bool isLost()
    {
        return target().lostSince != never;
    }
};

inline FlowPacket makePacket(std::uint16_t port, std::uint32_t sequence, std::uint16_t payloadBytes, std::uint32_t acknowledgement)
{
    FlowPacket packet = testdata::makeData(port, tokenOf(judged));
    packet.sequence = sequence;
    packet.payloadBytes = payloadBytes;
    packet.acknowledgement = acknowledgement;
    return packet;
}

/// A node with a flow that has had two requests; the second one ended at `start` - second.
struct Holder : Owner {
    Holder()
    {
        send(1, 180, 900, start - 3 * second);
        send(181, 0, 2100, start - 3 * second + 30 * millisecond);
        send(181, 180, 2100, start - second - 30 * millisecond);
        send(361, 0, 3300, start - second);
        out = {};
    }

    void send(std::uint32_t sequence, std::uint16_t payloadBytes, std::uint32_t acknowledgement, Time now)
    {
        handlePacket(forwarder, makePacket(1, sequence, payloadBytes, acknowledgement), now, out);
    }

    void receiveVerdict(std::int64_t startedAt, Time now)
    {
        handleLostTargets(forwarder, std::vector<LostTarget>{{judged, startedAt, ""}}, now, out);
    }
};

} // namespace pimentofold::losstest
