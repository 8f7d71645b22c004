#include <doctest/doctest.h>

#include <algorithm>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/evacuation/evacuationstate.h>
#include <pimentofold/reachability/reachability.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

// Guards against a dispatcher that refuses flows of other nodes at once, and against one that never tells them.
TEST_CASE("a dispatcher that reaches no target refuses a relayed opening after the silent time")
{
    for (const Time age : {Time{0}, silentTime - 1, silentTime}) {
        EdgeForwarder forwarder = makeForwarder(6, 0);
        enableReachability(forwarder.table, true);
        std::vector<Id> pings;
        recordRouteOpening(forwarder.table.reachability, shopAddress, second);
        for (std::uint64_t n = 0; n < 8; ++n) {
            recordAttempt(forwarder.table.reachability, "dc1", n, second + static_cast<Time>(n) * attemptSpacing);
        }
        Time now = second + unreachableSilence;
        CHECK(tickReachability(forwarder.table, now, pings));
        REQUIRE_FALSE(isReadyForFlows(forwarder.table.reachability));
        now += age;
        forwarder.table.reachability.dataCentres.at("dc1").nextOpeningProbeAt = now + 1;
        OpeningFlow flow;
        flow.key = makeKey(1);
        flow.openingPacket = "opening";
        flow.originNode = 7;
        ForwardOutput out;
        placeForPeer(forwarder, flow, now, out);
        CHECK(out.packets.empty());
        CHECK(out.refusedNotices.size() == (age == silentTime ? 1 : 0));
    }
}

// Guards against verdicts from fewer attempts, fewer peers or a shorter silence than the rule asks for.
TEST_CASE("a data centre is unreachable only with enough evidence")
{
    struct Row {
        std::uint64_t attempts;
        std::uint64_t peers;
        Time interval; ///< between attempts
        Time heardAt; ///< after the first attempt; never: not at all
        Time pausedAt; ///< end of a pause of the process, after the first attempt; never: none
        bool unreachable;
    };
    const Row rows[] = {
        {8, 3, 20 * millisecond, never, never, true},
        {8, 2, 20 * millisecond, never, never, false},
        {7, 7, 20 * millisecond, never, never, false},
        {8, 8, 5 * millisecond, never, never, false}, // closer than attemptSpacing, so that four are recorded
        {8, 8, 70 * millisecond, never, never, false}, // some are too old, others may still be answered
        {8, 8, 20 * millisecond, 10 * millisecond, never, false},
        {8, 8, 20 * millisecond, 300 * millisecond, never, false},
        {8, 8, 20 * millisecond, never, 300 * millisecond, false},
        {5'000, 7, millisecond / 10, never, never, true},
    };
    for (const Row &row : rows) {
        CAPTURE(&row - rows);
        Reachability state;
        state.enabled = true;
        const Time start = 10 * second;
        const Time end = start + unreachableSilence;
        for (std::uint64_t n = 0; n < row.attempts; ++n) {
            recordAttempt(state, "dc2", n % row.peers, start + static_cast<Time>(n) * row.interval);
        }
        if (row.heardAt != never) {
            recordHeard(state, "dc2", start + row.heardAt);
        }
        if (row.pausedAt != never) {
            restartEvidence(state, start + row.pausedAt);
        }
        std::vector<Id> pings;
        updateEvidence(state, end, pings);
        CHECK(isUnreachable(state, "dc2") == row.unreachable);
        CHECK(state.changed == row.unreachable);
    }
}

// Guards against pings to a data centre from which something is heard, and against pings that never end.
TEST_CASE("nodes are pinged only while a data centre is silent and owes an answer")
{
    Reachability state;
    state.enabled = true;
    setNodes(state, {{1, {"dc2", true}}, {2, {"dc2", true}}, {3, {"dc2", false}}, {4, {"dc3", false}}});
    recordHeard(state, "dc2", second);
    CHECK(nextEvidenceUpdate(state) == never);
    recordAttempt(state, "dc2", 100, second);
    recordAttempt(state, "dc3", 200, second);
    std::vector<Id> pings;
    updateEvidence(state, second + attemptAnswerTime, pings);
    CHECK(pings == std::vector<Id>{4}); // the only one known, though declared dead
    pings.clear();
    updateEvidence(state, second + pingAfterSilence, pings);
    std::ranges::sort(pings);
    REQUIRE(pings.size() == 2);
    CHECK(pings.front() != 3);
    recordHeardFromNode(state, 1, second + 2 * pingAfterSilence);
    recordHeardFromNode(state, 4, second + 2 * pingAfterSilence);
    CHECK(nextEvidenceUpdate(state) == never);
}

// Guards against a node that uses reachability although its settings don't turn it on.
TEST_CASE("reachability is on only with several data centres and a bound for evacuations")
{
    EdgeSettings settings;
    CHECK_FALSE(usesReachability(settings));
    settings.dataCentreCount = 3;
    CHECK_FALSE(usesReachability(settings));
    settings.evacuationBound = 5 * second;
    CHECK(usesReachability(settings));
    settings.dataCentreCount = 1;
    CHECK_FALSE(usesReachability(settings));
}

// Guards against targets that stay excluded, and nodes that stay not ready, when a reload turns reachability off.
TEST_CASE("turning reachability off ends all verdicts")
{
    EdgeForwarder forwarder = makeForwarder(6, 0);
    enableReachability(forwarder.table, true);
    for (std::uint64_t n = 0; n < 8; ++n) {
        recordAttempt(forwarder.table.reachability, "dc1", n, second + static_cast<Time>(n) * attemptSpacing);
    }
    recordRouteOpening(forwarder.table.reachability, shopAddress, second);
    std::vector<Id> pings;
    CHECK(tickReachability(forwarder.table, second + unreachableSilence, pings));
    CHECK_FALSE(isReadyForFlows(forwarder.table.reachability));
    enableReachability(forwarder.table, false);
    CHECK(isReadyForFlows(forwarder.table.reachability));
    CHECK(tickReachability(forwarder.table, 2 * second, pings));
    CHECK(nextReachabilityTick(forwarder.table.reachability) == never);
    recordAttempt(forwarder.table.reachability, "dc1", 1, 2 * second);
    CHECK(forwarder.table.reachability.dataCentres.empty());
}

// Guards against dispatchers that this node doesn't reach, each of which costs a flow two answer timeouts, and against relaying
// flows for which no target is left.
TEST_CASE("dispatchers in an unreachable data centre are skipped until it is reachable again")
{
    EdgeForwarder forwarder = makeForwarder(0, 0);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        TargetRecord record = makeTarget(id, 10 + static_cast<std::int64_t>(id));
        record.dataCentre = id % 2 == 0 ? "dc1" : "dc2";
        record.slots = 50;
        applyTarget(forwarder.table, record, 0);
    }
    enableReachability(forwarder.table, true);
    std::unordered_map<Id, OtherNode> nodes;
    for (Id node = 100; node < 108; ++node) {
        nodes[node] = {node % 2 == 0 ? "dc1" : "dc2", true};
        forwarder.members.push_back({node, 1});
    }
    forwarder.members.push_back({200, 100 * second}); // a node that started later, so that all others may be dispatchers
    setNodes(forwarder.table.reachability, nodes);
    updateDispatchers(forwarder, 0);
    const auto countAcross = [&] {
        return std::ranges::count_if(forwarder.dispatchers.at("shop").dispatchers,
                                     [](const InstanceKey &it) { return it.instance >= 100 && it.instance % 2 == 1; });
    };
    const auto relays = [&](std::uint16_t firstPort, Time now) {
        ForwardOutput out;
        for (std::uint16_t port = firstPort; port < firstPort + 50; ++port) {
            handlePacket(forwarder, makeOpening(port), now, out);
        }
        return out.relayedOpenings.size();
    };
    REQUIRE(countAcross() == 4);
    forwarder.dispatcherMisses[101] = {2, never - 1};
    Time now = second;
    recordHeard(forwarder.table.reachability, "dc1", now);
    for (std::uint64_t n = 0; n < 8; ++n) {
        recordAttempt(forwarder.table.reachability, "dc2", n, now + static_cast<Time>(n) * attemptSpacing);
    }
    now += unreachableSilence;
    forwarder.lastRunAt = now;
    ForwardOutput cut;
    tickForwarder(forwarder, now, cut);
    REQUIRE(isUnreachable(forwarder.table.reachability, "dc2"));
    CHECK(countAcross() == 0);
    CHECK(relays(1, now) > 0);

    CHECK(replaceEvacuations(forwarder.table.evacuations, {50, {"dc1"}}));
    now += 150 * millisecond; // dc1 has been examined again
    tickForwarder(forwarder, now, cut);
    REQUIRE_FALSE(isReadyForFlows(forwarder.table.reachability));
    CHECK(relays(100, now) == 0);

    recordHeardFromNode(forwarder.table.reachability, 103, now);
    tickForwarder(forwarder, now, cut);
    CHECK(isReadyForFlows(forwarder.table.reachability));
    CHECK(countAcross() == 4);
    CHECK(forwarder.dispatcherMisses.empty());
}

