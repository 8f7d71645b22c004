#include <doctest/doctest.h>

#include <algorithm>

#include <pimentofold/edgecodec.h>
#include <pimentofold/evacuation/evacuation.h>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Id dispatcherId = 7;

/// @return a forwarder with two targets in each of the data centres dc1, dc2 and dc3
EdgeForwarder makeRegion(Time now)
{
    EdgeForwarder forwarder = makeForwarder(0, now);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        TargetRecord record = makeTarget(id, 10 + static_cast<std::int64_t>(id));
        record.dataCentre = "dc" + std::to_string((id + 1) / 2);
        applyTarget(forwarder.table, record, now);
    }
    updateDispatchers(forwarder, now);
    return forwarder;
}

void evacuate(EdgeForwarder &forwarder, std::int64_t revision, std::set<std::string, std::less<>> dataCentres)
{
    CHECK(replaceEvacuations(forwarder.table.evacuations, {revision, std::move(dataCentres)}));
}

std::string dataCentreOf(const EdgeForwarder &forwarder, const ForwardedPacket &packet)
{
    return findTarget(forwarder.table, packet.target)->record.dataCentre;
}

bool isOpen(const EdgeForwarder &forwarder, std::uint16_t port)
{
    const auto it = forwarder.flows.find(makeKey(port));
    return it != forwarder.flows.end() && it->second.stage == FlowStage::Open;
}

/// Fills all targets, so that further flows wait.
void fillTargets(EdgeForwarder &forwarder)
{
    for (auto &[id, target] : forwarder.table.targets) {
        target.workingFlows = 100;
        target.openFlows = 100;
    }
}

} // namespace

// Guards against opening packets to an evacuated data centre, and against refusing flows that other targets can take.
TEST_CASE("new flows go to targets outside of the evacuated data centres only")
{
    struct Row {
        std::set<std::string, std::less<>> evacuated;
        std::set<std::string> used;
    };
    const Row rows[] = {
        {{}, {"dc1", "dc2", "dc3"}},
        {{"dc1"}, {"dc2", "dc3"}},
        {{"dc1", "dc3"}, {"dc2"}},
        {{"dc1", "dc2", "dc3"}, {}},
        {{"unknown"}, {"dc1", "dc2", "dc3"}},
    };
    for (const Row &row : rows) {
        EdgeForwarder forwarder = makeRegion(0);
        evacuate(forwarder, 50, row.evacuated);
        std::set<std::string> used;
        for (std::uint16_t port = 1; port <= 9; ++port) { // the targets of one data centre have room for ten flows
            ForwardOutput out;
            handlePacket(forwarder, makeOpening(port), 0, out);
            CHECK(out.packets.size() + out.resets.size() == 1);
            for (const ForwardedPacket &it : out.packets) {
                used.insert(dataCentreOf(forwarder, it));
            }
        }
        CHECK(used == row.used);
    }
}

// Guards against using a draining target of an evacuated data centre when no other target is left.
TEST_CASE("a draining target of an evacuated data centre is no last resort")
{
    EdgeForwarder forwarder = makeRegion(0);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        TargetRecord record = findTarget(forwarder.table, id)->record;
        record.revision.number += 100;
        record.state = TargetState::Draining;
        record.drainingFor = 0;
        applyTarget(forwarder.table, record, 0);
    }
    evacuate(forwarder, 200, {"dc1"});
    for (std::uint16_t port = 1; port <= 12; ++port) {
        ForwardOutput out;
        handlePacket(forwarder, makeOpening(port), 0, out);
        REQUIRE(out.packets.size() == 1);
        CHECK(dataCentreOf(forwarder, out.packets.front()) != "dc1");
    }
}

