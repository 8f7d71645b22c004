#include <caller-standin/callercounts.h>

namespace pimentofold {

namespace {

constexpr int latencyCells = 24;
constexpr double leastLatency = 0.00005;
constexpr double mostLatency = 60.0;
constexpr double millisecondsPerSecond = 1000;

} // namespace

WorkCounts::WorkCounts()
    : latency(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(latencyCells, leastLatency, mostLatency)))
{
}

PhaseCounts &CallerCounts::phase()
{
    return phases[current];
}

void recordLatency(WorkCounts &counts, Time latency)
{
    counts.latency(static_cast<double>(latency) / static_cast<double>(second));
    ++counts.samples;
}

double quantile(const WorkCounts &counts, double share)
{
    if (counts.samples == 0) {
        return 0;
    }
    const double wanted = share * static_cast<double>(counts.samples);
    double seen = 0;
    for (auto &&cell : boost::histogram::indexed(counts.latency, boost::histogram::coverage::all)) {
        seen += *cell;
        if (seen >= wanted) {
            return cell.bin().upper();
        }
    }
    return mostLatency;
}

nlohmann::json toJson(const WorkCounts &counts)
{
    return {{"requests", counts.requests},
            {"work", counts.work},
            {"answered", counts.answered},
            {"wrong", counts.wrong},
            {"mayHaveRun", counts.mayHaveRun},
            {"unanswered", counts.unanswered},
            {"cancelled", counts.cancelled},
            {"retransmissions", counts.retransmissions},
            {"refused", counts.refused},
            {"unclear", counts.unclear},
            {"p50Ms", quantile(counts, 0.5) * millisecondsPerSecond},
            {"p99Ms", quantile(counts, 0.99) * millisecondsPerSecond}};
}

nlohmann::json toJson(const FlowCounts &counts)
{
    return {{"openedToken", counts.openedToken},
            {"openedBare", counts.openedBare},
            {"closed", counts.closed},
            {"openUnanswered", counts.openUnanswered},
            {"openRefused", counts.openRefused},
            {"brokenToken", counts.brokenToken},
            {"brokenBare", counts.brokenBare}};
}

} // namespace pimentofold
