#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

/// Metrics of one process and their output in the Prometheus text format.
namespace pimentofold {

/// Histogram of durations in seconds, with 24 logarithmic buckets from 50 microseconds to 60 s.
using DurationHistogram =
    decltype(boost::histogram::make_histogram(boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(24, 0.00005, 60.0)));

/// Counters, gauges and histograms by name. Names may end in labels: `dropped_total{reason="forged"}`.
/// Names have no "pimentofold_" prefix here; renderMetrics() adds it.
struct Metrics {
    std::map<std::string, std::int64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, std::pair<DurationHistogram, double>> durations; ///< histogram, and the sum of all recorded durations in seconds
};

/// Adds @p n to a counter, which is created at 0. Hot paths avoid the name lookup by keeping the reference that counter() returns.
void count(Metrics &metrics, const std::string &name, std::int64_t n = 1);

/// @return a reference to the counter, which is created at 0; valid for the lifetime of @p metrics
std::int64_t &counter(Metrics &metrics, const std::string &name);

/// Sets a gauge, which is created if necessary.
void setGauge(Metrics &metrics, const std::string &name, double value);

/// Records a duration in a histogram, which is created if necessary.
/// @param seconds duration in seconds
void recordDuration(Metrics &metrics, const std::string &name, double seconds);

/// @return all metrics in the Prometheus text format, with the prefix "pimentofold_" on each name
std::string renderMetrics(const Metrics &metrics);

} // namespace pimentofold
