#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>

#include <pimentofold-measure/measurements.h>
#include <testsupport/membersim.h>

namespace pimentofold {

namespace {

using namespace testsupport;

/// Churn of the target size, by node and second.
constexpr double replacementRate = 34'000.0 / 14'000 / 86'400;
constexpr Time churnTime = 5 * minute;
constexpr Time startLimit = 10 * minute;
/// Traffic of the start counts as an average over at least a minute, since it includes the burst.
constexpr Time startWindow = 60 * second;
constexpr int failures = 5;
/// Half of the 2 KB/s that a node may spend on all control traffic.
constexpr double limitBytesPerSecond = 1'024;

struct Traffic {
    double bytesPerSecond = 0; ///< sent by a node, mean
    double highestBytesPerSecond = 0; ///< sent by the busiest node
    double messagesPerSecond = 0;
};

void clearTraffic(MemberSim &sim)
{
    for (SimAgent &it : sim.agents) {
        it.bytes = 0;
        it.messages = 0;
    }
}

/// @param since time of clearTraffic()
Traffic trafficSince(const MemberSim &sim, Time since)
{
    Traffic result;
    double nodes = 0;
    for (const SimAgent &it : sim.agents) {
        const double seconds = static_cast<double>(sim.queue.now - std::max(since, it.startedAt)) / static_cast<double>(second);
        // Nodes that just started have spent their burst, which says nothing about a rate.
        if (!it.up || seconds < 30) {
            continue;
        }
        nodes += 1;
        const double rate = static_cast<double>(it.bytes) / seconds;
        result.bytesPerSecond += rate;
        result.messagesPerSecond += static_cast<double>(it.messages) / seconds;
        result.highestBytesPerSecond = std::max(result.highestBytesPerSecond, rate);
    }
    result.bytesPerSecond /= std::max(nodes, 1.0);
    result.messagesPerSecond /= std::max(nodes, 1.0);
    return result;
}

nlohmann::json toJson(const Traffic &traffic)
{
    return {{"bytes_per_second", traffic.bytesPerSecond},
            {"highest_bytes_per_second", traffic.highestBytesPerSecond},
            {"messages_per_second", traffic.messagesPerSecond}};
}

double inSeconds(Time time)
{
    return time == never ? -1 : static_cast<double>(time) / static_cast<double>(second);
}

int anyUp(MemberSim &sim)
{
    int node = 0;
    do {
        node = static_cast<int>(below(sim.random, sim.agents.size()));
    } while (!sim.agents.at(node).up || sim.agents.at(node).membership.leaving);
    return node;
}

/// Seeds as the platform's list shows them: some running instances.
std::vector<int> seedsOf(MemberSim &sim)
{
    return {anyUp(sim), anyUp(sim), anyUp(sim)};
}

void scheduleReplacements(MemberSim &sim, double mean)
{
    const Time wait = static_cast<Time>(exponential(sim.random, mean * static_cast<double>(second)));
    schedule(sim.queue, sim.queue.now + wait, [&sim, mean] {
        leaveAgent(sim, anyUp(sim));
        addAgent(sim, seedsOf(sim));
        scheduleReplacements(sim, mean);
    });
}

nlohmann::json measureFailures(MemberSim &sim)
{
    double first = 0;
    double all = 0;
    for (int n = 0; n < failures; ++n) {
        const int node = anyUp(sim);
        const Time begun = sim.queue.now;
        crashAgent(sim, node);
        const int running = unawareOf(sim, node);
        Time firstAt = never;
        while (unawareOf(sim, node) > 0 && sim.queue.now - begun < 2 * minute) {
            runUntil(sim.queue, sim.queue.now + 100 * millisecond);
            firstAt = firstAt == never && unawareOf(sim, node) < running ? sim.queue.now : firstAt;
        }
        first += inSeconds(firstAt - begun);
        all += inSeconds(sim.queue.now - begun);
    }
    return {{"first_member_seconds", first / failures}, {"all_members_seconds", all / failures}};
}

nlohmann::json measureSize(int size, std::uint64_t seed, bool &kept)
{
    MemberSim sim;
    setUp(sim, seed);
    for (int n = 0; n < size; ++n) {
        const auto any = [&sim, size] { return static_cast<int>(below(sim.random, static_cast<std::uint64_t>(size))); };
        addAgent(sim, {any(), any(), any()});
    }
    const Time agreedAt = runUntilAgreed(sim, startLimit);
    runUntil(sim.queue, std::max(sim.queue.now, startWindow));
    const Traffic start = trafficSince(sim, 0);
    clearTraffic(sim);
    const Time churnBegun = sim.queue.now;
    scheduleReplacements(sim, 1 / (replacementRate * size));
    runUntil(sim.queue, churnBegun + churnTime);
    const Traffic churn = trafficSince(sim, churnBegun);
    const nlohmann::json detection = measureFailures(sim);
    kept = kept && agreedAt != never && std::max(start.bytesPerSecond, churn.bytesPerSecond) <= limitBytesPerSecond && sim.falseDeaths == 0;
    return {{"members", size},
            {"start_of_all", {{"traffic", toJson(start)}, {"agreed_after_seconds", inSeconds(agreedAt)}}},
            {"churn", toJson(churn)},
            {"detection", detection},
            {"false_suspicions", sim.falseSuspicions},
            {"false_deaths", sim.falseDeaths},
            {"largest_message_bytes", sim.largestMessage}};
}

} // namespace

int measureMembership(const MeasureOptions &options)
{
    std::vector<int> sizes{15, 50, 100, 200, 400, 800};
    if (options.size > 0) {
        sizes = {static_cast<int>(options.size)};
    }
    bool kept = true;
    nlohmann::json results = nlohmann::json::array();
    for (const int size : sizes) {
        results.push_back(measureSize(size, options.seed, kept));
        std::cerr << results.back().dump() << '\n';
    }
    const nlohmann::json result{
        {"measurement", "membership"}, {"seed", options.seed}, {"limit_bytes_per_second", limitBytesPerSecond}, {"within_limits", kept}, {"sizes", results}};
    std::cout << result.dump() << '\n';
    return kept ? 0 : 1;
}

} // namespace pimentofold
