#pragma once

#include <pimentofold/types.h>

/// How long a node remembers flows and their locations. A node that forgets a flow while its caller may still use it forwards the
/// flow's next packet by its token, which may be wrong.
namespace pimentofold {

/// Settings of retention.
struct FlowRetentionSettings {
    Time minIdleTime = 15 * second; ///< flows without packets are remembered for this long at least
    Time maxFlowAge = 0; ///< a flow that has been open for longer may be forgotten; 0: flows are open for any time
};

/// @param idleTimeout after which callers no longer use a flow, from the configuration; 0: not known
/// @return how long a flow without packets is remembered
Time flowRetention(const FlowRetentionSettings &settings, Time idleTimeout);

/// A second target's answer may reach the caller at any time while the flow is open, and the caller may be idle after it.
/// @return how long the location of a flow is kept after the flow has opened
Time locationRetention(const FlowRetentionSettings &settings, Time idleTimeout);

} // namespace pimentofold
