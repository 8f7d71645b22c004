#include <doctest/doctest.h>

#include <algorithm>

#include <libpimentofold/flowlocation/locationfleet.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Id opener = 1; ///< node through which the flow opens
constexpr Id late = 2; ///< node that offers the flow as well
constexpr std::uint32_t firstSequence = 5000;
constexpr std::uint32_t requestBytes = 300;

/// An opening packet as one of the two nodes gets it.
struct Copy {
    Time age = 0; ///< at which the caller sends it
    Time heldFor = 0; ///< time until the node can place its flow
};

FlowPacket openingOf(std::uint16_t port, const Copy &copy)
{
    FlowPacket packet = makeOpening(port, copy.age);
    packet.heldFor = copy.heldFor;
    packet.sequence = firstSequence;
    return packet;
}

/// @return the caller's request with this number, from 0
FlowPacket requestOf(std::uint16_t port, std::uint64_t target, std::uint32_t request)
{
    FlowPacket packet = makeData(port, tokenOf(target));
    packet.sequence = firstSequence + 1 + request * requestBytes;
    return packet;
}

/// Lets both nodes handle their copies of a flow's opening packets. The flow opens at the first target.
/// @return the flow's target, and the last one to which the late node has offered the flow, or that it names to other nodes
std::pair<std::uint64_t, std::uint64_t> openTwice(Fleet &fleet, std::uint16_t port, const Copy &atOpener, const Copy &atLate, Time &now)
{
    const auto open = [&] {
        fleet.receive(opener, openingOf(port, atOpener), now);
        const std::uint64_t target = fleet.lastTarget();
        now += 5 * millisecond;
        fleet.receive(opener, requestOf(port, target, 0), now);
        REQUIRE(fleet.lastTarget() == target);
        return target;
    };
    const bool openerFirst = atOpener.age + atOpener.heldFor <= atLate.age + atLate.heldFor;
    std::uint64_t right = openerFirst ? open() : 0;
    fleet.receive(late, openingOf(port, atLate), now);
    std::uint64_t wrong = fleet.lastTarget();
    if (!openerFirst) {
        right = open();
    }
    for (int n = 0; n < 8; ++n) {
        now += 50 * millisecond;
        fleet.tick(late, now);
        const bool offered = fleet.nodes[late].flows.contains(makeKey(port));
        wrong = offered && fleet.lastTarget() != right ? fleet.lastTarget() : wrong;
    }
    return {right, wrong};
}

} // namespace

// Guards against an open flow that moves to another target. After a start of all nodes with a slow store, a node offered flows that it
// had held for up to 1.2 s, although they were open through a node to which the callers had sent their opening packets again. It took the
// callers' next requests for the answer to its own offers, and up to 112 of 970 flows were lost.
TEST_CASE("a flow that two nodes offer stays at the target at which it has opened")
{
    struct Row {
        const char *description;
        Copy atOpener;
        Copy atLate;
    };
    const Row rows[] = {
        {"the late node has held the first copy", {600 * millisecond, 0}, {0, 620 * millisecond}},
        {"the late node has held the second copy", {0, 500 * millisecond}, {200 * millisecond, 400 * millisecond}},
        {"the first copy was held where the flow opens", {0, 300 * millisecond}, {200 * millisecond, 0}},
        {"both nodes have held their copies", {0, 800 * millisecond}, {200 * millisecond, 700 * millisecond}},
        {"the late node offers the flow before it opens", {600 * millisecond, 0}, {200 * millisecond, 380 * millisecond}},
    };
    // The last answer that the caller has got is one of the late node's target, or of the flow's own if it ignores others.
    for (const Row &row : rows) {
        CAPTURE(row.description);
        int movable = 0;
        for (std::uint16_t port = 1; port <= 40; ++port) {
            for (const bool takesEachToken : {true, false}) {
                Fleet fleet;
                Time now = second;
                const auto [right, wrong] = openTwice(fleet, port, row.atOpener, row.atLate, now);
                movable += takesEachToken && right != wrong ? 1 : 0;
                const std::uint64_t token = takesEachToken ? wrong : right;
                for (std::uint32_t request = 1; request <= 2; ++request) {
                    now += 8 * second;
                    fleet.receive(late, requestOf(port, token, request), now);
                    CHECK(fleet.lastTarget() == right);
                    CHECK(fleet.packets.back().token == tokenOf(right));
                }
            }
        }
        CHECK(movable > 10);
    }
}

// Guards against a node that goes on offering a flow after another one has asked it where the flow is, or has told it.
TEST_CASE("a node that hears of a flow as open elsewhere offers it no more")
{
    for (const LocationMessageKind kind : {LocationMessageKind::Question, LocationMessageKind::Report}) {
        Fleet fleet;
        fleet.receive(late, openingOf(7, {0, 300 * millisecond}), second);
        REQUIRE(fleet.nodes[late].flows.contains(makeKey(7)));
        ForwardOutput out;
        const FlowLocation location{fleet.lastTarget() % 4 + 1, firstSequence + 1};
        if (kind == LocationMessageKind::Question) {
            handleLocate(fleet.nodes[late], opener, makeKey(7), location, second, out);
        } else {
            handleLocationReport(fleet.nodes[late], {0, makeKey(7), location, 0}, second, out);
        }
        CHECK_FALSE(fleet.nodes[late].flows.contains(makeKey(7)));
        CHECK(std::ranges::count(out.events, ForwardEvent::Withdrawn, &ForwardEventRecord::event) == 1);
        const std::size_t before = fleet.packets.size();
        fleet.tick(late, second + 500 * millisecond);
        CHECK(fleet.packets.size() == before);
        fleet.receive(late, requestOf(7, location.target % 4 + 1, 1), 8 * second);
        CHECK(fleet.lastTarget() == location.target);
    }
}

// Guards against messages for flows that can't be open elsewhere: this node has received each copy of their opening packets.
TEST_CASE("flows whose callers have sent all copies through one node cost no message")
{
    struct Row {
        std::vector<Copy> copies;
        Time opensAt; ///< since the caller's first opening packet
        bool reported;
    };
    const Row rows[] = {
        {{{0, 0}}, 20 * millisecond, false},
        {{{0, 150 * millisecond}}, 190 * millisecond, false},
        {{{0, 0}}, 230 * millisecond, true},
        {{{200 * millisecond, 0}}, 220 * millisecond, true},
        {{{0, 0}, {200 * millisecond, 0}}, 230 * millisecond, false},
        {{{0, 0}, {200 * millisecond, 0}}, 650 * millisecond, true},
        {{{0, 0}, {200 * millisecond, 0}, {600 * millisecond, 0}}, 900 * millisecond, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.copies.size());
        CAPTURE(row.opensAt);
        EdgeFlow flow;
        flow.startAge = row.copies.front().age + row.copies.front().heldFor;
        flow.startedAt = second;
        flow.openingCopies = static_cast<int>(row.copies.size());
        CHECK(missesOpeningCopy(flow, second + row.opensAt - flow.startAge) == row.reported);
    }
    Fleet fleet;
    fleet.receive(opener, openingOf(8, {600 * millisecond, 800 * millisecond}), second); // its caller has given up
    CHECK(fleet.packets.empty());
    fleet.receive(opener, openingOf(7, {}), second);
    fleet.receive(opener, requestOf(7, fleet.lastTarget(), 0), second + 20 * millisecond);
    CHECK(fleet.messages == 0);
}
