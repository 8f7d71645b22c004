#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

/// Opens a flow, with an answer of the target that the forwarder chooses.
/// @return id of the target
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

// Guards against overloading some targets while others are idle.
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

// Guards against flows that wait for the caller's retransmission when their target is down, and against placing further
// flows on that target.
TEST_CASE("a flow without an answer is offered to another target after the answer timeout")
{
    EdgeForwarder forwarder = makeForwarder(3, 0);
    ForwardOutput out;
    handlePacket(forwarder, makeOpening(1), 0, out);
    REQUIRE(out.packets.size() == 1);
    const std::uint64_t unresponsive = out.packets.front().target;
    ForwardOutput early;
    tickForwarder(forwarder, 49 * millisecond, early);
    CHECK(early.packets.empty());
    ForwardOutput late;
    tickForwarder(forwarder, 50 * millisecond, late);
    REQUIRE(late.packets.size() == 1);
    CHECK(late.packets.front().target != unresponsive);
    CHECK(late.packets.front().bytes == "opening");
    CHECK(hasEvent(late, ForwardEvent::OfferedAgain));
    CHECK(findTarget(forwarder.table, unresponsive)->unansweredOpenings == 1);
    CHECK(findTarget(forwarder.table, unresponsive)->openFlows == 0);

    // Both targets have answered: the flow stays on the target that the caller's first packet after the opening names, even
    // if a later packet carries the token of the other target.
    ForwardOutput chosen;
    handlePacket(forwarder, makeData(1, tokenOf(unresponsive)), 60 * millisecond, chosen);
    CHECK(chosen.packets.front().target == unresponsive);
    ForwardOutput other;
    handlePacket(forwarder, makeData(1, late.packets.front().token), 61 * millisecond, other);
    CHECK(other.packets.front().target == unresponsive);
    CHECK(findTarget(forwarder.table, unresponsive)->unansweredOpenings == 0);
}

TEST_CASE("a target that doesn't answer only gets probes until it answers again")
{
    EdgeForwarder forwarder = makeForwarder(2, 0);
    const PlacementSettings &settings = forwarder.dispatcher.settings.placement;
    EdgeTarget &unresponsive = *findTarget(forwarder.table, 1);
    for (int n = 0; n < settings.suspectThreshold; ++n) {
        recordUnanswered(unresponsive, settings, 0);
    }
    CHECK(openFlow(forwarder, 1, 10 * millisecond) == 2);
    CHECK(openFlow(forwarder, 2, 11 * millisecond) == 2);
    const Time probe = settings.minProbeInterval;
    CHECK(openFlow(forwarder, 3, probe) == 1);
    // The target has answered the probe, so it is used like the other target again.
    CHECK(openFlow(forwarder, 4, probe + millisecond) == 1);
}

// Guards against resetting flows that were opened through another node, and against dropping their packets.
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

// Guards against placing new flows on a draining target.
TEST_CASE("a draining target keeps its flows and gets no new ones")
{
    EdgeForwarder forwarder = makeForwarder(2, 0);
    const std::uint64_t draining = openFlow(forwarder, 1, 0);
    TargetRecord record = makeTarget(draining, 50);
    record.state = TargetState::Draining;
    applyTarget(forwarder.table, record, second);
    for (std::uint16_t port = 2; port < 6; ++port) {
        CHECK(openFlow(forwarder, port, second + port * millisecond) != draining);
    }
    ForwardOutput out;
    handlePacket(forwarder, makeData(1, tokenOf(draining)), 2 * second, out);
    CHECK(out.packets.front().target == draining);
}

// Guards against placing flows whose callers have given up long ago: nodes that had been frozen placed the opening packets
// from their sockets, which left the targets without room for seconds (deploy/days/service-lost.toml).
TEST_CASE("opening packets that waited in a socket during a pause are dropped")
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
    // Later packets of flows are still forwarded.
    handlePacket(forwarder, makeData(4, tokenOf(1)), wake, stale);
    CHECK(stale.packets.size() == 1);
    const Time later = wake + forwarder.settings.backlogDropTime;
    CHECK(detectPause(forwarder, later) == 0);
    ForwardOutput after;
    handlePacket(forwarder, makeOpening(5), later, after);
    CHECK(after.packets.size() == 1);
}

// Guards against dropping packets whose target is on a page of the target list that hasn't been read yet.
TEST_CASE("packets are stored until the target list is complete")
{
    EdgeForwarder forwarder = makeForwarder(2, 0);
    forwarder.table.targetHistoryStart = 0;
    ForwardOutput out;
    handlePacket(forwarder, makeData(1, tokenOf(1)), 0, out);
    CHECK(out.packets.empty());
    CHECK(forwarder.earlyPackets.size() == 1);
}

