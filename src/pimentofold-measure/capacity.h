#pragma once

#include <vector>

#include <pimentofold-measure/slope.h>

/// Slopes from which docs/CAPACITY.md is worked out.
namespace pimentofold {

/// Sizes at which the slopes are measured.
enum class CapacityScale {
    Full, ///< up to the target size where one process can hold it
    Smoke, ///< small sizes, to test the measurement itself
};

/// @param full sizes of the full measurement
/// @return the sizes to measure at
std::vector<double> capacitySizes(CapacityScale scale, std::vector<double> full);

/// Processor time and memory of the data path: tokens, candidates, views, at-most-once records, admission.
std::vector<Slope> dataPathSlopes(CapacityScale scale);

/// Memory and processor time of the control plane's state: objects, members, views.
std::vector<Slope> controlStateSlopes(CapacityScale scale);

/// Bytes and processor time of membership by number of members and of configuration spreading by changes a day, from
/// simulations on virtual time.
std::vector<Slope> controlTrafficSlopes(CapacityScale scale);

} // namespace pimentofold
