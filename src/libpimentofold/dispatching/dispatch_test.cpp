#include <doctest/doctest.h>

#include <map>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

OpeningFlow makeFlow(std::uint16_t port, Time openingAge = 0)
{
    OpeningFlow flow;
    flow.key = makeKey(port);
    flow.openingPacket = "opening";
    flow.originNode = 7;
    flow.openingAge = openingAge;
    return flow;
}

/// @return a node with one target that has no room; the flows on it have the caller ports 1 to 5
EdgeForwarder makeFullNode()
{
    EdgeForwarder node = makeForwarder(1, 0);
    ForwardOutput out;
    for (std::uint16_t port = 1; port <= 5; ++port) {
        REQUIRE(placeFlow(node.dispatcher, node.table, makeFlow(port), 0, out) == PlaceResult::Placed);
    }
    return node;
}

} // namespace

// Guards against sending more flows to busy targets, which would refuse them when their queues are full, and against
// placing late flows before flows that can still be answered in time.
TEST_CASE("flows wait for room and are placed by lateness, then by number of retransmissions")
{
    EdgeForwarder node = makeFullNode();
    Dispatcher &dispatcher = node.dispatcher;
    ForwardOutput out;
    CHECK(placeFlow(dispatcher, node.table, makeFlow(11, 600 * millisecond), 0, out) == PlaceResult::Waiting);
    CHECK(placeFlow(dispatcher, node.table, makeFlow(12, 200 * millisecond), 1, out) == PlaceResult::Waiting);
    CHECK(placeFlow(dispatcher, node.table, makeFlow(13), 2, out) == PlaceResult::Waiting);
    CHECK(out.packets.empty());
    CHECK(out.heldNotices.size() == 3);
    const std::uint16_t order[] = {13, 12, 11};
    std::uint16_t ended = 0;
    for (const std::uint16_t port : order) {
        ForwardOutput afterEnd;
        handleFlowNotice(dispatcher, node.table, {FlowNoticeKind::Ended, 0, makeKey(++ended), 1}, millisecond, afterEnd);
        REQUIRE(afterEnd.packets.size() == 1);
        CHECK(dispatcher.placedFlows.contains(makeKey(port)));
    }
    CHECK(dispatcher.queue.flows.empty());
}

// Guards against trying to place every waiting flow whenever one flow ends. The work was proportional to the number of
// waiting flows and once made all nodes too slow to recover after all of them had been lost.
TEST_CASE("the end of one flow places one waiting flow")
{
    EdgeForwarder node = makeFullNode();
    ForwardOutput out;
    for (std::uint16_t port = 100; port < 300; ++port) {
        placeFlow(node.dispatcher, node.table, makeFlow(port), 0, out);
    }
    ForwardOutput afterEnd;
    handleFlowNotice(node.dispatcher, node.table, {FlowNoticeKind::Ended, 0, makeKey(1), 1}, millisecond, afterEnd);
    CHECK(afterEnd.packets.size() == 1);
    CHECK(node.dispatcher.queue.flows.size() == 199);
    ForwardOutput expired;
    tickDispatcher(node.dispatcher, node.table, 2 * second, expired);
    CHECK(node.dispatcher.queue.flows.empty());
}

// Guards against loads that never fall when no node reports the end of a flow.
TEST_CASE("a flow without a reported end stops counting as load after the timeout")
{
    EdgeForwarder node = makeFullNode();
    CHECK(findTarget(node.table, 1)->openFlows == 5);
    ForwardOutput out;
    tickDispatcher(node.dispatcher, node.table, node.dispatcher.settings.workTimeout, out);
    CHECK(findTarget(node.table, 1)->openFlows == 0);
}

// Guards against recording a target as unanswering when the caller has continued the flow through another node, or has
// given up while the flow waited for room.
TEST_CASE("a repeated request for a flow that needs no further offer is settled")
{
    struct Row {
        bool openedElsewhere;
        bool waitedLong;
        PlaceResult result;
        int unansweredOpenings;
    };
    const Row rows[] = {
        {false, false, PlaceResult::Placed, 1},
        {true, false, PlaceResult::Settled, 0},
        {false, true, PlaceResult::Settled, 0},
    };
    for (const Row &row : rows) {
        EdgeForwarder node = makeForwarder(2, 0);
        ForwardOutput out;
        placeFlow(node.dispatcher, node.table, makeFlow(1), 0, out);
        const std::uint64_t target = out.packets.front().target;
        node.dispatcher.placedFlows.at(makeKey(1)).waitedLong = row.waitedLong;
        if (row.openedElsewhere) {
            handleFlowNotice(node.dispatcher, node.table, {FlowNoticeKind::Opened, 0, makeKey(1), target}, millisecond, out);
        }
        OpeningFlow again = makeFlow(1);
        again.attempt = 2;
        CHECK(placeFlow(node.dispatcher, node.table, again, 30 * millisecond, out) == row.result);
        CHECK(findTarget(node.table, target)->unansweredOpenings == row.unansweredOpenings);
    }
}

TEST_CASE("a dispatcher prefers its own targets")
{
    EdgeForwarder node = makeForwarder(3, 0);
    findTarget(node.table, 1)->owner = 7;
    findTarget(node.table, 2)->owner = 7;
    ForwardOutput out;
    for (std::uint16_t port = 1; port <= 4; ++port) {
        placeFlow(node.dispatcher, node.table, makeFlow(port), 0, out);
    }
    for (const ForwardedPacket &it : out.packets) {
        CHECK(it.target == 3);
    }
}

