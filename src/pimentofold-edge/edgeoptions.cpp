#include <pimentofold-edge/edgeoptions.h>

namespace pimentofold {

namespace {

constexpr std::int64_t mostMilliseconds = 60'000;

void takeMilliseconds(SettingsObject &object, const std::string &field, Time &value)
{
    value = takeInteger(object, field, 1, mostMilliseconds, value / millisecond) * millisecond;
}

void takeCount(SettingsObject &object, const std::string &field, std::size_t most, std::size_t &value)
{
    value = static_cast<std::size_t>(takeInteger(object, field, 1, static_cast<std::int64_t>(most), static_cast<std::int64_t>(value)));
}

} // namespace

EdgeOptions parseEdgeOptions(SettingsObject top)
{
    EdgeOptions options;
    constexpr std::int64_t mostPort = 65'535;
    constexpr std::size_t mostEntries = 10'000'000;
    constexpr double mostRate = 1e6;
    options.metricsPort = static_cast<std::uint16_t>(takeInteger(top, "metricsPort", 0, mostPort, options.metricsPort));
    options.logEventsPerSecond = takeNumber(top, "logEventsPerSecond", 0, mostRate, options.logEventsPerSecond);
    options.logBurst = takeNumber(top, "logBurst", 1, mostRate, options.logBurst);
    takeMilliseconds(top, "firstAnswerWaitMs", options.forward.initialAnswerTimeout);
    takeMilliseconds(top, "leastAnswerWaitMs", options.forward.minAnswerTimeout);
    takeMilliseconds(top, "mostAnswerWaitMs", options.forward.maxAnswerTimeout);
    takeMilliseconds(top, "dispatcherAvoidMs", options.forward.dispatcherAvoidTime);
    takeMilliseconds(top, "flowIdleMs", options.forward.idleTimeout);
    takeCount(top, "mostFlows", mostEntries, options.forward.maxFlows);
    options.dispatch.maxFlows = options.forward.maxFlows;
    constexpr std::int64_t mostSlots = 1'000'000;
    options.forward.slotsPerDispatcher = static_cast<int>(takeInteger(top, "slotsPerDispatcher", 1, mostSlots, options.forward.slotsPerDispatcher));
    constexpr double mostFlowsPerSlot = 1000;
    options.dispatch.flowsPerSlot = takeNumber(top, "flowsPerSlot", 1, mostFlowsPerSlot, options.dispatch.flowsPerSlot);
    takeMilliseconds(top, "waitLimitMs", options.dispatch.maxWaitTime);
    takeCount(top, "mostWaiting", mostEntries, options.dispatch.maxWaitingFlows);
    takeMilliseconds(top, "beatIntervalMs", options.share.beatInterval);
    takeMilliseconds(top, "beatSilenceMs", options.share.silenceLimit);
    finishSettings(top);
    return options;
}

} // namespace pimentofold
