#include <chrono>
#include <iostream>
#include <map>

#include <nlohmann/json.hpp>

#include <pimentofold-measure/measurements.h>
#include <testsupport/oncerun.h>

namespace pimentofold {

int measureSoak(const MeasureOptions &options);

namespace {

using namespace testsupport;

struct SoakResult {
    RunCounts counts;
    std::int64_t seeds = 0;
    std::map<std::string, std::int64_t> failures; ///< by invariant
};

void add(RunCounts &sum, const RunCounts &run)
{
    sum.requests += run.requests;
    sum.runs += run.runs;
    sum.ran += run.ran;
    sum.notRun += run.notRun;
    sum.mayHaveRun += run.mayHaveRun;
    sum.unanswered += run.unanswered;
    sum.ranWithoutAnswer += run.ranWithoutAnswer;
    sum.crashes += run.crashes;
    sum.pauses += run.pauses;
    sum.partitions += run.partitions;
    sum.plannedStops += run.plannedStops;
    sum.messages += run.messages;
}

/// Takes turns with the kinds of runs.
RunOptions optionsOf(std::uint64_t seed)
{
    RunOptions options = seed % 4 == 0 ? plannedOptions(seed) : randomOptions(seed);
    if (seed % 8 == 1) {
        options.limits = {40, 10, 2'000, 1'000, 2}; // full tables
    }
    return options;
}

void runSeed(SoakResult &result, std::uint64_t seed)
{
    ++result.seeds;
    try {
        add(result.counts, runOnceWorld(optionsOf(seed)));
    } catch (const InvariantFailure &failure) {
        ++result.failures[failure.invariant];
        std::cerr << failure.what() << '\n';
    }
}

std::int64_t failuresOf(const SoakResult &result, const std::string &invariant)
{
    const auto it = result.failures.find(invariant);
    return it == result.failures.end() ? 0 : it->second;
}

} // namespace

int measureSoak(const MeasureOptions &options)
{
    using Clock = std::chrono::steady_clock;
    const auto end = Clock::now() + std::chrono::duration<double>(options.seconds);
    SoakResult result;
    for (std::uint64_t seed = options.seed; Clock::now() < end; ++seed) {
        runSeed(result, seed);
    }
    const RunCounts &counts = result.counts;
    const double share = counts.requests > 0 ? static_cast<double>(counts.mayHaveRun) / static_cast<double>(counts.requests) : 0;
    const nlohmann::json json{{"measurement", "soak"},
                              {"first_seed", options.seed},
                              {"seeds", result.seeds},
                              {"requests", counts.requests},
                              {"runs", counts.runs},
                              {"doubled", failuresOf(result, "AtMostOnce")},
                              {"false_not_run", failuresOf(result, "NotRunIsTrue")},
                              {"may_have_run_share", share},
                              {"unanswered", counts.unanswered},
                              {"ran_without_answer", counts.ranWithoutAnswer},
                              {"crashes", counts.crashes},
                              {"pauses", counts.pauses},
                              {"partitions", counts.partitions},
                              {"planned_stops", counts.plannedStops},
                              {"messages", counts.messages},
                              {"invariant_failures", result.failures}};
    std::cout << json.dump() << '\n';
    return result.failures.empty() ? 0 : 1;
}

} // namespace pimentofold
