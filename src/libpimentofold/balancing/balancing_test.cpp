#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include <libpimentofold/balancing/regiontestdata.h>
#include <pimentofold/balancing/loadwire.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Time tick = 50 * millisecond;

/// The dispatchers of a region, which deliver each other's load reports without delay.
struct Dispatchers {
    std::map<Id, EdgeForwarder> nodes;
    std::set<int> silent; ///< data centres whose reports are lost
    int reports = 0; ///< sent so far
    int crossings = 0; ///< those to another data centre
};

Dispatchers makeDispatchers(const RegionSize &size)
{
    Dispatchers region;
    for (int d = 0; d < size.dataCentres; ++d) {
        for (int n = 1; n <= size.nodes; ++n) {
            EdgeForwarder forwarder = makeRegionForwarder(size, makeNode(d, n));
            if (!forwarder.balancing.services.empty()) {
                region.nodes.emplace(forwarder.self.instance, std::move(forwarder));
            }
        }
    }
    return region;
}

void deliver(Dispatchers &region, Id from, const std::vector<LoadReport> &reports, Time now)
{
    for (const LoadReport &it : reports) {
        ++region.reports;
        region.crossings += dataCentreOf(from) != dataCentreOf(it.to) ? 1 : 0;
        const auto to = region.nodes.find(it.to);
        REQUIRE(to != region.nodes.end());
        if (region.silent.contains(dataCentreOf(from))) {
            continue;
        }
        ForwardOutput out;
        handleDispatchLoad(to->second.balancing, from, fromWire(toWire(it.load)), now, out);
        deliver(region, it.to, out.loadReports, now);
    }
}

void advance(Dispatchers &region, Time from, Time to)
{
    for (Time now = from; now < to; now += tick) {
        for (auto &[id, forwarder] : region.nodes) {
            ForwardOutput out;
            tickBalancing(forwarder.balancing, forwarder.dispatcher, forwarder.table, now, out);
            deliver(region, id, out.loadReports, now);
        }
    }
}

/// Puts flows on all targets that the dispatchers of a data centre own.
void setLoad(Dispatchers &region, int dataCentre, int workingPerTarget)
{
    for (auto &[id, forwarder] : region.nodes) {
        for (auto &[target, it] : forwarder.table.targets) {
            if (it.owner == 0 && dataCentreOf(id) == dataCentre) {
                it.workingFlows = workingPerTarget;
                it.openFlows = workingPerTarget;
            }
        }
        forwarder.dispatcher.meanServiceTime = 60 * millisecond;
    }
}

double shareOf(const EdgeForwarder &forwarder)
{
    return forwarder.balancing.services.find("shop")->second.decision.share;
}

/// @return the highest share of the dispatchers of a data centre
double maxShare(const Dispatchers &region, int dataCentre)
{
    double result = 0;
    for (const auto &[id, forwarder] : region.nodes) {
        result = dataCentreOf(id) == dataCentre ? std::max(result, shareOf(forwarder)) : result;
    }
    return result;
}

EdgeForwarder &anyDispatcher(Dispatchers &region, int dataCentre)
{
    return std::ranges::find_if(region.nodes, [&](const auto &it) { return dataCentreOf(it.first) == dataCentre; })->second;
}

/// @return number of openings, of 200, that a dispatcher relays to another data centre
int relayed(const EdgeForwarder &forwarder, Id origin, int attempt, Time now)
{
    int count = 0;
    for (std::uint16_t port = 1; port <= 200; ++port) {
        EdgeForwarder copy = forwarder;
        ForwardOutput out;
        placeForPeer(copy, makeOpeningFlow(port, origin, attempt), now, out);
        for (const RelayedOpening &it : out.relayedOpenings) {
            CHECK(it.originNode == origin);
            CHECK(dataCentreOf(it.dispatcher) != dataCentreOf(forwarder.self.instance));
            ++count;
        }
    }
    return count;
}

} // namespace

// Guards against load reports whose number grows with the square of the data centres or with the nodes. A data centre sends to
// two others of three, and to six of 36; each of its further dispatchers adds one message and its answers only while busy.
TEST_CASE("balancing: number of load reports at 3 and 36 data centres")
{
    struct Row {
        int dataCentres;
        int nodes;
        bool busy;
        int crossingsPerInterval; ///< of the region
    };
    const Row rows[] = {{3, 10, false, 6}, {3, 10, true, 6}, {3, 30, true, 6}, {36, 3, false, 216}, {36, 3, true, 216}};
    for (const Row &row : rows) {
        CAPTURE(row.dataCentres);
        CAPTURE(row.busy);
        Dispatchers region = makeDispatchers({.dataCentres = row.dataCentres, .nodes = row.nodes});
        setLoad(region, 0, row.busy ? 2 : 0);
        for (int d = 1; d < row.dataCentres; ++d) {
            setLoad(region, d, row.busy ? 2 : 0);
        }
        advance(region, 0, 5 * second);
        region.reports = 0;
        region.crossings = 0;
        constexpr Time duration = 18 * second;
        advance(region, 5 * second, 5 * second + duration);
        const BalancingSettings settings;
        const auto intervals = static_cast<int>(duration / (row.busy ? settings.reportInterval : settings.idleReportInterval));
        CHECK(region.crossings <= row.crossingsPerInterval * (intervals + 1));
        CHECK(region.crossings >= row.crossingsPerInterval * (intervals - 1));
        if (!row.busy) {
            CHECK(region.reports == region.crossings);
        }
    }
}

