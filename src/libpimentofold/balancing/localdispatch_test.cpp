#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <set>

#include <libpimentofold/balancing/regiontestdata.h>
#include <pimentofold/balancing/localdispatch.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr int slotsPerDispatcher = 64;
constexpr Id service = 7;

/// A data centre of the tests.
struct Place {
    int nodes = 0;
    int targets = 0; ///< of two slots each
};

DispatcherCandidates makeCandidates(const std::vector<Place> &places)
{
    DispatcherCandidates candidates;
    for (int d = 0; d < static_cast<int>(places.size()); ++d) {
        for (int n = 1; n <= places[static_cast<std::size_t>(d)].nodes; ++n) {
            candidates.all.push_back(makeNode(d, n));
            candidates.byDataCentre[dataCentreName(d)].push_back(makeNode(d, n));
        }
    }
    return candidates;
}

std::vector<PlacedTarget> makeTargets(const std::vector<Place> &places, const std::vector<std::string> &names)
{
    std::vector<PlacedTarget> targets;
    for (std::size_t d = 0; d < places.size(); ++d) {
        for (int n = 0; n < places[d].targets; ++n) {
            targets.push_back({{static_cast<Id>(targets.size() + 1), 2, true}, names[d]});
        }
    }
    return targets;
}

/// @return how many of 3,000 flows go to a dispatcher of each data centre
std::vector<int> spread(const DispatcherTable &table, std::size_t dataCentres)
{
    std::vector<int> flows(dataCentres);
    for (std::uint64_t n = 0; n < 3'000; ++n) {
        const std::optional<InstanceKey> found = dispatcherFor(table, mix(n, 1));
        REQUIRE(found);
        ++flows[static_cast<std::size_t>(dataCentreOf(found->instance))];
    }
    return flows;
}

} // namespace

// Guards against openings and notices that cross a boundary although the data centre can serve them, and against data centres
// with few targets or nodes whose callers get a part of the targets only.
TEST_CASE("local dispatch: who dispatches, by slots and nodes of the data centres")
{
    struct Row {
        std::string name;
        std::vector<Place> places;
        std::vector<bool> own; ///< whether the data centre has dispatchers of its own
        std::vector<int> fromFirst; ///< share in per cent of the first one's openings that each data centre's dispatchers get; -1: not checked
    };
    const Row rows[] = {
        {"equal", {{33, 40}, {33, 40}, {34, 40}}, {true, true, true}, {100, 0, 0}},
        {"too few slots everywhere", {{33, 10}, {33, 10}, {34, 10}}, {false, false, false}, {-1, -1, -1}},
        {"the first has no targets", {{33, 0}, {33, 40}, {34, 40}}, {false, true, true}, {0, 50, 50}},
        {"the first has few targets", {{33, 10}, {33, 40}, {34, 40}}, {false, true, true}, {-1, -1, -1}},
        {"a single node", {{1, 40}, {33, 40}, {34, 40}}, {true, true, true}, {100, 0, 0}},
        {"another has no node", {{33, 40}, {0, 40}, {34, 40}}, {true, false, true}, {100, 0, 0}},
        {"cut off", {{33, 40}, {0, 40}, {0, 40}}, {true, false, false}, {100, 0, 0}},
    };
    const std::vector<std::string> names{"dc0", "dc1", "dc2"};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const std::vector<PlacedTarget> targets = makeTargets(row.places, names);
        const ServiceDispatchers first = divideTargets(service, targets, makeCandidates(row.places), "dc0", slotsPerDispatcher);
        for (std::size_t d = 0; d < names.size(); ++d) {
            CHECK(first.byDataCentre.contains(names[d]) == row.own[d]);
        }
        for (std::size_t i = 0; i < targets.size(); ++i) {
            REQUIRE(first.owners[i] != 0);
            if (first.byDataCentre.contains(targets[i].dataCentre)) {
                CHECK(dataCentreName(dataCentreOf(first.owners[i])) == targets[i].dataCentre);
            }
        }
        const std::vector<int> flows = spread(first.table, names.size());
        for (std::size_t d = 0; d < names.size(); ++d) {
            CHECK((row.fromFirst[d] < 0 || std::abs(flows[d] - row.fromFirst[d] * 30) < 100));
        }
        // Each target has the same owner at all nodes, wherever they are.
        for (const std::string &it : names) {
            CHECK(divideTargets(service, targets, makeCandidates(row.places), it, slotsPerDispatcher).owners == first.owners);
        }
    }
}

// Guards against a data centre with few targets whose openings all go to these targets: they go to all dispatchers in
// proportion to their slots.
TEST_CASE("local dispatch: openings of a data centre with few slots go to all slots alike")
{
    const std::vector<Place> places{{33, 10}, {33, 40}, {34, 40}};
    const std::vector<PlacedTarget> targets = makeTargets(places, {"dc0", "dc1", "dc2"});
    const ServiceDispatchers found = divideTargets(service, targets, makeCandidates(places), "dc0", slotsPerDispatcher);
    REQUIRE_FALSE(found.table.cumulativeSlots.empty());
    CHECK(found.table.cumulativeSlots.back() == 180);
    CHECK(found.table.cumulativeSlots.front() == 20);
}

