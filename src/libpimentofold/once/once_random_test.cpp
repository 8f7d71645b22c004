#include <doctest/doctest.h>

#include <testsupport/oncerun.h>

using namespace pimentofold;
using namespace pimentofold::testsupport;

// Guards against requests that run twice, refusals of requests that ran, and answers of other requests, under random mixtures of
// faults.
TEST_CASE("random faults break no invariant of the at-most-once records")
{
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        CAPTURE(seed);
        const RunCounts counts = runOnceWorld(randomOptions(seed));
        CHECK(counts.ran > counts.requests / 3);
    }
}

// Guards against a planned stop that loses a request, its answer or its verdict.
TEST_CASE("planned stops interrupt no request")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const RunCounts counts = runOnceWorld(plannedOptions(seed));
        CHECK(counts.plannedStops > 0);
        CHECK(counts.mayHaveRun == 0);
    }
}

// Guards against records lost in a series of planned stops. Seed 771424: four balancers stop one after the other within five
// seconds, each before it knows of a live successor.
TEST_CASE("regression seeds of planned stops")
{
    for (const std::uint64_t seed : {771424}) {
        CAPTURE(seed);
        CHECK(runOnceWorld(plannedOptions(seed)).mayHaveRun == 0);
    }
}

// Guards against full tables that cause a false verdict or a second run.
TEST_CASE("full tables break no invariant")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        RunOptions options = randomOptions(seed);
        options.limits = {40, 10, 2'000, 1'000, 2};
        CHECK(runOnceWorld(options).notRun > 0);
    }
}

// Guards against invariant checks that can't fail: each injected defect must be reported as a violation of its invariant.
TEST_CASE("each injected defect violates its invariant")
{
    struct Row {
        Defect defect;
        std::string_view invariant;
        RunOptions (*options)(std::uint64_t);
    };
    const Row rows[] = {
        {Defect::SecondDispatch, "AtMostOnce", randomOptions},
        {Defect::ForgottenRefusal, "NotRunIsTrue", randomOptions},
        {Defect::UnmatchedAnswers, "OwnAnswerWhole", randomOptions},
        {Defect::AbruptStop, "PlannedStopCutsNothing", plannedOptions},
    };
    for (const Row &row : rows) {
        std::string found;
        for (std::uint64_t seed = 1; seed <= 40 && found != row.invariant; ++seed) {
            RunOptions options = row.options(seed);
            options.defect = row.defect;
            try {
                runOnceWorld(options);
            } catch (const InvariantFailure &failure) {
                found = failure.invariant;
            }
        }
        CHECK(found == row.invariant);
    }
}
