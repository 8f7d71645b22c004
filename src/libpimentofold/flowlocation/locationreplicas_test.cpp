#include <doctest/doctest.h>

#include <algorithm>

#include <libpimentofold/flowlocation/locationfleet.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Time idle = 10 * second;

/// @return number of running nodes that store the location of the flow
std::size_t countCopies(Fleet &fleet, std::uint16_t port)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.nodes, [&](const auto &it) { return !fleet.down.contains(it.first) && it.second.locations.stored.contains(makeKey(port)); }));
}

} // namespace

// Guards against the loss of a flow's location, and so against its next packet going to another target: a rolling restart within one
// pause of the caller replaced the node through which the flow had opened and both holders.
TEST_CASE("the location of an idle flow outlives a rolling restart of all nodes")
{
    struct Row {
        const char *description;
        bool planned;
        Id atOnce; ///< nodes that are down at the same time
    };
    // Three nodes know a location, so fewer may be killed before the others know. Planned stops pass it on, whatever their number.
    const Row rows[] = {{"planned stops", true, 1}, {"planned stops of three nodes", true, 3}, {"kills", false, 1}, {"kills of two nodes", false, 2}};
    for (const Row &row : rows) {
        for (std::uint16_t port = 1; port <= 20; ++port) {
            CAPTURE(row.description);
            CAPTURE(port);
            Fleet fleet;
            const auto [wrong, right] = openAtSecondTarget(fleet, 1, port, 0);
            Time now = second;
            for (Id first = 1; first <= nodeCount; first += row.atOnce) {
                for (Id id = first; id < first + row.atOnce; ++id) {
                    fleet.end(id, row.planned, now);
                }
                now += 200 * millisecond;
                for (Id id = first; id < first + row.atOnce; ++id) {
                    fleet.rejoin(id, now);
                }
                now += 800 * millisecond;
                CHECK(countCopies(fleet, port) >= locationHolderCount);
            }
            fleet.receive(1, makeData(port, tokenOf(wrong)), idle);
            fleet.tick(1, idle + fleet.nodes[1].locations.settings.answerTimeout);
            CHECK(fleet.lastTarget() == right);
        }
    }
}

// Guards against locations that are lost when the nodes that keep them stop at the same time and don't know of each other.
TEST_CASE("nodes that stop together pass their locations on to the ones that stay")
{
    for (std::uint16_t port = 1; port <= 20; ++port) {
        CAPTURE(port);
        Fleet fleet;
        const auto [wrong, right] = openAtSecondTarget(fleet, 1, port, 0);
        std::vector<Id> stopping;
        for (const auto &[id, node] : fleet.nodes) {
            if (node.locations.stored.contains(makeKey(port))) {
                stopping.push_back(id);
            }
        }
        REQUIRE(stopping.size() == locationHolderCount + 1);
        for (const Id it : stopping) {
            leaveForwarding(fleet.nodes[it], second);
        }
        for (const Id it : stopping) {
            fleet.tick(it, second);
            // Learns of the others now.
            std::erase_if(fleet.nodes[it].members, [&](const InstanceKey &key) { return std::ranges::find(stopping, key.instance) != stopping.end(); });
            scheduleReplication(fleet.nodes[it].locations, second);
            fleet.tick(it, second + 50 * millisecond);
        }
        for (const Id it : stopping) {
            fleet.end(it, false, 2 * second);
        }
        const Id asking = fleet.members().front().instance;
        fleet.receive(asking, makeData(port, tokenOf(wrong)), idle);
        fleet.tick(asking, idle + fleet.nodes[asking].locations.settings.answerTimeout);
        CHECK(fleet.lastTarget() == right);
    }
}

// Guards against packets of a new flow that go to the target of an earlier one with the same addresses, whose location is still passed on.
TEST_CASE("a location isn't used for a later flow with the same addresses")
{
    Fleet fleet;
    const auto [wrong, right] = openAtSecondTarget(fleet, 1, 7, 0);
    constexpr std::uint32_t otherSequence = 0x80000000;
    FlowPacket packet = makeData(7, tokenOf(wrong));
    packet.sequence = otherSequence;
    for (Id id = 1; id <= nodeCount; ++id) {
        CAPTURE(id);
        fleet.receive(id, packet, second);
        fleet.tick(id, second + fleet.nodes[id].locations.settings.answerTimeout);
        CHECK(fleet.lastTarget() == wrong);
    }

    // The end of the earlier flow arrives late and concerns that one only.
    FlowLocations locations;
    storeLocation(locations, makeKey(8), {2, otherSequence}, {}, second);
    forgetLocation(locations, makeKey(8), 5);
    CHECK(findLocation(locations, makeKey(8), otherSequence + 900, second).target == 2);
    CHECK(findLocation(locations, makeKey(8), 5, second).target == 0);
    forgetLocation(locations, makeKey(8), otherSequence);
    CHECK(locations.stored.empty());
}

// Guards against a late answer that makes a node forget what a report has told it meanwhile.
TEST_CASE("an answer after the end of its question changes nothing")
{
    Fleet fleet;
    openAtSecondTarget(fleet, 1, 7, 0);
    for (auto &[id, node] : fleet.nodes) {
        const std::size_t before = node.locations.stored.size();
        ForwardOutput out;
        handleLocationAnswer(node, id % nodeCount + 1, makeKey(7), 0, second, out);
        CHECK(node.locations.stored.size() == before);
    }
}

// Guards against a burst of messages when a node with many locations stops, and against locations that it doesn't get to.
TEST_CASE("locations are passed on in steps, each to the holders that don't have it")
{
    FlowLocations locations;
    LocationMembers members{{{1, 1}, {2, 1}, {3, 1}, {4, 1}}, 1, false};
    constexpr std::uint16_t flows = 5'000;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        storeLocation(locations, makeKey(port), {1, 0}, replicaHolders(members, makeKey(port)), 0);
    }
    scheduleReplication(locations, second);
    CHECK(nextReplicas(locations, members, second - 1).empty());
    Time now = second;
    while (locations.replicationDueAt != never) {
        CHECK(nextReplicas(locations, members, now).empty());
        now = std::max(now, locations.replicationDueAt == never ? now : locations.replicationDueAt);
    }

    members.leaving = true;
    scheduleReplication(locations, now);
    std::size_t sent = 0;
    const Time began = now;
    while (locations.replicationDueAt != never) {
        now = locations.replicationDueAt;
        const std::vector<LocationReport> reports = nextReplicas(locations, members, now);
        CHECK(std::ranges::none_of(reports, [](const LocationReport &it) { return it.to == 1; }));
        sent += reports.size();
    }
    // The node was a holder of half of the locations.
    CHECK(sent > flows * 4 / 10);
    CHECK(sent < flows * 6 / 10);
    CHECK(now - began < 2 * second);
    CHECK(locations.passedOn == static_cast<std::int64_t>(sent));
}
