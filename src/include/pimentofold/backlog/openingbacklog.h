#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include <pimentofold/flowpacket.h>
#include <pimentofold/queueing/waitingflow.h>

/// Relayed opening packets that a dispatcher has received and not placed yet.
///
/// A process that didn't run for a moment finds messages in its socket that were valid when they were sent. The node that relayed an
/// opening packet may have placed the flow by itself meanwhile, and its notice waits behind the opening packet in the same socket.
/// Opening packets are therefore collected until the socket has been read to its end, and a notice that the flow is elsewhere
/// withdraws them.
namespace pimentofold {

struct OpeningBacklog {
    std::vector<std::optional<OpeningFlow>> openings; ///< in the order of arrival; nothing: withdrawn
    std::unordered_map<FlowKey, std::size_t> positions; ///< in `openings`
    Time startedAt = never; ///< when the first one was collected; never: there is none
};

/// Collects an opening packet. A later attempt of the same flow replaces the earlier one, so that the flow gets one offer.
void addOpening(OpeningBacklog &backlog, OpeningFlow opening, Time now);

/// Drops the opening packet of a flow that is elsewhere.
/// @return the opening packet; nothing when none was collected
std::optional<OpeningFlow> withdrawOpening(OpeningBacklog &backlog, const FlowKey &flow);

/// Empties the backlog.
/// @return the opening packets that were not withdrawn, in the order of their arrival
std::vector<OpeningFlow> takeOpenings(OpeningBacklog &backlog);

} // namespace pimentofold
