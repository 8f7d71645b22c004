#include <pimentofold-measure/capacity.h>

#include <algorithm>
#include <map>
#include <string>

#include <pimentofold-measure/controlsim.h>
#include <testsupport/membersim.h>

namespace pimentofold {

namespace {

using namespace testsupport;

// The burst of a start of all lasts about 90 s at 400 members.
constexpr Time membershipSettle = 120 * second;
constexpr Time membershipWindow = 60 * second;
/// Planned replacements a day of one instance: 34,000 over 14,000 nodes.
constexpr double replacementsPerNodeDay = 34'000.0 / 14'000.0;
constexpr double secondsPerDay = 86'400;

/// What one simulation costs each node.
struct NodeCost {
    double bytesPerSecond = 0; ///< sent
    double unitsPerSecond = 0; ///< reference units, with the simulation around the library
};

void scheduleReplacement(MemberSim &sim, double meanSeconds)
{
    const Time wait = static_cast<Time>(exponential(sim.random, meanSeconds * static_cast<double>(second)));
    schedule(sim.queue, sim.queue.now + wait, [&sim, meanSeconds] {
        const int node = static_cast<int>(below(sim.random, sim.agents.size()));
        if (sim.agents.at(static_cast<std::size_t>(node)).up) {
            leaveAgent(sim, node);
            addAgent(sim, {0, 1, 2});
        }
        scheduleReplacement(sim, meanSeconds);
    });
}

std::int64_t bytesSent(const MemberSim &sim)
{
    std::int64_t bytes = 0;
    for (const SimAgent &it : sim.agents) {
        bytes += it.bytes;
    }
    return bytes;
}

NodeCost membershipCost(int members)
{
    MemberSim sim;
    setUp(sim, 1);
    for (int i = 0; i < members; ++i) {
        addAgent(sim, {0, 1, 2});
    }
    scheduleReplacement(sim, secondsPerDay / (replacementsPerNodeDay * members));
    runUntil(sim.queue, membershipSettle);
    const std::int64_t before = bytesSent(sim);
    const double units = processorUnits([&sim] { runUntil(sim.queue, membershipSettle + membershipWindow); });
    const double nodeSeconds = members * static_cast<double>(membershipWindow) / static_cast<double>(second);
    return {static_cast<double>(bytesSent(sim) - before) / nodeSeconds, units / nodeSeconds};
}

constexpr Time spreadSettle = 10 * second;
constexpr Time spreadWindow = 120 * second;
constexpr std::size_t changedObjects = 50;
constexpr std::size_t changedBytes = 300;

std::int64_t bytesSent(const ControlSim &sim)
{
    std::int64_t bytes = 0;
    for (const SimNode &it : sim.nodes()) {
        bytes += it.bytesSent;
    }
    return bytes;
}

NodeCost spreadCost(double changesPerDay)
{
    ControlSimOptions options;
    options.membership = false;
    ControlSim sim(options);
    const int changes = static_cast<int>(changesPerDay / secondsPerDay * static_cast<double>(spreadWindow) / static_cast<double>(second));
    for (int i = 0; i < changes; ++i) {
        sim.at(spreadSettle + spreadWindow * i / changes, [&sim, i] {
            const std::string name = "team.service.t" + std::to_string(static_cast<std::size_t>(i) % changedObjects);
            sim.write({"drain", name}, R"({"reason": ")" + std::string(changedBytes, 'r') + std::to_string(i) + "\"}");
        });
    }
    sim.runUntil(spreadSettle);
    const std::int64_t before = bytesSent(sim);
    const double units = processorUnits([&sim] { sim.runUntil(spreadSettle + spreadWindow); });
    const double nodeSeconds = static_cast<double>(sim.nodes().size()) * static_cast<double>(spreadWindow) / static_cast<double>(second);
    return {static_cast<double>(bytesSent(sim) - before) / nodeSeconds, units / nodeSeconds};
}

/// Measures bytes and processor time of the same runs.
std::vector<Slope> costSlopes(const std::string &name, const std::string &xUnit, const std::vector<double> &sizes, NodeCost (*measure)(double))
{
    std::map<double, NodeCost> costs;
    for (const double size : sizes) {
        costs[size] = measure(size);
    }
    return {
        measureSlope(name + "_bytes", xUnit, "bytes a second sent by a node", sizes, [&](double size) { return costs[size].bytesPerSecond; }),
        measureSlope(name + "_cpu", xUnit, "reference units a second of a node", sizes, [&](double size) { return costs[size].unitsPerSecond; }),
    };
}

} // namespace

std::vector<Slope> controlTrafficSlopes(CapacityScale scale)
{
    const std::vector<double> changes =
        scale == CapacityScale::Smoke ? std::vector<double>{10'000, 20'000, 40'000} : std::vector<double>{10'000, 20'000, 40'000, 80'000};
    std::vector<Slope> slopes = costSlopes(
        "membership", "members", capacitySizes(scale, {15, 50, 100, 200, 400}), [](double members) { return membershipCost(static_cast<int>(members)); });
    for (Slope &it : costSlopes("spread", "changes a day", changes, spreadCost)) {
        slopes.push_back(std::move(it));
    }
    return slopes;
}

} // namespace pimentofold
