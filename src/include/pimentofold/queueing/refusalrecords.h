#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include <pimentofold/queueing/waitingflow.h>

/// Records of flows that the admission queue has refused. They answer retransmissions of a refused flow's opening packet, and
/// tell which callers come back with another flow.
namespace pimentofold {

/// A caller gives an opening up after this time.
constexpr Time openingTimeout = 1400 * millisecond;
/// A flow counts as a retry when its caller had a flow on the same route refused within this time.
constexpr Time retryMemory = second;

/// A refused flow.
struct RefusalRecord {
    RefusalReason reason = RefusalReason::NoTarget;
    Time refusedAt = 0;
};

/// Refused flows of the last openingTimeout, and their callers.
struct RefusalRecords {
    std::size_t maxRecords = 4096; ///< beyond it the oldest are evicted; about 200 bytes each
    std::unordered_map<FlowKey, RefusalRecord> flows;
    std::map<std::pair<std::uint32_t, Address>, Time> callers; ///< by caller's IP address and route: when a flow was refused last
    std::deque<std::pair<Time, FlowKey>> order; ///< all refusals, oldest first
};

/// When the callers of flows that had to ask again opened them. A repeated request holds the opening packet as it was first received,
/// so it doesn't tell the flow's age.
struct OpeningRecords {
    std::size_t maxRecords = 4096; ///< beyond it the oldest are evicted; about 100 bytes each
    std::unordered_map<FlowKey, Time> flows;
    std::deque<std::pair<Time, FlowKey>> order; ///< with the time of the record, oldest first
};

/// Records when a flow was opened, and removes records older than openingTimeout. An earlier record of the flow is kept.
void recordOpening(OpeningRecords &records, const FlowKey &flow, Time openedAt, Time now);

/// @param openingAge of the flow's opening packet
/// @return time since the caller sent the first opening packet, as far as it is known
Time ageOf(const OpeningRecords &records, const FlowKey &flow, Time openingAge, Time now);

/// Records a refusal, and removes the records that are too old.
void recordRefusal(RefusalRecords &records, const FlowKey &flow, RefusalReason reason, Time now);

/// @return the record of a flow that was refused within openingTimeout; nothing when there is none
std::optional<RefusalRecord> findRefusal(const RefusalRecords &records, const FlowKey &flow, Time now);

/// Removes the record of a flow, because its caller uses the port for a new flow.
void forgetRefusal(RefusalRecords &records, const FlowKey &flow);

/// @return whether an earlier flow of the same caller address on the same route was refused within retryMemory
bool isRetry(const RefusalRecords &records, const FlowKey &flow, Time now);

} // namespace pimentofold
