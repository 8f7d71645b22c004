#include <doctest/doctest.h>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

OpeningFlow makeFlow(std::uint16_t port, Time openAge = 0)
{
    OpeningFlow flow;
    flow.key = makeKey(port);
    flow.openingPacket = "opening";
    flow.originNode = 7;
    flow.openingAge = openAge;
    return flow;
}

/// A dispatcher whose only target is full with flows 1 to 5.
EdgeForwarder makeFull()
{
    EdgeForwarder node = makeForwarder(1, 0);
    ForwardOutput out;
    for (std::uint16_t port = 1; port <= 5; ++port) {
        REQUIRE(placeFlow(node.dispatcher, node.table, makeFlow(port), 0, out) == PlaceResult::Placed);
    }
    return node;
}

} // namespace

// Guards against full targets whose queues shed flows, and against late flows that go before those still in time.
TEST_CASE("flows wait for room, those in time first, then those with the fewest copies")
{
    EdgeForwarder node = makeFull();
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
        ForwardOutput room;
        endPlacedFlow(dispatcher, node.table, makeKey(++ended), 1, millisecond, room);
        REQUIRE(room.packets.size() == 1);
        CHECK(dispatcher.placedFlows.contains(makeKey(port)));
    }
    CHECK(dispatcher.waitingFlows.empty());
}

// Guards against waiting flows that take time in proportion to their number whenever one flow ends: once this made
// all nodes too slow to recover from the loss of all of them.
TEST_CASE("the end of one flow places one waiting flow")
{
    EdgeForwarder node = makeFull();
    ForwardOutput out;
    for (std::uint16_t port = 100; port < 300; ++port) {
        placeFlow(node.dispatcher, node.table, makeFlow(port), 0, out);
    }
    ForwardOutput room;
    endPlacedFlow(node.dispatcher, node.table, makeKey(1), 1, millisecond, room);
    CHECK(room.packets.size() == 1);
    CHECK(node.dispatcher.waitingFlows.size() == 199);
    ForwardOutput over;
    tickDispatcher(node.dispatcher, node.table, 2 * second, over);
    CHECK(node.dispatcher.waitingFlows.empty());
}

// Guards against loads that never fall when the end of a flow isn't told.
TEST_CASE("a flow that nothing is heard of is no load for ever")
{
    EdgeForwarder node = makeFull();
    CHECK(findTarget(node.table, 1)->openFlows == 5);
    ForwardOutput out;
    tickDispatcher(node.dispatcher, node.table, node.dispatcher.settings.placedFlowTimeout, out);
    CHECK(findTarget(node.table, 1)->openFlows == 0);
}

// Guards against targets that are suspected for callers that have gone on elsewhere or given up while they waited.
TEST_CASE("a repeated request for a flow that needs no target is settled")
{
    struct Row {
        bool opened;
        bool waited;
        PlaceResult result;
        int unanswered;
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
        node.dispatcher.placedFlows.at(makeKey(1)).waitedLong = row.waited;
        if (row.opened) {
            markPlacedFlowOpened(node.dispatcher, node.table, makeKey(1), target, millisecond);
        }
        OpeningFlow again = makeFlow(1);
        again.attempt = 2;
        CHECK(placeFlow(node.dispatcher, node.table, again, 30 * millisecond, out) == row.result);
        CHECK(findTarget(node.table, target)->unansweredOpenings == row.unanswered);
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
