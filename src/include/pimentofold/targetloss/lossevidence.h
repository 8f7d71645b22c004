#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include <pimentofold/targetloss/flowprogress.h>
#include <pimentofold/targetloss/lossmessages.h>

/// Evidence that one node collects against targets.
///
/// A stall counts only when this node's own path is proven: on at least as many other targets, data that the node forwarded
/// after the stall began has been answered. A node whose link or outgoing path is broken therefore reports no target.
namespace pimentofold {

/// Interval between two evidence messages to one owner.
constexpr Time evidenceInterval = 100 * millisecond;
/// Entries of one evidence message, so that it fits into a datagram.
constexpr std::size_t maxEvidenceEntries = 24;
/// Callers' timers may be late by this much.
constexpr Time retransmissionSlack = 100 * millisecond;
/// A stall without a further retransmission by this long after the time at which it is due has been acknowledged, or its
/// caller has given up.
constexpr Time stallSlack = 200 * millisecond;
/// Callers double the interval of their retransmissions up to this value.
constexpr Time maxRetransmissionInterval = 1600 * millisecond;
/// Stalled flows that are remembered for one target; more of them change nothing.
constexpr std::size_t maxStallsPerTarget = 16;

/// Stalls of one target's flows at this node.
struct TargetStalls {
    std::vector<FlowStall> stalls;
    bool changed = false; ///< not reported yet in this state
};

/// State of a node's evidence.
struct LossEvidence {
    std::map<std::uint64_t, TargetStalls> stalled; ///< by target
    std::unordered_map<std::uint64_t, Time> provenAt; ///< by target: latest forwarding of data that was answered
    std::unordered_map<std::uint32_t, Time> callerProgressAt; ///< by the caller's IP address: last progress on any flow
    std::map<Id, Time> nextReportAt; ///< by owner
    /// By target: when data was sent that the target has acknowledged without an answer so far; not reported yet.
    std::map<std::uint64_t, Time> acknowledgedAt;
    Time nextSweepAt = 0; ///< when old entries are removed next
};

/// Records a stall of a flow to a target.
void recordStall(LossEvidence &evidence, std::uint64_t target, const FlowStall &stall);

/// Records progress of a flow on a target. It clears the target's stalls.
/// @param provenForwardAt see ProgressObservation
void recordProgress(LossEvidence &evidence, std::uint64_t target, std::uint32_t callerIp, Time provenForwardAt, Time now);

/// Removes stalls that were acknowledged or given up, and old observations.
void expireStalls(LossEvidence &evidence, Time now);

/// Forgets all stalls, since this process was paused.
void clearEvidence(LossEvidence &evidence);

/// Counts the stalls against a target that this node may report.
/// @return entry with `stalledFlows` 0 when there are none; `startedAt` and `progressAge` are not set
TargetEvidence countableStalls(const LossEvidence &evidence, std::uint64_t target, Time now);

} // namespace pimentofold
