#include <doctest/doctest.h>

#include <cmath>
#include <numbers>

#include <libpimentofold/queueing/queuesim.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

bool inBurst(Time now)
{
    return now >= second && now < 3 * second;
}

QueueLoad makeBurst(const std::string &name, double factor, std::size_t firstRoute, std::size_t lastRoute)
{
    QueueLoad load;
    load.name = name;
    load.factor = [=](std::size_t route, std::size_t, Time now) { return inBurst(now) && route >= firstRoute && route <= lastRoute ? factor : 1; };
    return load;
}

std::vector<QueueLoad> makeLoads()
{
    std::vector<QueueLoad> loads{{.name = "usual"},
                                 makeBurst("1.7 times on all routes", 1.7, 0, 2),
                                 makeBurst("4 times on all routes", 4, 0, 2),
                                 makeBurst("8 times on the least urgent route", 8, 2, 2),
                                 makeBurst("4 times on the most urgent route", 4, 0, 0)};
    QueueLoad &loss = loads.emplace_back();
    loss.name = "a third of the targets gone";
    loss.factor = [](std::size_t, std::size_t, Time) { return 1.5; };
    loss.lossAt = second;
    loss.returnAt = 3 * second;
    QueueLoad &move = loads.emplace_back();
    move.name = "half of a data centre's callers move";
    move.factor = [](std::size_t, std::size_t dataCentre, Time now) { return 1.7 * (!inBurst(now) || dataCentre == 2 ? 1 : dataCentre == 0 ? 0.5 : 1.5); };
    QueueLoad &waves = loads.emplace_back();
    waves.name = "waves of 55% out of phase";
    waves.factor = [](std::size_t, std::size_t dataCentre, Time now) {
        const double turns = static_cast<double>(now) / (3 * second) + static_cast<double>(dataCentre) / 3;
        return 1.6 * (1 + 0.55 * std::sin(2 * std::numbers::pi * turns));
    };
    return loads;
}

std::string toText(const Outcomes &it)
{
    return std::to_string(it.inTime) + "/" + std::to_string(it.late) + "/" + std::to_string(it.refused) + "/" + std::to_string(it.lost);
}

/// @return time that targets have worked on requests that were answered before the timeout
Time servedWork(const QueueResult &it)
{
    Time sum = 0;
    for (std::size_t i = 0; i < simRoutes; ++i) {
        sum += it.byRoute.at(i).served() * simRouteTable.at(i).work;
    }
    return sum;
}

std::string toText(const QueueResult &it)
{
    std::string text = toText(it.sum) + " routes";
    for (const Outcomes &route : it.byRoute) {
        text += " " + toText(route);
    }
    text += " data centres";
    for (const Outcomes &dataCentre : it.byDataCentre) {
        text += " " + toText(dataCentre);
    }
    for (const auto &[reason, n] : it.refusals) {
        text += " " + std::string(name(reason)) + "=" + std::to_string(n);
    }
    return text;
}

} // namespace

// Loads: bursts of 1.7 and 4 times the usual openings, on all routes and on single ones, loss of targets, callers that move, and waves.
// Guards against a queue that serves fewer requests, or fewer in time, than the plain list.
TEST_CASE("admission queue: requests in time, late, refused and lost under each load")
{
    for (QueueLoad load : makeLoads()) {
        CAPTURE(load.name);
        load.fair = false;
        const QueueResult without = QueueSim(load).run();
        load.fair = true;
        const QueueResult with = QueueSim(load).run();
        MESSAGE(load.name, ": without ", toText(without), ", with ", toText(with));
        REQUIRE(with.sum.all() == without.sum.all());
        // The routes' requests need different work, so the work that the targets have done is compared, not the number of requests.
        CHECK(servedWork(with) >= 0.98 * servedWork(without));
        CHECK(with.sum.inTime >= 0.95 * without.sum.inTime);
        for (std::size_t i = 0; i < simRoutes; ++i) {
            CHECK(10 * with.byRoute.at(i).served() >= with.byRoute.at(i).all());
        }
        for (const Outcomes &it : with.byDataCentre) {
            CHECK(it.served() * with.sum.all() >= 0.9 * with.sum.served() * it.all());
        }
    }
}

// Load: bursts on targets that work slowly. Guards against the refusal of a flow that would be placed while its caller waits: the flows
// are left in the queue here.
TEST_CASE("admission queue: no flow that is to be refused would be placed")
{
    struct Row {
        double factor;
        int workFactor;
        bool refuses; ///< some flows have to be refused
    };
    const Row rows[] = {{1.7, 1, false}, {4, 1, false}, {1.7, 3, false}, {4, 3, false}, {1.7, 5, true}, {4, 5, true}};
    for (const Row &row : rows) {
        CAPTURE(row.factor);
        CAPTURE(row.workFactor);
        int hopeless = 0;
        int placed = 0;
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(seed);
            QueueLoad load = makeBurst("burst", row.factor, 0, simRoutes - 1);
            load.seed = seed;
            load.workFactor = row.workFactor;
            load.retries = 0;
            load.attempt = 2;
            const QueueResult result = QueueSim(load).run();
            CHECK(result.refusals.empty());
            hopeless += result.hopeless;
            placed += result.hopelessPlaced;
        }
        MESSAGE(row.factor, " times, work times ", row.workFactor, ": to be refused ", hopeless, ", would be placed ", placed);
        CHECK((!row.refuses || hopeless > 0));
        CHECK(100 * placed <= hopeless);
    }
}
