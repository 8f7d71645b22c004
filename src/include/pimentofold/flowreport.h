#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/timeline.h>

/// Extracts the history of one flow from the event log of edge nodes.
///
///     const Timeline flow = eventsOfFlow(timeline, "100.66.0.14:1372");
///     for (const std::string &it : flowSteps(flow)) {
///         std::cout << it << '\n';
///     }
///     std::cout << flowOutcome(flow) << '\n';
namespace pimentofold {

/// Selects the events that concern one flow.
/// @param timeline events of all nodes
/// @param id address and port of the caller, as in the event lines, or the whole flow as "CALLER>SERVICE"; callers use a new port for
///     each attempt
/// @return the events of the caller's flow, and from 5 s before to 5 s after the flow the changes and verdicts of the targets to which
///     it was offered and the starts, stops and pauses of nodes; in the order of @p timeline. Empty when no event names the flow.
Timeline eventsOfFlow(const Timeline &timeline, std::string_view id);

/// Describes what happened to a flow.
/// @param flow result of eventsOfFlow()
/// @return one line for each step: the time since the first event of @p flow in ms, the node, and what it did with the flow or found
///     out about its target. Events without a text are left out.
///     Ids of nodes are replaced by the names of those that have logged an event of the flow.
std::vector<std::string> flowSteps(const Timeline &flow);

/// Summarises the history of a flow.
/// @param flow result of eventsOfFlow()
/// @return one sentence that says how the flow ended and why, and whether its request may have run
std::string flowOutcome(const Timeline &flow);

} // namespace pimentofold
