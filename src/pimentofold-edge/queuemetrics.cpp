#include <pimentofold-edge/queuemetrics.h>

namespace pimentofold {

namespace {

std::string routeLabel(const TargetTable &table, const Address &address)
{
    const EdgeRoute *route = findRoute(table, address);
    return "route=\"" + (route == nullptr ? toString(address) : route->name) + "\"";
}

} // namespace

void updateQueueMetrics(Metrics &metrics, const TargetTable &table, const AdmissionQueue &queue)
{
    counter(metrics, "flows_deferred_total") = queue.deferred;
    const std::string gauge = "waiting_flows{";
    std::erase_if(metrics.gauges, [&](const auto &it) { return it.first.starts_with(gauge); });
    for (const auto &[key, waiting] : queue.classes) {
        setGauge(metrics, gauge + routeLabel(table, key.route) + ",data_centre=\"" + key.dataCentre + "\"}", static_cast<double>(waiting.flows.size()));
    }
}

void recordQueueWaits(Metrics &metrics, const TargetTable &table, const std::vector<QueueWait> &waits)
{
    for (const QueueWait &it : waits) {
        recordDuration(metrics, "flow_wait_seconds{" + routeLabel(table, it.route) + "}", static_cast<double>(it.wait) / static_cast<double>(second));
    }
}

} // namespace pimentofold
