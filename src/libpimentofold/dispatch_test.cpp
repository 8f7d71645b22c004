#include <doctest/doctest.h>

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
        endPlacedFlow(dispatcher, node.table, makeKey(++ended), 1, millisecond, afterEnd);
        REQUIRE(afterEnd.packets.size() == 1);
        CHECK(dispatcher.placedFlows.contains(makeKey(port)));
    }
    CHECK(dispatcher.waitingFlows.empty());
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
    endPlacedFlow(node.dispatcher, node.table, makeKey(1), 1, millisecond, afterEnd);
    CHECK(afterEnd.packets.size() == 1);
    CHECK(node.dispatcher.waitingFlows.size() == 199);
    ForwardOutput expired;
    tickDispatcher(node.dispatcher, node.table, 2 * second, expired);
    CHECK(node.dispatcher.waitingFlows.empty());
}

// Guards against loads that never fall when no node reports the end of a flow.
TEST_CASE("a flow without a reported end stops counting as load after the timeout")
{
    EdgeForwarder node = makeFullNode();
    CHECK(findTarget(node.table, 1)->openFlows == 5);
    ForwardOutput out;
    tickDispatcher(node.dispatcher, node.table, node.dispatcher.settings.placedFlowTimeout, out);
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
            markPlacedFlowOpened(node.dispatcher, node.table, makeKey(1), target, millisecond);
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
    findTarget(node.table, 1)->owned = false;
    findTarget(node.table, 2)->owned = false;
    ForwardOutput out;
    for (std::uint16_t port = 1; port <= 4; ++port) {
        placeFlow(node.dispatcher, node.table, makeFlow(port), 0, out);
    }
    for (const ForwardedPacket &it : out.packets) {
        CHECK(it.target == 3);
    }
}
