#pragma once

#include <pimentofold-measure/measurements.h>

/// Measurements of a real balancer process, which scripts/measure.d starts.
namespace pimentofold {

/// Packets a second through the balancer against a bare receive-and-send loop, in alternating rounds of one run.
int measureForward(const MeasureOptions &options);

/// Growth of the balancer's resident memory for open flows with and without tokens.
int measureBytesPerFlow(const MeasureOptions &options);

} // namespace pimentofold
