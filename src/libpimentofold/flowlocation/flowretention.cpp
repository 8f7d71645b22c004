#include <pimentofold/flowlocation/flowretention.h>

#include <algorithm>

namespace pimentofold {

namespace {

// A caller's last packets may be on their way or be repeated when its idle time is over.
constexpr Time idleReserve = second;
// Used for the age of flows when the platform sets no bound. A target that answers an opening packet later has been out of order.
constexpr Time unboundedFlowAge = minute;

} // namespace

Time flowRetention(const FlowRetentionSettings &settings, Time idleTimeout)
{
    const Time retention = std::max(settings.minIdleTime, idleTimeout + idleReserve);
    return settings.maxFlowAge > 0 ? std::min(retention, std::max(settings.minIdleTime, settings.maxFlowAge)) : retention;
}

Time locationRetention(const FlowRetentionSettings &settings, Time idleTimeout)
{
    return settings.maxFlowAge > 0 ? settings.maxFlowAge + idleReserve : unboundedFlowAge + flowRetention(settings, idleTimeout);
}

} // namespace pimentofold
