#pragma once

#include <string>

#include <pimentofold/admission.h>
#include <pimentofold/ingress.h>
#include <pimentofold/metrics.h>
#include <pimentofold/targetchoice.h>

/// Metrics of admission, target choice and ingress shares, under the names that docs/load.md lists.
namespace pimentofold {

/// Sets the metrics of one service.
/// @param service name of the service, used as label
void exportLoadMetrics(Metrics &metrics, const std::string &service, const Admission &admission, const TargetSet &targets, Time now);

/// Sets the metrics of one service at the ingress gate.
/// @param service name of the service, used as label
void exportIngressMetrics(Metrics &metrics, const std::string &service, const IngressService &state);

} // namespace pimentofold
