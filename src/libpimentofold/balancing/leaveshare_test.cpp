#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <numbers>
#include <queue>

#include <pimentofold/balancing/leaveshare.h>
#include <pimentofold/random.h>

using namespace pimentofold;

namespace {

constexpr std::size_t places = 3; // data centres
constexpr int slotsPerPlace = 64;
constexpr Time workTime = 30 * millisecond;
constexpr Time responseTimeGoal = 300 * millisecond;
constexpr Time giveUpTime = 1300 * millisecond;
constexpr Time transit = millisecond;
constexpr Time reportInterval = 200 * millisecond;
constexpr Time runTime = 20 * second;
constexpr Time step = millisecond;
// Other nodes are no longer members about this long after they have been cut off.
constexpr Time cutDetectionTime = 2 * second;
const std::array<std::string, places> placeNames{"dc0", "dc1", "dc2"};

struct Arrival {
    Time at = 0;
    Time transit = 0;
};

/// Targets of a data centre with one queue.
struct SimulatedPlace {
    int slots = slotsPerPlace;
    std::priority_queue<Time, std::vector<Time>, std::greater<>> working; ///< ends of the requests at work
    std::deque<Arrival> waiting;
    NeighbourLoad reported; ///< last report to the others
    Time reportedAt = 0;
    LeaveShare decision;
    int openings = 0; ///< since the last decision
    double openingsPerSecond = 0;
};

struct Simulation {
    std::array<SimulatedPlace, places> sites;
    bool firstIsCut = false;
    Time cutAt = never;
    Time now = 0;
    Random random;
};

struct Result {
    int flows = 0;
    int lost = 0;
    int late = 0;
    int left = 0;
    double responseTime = 0; ///< sum over the served flows, in seconds
    double lateShareChanges = 0; ///< sum of the changes of the first data centre's share in the last quarter
    double lastShare = 0;
};

/// @return index of the data centre that serves a flow from @p from
using Policy = std::function<std::size_t(Simulation &, std::size_t from)>;
/// @return demand as a multiple of the capacity of one data centre
using Demand = std::function<double(std::size_t place, Time now)>;

struct Case {
    std::string name;
    Demand demand;
    int firstSlots = slotsPerPlace; ///< of the first data centre
    bool firstIsCut = false;
};

bool isCut(const Simulation &sim, std::size_t a, std::size_t b)
{
    return sim.now >= sim.cutAt && a != b && (a == 0 || b == 0);
}

void report(Simulation &sim)
{
    for (std::size_t i = 0; i < places; ++i) {
        SimulatedPlace &it = sim.sites[i];
        const int working = static_cast<int>(it.working.size());
        const int waiting = static_cast<int>(it.waiting.size());
        it.reported = {placeNames[i], it.slots, working, waiting, expectedWait(it.slots, working, waiting, workTime), 0};
        it.reportedAt = sim.now;
    }
}

void decide(Simulation &sim, Time elapsed)
{
    for (std::size_t i = 0; i < places; ++i) {
        SimulatedPlace &own = sim.sites[i];
        std::vector<NeighbourLoad> others;
        for (std::size_t j = 0; j < places; ++j) {
            if (i != j && sim.sites[j].slots > 0) {
                NeighbourLoad load = sim.sites[j].reported;
                load.age = sim.now - (isCut(sim, i, j) ? sim.cutAt : sim.sites[j].reportedAt);
                others.push_back(load);
            }
        }
        own.openingsPerSecond = updatedRate(own.openingsPerSecond, own.openings, elapsed);
        own.openings = 0;
        const LocalLoad local{own.slots, static_cast<int>(own.working.size()), static_cast<int>(own.waiting.size()), workTime, 0, own.openingsPerSecond, 1};
        own.decision = leaveShare(local, others, own.decision, elapsed, LeaveSettings());
    }
}

void serve(Simulation &sim, Result &result)
{
    for (SimulatedPlace &it : sim.sites) {
        while (!it.working.empty() && it.working.top() <= sim.now) {
            it.working.pop();
        }
        while (!it.waiting.empty() && sim.now - it.waiting.front().at > giveUpTime) {
            it.waiting.pop_front();
            ++result.lost;
        }
        while (!it.waiting.empty() && static_cast<int>(it.working.size()) < it.slots) {
            const Arrival arrival = it.waiting.front();
            it.waiting.pop_front();
            const auto work = static_cast<Time>(static_cast<double>(workTime) * (0.5 + unit(sim.random)));
            it.working.push(sim.now + work);
            const Time response = sim.now - arrival.at + arrival.transit + work;
            result.responseTime += static_cast<double>(response) / static_cast<double>(second);
            result.late += response > responseTimeGoal ? 1 : 0;
        }
    }
}

void arrive(Simulation &sim, const Case &it, const Policy &policy, Result &result)
{
    for (std::size_t from = 0; from < places; ++from) {
        const double perStep = it.demand(from, sim.now) * slotsPerPlace * static_cast<double>(step) / static_cast<double>(workTime);
        for (double rest = perStep; rest > 0; rest -= 1) {
            if (unit(sim.random) >= rest) {
                continue;
            }
            const std::size_t to = policy(sim, from);
            ++result.flows;
            ++sim.sites[from].openings;
            result.left += to != from ? 1 : 0;
            if (isCut(sim, from, to) || sim.sites[to].slots == 0) {
                ++result.lost;
                continue;
            }
            sim.sites[to].waiting.push_back({sim.now, to == from ? 0 : transit});
        }
    }
}

Result run(const Case &it, const Policy &policy)
{
    Simulation sim;
    sim.random.state = 1;
    sim.sites[0].slots = it.firstSlots;
    sim.cutAt = it.firstIsCut ? 5 * second : never;
    Result result;
    constexpr Time decisionInterval = 50 * millisecond;
    for (sim.now = 0; sim.now < runTime; sim.now += step) {
        if (sim.now % reportInterval == 0) {
            report(sim);
        }
        if (sim.now % decisionInterval == 0) {
            const double before = sim.sites[0].decision.share;
            decide(sim, decisionInterval);
            result.lastShare = sim.sites[0].decision.share;
            result.lateShareChanges += sim.now > runTime * 3 / 4 ? std::abs(result.lastShare - before) : 0;
        }
        arrive(sim, it, policy, result);
        serve(sim, result);
    }
    return result;
}

std::size_t indexOf(std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::find(placeNames, name) - placeNames.begin());
}

