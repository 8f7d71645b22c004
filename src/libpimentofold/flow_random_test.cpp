#include <doctest/doctest.h>

#include <testsupport/flowrun.h>

using namespace pimentofold;
using namespace pimentofold::testsupport;

// Guards against flows that break, frames that reach another service, and new flows on leaving targets. The runs replace targets
// by others at the same address, rotate keys, stall connections and delay views.
TEST_CASE("planned changes break no flow")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        FlowRunOptions options;
        options.seed = seed;
        const FlowRunCounts counts = runFlows(options);
        CHECK(counts.flows > 1000);
        CHECK(counts.replacements > 5);
        CHECK(counts.wrongIdentities > 0);
    }
}

// Guards against invariant checks that can't fail: each injected defect must be reported as a violation of its invariant.
TEST_CASE("each injected defect of the data path violates its invariant")
{
    struct Row {
        FlowDefect defect;
        std::string_view invariant;
    };
    const Row rows[] = {
        {FlowDefect::RouteByRank, "FlowSurvives"},
        {FlowDefect::NoIdentityCheck, "NoForeignPacket"},
        {FlowDefect::DrainIgnored, "LeavingGetsNoNewWork"},
    };
    for (const Row &row : rows) {
        std::string found;
        for (std::uint64_t seed = 1; seed <= 10 && found != row.invariant; ++seed) {
            FlowRunOptions options;
            options.seed = seed;
            options.defect = row.defect;
            try {
                runFlows(options);
            } catch (const InvariantFailure &failure) {
                found = failure.invariant;
            }
        }
        CHECK(found == row.invariant);
    }
}
