#include <doctest/doctest.h>

#include <string>

#include <libpimentofold/outlier/outliersim.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

/// A load with the results that are expected of it.
struct LoadRow {
    std::string name;
    OutlierLoad load;
    std::size_t minEjected = 0; ///< targets ejected at the same time at some point
    std::size_t maxEjected = 0;
    double maxLost = 1; ///< requests lost, relative to the run without outlier detection
    double maxFailed = 1; ///< requests late or lost, likewise
    double maxTime = 1; ///< sum of the times of the answered requests, likewise
};

void add(OutlierResult &sum, const OutlierResult &it)
{
    sum.inTime += it.inTime;
    sum.late += it.late;
    sum.lost += it.lost;
    sum.totalTime += it.totalTime;
    sum.ejected += it.ejected;
    sum.wronglyEjected += it.wronglyEjected;
    sum.maxEjected = std::max(sum.maxEjected, it.maxEjected);
}

void checkLoad(const LoadRow &row)
{
    CAPTURE(row.name);
    OutlierResult off;
    OutlierResult on;
    for (const std::uint64_t seed : {1, 2}) {
        add(off, OutlierSim(row.load, false, seed).run());
        add(on, OutlierSim(row.load, true, seed).run());
    }
    INFO("without: in time " << off.inTime << ", late " << off.late << ", lost " << off.lost << ", seconds " << off.totalTime);
    INFO("with: in time " << on.inTime << ", late " << on.late << ", lost " << on.lost << ", seconds " << on.totalTime << ", ejections " << on.ejected);
    CHECK(off.ejected + off.wronglyEjected == 0);
    CHECK(on.wronglyEjected == 0);
    CHECK(on.maxEjected >= row.minEjected);
    CHECK(on.maxEjected <= row.maxEjected);
    CHECK(on.lost <= off.lost * row.maxLost);
    CHECK(on.late + on.lost <= (off.late + off.lost) * row.maxFailed);
    CHECK(on.totalTime <= off.totalTime * row.maxTime);
}

} // namespace

// Guards against lost and late requests through bad targets, and against ejections that leave too few targets. Each row names its load.
TEST_CASE("outlier detection: requests lost and late with bad targets, with and without outlier detection")
{
    const LoadRow rows[] = {
        {"targets that let 45% of their requests hang", {.bad = 3, .hangShare = 0.45}, 3, 3, 0.6, 0.55, 1},
        {"hanging targets with kept flows", {.bad = 3, .hangShare = 0.45, .keptFlows = 360}, 1, 3, 0.75, 0.7, 1},
        {"slow by a factor of 6", {.bad = 3, .slowFactor = 6}, 2, 3, 0, 0.3, 0.9},
        {"slow by a factor of 6, equal times", {.bad = 3, .slowFactor = 6, .exponentialTimes = false}, 2, 3, 0, 0, 0.9},
        {"slow by a factor of 6 at three quarters of the capacity", {.bad = 3, .slowFactor = 6, .rate = 1500}, 1, 3, 0, 0.3, 0.9},
        {"half of the requests fail", {.bad = 2, .hangShare = 0.5}, 2, 2, 0.7, 0.7, 1},
        {"flapping every 1.4 s", {.bad = 2, .hangShare = 1, .flapPeriod = 1400 * millisecond}, 1, 2, 0.65, 0.65, 1},
        {"entries that change every 1.4 s", {.bad = 2, .entryPeriod = 1400 * millisecond}, 0, 0, 0, 0, 1.01},
        {"a third bad", {.bad = 6, .hangShare = 0.45}, 4, 6, 0.65, 0.6, 1},
        {"half bad", {.bad = 9, .hangShare = 0.45}, 3, 6, 0.6, 0.55, 1},
        {"a third bad, without room to eject all", {.bad = 6, .hangShare = 0.45, .rate = 1400}, 1, 6, 0.65, 0.65, 1.05},
        {"all hang", {.bad = 18, .hangShare = 0.45}, 0, 0, 1.05, 1.05, 1.05},
        {"all fail a fifth", {.bad = 18, .hangShare = 0.2, .rate = 300}, 0, 0, 1.05, 1.05, 1.05},
        {"two thirds hang", {.bad = 12, .hangShare = 0.45, .rate = 300}, 0, 6, 0.75, 0.75, 1},
        {"service of two targets", {.targets = 2, .bad = 1, .hangShare = 0.45, .rate = 60}, 0, 0, 0.85, 0.85, 1.1},
        {"one caller", {.bad = 3, .callers = 10, .badCaller = true}, 0, 0, 1, 1, 1.01},
    };
    for (const LoadRow &row : rows) {
        checkLoad(row);
    }
}

// Guards against ejections of healthy targets, and against a placement that is worse for the measured times than without them.
TEST_CASE("outlier detection: healthy targets under uneven and heavy load")
{
    const LoadRow rows[] = {
        {"usual load", {}, 0, 0, 0, 0, 1.01},
        {"equal times", {.exponentialTimes = false}, 0, 0, 0, 0, 1.01},
        {"low load", {.rate = 60}, 0, 0, 0, 0, 1.01},
        {"bursts", {.rate = 1200, .uneven = 0.3}, 0, 0, 0, 0, 1.01},
        {"bursts beyond the capacity", {.rate = 1800, .uneven = 0.4}, 0, 0, 1.01, 1.01, 1.01},
        {"nearly all of the capacity", {.rate = 2100}, 0, 0, 0, 1, 1.01},
        {"nearly all of the capacity, equal times", {.rate = 2200, .exponentialTimes = false}, 0, 0, 0, 0, 1.01},
        {"kept flows", {.rate = 2100, .keptFlows = 360}, 0, 0, 0, 1, 1.02},
        {"more than the capacity", {.rate = 2600}, 0, 0, 1.01, 1.01, 1.01},
        {"all slow", {.rate = 900, .allSlowFactor = 3}, 0, 0, 1.02, 1.02, 1.01},
        {"pause of the process", {.pauseAt = 8 * second}, 0, 0, 0, 1, 1.01},
    };
    for (const LoadRow &row : rows) {
        checkLoad(row);
    }
}