// Guards against a further offer to an evacuated target, by a timeout of this node or by the caller's retransmission.
TEST_CASE("a flow without an answer isn't offered to an evacuated target")
{
    for (const bool retransmitted : {false, true}) {
        EdgeForwarder forwarder = makeRegion(0);
        ForwardOutput first;
        handlePacket(forwarder, makeOpening(1), 0, first);
        REQUIRE(first.packets.size() == 1);
        evacuate(forwarder, 50, {"dc1", "dc2", "dc3"});
        ForwardOutput later;
        if (retransmitted) {
            handlePacket(forwarder, makeOpening(1, 200 * millisecond), 200 * millisecond, later);
        } else {
            tickForwarder(forwarder, 50 * millisecond, later);
        }
        CHECK(later.packets.empty());
        CHECK(later.resets.size() == 1);
        CHECK(countFlows(forwarder.table).working == 0);

        // The evacuation ends before the caller's next retransmission, which is placed like a new flow.
        evacuate(forwarder, 60, {});
        ForwardOutput after;
        handlePacket(forwarder, makeOpening(1, 600 * millisecond), 600 * millisecond, after);
        CHECK(after.packets.size() == 1);
    }
}

// Guards against breaking persistent flows, and against a late copy of their opening packet that would open a second flow at the
// evacuated target.
TEST_CASE("an open flow continues on an evacuated target without a further opening packet")
{
    EdgeForwarder forwarder = makeRegion(0);
    ForwardOutput first;
    handlePacket(forwarder, makeOpening(1), 0, first);
    REQUIRE(first.packets.size() == 1);
    const FlowToken token = first.packets.front().token;
    ForwardOutput opened;
    handlePacket(forwarder, makeData(1, token), 5 * millisecond, opened);
    REQUIRE(isOpen(forwarder, 1));
    evacuate(forwarder, 50, {"dc1", "dc2", "dc3"});
    ForwardOutput repeated;
    handlePacket(forwarder, makeOpening(1, 200 * millisecond), 200 * millisecond, repeated);
    CHECK(repeated.packets.empty());
    CHECK(repeated.resets.empty());
    for (const std::uint16_t port : {1, 2}) { // port 2: opened through another node
        ForwardOutput data;
        handlePacket(forwarder, makeData(port, token), second, data);
        CHECK(data.packets.size() == 1);
        CHECK(data.resets.empty());
    }
}

// Guards against callers that wait for their timeout because the dispatcher says nothing.
TEST_CASE("a dispatcher tells the node that asked when only evacuated targets are left")
{
    for (const int attempt : {1, 2}) {
        EdgeForwarder dispatcher = makeRegion(0);
        evacuate(dispatcher, 50, {"dc1", "dc2", "dc3"});
        ForwardOutput out;
        placeForPeer(dispatcher, makeOpeningFlow(1, dispatcherId, attempt), 0, out);
        CHECK(out.packets.empty());
        REQUIRE(out.refusedNotices.size() == 1);
        CHECK(out.refusedNotices.front().originNode == dispatcherId);
    }
}

// Guards against flows that wait at a dispatcher for targets that they must not get.
TEST_CASE("waiting flows are refused when only evacuated targets are left")
{
    EdgeForwarder forwarder = makeRegion(0);
    fillTargets(forwarder);
    ForwardOutput waiting;
    handlePacket(forwarder, makeOpening(1), 0, waiting);
    placeForPeer(forwarder, makeOpeningFlow(2, dispatcherId, 1), 0, waiting);
    REQUIRE(forwarder.dispatcher.queue.flows.size() == 2);
    evacuate(forwarder, 50, {"dc1", "dc2", "dc3"});
    ForwardOutput out;
    tickForwarder(forwarder, 20 * millisecond, out);
    CHECK(out.packets.empty());
    CHECK(forwarder.dispatcher.queue.flows.empty());
    REQUIRE(out.refusedNotices.size() == 2);
    const auto own = std::ranges::find(out.refusedNotices, Id{0}, &RefusedNotice::originNode);
    REQUIRE(own != out.refusedNotices.end());
    ForwardOutput refused;
    handleRefusedNotice(forwarder, 0, own->flow, 20 * millisecond, refused);
    CHECK(refused.resets.size() == 1);
}

