#include <pimentofold-measure/converge.h>

#include <algorithm>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include <pimentofold-measure/controlsim.h>

namespace pimentofold {

using nlohmann::json;

namespace {

// 40,000 changes a day, as at the target size.
constexpr Time changeInterval = 86'400 * second / 40'000;
constexpr Time warmUp = 10 * second;
constexpr std::size_t largeFleet = 1000;

struct Fleet {
    std::size_t members;
    std::size_t dataCentres;
    int changes;
};

struct Condition {
    std::string_view name;
    standin::Faults faults; ///< from the end of the warm-up
    Time outage = 0; ///< length of an outage that starts after a third of the changes
};

std::vector<Condition> conditions()
{
    Condition slow{"slow", {}, 0};
    slow.faults.delay = second;
    return {{"healthy", {}, 0}, slow, {"away", {}, 20 * second}};
}

ControlSimOptions simOptions(const Fleet &fleet, std::uint64_t seed)
{
    ControlSimOptions options;
    options.seed = seed;
    options.dataCentres = fleet.dataCentres;
    options.nodesPerDataCentre = (fleet.members + fleet.dataCentres - 1) / fleet.dataCentres;
    if (fleet.members > largeFleet) {
        options.membership = false;
        options.tickInterval = 200 * millisecond;
        options.remoteDelay = 80 * millisecond; // between regions
    }
    return options;
}

/// Writes the changes one by one. A change that meets an outage is written as soon as the platform is back, as an
/// operator would; its time counts from when it was accepted.
void scheduleChanges(ControlSim &sim, const Fleet &fleet)
{
    for (int i = 0; i < fleet.changes; ++i) {
        const ObjectKey key{"drain", "team.service.t" + std::to_string(i % 50)};
        const std::string value = R"({"reason": "measurement )" + std::to_string(i) + std::string(200, '.') + "\"}";
        const auto attempt = std::make_shared<std::function<void()>>();
        const std::weak_ptr<std::function<void()>> weak = attempt;
        *attempt = [&sim, key, value, weak] {
            if (!sim.write(key, value)) {
                sim.at(sim.now() + 100 * millisecond, [self = weak.lock()] { (*self)(); });
            }
        };
        sim.at(warmUp + i * changeInterval, [attempt] { (*attempt)(); });
    }
}

double percentile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

std::int64_t bytesOf(const ControlSim &sim)
{
    std::int64_t bytes = 0;
    for (const SimNode &it : sim.nodes()) {
        bytes += it.bytesSent + it.bytesReceived;
    }
    return bytes;
}

std::int64_t watchCalls(const ControlSim &sim)
{
    const auto it = sim.platform().counts.find("watch");
    return it == sim.platform().counts.end() ? 0 : it->second;
}

/// @return accepted versions that aren't in force at the end, counted for each node
std::size_t countLost(const ControlSim &sim)
{
    std::size_t lost = 0;
    for (const auto &[name, versions] : sim.platform().objects) {
        for (const SimNode &it : sim.nodes()) {
            const auto held = it.inForce.find({name.first, name.second});
            lost += held == it.inForce.end() || held->second < versions.front().version ? 1 : 0;
        }
    }
    return lost;
}

json measure(const Fleet &fleet, const Condition &condition, std::uint64_t seed)
{
    ControlSim sim(simOptions(fleet, seed));
    scheduleChanges(sim, fleet);
    sim.runUntil(warmUp);
    const std::int64_t bytesBefore = bytesOf(sim);
    const std::int64_t callsBefore = watchCalls(sim);
    sim.setFaults(condition.faults);
    const Time length = fleet.changes * changeInterval;
    if (condition.outage > 0) {
        standin::Faults outage = condition.faults;
        outage.outage = true;
        sim.at(warmUp + length / 3, [&sim, outage] { sim.setFaults(outage); });
        sim.at(warmUp + length / 3 + condition.outage, [&sim, condition] { sim.setFaults(condition.faults); });
    }
    sim.runUntil(warmUp + length + 2 * convergenceLimit);
    const double seconds = static_cast<double>(sim.now() - warmUp) / second;
    std::vector<double> latencies = sim.latencies();
    std::ranges::sort(latencies);
    const auto members = static_cast<double>(sim.nodes().size());
    return {{"members", sim.nodes().size()},
            {"data_centres", fleet.dataCentres},
            {"membership", fleet.members <= largeFleet},
            {"platform", condition.name},
            {"changes", fleet.changes},
            {"p50_s", percentile(latencies, 0.5)},
            {"p99_s", percentile(latencies, 0.99)},
            {"max_s", latencies.empty() ? 0 : latencies.back()},
            {"reverts", sim.faults().reverts.size()},
            {"late", sim.faults().late.size()},
            {"lost", countLost(sim)},
            {"platform_calls_per_s", static_cast<double>(watchCalls(sim) - callsBefore) / seconds},
            // Sent and received together.
            {"bytes_per_s_node", static_cast<double>(bytesOf(sim) - bytesBefore) / seconds / members}};
}

std::vector<Fleet> fleets(std::int64_t size)
{
    const std::vector<Fleet> all{{15, 3, 100}, {400, 1, 60}, {14'000, 36, 20}};
    std::vector<Fleet> chosen;
    for (const Fleet &it : all) {
        if (size == 0 || static_cast<std::int64_t>(it.members) == size) {
            chosen.push_back(it);
        }
    }
    return chosen;
}

} // namespace

int measureConverge(const MeasureOptions &options)
{
    json runs = json::array();
    bool broken = false;
    for (const Fleet &fleet : fleets(options.size)) {
        for (const Condition &condition : conditions()) {
            json run = measure(fleet, condition, options.seed);
            std::cerr << run.dump() << '\n';
            broken = broken || run["reverts"] != 0 || run["lost"] != 0;
            runs.push_back(std::move(run));
        }
    }
    std::cout << json{{"measurement", "converge"}, {"seed", options.seed}, {"runs", std::move(runs)}}.dump() << '\n';
    return broken ? 1 : 0;
}

} // namespace pimentofold
