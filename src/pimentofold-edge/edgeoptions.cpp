#include <pimentofold-edge/edgeoptions.h>

#include <pimentofold/balancing/localdispatch.h>

namespace pimentofold {

namespace {

constexpr std::int64_t maxMilliseconds = 60'000;

void readMilliseconds(SettingsObject &object, const std::string &field, Time &value)
{
    value = takeInteger(object, field, 1, maxMilliseconds, value / millisecond) * millisecond;
}

void readCount(SettingsObject &object, const std::string &field, std::size_t max, std::size_t &value)
{
    value = static_cast<std::size_t>(takeInteger(object, field, 1, static_cast<std::int64_t>(max), static_cast<std::int64_t>(value)));
}

} // namespace

EdgeOptions parseEdgeOptions(SettingsObject top)
{
    EdgeOptions options;
    constexpr std::int64_t maxPort = 65'535;
    constexpr std::size_t maxEntries = 10'000'000;
    constexpr double maxRate = 1e6;
    options.metricsPort = static_cast<std::uint16_t>(takeInteger(top, "metricsPort", 0, maxPort, options.metricsPort));
    options.logEventsPerSecond = takeNumber(top, "logEventsPerSecond", 0, maxRate, options.logEventsPerSecond);
    options.logBurst = takeNumber(top, "logBurst", 1, maxRate, options.logBurst);
    readMilliseconds(top, "firstAnswerWaitMs", options.forward.initialAnswerTimeout);
    readMilliseconds(top, "leastAnswerWaitMs", options.forward.minAnswerTimeout);
    readMilliseconds(top, "mostAnswerWaitMs", options.forward.maxAnswerTimeout);
    readMilliseconds(top, "dispatcherAvoidMs", options.forward.dispatcherAvoidTime);
    readMilliseconds(top, "flowIdleMs", options.forward.retention.minIdleTime);
    readCount(top, "mostFlows", maxEntries, options.forward.maxFlows);
    options.dispatch.maxFlows = options.forward.maxFlows;
    constexpr std::int64_t maxSlots = 1'000'000;
    options.forward.slotsPerDispatcher = static_cast<int>(takeInteger(top, "slotsPerDispatcher", 1, maxSlots, options.forward.slotsPerDispatcher));
    options.forward.localDispatch = takeBoolean(top, "localDispatch", options.forward.localDispatch);
    options.forward.earlyRoutes = takeBoolean(top, "earlyRoutes", options.forward.earlyRoutes);
    if (options.forward.localDispatch) {
        options.dispatch.placement.otherDataCentreCost = localDispatchDistanceCost;
        options.dispatch.placement.maxLocalAttempts = localDispatchAttempts;
    }
    readMilliseconds(top, "otherDataCentreMs", options.balancing.leave.extraTransit);
    constexpr double maxFlowsPerSlot = 1000;
    options.dispatch.flowsPerSlot = takeNumber(top, "flowsPerSlot", 1, maxFlowsPerSlot, options.dispatch.flowsPerSlot);
    readMilliseconds(top, "waitLimitMs", options.dispatch.maxWaitTime);
    readCount(top, "mostWaiting", maxEntries, options.dispatch.maxWaitingFlows);
    options.fairQueueing = takeBoolean(top, "fairQueueing", options.fairQueueing);
    readMilliseconds(top, "beatIntervalMs", options.replication.heartbeatInterval);
    options.targetLoss.enabled = takeBoolean(top, "targetLoss", options.targetLoss.enabled);
    options.outliers.enabled = takeBoolean(top, "outlierDetection", options.outliers.enabled);
    options.outliers.suspectThreshold = options.dispatch.placement.suspectThreshold;
    options.outliers.requestTimeout = options.dispatch.workTimeout;
    readMilliseconds(top, "beatSilenceMs", options.replication.heartbeatTimeout);
    finishSettings(top);
    return options;
}

} // namespace pimentofold