// Guards against a waiting flow that is placed on an evacuated target when that target gets room.
TEST_CASE("a waiting flow isn't placed on an evacuated target that gets room")
{
    EdgeForwarder forwarder = makeRegion(0);
    fillTargets(forwarder);
    ForwardOutput waiting;
    handlePacket(forwarder, makeOpening(1), 0, waiting);
    evacuate(forwarder, 50, {"dc1"});
    findTarget(forwarder.table, 1)->workingFlows = 0;
    ForwardOutput out;
    tickForwarder(forwarder, 20 * millisecond, out);
    CHECK(out.packets.empty());
    findTarget(forwarder.table, 3)->workingFlows = 0;
    tickForwarder(forwarder, 40 * millisecond, out);
    REQUIRE(out.packets.size() == 1);
    CHECK(out.packets.front().target == 3);
}

// Guards against a refusal from a dispatcher that no longer places the flow, and against resetting an open flow.
TEST_CASE("a refusal applies only to a flow that waits for this dispatcher")
{
    EdgeForwarder forwarder = makeRegion(0);
    ForwardOutput out;
    handlePacket(forwarder, makeOpening(1), 0, out);
    EdgeFlow &flow = forwarder.flows.at(makeKey(1));
    struct Row {
        Id dispatcher;
        FlowStage stage;
        bool resets;
    };
    const Row rows[] = {{dispatcherId, FlowStage::Open, false},
                        {dispatcherId, FlowStage::Ended, false},
                        {0, FlowStage::Opening, false},
                        {dispatcherId, FlowStage::Opening, true}};
    for (const Row &row : rows) {
        flow.dispatcher = row.dispatcher;
        flow.stage = row.stage;
        ForwardOutput refused;
        handleRefusedNotice(forwarder, dispatcherId, makeKey(1), millisecond, refused);
        CHECK(refused.resets.size() == (row.resets ? 1 : 0));
    }
    ForwardOutput unknown;
    handleRefusedNotice(forwarder, dispatcherId, makeKey(99), millisecond, unknown);
    CHECK(unknown.resets.empty());
}

// Guards against an older message that ends an evacuation.
TEST_CASE("evacuations are replaced only by those of a higher revision")
{
    EvacuationState state;
    CHECK(replaceEvacuations(state, {20, {"dc1", "dc2"}}));
    CHECK_FALSE(replaceEvacuations(state, {20, {}}));
    CHECK_FALSE(replaceEvacuations(state, {19, {"dc3"}}));
    CHECK(state.dataCentres == std::set<std::string, std::less<>>{"dc1", "dc2"});
    CHECK(replaceEvacuations(state, {21, {"dc2"}}));
    CHECK_FALSE(applyEvacuationChanges(state, {}, 21));
    CHECK(state == EvacuationState{21, {"dc2"}});
}

// Guards against losing an evacuation that is withdrawn and requested again, whatever revision the store gives a withdrawal.
TEST_CASE("the last change of a data centre in a watch's answer counts")
{
    struct Row {
        std::vector<EvacuationChange> changes;
        std::set<std::string, std::less<>> evacuated;
    };
    const Row rows[] = {
        {{}, {"dc1"}},
        {{{"dc1", 31, true}}, {}},
        {{{"dc1", 5, true}}, {}},
        {{{"dc1", 31, true}, {"dc1", 32, false}}, {"dc1"}},
        {{{"dc1", 5, true}, {"dc1", 32, false}}, {"dc1"}},
        {{{"dc1", 32, false}, {"dc1", 31, true}}, {"dc1"}},
        {{{"dc2", 31, false}, {"dc2", 31, true}}, {"dc1"}},
        {{{"dc2", 31, false}, {"dc3", 32, false}, {"dc1", 33, true}}, {"dc2", "dc3"}},
        {{{std::string(maxDataCentreNameBytes + 1, 'x'), 31, false}}, {"dc1"}},
    };
    for (const Row &row : rows) {
        EvacuationState state{30, {"dc1"}};
        CHECK(applyEvacuationChanges(state, row.changes, 40));
        CHECK(state.dataCentres == row.evacuated);
        CHECK(state.revision == 40);
    }
}

