#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

/// Opens a flow at the target that the forwarder chooses.
std::uint64_t openFlow(EdgeForwarder &forwarder, std::uint16_t port, Time now)
{
    ForwardOutput out;
    handlePacket(forwarder, makeOpening(port), now, out);
    REQUIRE(out.packets.size() == 1);
    const ForwardedPacket sent = out.packets.front();
    ForwardOutput later;
    handlePacket(forwarder, makeData(port, sent.token), now + 5 * millisecond, later);
    REQUIRE(later.packets.size() == 1);
    CHECK(later.packets.front().target == sent.target);
    return sent.target;
}

void endFlow(EdgeForwarder &forwarder, std::uint16_t port, std::uint64_t target, Time now)
{
    FlowPacket packet = makeData(port, tokenOf(target));
    packet.finishes = true;
    ForwardOutput out;
    handlePacket(forwarder, packet, now, out);
}

bool hasEvent(const ForwardOutput &out, ForwardEvent event)
{
    return std::ranges::any_of(out.events, [&](const ForwardEventRecord &it) { return it.event == event; });
}

} // namespace

// Guards against targets that are overfilled while others are idle.
TEST_CASE("new flows go to the target with the fewest flows")
{
    EdgeForwarder forwarder = makeForwarder(4, 0);
    std::map<std::uint64_t, int> flows;
    for (std::uint16_t port = 1; port <= 16; ++port) {
        ++flows[openFlow(forwarder, port, port * millisecond)];
    }
    REQUIRE(flows.size() == 4);
    for (const auto &[id, n] : flows) {
        CHECK(n == 4);
    }
    endFlow(forwarder, 1, 1, second);
}

// Guards against flows that wait for the caller's copy when their target is dead, and against more flows for it.
TEST_CASE("a flow without an answer is offered to another target in time")
{
    EdgeForwarder forwarder = makeForwarder(3, 0);
    ForwardOutput out;
    handlePacket(forwarder, makeOpening(1), 0, out);
    REQUIRE(out.packets.size() == 1);
    const std::uint64_t silent = out.packets.front().target;
    ForwardOutput early;
    tickForwarder(forwarder, 49 * millisecond, early);
    CHECK(early.packets.empty());
    ForwardOutput late;
    tickForwarder(forwarder, 50 * millisecond, late);
    REQUIRE(late.packets.size() == 1);
    CHECK(late.packets.front().target != silent);
    CHECK(late.packets.front().bytes == "opening");
    CHECK(hasEvent(late, ForwardEvent::OfferedAgain));
    CHECK(findTarget(forwarder.table, silent)->unansweredOpenings == 1);
    CHECK(findTarget(forwarder.table, silent)->openFlows == 0);

    // The caller's choice counts, also when both targets have answered and the token names the other one later.
    ForwardOutput chosen;
    handlePacket(forwarder, makeData(1, tokenOf(silent)), 60 * millisecond, chosen);
    CHECK(chosen.packets.front().target == silent);
    ForwardOutput other;
    handlePacket(forwarder, makeData(1, late.packets.front().token), 61 * millisecond, other);
    CHECK(other.packets.front().target == silent);
    CHECK(findTarget(forwarder.table, silent)->unansweredOpenings == 0);
}

TEST_CASE("a target that doesn't answer gets single flows until it answers again")
{
    EdgeForwarder forwarder = makeForwarder(2, 0);
    const PlacementSettings &settings = forwarder.dispatcher.settings.placement;
    EdgeTarget &silent = *findTarget(forwarder.table, 1);
    for (int n = 0; n < settings.suspectThreshold; ++n) {
        recordUnanswered(silent, settings, 0);
    }
    CHECK(openFlow(forwarder, 1, 10 * millisecond) == 2);
    CHECK(openFlow(forwarder, 2, 11 * millisecond) == 2);
    const Time trial = settings.minProbeInterval;
    CHECK(openFlow(forwarder, 3, trial) == 1);
    // It has answered, so it is used like the other one.
    CHECK(openFlow(forwarder, 4, trial + millisecond) == 1);
}