/// Draws a data centre with targets that is still known as reachable.
std::size_t drawPlace(Simulation &sim, std::size_t from, bool withOwn)
{
    for (;;) {
        const std::size_t to = below(sim.random, places);
        const bool known = !isCut(sim, from, to) || sim.now < sim.cutAt + cutDetectionTime;
        if (known && sim.sites[to].slots > 0 && (withOwn || to != from)) {
            return to;
        }
    }
}

std::size_t ignoreDistance(Simulation &sim, std::size_t from)
{
    return drawPlace(sim, from, true);
}

std::size_t localFirst(Simulation &sim, std::size_t from)
{
    return sim.sites[from].slots > 0 ? from : drawPlace(sim, from, false);
}

/// The shortest wait, with a fixed cost for leaving.
std::size_t fixedCost(Simulation &sim, std::size_t from)
{
    constexpr Time cost = 3 * millisecond;
    const SimulatedPlace &own = sim.sites[from];
    std::size_t best = from;
    Time bestWait = expectedWait(own.slots, static_cast<int>(own.working.size()), static_cast<int>(own.waiting.size()), workTime);
    for (std::size_t to = 0; to < places; ++to) {
        const bool known = to != from && (!isCut(sim, from, to) || sim.now < sim.cutAt + second);
        if (known && sim.sites[to].slots > 0 && sim.sites[to].reported.expectedWait + cost < bestWait) {
            best = to;
            bestWait = sim.sites[to].reported.expectedWait + cost;
        }
    }
    return best;
}

std::size_t byLeaveShare(Simulation &sim, std::size_t from)
{
    const std::optional<std::string_view> to = destinationOf(sim.sites[from].decision, next(sim.random));
    if (sim.sites[from].slots == 0 && !to) {
        return drawPlace(sim, from, false); // dispatched over all data centres
    }
    return to ? indexOf(*to) : from;
}

double waveDemand(std::size_t place, Time now)
{
    constexpr double period = 10;
    const double seconds = static_cast<double>(now) / static_cast<double>(second);
    return 0.75 * (1 + 0.55 * std::sin(2 * std::numbers::pi * (seconds / period + static_cast<double>(place) / places)));
}

double percent(int n, int of)
{
    return 100.0 * n / std::max(1, of);
}

} // namespace