// Guards against a list whose later pages hide what changed after the first one.
TEST_CASE("a list has the revision of its first page")
{
    EvacuationState listed;
    const EvacuationChange first[] = {{"dc1", 11, false}};
    const EvacuationChange last[] = {{"dc2", 22, false}};
    addListedEvacuations(listed, first, 20);
    addListedEvacuations(listed, last, 25);
    CHECK(listed == EvacuationState{20, {"dc1", "dc2"}});
}

// Guards against a node that places flows before it has heard of an evacuation, and against one that never places any.
TEST_CASE("a starting node waits for the evacuations for a limited time")
{
    struct Row {
        bool enabled;
        bool knowsEvacuations;
        Time since; ///< time since configuration and targets are known
        bool closed;
    };
    const Row rows[] = {
        {false, false, 0, false}, {true, false, 0, true}, {true, false, 999 * millisecond, true}, {true, false, second, false}, {true, true, 0, false}};
    for (const Row &row : rows) {
        EvacuationWait gate;
        gate.enabled = row.enabled;
        EvacuationState state;
        state.revision = row.knowsEvacuations ? 1 : 0;
        updateEvacuationWait(gate, false, 0);
        updateEvacuationWait(gate, true, 10 * second);
        updateEvacuationWait(gate, true, 10 * second + row.since);
        CHECK(waitsForEvacuations(gate, state) == row.closed);
    }
}

TEST_CASE("packets that arrive before the evacuations are known are kept")
{
    EdgeForwarder forwarder = makeRegion(0);
    forwarder.evacuationWait.enabled = true;
    ForwardOutput early;
    handlePacket(forwarder, makeOpening(1), 0, early);
    CHECK(early.packets.empty());
    CHECK_FALSE(canPlaceFlows(forwarder));
    evacuate(forwarder, 50, {"dc1"});
    CHECK(canPlaceFlows(forwarder));
    CHECK(takeEarlyPackets(forwarder, millisecond).size() == 1);
}

// Guards against heartbeats that don't fit into a datagram because of objects that name no data centre.
TEST_CASE("evacuations of data centres without targets are left out when there are many")
{
    EdgeForwarder forwarder = makeRegion(0);
    EvacuationState state{50, {"dc1", "other"}};
    CHECK(replaceEvacuations(forwarder.table.evacuations, state));
    CHECK(fromWire(toWire(evacuationsToSend(forwarder.table))) == state);
    state.revision = 51;
    for (int n = 0; n < 100; ++n) {
        state.dataCentres.insert("unknown-data-centre-" + std::to_string(n));
    }
    CHECK(replaceEvacuations(forwarder.table.evacuations, state));
    CHECK(evacuationsToSend(forwarder.table) == EvacuationState{51, {"dc1"}});
}

// Guards against settings with which an evacuation comes into force after its bound. docs/design/evacuation.md explains the sums.
TEST_CASE("the slowest ways to all nodes stay below the bound")
{
    constexpr Time bound = 5 * second;
    const ListWatchSettings calls;
    const ReplicationSettings replication;
    const Time answer = 100 * millisecond; // a call and its answer, on a slow link
    const Time deadConnection = evacuationWatchTimeout(bound) + calls.responseTimeout + calls.initialBackoff + answer;
    const Time twoLostHeartbeats = 2 * replication.heartbeatInterval;
    CHECK(deadConnection + twoLostHeartbeats <= bound * 2 / 3);
    // The leader goes just before its dead connection is noticed, and two nodes ahead of the next one in rank order with it.
    const Time handOver = replication.heartbeatTimeout + 2 * replication.rankDelay + answer;
    CHECK(deadConnection + handOver + twoLostHeartbeats <= bound);
    // All nodes start again and the evacuations can't be read: placement begins with the state that the leader has by then.
    CHECK(EvacuationWait::maxWait + calls.responseTimeout + twoLostHeartbeats <= bound);
    CHECK(evacuationWatchTimeout(bound) == 2 * second);
    CHECK(evacuationWatchTimeout(0) == 200 * millisecond);
}