// Guards against resets and lost packets for flows that another node has opened.
TEST_CASE("any node forwards a later packet by its token")
{
    EdgeForwarder forwarder = makeForwarder(3, 0);
    struct Row {
        FlowToken token;
        std::uint64_t target; ///< 0: dropped
    };
    const Row rows[] = {{tokenOf(1), 1}, {tokenOf(2), 2}, {tokenOf(3), 3}, {0, 0}, {12345, 0}};
    std::uint16_t port = 100;
    for (const Row &row : rows) {
        ForwardOutput out;
        handlePacket(forwarder, makeData(++port, row.token), 0, out);
        CHECK(out.resets.empty());
        CHECK(out.packets.size() == (row.target == 0 ? 0 : 1));
        if (row.target != 0) {
            CHECK(out.packets.front().target == row.target);
        }
    }
    removeTarget(forwarder.table, 2, 99, second);
    ForwardOutput out;
    handlePacket(forwarder, makeData(102, tokenOf(2)), 2 * second, out);
    CHECK(out.packets.size() == 1);
}

// Guards against new flows at a target that leaves.
TEST_CASE("a draining target keeps its flows and gets no new ones")
{
    EdgeForwarder forwarder = makeForwarder(2, 0);
    const std::uint64_t leaving = openFlow(forwarder, 1, 0);
    TargetRecord record = makeTarget(leaving, 50);
    record.state = TargetState::Draining;
    applyTarget(forwarder.table, record, second);
    for (std::uint16_t port = 2; port < 6; ++port) {
        CHECK(openFlow(forwarder, port, second + port * millisecond) != leaving);
    }
    ForwardOutput out;
    handlePacket(forwarder, makeData(1, tokenOf(leaving)), 2 * second, out);
    CHECK(out.packets.front().target == leaving);
}

// Guards against flows of callers that have long given up: nodes that woke from a freeze placed them, which filled the
// targets' room for seconds (deploy/days/service-lost.toml).
TEST_CASE("after a pause the opening packets that waited are dropped")
{
    EdgeForwarder forwarder = makeForwarder(2, 0);
    CHECK(detectPause(forwarder, second) == 0);
    ForwardOutput before;
    handlePacket(forwarder, makeOpening(1), second, before);
    CHECK(before.packets.size() == 1);
    const Time wake = 4 * second;
    CHECK(detectPause(forwarder, wake) == 3 * second);
    ForwardOutput stale;
    tickForwarder(forwarder, wake, stale);
    handlePacket(forwarder, makeOpening(2), wake, stale);
    OpeningFlow relayed;
    relayed.key = makeKey(3);
    placeForPeer(forwarder, relayed, wake, stale);
    CHECK(stale.packets.empty());
    CHECK(hasEvent(stale, ForwardEvent::Stale));
    // Later packets of flows go on.
    handlePacket(forwarder, makeData(4, tokenOf(1)), wake, stale);
    CHECK(stale.packets.size() == 1);
    const Time later = wake + forwarder.settings.backlogDropTime;
    CHECK(detectPause(forwarder, later) == 0);
    ForwardOutput after;
    handlePacket(forwarder, makeOpening(5), later, after);
    CHECK(after.packets.size() == 1);
}

// Guards against packets that are dropped for tokens of targets on a page that isn't read yet.
TEST_CASE("with some pages of the targets missing packets are kept")
{
    EdgeForwarder forwarder = makeForwarder(2, 0);
    forwarder.table.targetHistoryStart = 0;
    ForwardOutput out;
    handlePacket(forwarder, makeData(1, tokenOf(1)), 0, out);
    CHECK(out.packets.empty());
    CHECK(forwarder.earlyPackets.size() == 1);
}