namespace {

void notify(EdgeForwarder &node, FlowNoticeKind kind, std::uint16_t port, std::uint64_t target, Time now)
{
    ForwardOutput out;
    handleFlowNotice(node.dispatcher, node.table, {kind, 0, makeKey(port), target}, now, out);
}

} // namespace

// Load pattern: callers open a flow each at the same moment, send a short request and keep the flow open. Guards against
// counting the idle flows as load, which made further callers wait beside idle targets until they gave up.
TEST_CASE("flows that stay open without a request leave room for others")
{
    constexpr int targets = 4;
    constexpr std::uint16_t flows = 300;
    EdgeForwarder node = makeForwarder(targets, 0);
    std::map<std::uint64_t, int> perTarget;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        ForwardOutput out;
        REQUIRE(placeFlow(node.dispatcher, node.table, makeFlow(port), port * millisecond, out) == PlaceResult::Placed);
        REQUIRE(out.packets.size() == 1);
        ++perTarget[out.packets.front().target];
        notify(node, FlowNoticeKind::WorkEnded, port, out.packets.front().target, port * millisecond);
    }
    REQUIRE(perTarget.size() == targets);
    for (const auto &[id, n] : perTarget) {
        CHECK(n == flows / targets);
        CHECK(findTarget(node.table, id)->workingFlows == 0);
        CHECK(findTarget(node.table, id)->openFlows == n);
    }
}

// Load pattern: one target holds kept flows whose callers send requests, another one as many flows whose callers pause.
TEST_CASE("new flows go to the target with the fewest requests at work")
{
    EdgeForwarder node = makeForwarder(2, 0);
    for (std::uint16_t port = 1; port <= 6; ++port) {
        const std::uint64_t target = port % 2 == 0 ? 1 : 2;
        notify(node, FlowNoticeKind::WorkStarted, port, target, 0);
        if (target == 2) {
            notify(node, FlowNoticeKind::WorkEnded, port, target, millisecond);
        }
    }
    ForwardOutput out;
    placeFlow(node.dispatcher, node.table, makeFlow(20), 2 * millisecond, out);
    REQUIRE(out.packets.size() == 1);
    CHECK(out.packets.front().target == 2);
}

// Guards against load that is forgotten or counted twice when notices are lost or repeated, or when the target gets another
// dispatcher.
TEST_CASE("the load of a target follows the notices")
{
    using enum FlowNoticeKind;
    struct Row {
        std::vector<FlowNoticeKind> notices;
        int working;
        int open;
    };
    const Row rows[] = {
        {{}, 0, 0},
        {{WorkStarted}, 1, 1},
        {{WorkStarted, WorkStarted}, 1, 1},
        {{WorkStarted, WorkEnded}, 0, 1},
        {{WorkEnded}, 0, 1},
        {{WorkEnded, WorkEnded}, 0, 1},
        {{WorkStarted, WorkEnded, WorkStarted}, 1, 1},
        {{WorkStarted, Ended}, 0, 0},
        {{WorkStarted, WorkEnded, Ended, Ended}, 0, 0},
        {{Opened}, 0, 0},
        {{Ended}, 0, 0},
    };
    for (const Row &row : rows) {
        EdgeForwarder node = makeForwarder(1, 0);
        for (const FlowNoticeKind it : row.notices) {
            notify(node, it, 1, 1, 0);
        }
        CHECK(findTarget(node.table, 1)->workingFlows == row.working);
        CHECK(findTarget(node.table, 1)->openFlows == row.open);
        ForwardOutput out;
        tickDispatcher(node.dispatcher, node.table, node.dispatcher.settings.workTimeout, out);
        CHECK(findTarget(node.table, 1)->workingFlows == 0);
        for (Time now = 0; now <= 2 * node.dispatcher.settings.idleFlowTimeout; now += second) {
            tickDispatcher(node.dispatcher, node.table, now, out);
        }
        CHECK(findTarget(node.table, 1)->openFlows == 0);
        CHECK(findTarget(node.table, 1)->idleLoad == doctest::Approx(0));
        CHECK(node.dispatcher.placedFlows.empty());
    }
}

// Load patterns: callers who send a request most of the time, and callers who mostly pause.
TEST_CASE("the expected load of an idle flow follows its route's traffic")
{
    struct Row {
        int working; ///< flows of 20 with a request at work
        double minShare;
        double maxShare;
    };
    const Row rows[] = {{1, 0.03, 0.07}, {10, 0.45, 0.55}, {19, 0.9, 1}};
    for (const Row &row : rows) {
        EdgeForwarder node = makeForwarder(2, 0);
        for (Time now = 0; now < minute; now += second) {
            for (std::uint16_t port = 1; port <= 20; ++port) {
                notify(node, FlowNoticeKind::WorkEnded, port, 1, now);
                if (port <= row.working) {
                    notify(node, FlowNoticeKind::WorkStarted, port, 1, now);
                }
            }
            ForwardOutput out;
            tickDispatcher(node.dispatcher, node.table, now, out);
        }
        const double share = node.dispatcher.routeActivity.at(shopAddress).workingShare;
        CHECK(share >= row.minShare);
        CHECK(share <= row.maxShare);
    }
}
