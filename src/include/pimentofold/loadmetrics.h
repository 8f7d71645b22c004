#pragma once

#include <string>

#include <pimentofold/admission/admission.h>
#include <pimentofold/ingress.h>
#include <pimentofold/metrics.h>
#include <pimentofold/targetchoice.h>

/// Metrics of admission control, target selection and the ingress limiter. docs/load.md lists their names.
namespace pimentofold {

/// Sets the admission and target metrics of one service.
/// @param service name of the service, written as label
void exportLoadMetrics(Metrics &metrics, const std::string &service, const Admission &admission, const TargetSet &targets, Time now);

/// Sets the ingress limiter metrics of one service.
/// @param service name of the service, written as label
void exportIngressMetrics(Metrics &metrics, const std::string &service, const IngressService &state);

} // namespace pimentofold
