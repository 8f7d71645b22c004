#include <pimentofold-measure/controlsim.h>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

struct Run {
    std::uint64_t seed;
    std::size_t dataCentres;
    std::size_t nodes;
    double loss;
};

std::vector<std::string> runFaults(const Run &run, bool acceptOlder)
{
    ControlSimOptions options;
    options.seed = run.seed;
    options.dataCentres = run.dataCentres;
    options.nodesPerDataCentre = run.nodes;
    options.loss = run.loss;
    options.acceptOlder = acceptOlder;
    ControlSim sim(options);
    runRandomFaults(sim, run.seed, 120 * second);
    CHECK(sim.latencies().size() > 100);
    return checkConfigNeverReverts(sim);
}

const std::vector<Run> runs{{1, 3, 5, 0}, {2, 3, 5, 0.01}, {3, 3, 5, 0.05}, {4, 2, 8, 0.01}, {5, 5, 3, 0.05}, {6, 1, 15, 0.02}, {7, 4, 6, 0}, {8, 3, 7, 0.1}};

} // namespace

// Guards against configuration that reverts or doesn't arrive under outages, slow and stale answers, partitions,
// lost datagrams and restarts with empty memory.
TEST_CASE("ConfigNeverReverts")
{
    for (const Run &run : runs) {
        const auto faults = runFaults(run, false);
        for (const std::string &it : faults) {
            MESSAGE("seed " << run.seed << ": " << it);
        }
        CHECK(faults.empty());
    }
}

// Guards against a check that can't fail: agents that take over older versions must be found.
TEST_CASE("ConfigNeverReverts finds agents that accept older versions")
{
    for (const Run &run : runs) {
        CHECK_MESSAGE(!runFaults(run, true).empty(), "seed " << run.seed);
    }
}
