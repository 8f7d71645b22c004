#include <pimentofold/loadmetrics.h>

namespace pimentofold {

namespace {

std::string labelled(const char *name, const std::string &service)
{
    return std::string(name) + "{service=\"" + service + "\"}";
}

std::string labelled(const char *name, const std::string &service, std::size_t kind)
{
    return std::string(name) + "{service=\"" + service + "\",kind=\"" + std::to_string(kind) + "\"}";
}

double seconds(double microseconds)
{
    return microseconds / static_cast<double>(second);
}

} // namespace

void exportLoadMetrics(Metrics &metrics, const std::string &service, const Admission &admission, const TargetSet &targets, Time now)
{
    for (std::size_t i = 0; i < admission.kinds.size(); ++i) {
        const WorkKindState &it = admission.kinds[i];
        counter(metrics, labelled("admission_offered_total", service, i)) = it.offered;
        counter(metrics, labelled("admission_started_total", service, i)) = it.started;
        counter(metrics, labelled("admission_refused_total", service, i)) = it.refused;
        setGauge(metrics, labelled("admission_queued", service, i), static_cast<double>(it.queue.size()));
        setGauge(metrics, labelled("admission_in_flight", service, i), it.inFlight);
        setGauge(metrics, labelled("admission_mean_run_seconds", service, i), seconds(it.meanRunTime));
    }
    setGauge(metrics, labelled("admission_limit", service), admission.limit.limit);
    setGauge(metrics, labelled("targets_usable_slots", service), slotTotals(targets, now).usable);
    setGauge(metrics, labelled("targets_health_ignored", service), targets.healthIgnored ? 1 : 0);
}

void exportIngressMetrics(Metrics &metrics, const std::string &service, const IngressService &state)
{
    counter(metrics, labelled("ingress_passed_total", service)) = state.passed;
    counter(metrics, labelled("ingress_dropped_total", service)) = state.dropped;
    setGauge(metrics, labelled("ingress_mean_cost_seconds", service), seconds(state.meanCost));
}

} // namespace pimentofold