// Guards against a decision that serves callers worse than today's or simpler ones: distance ignored, a fixed cost of leaving,
// and strictly local.
TEST_CASE("leave share: comparison with simpler decisions")
{
    const auto equal = [](double demand) { return [demand](std::size_t, Time) { return demand; }; };
    const auto firstOf = [](double first, double others) { return [=](std::size_t place, Time) { return place == 0 ? first : others; }; };
    struct Row {
        Case what;
        double maxLeft; ///< per cent of the flows that leave
        double maxLost; ///< per cent of the flows
        double maxLate; ///< per cent of the flows
    };
    const Row rows[] = {
        {{"equal and idle", equal(0.3)}, 0, 0, 0},
        {{"equal and busy", equal(0.85)}, 0.1, 0, 0},
        {{"three times the room at one", firstOf(1.5, 0.3), slotsPerPlace / 2}, 50, 0, 2},
        {{"2.2 times the room at one", firstOf(2.2, 0.2)}, 50, 0, 2},
        {{"waves out of phase", waveDemand}, 10, 0, 0.1},
        {{"no targets at one", equal(0.5), 0}, 34, 0, 0},
        {{"cut off while flows leave", firstOf(1.5, 0.3), slotsPerPlace, true}, 10, 14.5, 32},
        {{"all full", equal(1.2)}, 0.5, 12, 77},
    };
    struct NamedPolicy {
        std::string name;
        Policy policy;
    };
    const NamedPolicy policies[] = {
        {"distance ignored", ignoreDistance}, {"fixed cost", fixedCost}, {"local first", localFirst}, {"leave share", byLeaveShare}};
    // An oscillation between 0 and its limit would change the share by more than 1 a second for 5 s.
    constexpr double maxLateChanges = 3;
    for (const Row &row : rows) {
        std::vector<Result> results;
        for (const NamedPolicy &it : policies) {
            const Result result = results.emplace_back(run(row.what, it.policy));
            MESSAGE(row.what.name << ", " << it.name << ": left " << percent(result.left, result.flows) << "%, lost " << percent(result.lost, result.flows)
                                  << "%, late " << percent(result.late, result.flows) << "%, mean "
                                  << 1000 * result.responseTime / std::max(1, result.flows - result.lost) << " ms, share " << result.lastShare << ", changes "
                                  << result.lateShareChanges);
        }
        CAPTURE(row.what.name);
        const Result &ours = results.back();
        const Result &distanceIgnored = results[0];
        const Result &localFirst = results[2];
        CHECK(ours.left <= distanceIgnored.left);
        CHECK(percent(ours.lost, ours.flows) <= percent(localFirst.lost, localFirst.flows) + 0.1);
        CHECK(percent(ours.late, ours.flows) <= percent(localFirst.late, localFirst.flows) + 0.5);
        CHECK(ours.lateShareChanges < maxLateChanges);
        CHECK(percent(ours.left, ours.flows) <= row.maxLeft);
        CHECK(percent(ours.lost, ours.flows) <= row.maxLost);
        CHECK(percent(ours.late, ours.flows) <= row.maxLate);
    }
}

// Guards against single wrong decisions: flows to data centres that are silent or full, flows that stay open and leave as easily
// as others, a sudden move of all flows.
TEST_CASE("leave share: one decision")
{
    constexpr LocalLoad full{64, 64, 40, workTime, 0, 2000, 1};
    constexpr LocalLoad fullAndOpen{64, 64, 40, workTime, 0.8, 2000, 1};
    constexpr LocalLoad idle{64, 10, 0, workTime, 0, 300, 1};
    constexpr LocalLoad none{0, 0, 0, workTime, 0, 2000, 1};
    constexpr Time interval = 50 * millisecond;
    const NeighbourLoad roomy{"dc1", 64, 10, 0, 0, 0};
    const NeighbourLoad busy{"dc2", 64, 64, 200, 100 * millisecond, 0};
    const NeighbourLoad silent{"dc1", 64, 10, 0, 0, second};
    const LeaveShare half{0.5, 0.5, {{"dc1", 0.5}, {"dc2", 0.5}}};
    struct Row {
        std::string name;
        LocalLoad local;
        std::vector<NeighbourLoad> others;
        LeaveShare before;
        double min;
        double max;
    };
    const Row rows[] = {
        {"no reports", full, {}, half, 0, 0},
        {"only silent ones", full, {silent}, half, 0, 0},
        {"one has become silent", full, {silent, busy}, half, 0, 0.25},
        {"room elsewhere", full, {roomy}, {}, 0.01, 0.1},
        {"flows stay open", fullAndOpen, {roomy}, {}, 0.005, 0.05},
        {"others are full", full, {busy}, {}, 0, 0},
        {"idle", idle, {roomy}, {}, 0, 0},
        {"idle again", idle, {roomy, busy}, half, 0.39, 0.49},
        {"no targets", none, {roomy, busy}, {}, 1, 1},
        {"no targets and no reports", none, {silent}, half, 0, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const LeaveShare decision = leaveShare(row.local, row.others, row.before, interval, LeaveSettings());
        CHECK(decision.share >= row.min);
        CHECK(decision.share <= row.max);
        for (std::uint64_t n = 0; n < 200; ++n) {
            const std::optional<std::string_view> to = destinationOf(decision, mix(n, 3));
            const bool isFresh = std::ranges::any_of(row.others, [&](const NeighbourLoad &it) { return to == it.dataCentre && it.age < second; });
            CHECK((!to || isFresh));
        }
    }
    const double shareOfOpen = leaveShare(fullAndOpen, std::span(&roomy, 1), {}, interval, LeaveSettings()).share;
    CHECK(shareOfOpen < leaveShare(full, std::span(&roomy, 1), {}, interval, LeaveSettings()).share);
}
