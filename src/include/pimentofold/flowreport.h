#pragma once

#include <string>
#include <string_view>

#include <pimentofold/timeline.h>

/// What the event lines of edge nodes tell of one flow.
///
///     const Timeline flow = eventsOfFlow(timeline, "100.66.0.14:1372");
///     std::cout << timelineText(flow) << flowOutcome(flow) << '\n';
namespace pimentofold {

/// @param caller address and port, as in the lines; callers use a new port for each attempt
/// @return the events of the caller's flow, those of the targets that it was offered to, and starts, stops and pauses of nodes
///     shortly before and during the flow, in the order of @p timeline; empty when no event names the flow
Timeline eventsOfFlow(const Timeline &timeline, std::string_view caller);

/// @param flow result of eventsOfFlow()
/// @return one sentence: how the flow ended, why, and whether its request may have run
std::string flowOutcome(const Timeline &flow);

} // namespace pimentofold
