#include <pimentofold/loadmetrics.h>

#include <doctest/doctest.h>

using namespace pimentofold;

// Guards against changed metric names, which would break the dashboards of operators.
TEST_CASE("load metrics appear under their documented names")
{
    Admission admission;
    setPolicies(admission, {});
    admission.kinds[0].refused = 7;
    IngressService ingress;
    ingress.dropped = 3;
    Metrics metrics;
    exportLoadMetrics(metrics, "booking", admission, {}, 0);
    exportIngressMetrics(metrics, "booking", ingress);
    const std::string text = renderMetrics(metrics);
    for (const char *it : {"admission_refused_total{service=\"booking\",kind=\"0\"} 7",
                           "ingress_dropped_total{service=\"booking\"} 3",
                           "admission_limit{service=\"booking\"}",
                           "targets_usable_slots{service=\"booking\"}"}) {
        CAPTURE(it);
        CHECK(text.find(it) != std::string::npos);
    }
}