TEST_CASE("packets before the configuration are kept for a while")
{
    EdgeForwarder forwarder;
    ForwardOutput out;
    handlePacket(forwarder, makeOpening(1), 0, out);
    handlePacket(forwarder, makeOpening(2), second, out);
    CHECK(out.packets.empty());
    CHECK(out.resets.empty());
    const std::vector<EarlyPacket> early = takeEarlyPackets(forwarder, 1500 * millisecond);
    REQUIRE(early.size() == 1);
    CHECK(early.front().receivedAt == second);
    CHECK(takeEarlyPackets(forwarder, 1500 * millisecond).empty());
}

// Guards against untrue refusals: without a route the node is silent, since a newer configuration may have one.
TEST_CASE("flows without a route get no reset, flows without a target get one")
{
    EdgeForwarder forwarder = makeForwarder(1, 0);
    FlowPacket unknown = makeOpening(1);
    unknown.flow.service = otherAddress;
    ForwardOutput out;
    handlePacket(forwarder, unknown, 0, out);
    CHECK(out.resets.empty());
    CHECK(hasEvent(out, ForwardEvent::NoRoute));
    removeTarget(forwarder.table, 1, 50, second);
    ForwardOutput refused;
    handlePacket(forwarder, makeOpening(2), 5 * second, refused);
    CHECK(refused.packets.empty());
    CHECK(refused.resets.size() == 1);
}

// Guards against flows that hang when their dispatcher is gone.
TEST_CASE("flows go through the service's dispatcher, and without an answer past it")
{
    EdgeForwarder forwarder = makeForwarder(2, 0);
    const InstanceKey older{99, -60 * second};
    forwarder.members = {forwarder.self, older};
    updateDispatchers(forwarder, 0);
    ForwardOutput out;
    handlePacket(forwarder, makeOpening(1), 0, out);
    CHECK(out.packets.empty());
    REQUIRE(out.relayedOpenings.size() == 1);
    CHECK(out.relayedOpenings.front().dispatcher == 99);

    ForwardOutput again;
    tickForwarder(forwarder, 50 * millisecond, again);
    REQUIRE(again.relayedOpenings.size() == 1);
    CHECK(again.relayedOpenings.front().attempt == 2);
    ForwardOutput own;
    tickForwarder(forwarder, 100 * millisecond, own);
    CHECK(own.relayedOpenings.empty());
    CHECK(own.packets.size() == 1);
    REQUIRE(own.endedNotices.size() == 1);
    CHECK(own.endedNotices.front().target == 0);

    // A second flow without an answer shows that the dispatcher is gone; the next flows don't wait for it.
    ForwardOutput second2;
    handlePacket(forwarder, makeOpening(2), 100 * millisecond, second2);
    tickForwarder(forwarder, 150 * millisecond, second2);
    tickForwarder(forwarder, 200 * millisecond, second2);
    ForwardOutput third;
    handlePacket(forwarder, makeOpening(3), 201 * millisecond, third);
    CHECK(third.relayedOpenings.empty());
    CHECK(third.packets.size() == 1);
    // It is tried again later.
    tickForwarder(forwarder, 200 * millisecond + forwarder.settings.dispatcherAvoidTime, third);
    ForwardOutput back;
    handlePacket(forwarder, makeOpening(4), 3 * second, back);
    CHECK(back.relayedOpenings.size() == 1);
}

// Guards against roles that move with each node that joins after all nodes have started together.
TEST_CASE("nodes that have just joined don't dispatch")
{
    struct Row {
        std::vector<InstanceKey> members;
        std::vector<InstanceKey> settled;
    };
    const Row rows[] = {
        {{}, {}},
        {{{1, 0}}, {{1, 0}}},
        {{{1, 0}, {2, 100 * second}}, {{1, 0}}},
        {{{1, 0}, {2, second}, {3, 100 * second}}, {{1, 0}, {2, second}}},
        {{{3, 3 * millisecond}, {2, 2 * millisecond}, {1, millisecond}}, {{1, millisecond}}},
    };
    for (const Row &row : rows) {
        CHECK(dispatcherCandidates(row.members) == row.settled);
    }
}
