#pragma once

#include <string>
#include <string_view>

#include <pimentofold/timeline.h>

/// Extracts the history of one flow from the event log of edge nodes.
///
///     const Timeline flow = eventsOfFlow(timeline, "100.66.0.14:1372");
///     std::cout << timelineText(flow) << flowOutcome(flow) << '\n';
namespace pimentofold {

/// Selects the events that concern one flow.
/// @param timeline events of all nodes
/// @param caller address and port, as in the event lines; callers use a new port for each attempt
/// @return the events of the caller's flow, and from 5 s before to 5 s after the flow the changes of the targets to which it was
///     offered and the starts, stops and pauses of nodes; in the order of @p timeline. Empty when no event names the flow.
Timeline eventsOfFlow(const Timeline &timeline, std::string_view caller);

/// Summarises the history of a flow.
/// @param flow result of eventsOfFlow()
/// @return one sentence that says how the flow ended and why, and whether its request may have run
std::string flowOutcome(const Timeline &flow);

} // namespace pimentofold