// Guards against flows that leave without need, that don't leave a full data centre, or that leave to one that is cut off.
TEST_CASE("balancing: flows leave a full data centre while others have room")
{
    Dispatchers region = makeDispatchers({});
    setLoad(region, 0, 0);
    advance(region, 0, 3 * second);
    CHECK(maxShare(region, 0) == 0);
    setLoad(region, 0, 4);
    advance(region, 3 * second, 4 * second);
    CHECK(maxShare(region, 0) > 0);
    CHECK(maxShare(region, 0) < 1);
    CHECK(maxShare(region, 1) == 0);

    EdgeForwarder &busy = anyDispatcher(region, 0);
    CHECK(relayed(busy, makeNode(0, 3).instance, 1, 4 * second) > 0);
    CHECK(relayed(busy, 0, 1, 4 * second) > 0);
    // A repeated attempt stays, and an opening from another data centre or an unknown node doesn't leave again.
    CHECK(relayed(busy, makeNode(0, 3).instance, 2, 4 * second) == 0);
    CHECK(relayed(busy, makeNode(1, 3).instance, 1, 4 * second) == 0);
    CHECK(relayed(busy, 77, 1, 4 * second) == 0);

    // Nothing leaves to data centres that have been silent for a second.
    region.silent = {1, 2};
    advance(region, 4 * second, 5 * second + 2 * tick);
    CHECK(maxShare(region, 0) == 0);
    region.silent = {};
    advance(region, 5 * second + 2 * tick, 7 * second);
    CHECK(maxShare(region, 0) > 0);
    // The flows return when slots are free here.
    setLoad(region, 0, 0);
    advance(region, 7 * second, 10 * second);
    CHECK(maxShare(region, 0) == 0);
    // All are full.
    for (int d = 0; d < 3; ++d) {
        setLoad(region, d, 4);
    }
    advance(region, 10 * second, 15 * second);
    CHECK(maxShare(region, 0) == 0);
}

// Guards against flows that wait for targets that don't answer while others are idle.
TEST_CASE("balancing: all flows leave a data centre whose targets don't answer")
{
    Dispatchers region = makeDispatchers({});
    advance(region, 0, 2 * second);
    for (auto &[id, forwarder] : region.nodes) {
        for (auto &[target, it] : forwarder.table.targets) {
            it.unansweredOpenings = it.record.dataCentre == "dc0" ? 5 : 0;
        }
    }
    advance(region, 2 * second, 2 * second + 2 * tick);
    CHECK(relayed(anyDispatcher(region, 0), makeNode(0, 3).instance, 1, 2 * second + 2 * tick) == 200);
}

// Guards against reports that are taken from anyone: an unknown service or data centre, negative numbers, a node that isn't a
// dispatcher.
TEST_CASE("balancing: loads that make no sense are ignored")
{
    Dispatchers region = makeDispatchers({});
    EdgeForwarder &forwarder = anyDispatcher(region, 0);
    struct Row {
        DispatchLoad load;
        Id sender;
    };
    const Row rows[] = {
        {{"other", "dc1", 80, 0, 0, 0}, makeNode(1, 1).instance},
        {{"shop", "dc9", 80, 0, 0, 0}, makeNode(1, 1).instance},
        {{"shop", "dc1", -1, 0, 0, 0}, makeNode(1, 1).instance},
        {{"shop", "dc1", 80, -5, 0, 0}, makeNode(1, 1).instance},
        {{"shop", "dc0", 80, 0, 0, 0}, 77},
    };
    for (const Row &row : rows) {
        ForwardOutput out;
        handleDispatchLoad(forwarder.balancing, row.sender, row.load, second, out);
        const ServiceBalance &balance = forwarder.balancing.services.find("shop")->second;
        CHECK(balance.others.empty());
        CHECK(balance.parts.empty());
        CHECK(out.loadReports.empty());
    }
}

// Guards against a flow that is counted at the wrong dispatcher after it has left: the one that placed it would never learn
// that it has ended.
TEST_CASE("balancing: the end of a flow that has left is reported to the dispatcher that placed it")
{
    EdgeForwarder forwarder = makeRegionForwarder({}, makeNode(0, 5));
    const std::uint64_t target = 1; // in dc1
    REQUIRE(findTarget(forwarder.table, target)->record.dataCentre == "dc1");
    ForwardOutput out;
    handlePacket(forwarder, makeOpening(1), 0, out);
    FlowPacket last = makeData(1, tokenOf(target));
    handlePacket(forwarder, last, millisecond, out);
    last.finishes = true;
    ForwardOutput end;
    handlePacket(forwarder, last, 2 * millisecond, end);
    const Id owner = findTarget(forwarder.table, target)->owner;
    CHECK(dataCentreOf(owner) == 1);
    CHECK(std::ranges::any_of(end.flowNotices, [&](const FlowNotice &it) { return it.kind == FlowNoticeKind::Ended && it.dispatcher == owner; }));
}
