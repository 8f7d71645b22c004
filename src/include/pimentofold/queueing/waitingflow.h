#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <pimentofold/flowpacket.h>
#include <pimentofold/types.h>

/// Requests to place flows, and the flows that wait at a dispatcher.
namespace pimentofold {

/// A request to place a flow.
struct OpeningFlow {
    FlowKey key;
    std::string openingPacket; ///< bytes of the opening packet
    Id originNode = 0; ///< node that received the opening packet from the caller; 0: this node
    int attempt = 1; ///< above 1 when earlier attempts got no answer
    Time openingAge = 0; ///< time since the caller sent the first opening packet of this flow
    bool preferOwned = true; ///< use only targets that this node owns as a dispatcher, if it owns any that can be used
    std::string dataCentre; ///< in which the opening packet came in; empty: not known
};

/// A flow that waits until a target has room.
struct WaitingFlow {
    OpeningFlow flow;
    int urgency = 0; ///< of the route; 0 is the most urgent
    Time responseTimeGoal = 0; ///< of the route; 0: none
    Time waitingSince = 0;
    bool isRetry = false; ///< see isRetry(); only with fair queueing
};

/// Why a flow was refused.
enum class RefusalReason : std::int8_t {
    NoTarget, ///< no target accepts new flows
    Evacuated, ///< only targets in evacuated data centres would accept the flow
    Unreachable, ///< only targets in unreachable data centres would accept the flow
    NoTime, ///< the flow can't be placed while its caller still waits
    QueueFull, ///< too many flows wait, and this one would be served last
    RetryLimit, ///< the flow is a retry, and retries have their part of the queue already
};

/// @return name of the reason in the log and the counters, in lower case with underscores
std::string_view name(RefusalReason reason);

/// @param value number of a reason in a message
/// @return NoTarget for a number that this version doesn't know
RefusalReason refusalReasonFromNumber(int value);

} // namespace pimentofold
