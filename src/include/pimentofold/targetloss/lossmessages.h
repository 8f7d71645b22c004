#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <pimentofold/flowpacket.h>
#include <pimentofold/types.h>

/// Messages about targets that give no sign of life, independent of their wire format.
namespace pimentofold {

/// What one node has seen of a target. Durations count back from the time at which the message was sent.
struct TargetEvidence {
    std::uint64_t target = 0; ///< id
    std::int64_t startedAt = 0; ///< incarnation of the target
    int stalledFlows = 0; ///< number of different callers with a stalled flow; 0: the target makes progress
    int retransmissions = 0; ///< highest count of any one flow
    Time stalledFor = 0; ///< time since the oldest of the stalls began
    Time progressAge = -1; ///< time since a flow has last made progress on the target at the sender; -1: never

    friend bool operator==(const TargetEvidence &, const TargetEvidence &) = default;
};

/// Evidence for the owner of the targets.
struct EvidenceMessage {
    Id owner = 0;
    std::vector<TargetEvidence> evidence;
};

/// A verdict of a target's owner.
struct LostTarget {
    std::uint64_t target = 0; ///< id
    std::int64_t startedAt = 0; ///< incarnation of the target
    std::string dataCentre; ///< empty: lost; otherwise: unreachable from nodes of this data centre

    friend bool operator==(const LostTarget &, const LostTarget &) = default;
};

/// Verdicts for one node.
struct LostTargetMessage {
    Id node = 0;
    std::vector<LostTarget> lost;
};

/// What has happened, for the log and the counters.
enum class LossEvent {
    Suspected, ///< the owner has got the first evidence against the target
    Lost, ///< the owner has declared the target lost
    Unreachable, ///< the owner has declared the target unreachable from a data centre
    Recovered, ///< a flow has made progress on a lost target
    FlowReset, ///< a flow of a lost target was reset
};

/// @return name of the event in the log, in lower case with underscores
std::string_view name(LossEvent event);

/// Why a flow was reset, as a label of the counter.
enum class ResetReason {
    Working, ///< a request that may be repeated was in progress
    Idle,
    Request, ///< a request started after the verdict and before the reset of the idle flow
};

/// @return the label's value
std::string_view name(ResetReason reason);

/// An event with its details.
struct LossEventRecord {
    LossEvent event = LossEvent::Suspected;
    std::uint64_t target = 0; ///< id
    FlowKey flow; ///< only for FlowReset
    ResetReason reason = ResetReason::Idle; ///< only for FlowReset
    std::string dataCentre; ///< only for Unreachable
    int stalledFlows = 0; ///< only for Suspected, Lost and Unreachable
    int reportingNodes = 0; ///< only for Lost and Unreachable; 0: the target's entry is gone
};

} // namespace pimentofold