// Guards against refusing a relayed opening because the service that was drawn is unreachable, although another one of the route
// may be drawn at the next attempt.
TEST_CASE("a route with a reachable service is not refused for its unreachable one")
{
    EdgeForwarder forwarder = makeForwarder(6, 0);
    EdgeRoute route = makeRoute(shopAddress, "shop");
    route.weightedServices.push_back({"second", 1});
    CHECK(applyConfig(forwarder.table, makeConfig(100, {route})));
    TargetRecord record = makeTarget(50, 101, "second");
    record.dataCentre = "dc2";
    applyTarget(forwarder.table, record, 0);
    enableReachability(forwarder.table, true);
    for (std::uint64_t n = 0; n < 8; ++n) {
        recordAttempt(forwarder.table.reachability, "dc1", n, second + static_cast<Time>(n) * attemptSpacing);
    }
    const Time now = second + unreachableSilence;
    std::vector<Id> pings;
    CHECK(tickReachability(forwarder.table, now, pings));
    forwarder.table.reachability.dataCentres.at("dc1").nextOpeningProbeAt = now + 1;
    ForwardOutput out;
    for (std::uint16_t port = 1; port <= 4; ++port) {
        OpeningFlow flow;
        flow.key = makeKey(port);
        flow.openingPacket = "opening";
        flow.originNode = 7;
        placeForPeer(forwarder, flow, now, out);
    }
    CHECK(out.refusedNotices.empty());
    CHECK_FALSE(out.packets.empty());
    CHECK(out.packets.size() < 4); // some draws were of the unreachable service
}