// Guards against a changed division of the targets where the option is off.
TEST_CASE("local dispatch: without candidates by data centre all dispatchers own all targets")
{
    const std::vector<Place> places{{33, 40}, {33, 40}, {34, 40}};
    const std::vector<PlacedTarget> targets = makeTargets(places, {"dc0", "dc1", "dc2"});
    DispatcherCandidates candidates = makeCandidates(places);
    candidates.byDataCentre.clear();
    const ServiceDispatchers found = divideTargets(service, targets, candidates, "dc0", slotsPerDispatcher);
    std::vector<TargetEntry> entries;
    entries.reserve(targets.size());
    for (const PlacedTarget &it : targets) {
        entries.push_back(it.entry);
    }
    const DispatcherTable expected = makeDispatcherTable(service, entries, candidates.all, 4);
    CHECK(found.byDataCentre.empty());
    CHECK(found.table.dispatchers == expected.dispatchers);
    CHECK(found.table.cumulativeSlots == expected.cumulativeSlots);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        CHECK(found.owners[i] == expected.dispatchers[expected.owners[i]].instance);
    }
}

namespace {

/// Opens flows at a node of data centre 0.
/// @return number of openings that were relayed to, or placed in, another data centre
int openingsThatLeave(EdgeForwarder &forwarder, int flows)
{
    int left = 0;
    for (int n = 1; n <= flows; ++n) {
        ForwardOutput out;
        handlePacket(forwarder, makeOpening(static_cast<std::uint16_t>(n)), n * millisecond, out);
        REQUIRE(out.relayedOpenings.size() + out.packets.size() == 1);
        for (const RelayedOpening &it : out.relayedOpenings) {
            left += dataCentreOf(it.dispatcher) != 0 ? 1 : 0;
        }
        for (const ForwardedPacket &it : out.packets) {
            left += findTarget(forwarder.table, it.target)->record.dataCentre != "dc0" ? 1 : 0;
        }
    }
    return left;
}

} // namespace

// Guards against placement messages that cross a boundary: without the option, most of them do.
TEST_CASE("local dispatch: openings stay in the data centre in which they arrive")
{
    struct Row {
        bool localDispatch;
        std::set<int> gone; ///< data centres without members
        int minLeft;
        int maxLeft;
    };
    constexpr int flowsPerNode = 30; // fewer than the slots of a dispatcher
    const Row rows[] = {
        {false, {}, 130, 300},
        {true, {}, 0, 0},
        {true, {1}, 0, 0},
        {true, {1, 2}, 0, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.localDispatch);
        CAPTURE(row.gone.size());
        int left = 0;
        for (int self = 1; self <= 10; ++self) {
            EdgeForwarder forwarder = makeRegionForwarder({.gone = row.gone}, makeNode(0, self), row.localDispatch);
            left += openingsThatLeave(forwarder, flowsPerNode);
        }
        CHECK(left >= row.minLeft);
        CHECK(left <= row.maxLeft);
    }
}

// Guards against requests that are lost when a data centre loses its targets: its openings go to the dispatchers of the others.
TEST_CASE("local dispatch: a data centre without targets opens its flows elsewhere")
{
    for (int self = 1; self <= 10; ++self) {
        EdgeForwarder forwarder = makeRegionForwarder({}, makeNode(0, self));
        for (int id = 3; id <= 120; id += 3) {
            removeTarget(forwarder.table, static_cast<std::uint64_t>(id), 20'000 + id, 0);
        }
        updateDispatchers(forwarder, 5 * second);
        for (int n = 1; n <= 100; ++n) {
            ForwardOutput out;
            handlePacket(forwarder, makeOpening(static_cast<std::uint16_t>(n)), 5 * second, out);
            REQUIRE(out.relayedOpenings.size() == 1);
            CHECK(dataCentreOf(out.relayedOpenings.front().dispatcher) != 0);
        }
    }
}

// Guards against requests that are lost when a data centre loses its dispatchers: after two attempts the node places the flow
// itself, in its own data centre, and the next dispatchers in rank take over.
TEST_CASE("local dispatch: dispatchers that don't answer are replaced within the data centre")
{
    EdgeForwarder forwarder = makeRegionForwarder({}, makeNode(0, 1));
    const std::vector<InstanceKey> before = forwarder.dispatchers.find("shop")->second.dispatchers;
    for (int n = 1; n <= 100; ++n) {
        const Time start = n * (10 * millisecond);
        ForwardOutput out;
        handlePacket(forwarder, makeOpening(static_cast<std::uint16_t>(n)), start, out);
        for (int attempt = 1; attempt <= 4 && out.packets.empty(); ++attempt) {
            tickForwarder(forwarder, start + attempt * (50 * millisecond), out);
        }
        REQUIRE_FALSE(out.packets.empty());
    }
    for (const InstanceKey &it : forwarder.dispatchers.find("shop")->second.dispatchers) {
        CHECK(dataCentreOf(it.instance) == 0);
        CHECK((it == forwarder.self || std::ranges::find(before, it) == before.end()));
    }
}

// Guards against notices about a flow that never reach its dispatcher, when the router moves it to a node of another data
// centre: the dispatcher would go on to count it as load.
TEST_CASE("local dispatch: a flow that arrives from another data centre is reported to the owner of its target")
{
    for (std::uint64_t id = 1; id <= 120; ++id) {
        EdgeForwarder forwarder = makeRegionForwarder({}, makeNode(0, 1));
        ForwardOutput out;
        handlePacket(forwarder, makeData(1, tokenOf(id)), second, out);
        // No node answers the question for the flow's location, so the packet is forwarded by its token.
        tickForwarder(forwarder, second + forwarder.locations.settings.answerTimeout, out);
        REQUIRE(out.packets.size() == 1);
        const Id owner = findTarget(forwarder.table, id)->owner;
        for (const FlowNotice &it : out.flowNotices) {
            CHECK(it.dispatcher == owner);
        }
        CHECK(out.flowNotices.empty() == (owner == 0));
    }
}
