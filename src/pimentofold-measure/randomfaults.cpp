#include <algorithm>

#include <pimentofold-measure/controlsim.h>

namespace pimentofold {

namespace {

// After the script everything is healed, and back-offs of up to 10 s end.
constexpr Time settleTime = 20 * second;

Time randomTime(Random &random, Time least, Time most)
{
    return least + static_cast<Time>(below(random, static_cast<std::uint64_t>(most - least)));
}

/// Schedules a fault of the platform and its end.
void platformFault(ControlSim &sim, Random &random, Time start)
{
    standin::Faults faults;
    switch (below(random, 3)) {
    case 0:
        faults.outage = true;
        break;
    case 1:
        faults.delay = randomTime(random, 100 * millisecond, second);
        break;
    default:
        faults.staleReads = 0.5;
        break;
    }
    sim.at(start, [&sim, faults] { sim.setFaults(faults); });
    sim.at(start + randomTime(random, second, 15 * second), [&sim] { sim.setFaults({}); });
}

void partition(ControlSim &sim, Random &random, Time start, std::size_t dataCentres)
{
    const auto a = static_cast<std::size_t>(below(random, dataCentres));
    const auto b = static_cast<std::size_t>(below(random, dataCentres));
    sim.at(start, [&sim, a, b] { sim.setLink(a, b, false); });
    sim.at(start + randomTime(random, 2 * second, 30 * second), [&sim, a, b] { sim.setLink(a, b, true); });
}

/// Restarts one agent, or all agents of a data centre at once.
void restartSome(ControlSim &sim, Random &random, Time start)
{
    const std::size_t count = sim.nodes().size();
    const auto chosen = static_cast<std::size_t>(below(random, count));
    const bool all = chance(random, 0.1);
    const Time downFor = randomTime(random, 100 * millisecond, 8 * second);
    sim.at(start, [&sim, chosen, all, downFor, count] {
        for (std::size_t i = 0; i < count; ++i) {
            if (i == chosen || (all && sim.nodes()[i].dataCentre == sim.nodes()[chosen].dataCentre)) {
                sim.restart(i, downFor);
            }
        }
    });
}

void writeSome(ControlSim &sim, Random &random, Time start)
{
    constexpr std::size_t drains = 4;
    constexpr std::size_t largeBytes = 5000; // more than a datagram
    const auto which = static_cast<std::size_t>(below(random, drains + 2));
    const bool deleted = which < drains && chance(random, 0.3);
    const ObjectKey key = which < drains ? ObjectKey{"drain", "team.service.t" + std::to_string(which)}
        : which == drains                ? ObjectKey{"team", "team"}
                                         : ObjectKey{"template", "large"};
    const std::string value = which == drains + 1 ? std::string(largeBytes, 'x') : std::string("{}");
    sim.at(start, [&sim, key, value, deleted] { sim.write(key, deleted ? "" : value, deleted); });
}

} // namespace

void runRandomFaults(ControlSim &sim, std::uint64_t seed, Time duration)
{
    Random random{seed};
    std::size_t dataCentres = 1;
    for (const SimNode &it : sim.nodes()) {
        dataCentres = std::max(dataCentres, it.dataCentre + 1);
    }
    const Time start = sim.now() + 5 * second;
    const Time end = start + duration;
    for (Time at = start; at < end; at += randomTime(random, 50 * millisecond, 2 * second)) {
        writeSome(sim, random, at);
    }
    for (Time at = start; at < end; at += randomTime(random, 20 * second, 40 * second)) {
        platformFault(sim, random, at);
    }
    for (Time at = start; at < end; at += randomTime(random, 5 * second, 30 * second)) {
        partition(sim, random, at, dataCentres);
    }
    for (Time at = start; at < end; at += randomTime(random, second, 10 * second)) {
        restartSome(sim, random, at);
    }
    sim.at(end + 30 * second, [&sim, dataCentres] {
        sim.setFaults({});
        for (std::size_t a = 0; a < dataCentres; ++a) {
            for (std::size_t b = a; b < dataCentres; ++b) {
                sim.setLink(a, b, true);
            }
        }
    });
    sim.at(end + 30 * second + settleTime, [&sim] { sim.write({"team", "team"}, "{}"); });
    sim.runUntil(end + 30 * second + settleTime + convergenceLimit + second);
}

} // namespace pimentofold
