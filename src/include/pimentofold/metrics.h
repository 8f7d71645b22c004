#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

/// Metrics of one process, in the text format that Prometheus and similar tools read.
namespace pimentofold {

/// Durations in seconds on a logarithmic axis from 50 microseconds to 60 s.
using DurationHistogram =
    decltype(boost::histogram::make_histogram(boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(24, 0.00005, 60.0)));

/// Counters, gauges and histograms by name. A name may end in labels: `dropped_total{reason="forged"}`.
struct Metrics {
    std::map<std::string, std::int64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, std::pair<DurationHistogram, double>> durations; ///< histogram and sum in seconds
};

/// Adds to a counter. Hot paths keep the returned reference of counter() instead.
void count(Metrics &metrics, const std::string &name, std::int64_t n = 1);

/// @return the counter, which stays in place for the life of @p metrics
std::int64_t &counter(Metrics &metrics, const std::string &name);

/// Sets a gauge.
void setGauge(Metrics &metrics, const std::string &name, double value);

/// Adds a duration to a histogram.
/// @param seconds length of the duration
void recordDuration(Metrics &metrics, const std::string &name, double seconds);

/// @return all metrics in the Prometheus text format, names prefixed with "pimentofold_"
std::string renderMetrics(const Metrics &metrics);

} // namespace pimentofold
