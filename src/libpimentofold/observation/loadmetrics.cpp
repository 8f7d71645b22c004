#include <pimentofold/loadmetrics.h>

namespace pimentofold {

namespace {

/// @return the metric name with the label of a service
std::string withLabels(const char *name, const std::string &service)
{
    return std::string(name) + "{service=\"" + service + "\"}";
}

/// @return the metric name with the labels of a service and a kind of work
std::string withLabels(const char *name, const std::string &service, std::size_t kind)
{
    return std::string(name) + "{service=\"" + service + "\",kind=\"" + std::to_string(kind) + "\"}";
}

double toSeconds(double microseconds)
{
    return microseconds / static_cast<double>(second);
}

} // namespace

void exportLoadMetrics(Metrics &metrics, const std::string &service, const Admission &admission, const TargetSet &targets, Time now)
{
    for (std::size_t i = 0; i < admission.kinds.size(); ++i) {
        const WorkKindState &it = admission.kinds[i];
        counter(metrics, withLabels("admission_offered_total", service, i)) = it.offered;
        counter(metrics, withLabels("admission_started_total", service, i)) = it.started;
        counter(metrics, withLabels("admission_refused_total", service, i)) = it.refused;
        setGauge(metrics, withLabels("admission_queued", service, i), static_cast<double>(it.queue.size()));
        setGauge(metrics, withLabels("admission_in_flight", service, i), it.inFlight);
        setGauge(metrics, withLabels("admission_mean_run_seconds", service, i), toSeconds(it.meanRunTime));
    }
    setGauge(metrics, withLabels("admission_limit", service), admission.limit.limit);
    setGauge(metrics, withLabels("targets_usable_slots", service), slotTotals(targets, now).usable);
    setGauge(metrics, withLabels("targets_health_ignored", service), targets.healthIgnored ? 1 : 0);
}

void exportIngressMetrics(Metrics &metrics, const std::string &service, const IngressService &state)
{
    counter(metrics, withLabels("ingress_passed_total", service)) = state.passed;
    counter(metrics, withLabels("ingress_dropped_total", service)) = state.dropped;
    setGauge(metrics, withLabels("ingress_mean_cost_seconds", service), toSeconds(state.meanCost));
}

} // namespace pimentofold
