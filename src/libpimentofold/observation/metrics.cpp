#include <pimentofold/metrics.h>

#include <sstream>

namespace pimentofold {

namespace {

constexpr const char *prefix = "pimentofold_";

/// @param labels of the metric, "a=\"b\"" or empty
/// @param more further label or empty
/// @return all labels in braces; empty when there are none
std::string joinLabels(const std::string &labels, const std::string &more)
{
    const std::string all = labels + (labels.empty() || more.empty() ? "" : ",") + more;
    return all.empty() ? "" : "{" + all + "}";
}

void renderDuration(std::ostream &out, const std::string &fullName, const DurationHistogram &histogram, double sum)
{
    const std::size_t brace = fullName.find('{');
    const std::string name = fullName.substr(0, brace);
    const std::string labels = brace == std::string::npos ? "" : fullName.substr(brace + 1, fullName.size() - brace - 2);
    // Prometheus buckets are cumulative. The first cell of the indexed range counts the underflow.
    std::uint64_t cumulative = 0;
    for (auto &&cell : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        cumulative += static_cast<std::uint64_t>(*cell);
        const bool overflow = cell.index() == histogram.axis().size();
        std::ostringstream bound;
        if (overflow) {
            bound << "+Inf";
        } else {
            bound << cell.bin().upper();
        }
        out << prefix << name << "_bucket" << joinLabels(labels, "le=\"" + bound.str() + "\"") << ' ' << cumulative << '\n';
    }
    out << prefix << name << "_sum" << joinLabels(labels, "") << ' ' << sum << '\n';
    out << prefix << name << "_count" << joinLabels(labels, "") << ' ' << cumulative << '\n';
}

} // namespace

void count(Metrics &metrics, const std::string &name, std::int64_t n)
{
    metrics.counters[name] += n;
}

std::int64_t &counter(Metrics &metrics, const std::string &name)
{
    return metrics.counters[name];
}

void setGauge(Metrics &metrics, const std::string &name, double value)
{
    metrics.gauges[name] = value;
}

void recordDuration(Metrics &metrics, const std::string &name, double seconds)
{
    auto it = metrics.durations.find(name);
    if (it == metrics.durations.end()) {
        auto histogram = boost::histogram::make_histogram(boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(24, 0.00005, 60.0));
        it = metrics.durations.emplace(name, std::make_pair(std::move(histogram), 0.0)).first;
    }
    it->second.first(seconds);
    it->second.second += seconds;
}

std::string renderMetrics(const Metrics &metrics)
{
    std::ostringstream out;
    for (const auto &[name, value] : metrics.counters) {
        out << prefix << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : metrics.gauges) {
        out << prefix << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : metrics.durations) {
        renderDuration(out, name, value.first, value.second);
    }
    return out.str();
}

} // namespace pimentofold