TEST_CASE("packets that arrive before the configuration are stored for a limited time")
{
    EdgeForwarder forwarder;
    ForwardOutput out;
    handlePacket(forwarder, makeOpening(1), 0, out);
    handlePacket(forwarder, makeOpening(2), second, out);
    CHECK(out.packets.empty());
    CHECK(out.resets.empty());
    CHECK(takeEarlyPackets(forwarder, second).empty());
    forwarder.table = makeForwarder(1, 0).table;
    const std::vector<EarlyPacket> early = takeEarlyPackets(forwarder, 1500 * millisecond);
    REQUIRE(early.size() == 1);
    CHECK(early.front().receivedAt == second);
    CHECK(takeEarlyPackets(forwarder, 1500 * millisecond).empty());
}

// Guards against callers that wait for a restarted node to read a large configuration, and against flows that are placed without
// the list of targets, on a target that may be cold, or by a route of a read that has failed.
TEST_CASE("a flow is placed as soon as its route of the first configuration has arrived")
{
    struct Case {
        const char *description;
        bool routeArrived;
        bool targetsKnown;
        bool readFails;
        Time warmup; ///< of the only target
        bool isPlaced;
    };
    const Case cases[] = {
        {"route and targets known", true, true, false, 0, true},
        {"the route hasn't arrived", false, true, false, 0, false},
        {"the list of targets isn't complete", true, false, false, 0, false},
        {"the read has failed", true, true, true, 0, false},
        {"the limits of the target's service aren't known yet", true, true, false, second, false},
    };
    for (const Case &it : cases) {
        CAPTURE(it.description);
        EdgeForwarder complete = makeForwarder(1, 0);
        EdgeForwarder forwarder;
        forwarder.table.slowStart.settings.enabled = true;
        TargetRecord record = complete.table.targets.begin()->second.record;
        record.warmup = it.warmup;
        applyTarget(forwarder.table, record, 0);
        setTargetHistoryStart(forwarder.table, it.targetsKnown ? 1 : 0);
        if (it.routeArrived) {
            addFirstRoutes(forwarder.table, {complete.table.routes.begin()->second.route});
        }
        if (it.readFails) {
            dropFirstRoutes(forwarder.table);
        }
        ForwardOutput out;
        handlePacket(forwarder, makeOpening(1), 0, out);
        CHECK(out.packets.size() == (it.isPlaced ? 1 : 0));
        CHECK(out.resets.empty());
        CHECK(hasPacketsWithoutRoute(forwarder) == (!it.routeArrived || it.readFails));
        CHECK_FALSE(canPlaceFlows(forwarder));
    }
}

TEST_CASE("the complete configuration replaces the routes that arrived first")
{
    TargetTable table = makeForwarder(1, 0).table;
    const EdgeRoute early = table.routes.begin()->second.route;
    EdgeRoute dropped = early;
    dropped.address.port += 1;
    TargetTable fresh;
    addFirstRoutes(fresh, {early, dropped});
    EdgeConfig config;
    config.revision = 5;
    config.routes = {early};
    CHECK(applyConfig(fresh, config));
    CHECK(findRoute(fresh, early.address) != nullptr);
    CHECK(findRoute(fresh, dropped.address) == nullptr);
    CHECK(fresh.routes.begin()->second.revision == 5);
    addFirstRoutes(fresh, {dropped}); // of a read that a peer's configuration has overtaken
    dropFirstRoutes(fresh);
    CHECK(findRoute(fresh, early.address) != nullptr);
    CHECK(findRoute(fresh, dropped.address) == nullptr);
}

// Guards against wrong refusals: without a route the node sends no reset, since a newer configuration may have the route.
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

// Guards against flows that hang when their dispatcher is down.
TEST_CASE("flows are relayed to the service's dispatcher and placed locally when no answer arrives")
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
    REQUIRE(own.flowNotices.size() == 1);
    CHECK(own.flowNotices.front().kind == FlowNoticeKind::Ended);
    CHECK(own.flowNotices.front().target == 0);

    // After a second flow without an answer the dispatcher is avoided, so the next flows aren't delayed.
    ForwardOutput next;
    handlePacket(forwarder, makeOpening(2), 100 * millisecond, next);
    tickForwarder(forwarder, 150 * millisecond, next);
    tickForwarder(forwarder, 200 * millisecond, next);
    ForwardOutput third;
    handlePacket(forwarder, makeOpening(3), 201 * millisecond, third);
    CHECK(third.relayedOpenings.empty());
    CHECK(third.packets.size() == 1);
    // The dispatcher is used again after dispatcherAvoidTime.
    tickForwarder(forwarder, 200 * millisecond + forwarder.settings.dispatcherAvoidTime, third);
    ForwardOutput back;
    handlePacket(forwarder, makeOpening(4), 3 * second, back);
    CHECK(back.relayedOpenings.size() == 1);
}

