#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// Measurements over the library. Each one prints its result as one JSON line on standard output.
namespace pimentofold {

struct MeasureOptions {
    double seconds = 10; ///< bound on the real time of measurements that run on until then
    std::uint64_t seed = 1;
    std::int64_t size = 0; ///< main size of the measurement; 0 for its default
};

/// One entry of the table of measurements.
struct Measurement {
    std::string_view name;
    std::string_view summary;
    /// @return exit status: 0, or 1 when a promise of the design was broken
    int (*run)(const MeasureOptions &options);
};

/// @return all measurements, in the order of their names
const std::vector<Measurement> &measurements();

int measureBalance(const MeasureOptions &options);
int measureFlood(const MeasureOptions &options);
int measureLimits(const MeasureOptions &options);

} // namespace pimentofold