// Guards against dispatchers changing with each node that joins when all nodes start at about the same time.
TEST_CASE("nodes that have just joined are no dispatcher candidates")
{
    struct Row {
        std::vector<InstanceKey> members;
        std::vector<InstanceKey> candidates;
    };
    const Row rows[] = {
        {{}, {}},
        {{{1, 0}}, {{1, 0}}},
        {{{1, 0}, {2, 100 * second}}, {{1, 0}}},
        {{{1, 0}, {2, second}, {3, 100 * second}}, {{1, 0}, {2, second}}},
        {{{3, 3 * millisecond}, {2, 2 * millisecond}, {1, millisecond}}, {{1, millisecond}}},
    };
    for (const Row &row : rows) {
        CHECK(dispatcherCandidates(row.members) == row.candidates);
    }
}

// Guards against a dispatcher that doesn't learn of requests on kept flows, and against notices to a dispatcher that no longer
// places the target's flows.
TEST_CASE("requests on a kept flow are reported to the dispatcher of its target")
{
    EdgeForwarder forwarder = makeForwarder(1, 0);
    const InstanceKey older{99, -60 * second};
    forwarder.members = {forwarder.self, older};
    updateDispatchers(forwarder, 0);
    struct Step {
        std::uint32_t sequence;
        std::uint16_t payloadBytes;
        std::uint32_t acknowledgement;
        std::vector<FlowNoticeKind> notices;
    };
    using enum FlowNoticeKind;
    const Step steps[] = {
        {1, 180, 900, {Opened, WorkStarted}}, // opened through another node
        {181, 0, 2100, {WorkEnded}},
        {181, 0, 2900, {}},
        {181, 180, 2900, {WorkStarted}},
        {181, 180, 2900, {}},
        {361, 0, 4100, {WorkEnded}},
    };
    for (const Step &it : steps) {
        CAPTURE(it.sequence);
        FlowPacket packet = makeData(1, tokenOf(1));
        packet.sequence = it.sequence;
        packet.payloadBytes = it.payloadBytes;
        packet.acknowledgement = it.acknowledgement;
        ForwardOutput out;
        handlePacket(forwarder, packet, millisecond, out);
        std::vector<FlowNoticeKind> kinds;
        for (const FlowNotice &notice : out.flowNotices) {
            kinds.push_back(notice.kind);
            CHECK(notice.dispatcher == 99);
        }
        CHECK(kinds == it.notices);
    }
    // This node becomes the only one, so that it counts the flow itself from the next request on.
    forwarder.members = {forwarder.self};
    updateDispatchers(forwarder, second);
    FlowPacket next = makeData(1, tokenOf(1));
    next.sequence = 361;
    next.acknowledgement = 4100;
    ForwardOutput out;
    handlePacket(forwarder, next, second, out);
    REQUIRE(out.flowNotices.size() == 1);
    CHECK(out.flowNotices.front().kind == Ended);
    CHECK(findTarget(forwarder.table, 1)->workingFlows == 1);
}

// Guards against flows that wait although their node places them itself: the dispatcher answers an earlier attempt late, after a pause.
TEST_CASE("a late notice of the dispatcher doesn't delay a flow that its node places by itself")
{
    constexpr Id dispatcher = 99;
    for (const bool settled : {false, true}) {
        CAPTURE(settled);
        EdgeForwarder forwarder = makeForwarder(4, 0);
        forwarder.members.push_back({dispatcher, -60 * second});
        updateDispatchers(forwarder, 0);
        ForwardOutput out;
        handlePacket(forwarder, makeOpening(1), 0, out);
        REQUIRE(out.relayedOpenings.size() == 1);
        const FlowKey key = makeKey(1);
        const EdgeFlow &flow = forwarder.flows.at(key);
        Time now = 0;
        while (flow.dispatcher != 0) {
            now = nextForwarderTick(forwarder);
            REQUIRE(now < second);
            tickForwarder(forwarder, now, out);
        }
        const int attempts = flow.attempts;
        const Time offeredAt = flow.lastOfferAt;
        if (settled) {
            handleSettledNotice(forwarder, dispatcher, key);
        } else {
            handleHeldNotice(forwarder, dispatcher, key, now);
        }
        CHECK(flow.attempts == attempts);
        CHECK(flow.lastOfferAt == offeredAt);
    }
}
