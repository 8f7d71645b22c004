#include <doctest/doctest.h>

#include <map>

#include <pimentofold/codec.h>
#include <pimentofold/edgecodec.h>
#include <pimentofold/replication/storereplication.h>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Id testSender = 7;

struct Node {
    StoreReplication replication;
    TargetTable table;
};

/// Encodes changes for the wire and reassembles them.
std::optional<StoreChanges> transfer(const StoreChanges &changes)
{
    ChangesAssembler assembler;
    std::optional<StoreChanges> result;
    for (const wire::EdgeChanges &it : toWire(changes)) {
        CHECK_FALSE(result);
        result = addPart(assembler, testSender, it);
    }
    return result;
}

bool syncFrom(Node &to, const Node &from, Time now)
{
    const StoreChanges changes = changesSince(from.table, to.replication.known, to.table.configRevision, from.replication.known, now);
    const std::optional<StoreChanges> received = transfer(changes);
    REQUIRE(received);
    return applyChanges(to.replication, to.table, *received, now);
}

void setKnown(Node &node, std::int64_t revision)
{
    node.replication.known = {revision, revision};
}

} // namespace

TEST_CASE("a node receives the changes that it lacks from a peer")
{
    Node leader;
    std::vector<EdgeRoute> routes;
    for (std::uint16_t port = 1; port <= 200; ++port) {
        routes.push_back(makeRoute({0xc6120003, port}, "idle"));
    }
    routes.push_back(makeRoute(shopAddress, "shop"));
    applyConfig(leader.table, makeConfig(10, routes));
    applyTarget(leader.table, makeTarget(1, 11), 0);
    applyTarget(leader.table, makeTarget(2, 12), 0);
    setTargetHistoryStart(leader.table, 12);
    setKnown(leader, 12);
    Node node;
    CHECK(syncFrom(node, leader, 0));
    CHECK(node.replication.known == leader.replication.known);
    CHECK(findRoute(node.table, shopAddress) != nullptr);
    CHECK(node.table.targets.size() == 2);

    // A node that knows an earlier state receives only the difference.
    routes.pop_back();
    applyConfig(leader.table, makeConfig(13, routes));
    removeTarget(leader.table, 1, 14, second);
    applyTarget(leader.table, makeTarget(3, 15), second);
    setKnown(leader, 15);
    const StoreChanges changes = changesSince(leader.table, node.replication.known, node.table.configRevision, leader.replication.known, second);
    CHECK(changes.config.routes.empty());
    CHECK(changes.removedRoutes.size() == 1);
    CHECK(changes.targets.size() == 1);
    CHECK(toWire(changes).size() == 1);
    CHECK(syncFrom(node, leader, second));
    CHECK(findRoute(node.table, shopAddress) == nullptr);
    CHECK_FALSE(findTarget(node.table, 1)->registered);
    CHECK(findTarget(node.table, 3)->registered);
}

// Guards against removed routes and targets that stay in use after the leader has restarted. Its history begins at its
// start, so it doesn't know what was removed before. This has violated the rule CONFIG.
TEST_CASE("a restarted leader sends the complete state to nodes with an older state")
{
    Node old;
    applyConfig(old.table, makeConfig(10, {makeRoute(shopAddress, "shop"), makeRoute(otherAddress, "other")}));
    applyTarget(old.table, makeTarget(1, 11), 0);
    applyTarget(old.table, makeTarget(2, 12), 0);
    setTargetHistoryStart(old.table, 12);
    setKnown(old, 12);
    Node restarted;
    applyConfig(restarted.table, makeConfig(20, {makeRoute(shopAddress, "shop")}));
    applyTarget(restarted.table, makeTarget(2, 12), 0);
    setTargetHistoryStart(restarted.table, 21);
    setKnown(restarted, 21);
    CHECK(syncFrom(old, restarted, second));
    CHECK(findRoute(old.table, otherAddress) == nullptr);
    CHECK_FALSE(findTarget(old.table, 1)->registered);
    CHECK(findTarget(old.table, 2)->registered);
}

// Guards against a state that reverts to an older one or lacks changes.
TEST_CASE("older changes and changes after a gap are not applied")
{
    Node leader;
    applyConfig(leader.table, makeConfig(10, {makeRoute(shopAddress, "shop")}));
    applyTarget(leader.table, makeTarget(1, 11), 0);
    setTargetHistoryStart(leader.table, 11);
    setKnown(leader, 11);
    const StoreChanges first = changesSince(leader.table, {}, 0, leader.replication.known, 0);
    applyTarget(leader.table, makeTarget(2, 15), 0);
    setKnown(leader, 15);
    const StoreChanges gap = changesSince(leader.table, {12, 12}, 10, leader.replication.known, 0);
    Node node;
    CHECK(applyChanges(node.replication, node.table, first, 0));
    CHECK_FALSE(applyChanges(node.replication, node.table, gap, 0));
    CHECK(node.replication.known.targets == 11);
    CHECK(syncFrom(node, leader, 0));
    CHECK(applyChanges(node.replication, node.table, first, 0));
    CHECK(node.replication.known.targets == 15);
    CHECK(findTarget(node.table, 2)->registered);
}

// Guards against parts of different changes that are assembled into one.
TEST_CASE("parts of changes: any order, duplicates, other changes' parts, out of range")
{
    StoreChanges changes;
    changes.known = {20, 20};
    changes.config = makeConfig(20, {});
    for (std::uint16_t port = 1; port <= 100; ++port) {
        changes.config.routes.push_back(makeRoute({0xc6120003, port}, "idle"));
    }
    const std::vector<wire::EdgeChanges> parts = toWire(changes);
    REQUIRE(parts.size() > 2);
    ChangesAssembler assembler;
    for (std::size_t n = parts.size() - 1; n > 0; --n) {
        CHECK_FALSE(addPart(assembler, testSender, parts[n]));
        CHECK_FALSE(addPart(assembler, testSender, parts[n]));
    }
    const std::optional<StoreChanges> whole = addPart(assembler, testSender, parts[0]);
    REQUIRE(whole);
    CHECK(whole->config.routes.size() == 100);

    CHECK_FALSE(addPart(assembler, testSender, parts[0]));
    wire::EdgeChanges newer = parts[1];
    newer.targetsRevision = 21;
    CHECK_FALSE(addPart(assembler, testSender, newer));
    REQUIRE(assembler.pending.size() == 2);
    CHECK(assembler.pending.back().received.size() == 1);
    wire::EdgeChanges bad = parts[0];
    bad.part = 1'000'000;
    CHECK_FALSE(addPart(assembler, testSender, bad));
    bad.parts = -1;
    CHECK_FALSE(addPart(assembler, testSender, bad));
}

// Guards against an entry that is longer than a datagram and therefore lost each time, so that the changes after it are never
// applied: nodes didn't hear that targets drain.
TEST_CASE("changes that don't fit into datagrams: targets are sent, the configuration is left to the store")
{
    Node leader;
    Node follower;
    for (Node *it : {&leader, &follower}) {
        applyConfig(it->table, makeConfig(10, {makeRoute(shopAddress, "shop")}));
        applyTarget(it->table, makeTarget(1, 5), 0);
        setTargetHistoryStart(it->table, 10);
        it->replication.known = {10, 10};
    }
    EdgeRoute route = makeRoute(otherAddress, "other");
    route.weightedServices.front().service = std::string(2000, 'x');
    applyConfig(leader.table, makeConfig(20, {makeRoute(shopAddress, "shop"), route}));
    TargetRecord draining = makeTarget(1, 21);
    draining.state = TargetState::Draining;
    TargetRecord longest = makeTarget(2, 22, std::string(maxTargetTextBytes, 's'));
    longest.name = std::string(maxTargetTextBytes, 'n');
    longest.dataCentre = std::string(maxTargetTextBytes, 'd');
    applyTarget(leader.table, draining, 0);
    applyTarget(leader.table, longest, 0);
    leader.replication.known = {22, 22};

    const StoreChanges all = changesSince(leader.table, follower.replication.known, 10, leader.replication.known, 0);
    CHECK_FALSE(canSendRoutes(all));
    const StoreChanges sent = withoutConfig(all);
    CHECK(canSendRoutes(sent));
    Codec codec;
    constexpr std::size_t envelopeBytes = 200;
    for (const wire::EdgeChanges &it : toWire(sent)) {
        CHECK(codec.encode(it).size() + envelopeBytes <= maxDatagramBytes);
    }
    const std::optional<StoreChanges> received = transfer(sent);
    REQUIRE(received);
    CHECK(applyChanges(follower.replication, follower.table, *received, 0));
    CHECK(follower.replication.known == KnownRevisions{10, 22});
    CHECK(findTarget(follower.table, 1)->record.state == TargetState::Draining);
    CHECK(findTarget(follower.table, 2) != nullptr);
    CHECK(findRoute(follower.table, otherAddress) == nullptr);
    CHECK(isAheadOf(leader.replication, follower.replication.known));
}

// Guards against a response to a request that discards the received parts of a broadcast from the same node. Nodes then
// repeated their requests, and changes of targets took over 4 s.
TEST_CASE("parts of a broadcast and of a response may arrive interleaved")
{
    StoreChanges broadcast;
    broadcast.base = {5, 5};
    broadcast.known = {20, 20};
    for (std::uint64_t id = 1; id <= 40; ++id) {
        broadcast.targets.push_back(makeTarget(id, 10));
    }
    StoreChanges response = broadcast;
    response.base = {1, 1};
    const std::vector<wire::EdgeChanges> broadcastParts = toWire(broadcast);
    const std::vector<wire::EdgeChanges> responseParts = toWire(response);
    REQUIRE(broadcastParts.size() > 1);
    ChangesAssembler assembler;
    std::size_t complete = 0;
    for (std::size_t n = 0; n < broadcastParts.size(); ++n) {
        complete += addPart(assembler, testSender, broadcastParts[n]) ? 1 : 0;
        complete += addPart(assembler, testSender, responseParts[n]) ? 1 : 0;
    }
    CHECK(complete == 2);
    CHECK(assembler.pending.empty());
    // Parts from different senders are not combined, and the number of incomplete changes is limited.
    for (Id sender = 1; sender <= Id{2 * maxPartialChanges}; ++sender) {
        CHECK_FALSE(addPart(assembler, sender, broadcastParts[0]));
    }
    CHECK(assembler.pending.size() == maxPartialChanges);
}

// Guards against new leaders that broadcast changes which all nodes already know.
TEST_CASE("a new leader broadcasts only the changes after its start")
{
    Node node;
    applyConfig(node.table, makeConfig(10, {makeRoute(shopAddress, "shop")}));
    applyTarget(node.table, makeTarget(1, 11), 0);
    setTargetHistoryStart(node.table, 11);
    setKnown(node, 5);
    node.replication.heartbeatSentKnown = {5, 5};
    setKnown(node, 11);
    startLeading(node.replication, second);
    node.replication.storeHealth = StoreHealth::Answering;
    node.replication.heartbeatSentAt = second;
    CHECK_FALSE(isHeartbeatDue(node.replication, second));
    CHECK(node.replication.heartbeatSentKnown == node.replication.known);
    setKnown(node, 12);
    CHECK(isHeartbeatDue(node.replication, second));
}

// Guards against nodes that wait for the next heartbeat when the node that they requested changes from couldn't send them.
TEST_CASE("a node is behind until it knows the changes that a heartbeat announced")
{
    StoreReplication replication;
    CHECK_FALSE(isBehind(replication));
    CHECK(handleHeartbeat(replication, {testSender, true, {10, 12}, 0}, second));
    CHECK(isBehind(replication));
    CHECK_FALSE(isAheadOf(replication, {}));
    replication.known = {10, 11};
    CHECK(isBehind(replication));
    CHECK(isAheadOf(replication, {9, 11}));
    CHECK_FALSE(isAheadOf(replication, {10, 11}));
    replication.known = {10, 12};
    CHECK_FALSE(isBehind(replication));
}

// Guards against a hundred nodes that become leader at the same time.
TEST_CASE("nodes late in rank order become leader one after the other")
{
    const Time now = 100 * second;
    StoreReplication replication;
    replication.self = 1000;
    replication.startedAt = 0;
    std::map<Time, int> starts;
    for (int rank = 0; rank < 130; ++rank) {
        Time wait = 0;
        do {
            replication.confirmedAt = now - wait;
            wait += 10 * millisecond;
        } while (!shouldLead(replication, rank, now));
        ++starts[wait];
    }
    int startsWithin = 0;
    for (const auto &[wait, count] : starts) {
        startsWithin += wait < 2 * second ? count : 0;
        CHECK((count == 1 || wait > 2 * second));
    }
    CHECK(startsWithin < 30);
}

// Guards against a first start at which each node of a large fleet reads the whole store.
TEST_CASE("at the first start the seeds call the store before the other nodes")
{
    const ReplicationSettings settings;
    Random random{1};
    const Time first = firstStartDelay(settings, 0, random);
    const Time last = firstStartDelay(settings, 2, random);
    CHECK(first == settings.startupPeerWait);
    CHECK(first < last);
    for (int n = 0; n < 100; ++n) {
        const Time other = firstStartDelay(settings, std::nullopt, random);
        CHECK(other > last);
        CHECK(other <= settings.firstStartWait + settings.firstStartJitter);
    }
}

// Guards against fleets without a leader and against fleets in which every node leads.
TEST_CASE("which node leads")
{
    struct Row {
        std::string name;
        Time confirmedAt; ///< 0: never
        int rank;
        std::vector<std::pair<bool, bool>> otherLeaders; ///< healthy, comes before this node in rank order
        bool leading;
        bool expected;
    };
    const Time now = 100 * second;
    const Row rows[] = {
        {"a node that starts alone", 0, 0, {}, false, true},
        {"a node that starts while another one leads", 0, 0, {{true, false}}, false, false},
        {"heartbeats arrive", now - 100 * millisecond, 0, {{true, false}}, false, false},
        {"heartbeats have stopped, first in rank order", now - second, 0, {}, false, true},
        {"heartbeats have stopped, later in rank order", now - second, 5, {}, false, false},
        {"heartbeats have stopped for 3 s, later in rank order", now - 3 * second, 50, {}, false, true},
        {"of two leaders the one later in rank order steps down", now, 1, {{true, true}}, true, false},
        {"of two leaders the one earlier in rank order continues", now, 0, {{true, false}}, true, true},
        {"another leader can't reach the store", now - 3 * second, 1, {{false, true}}, false, true},
        {"three leaders can't reach the store", now - 3 * second, 3, {{false, true}, {false, true}, {false, true}}, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        StoreReplication replication;
        // Ids of nodes that come before and after this node in rank order.
        std::vector<Id> before;
        std::vector<Id> after;
        replication.self = 1000;
        for (Id id = 1; before.size() < 3 || after.size() < 3; ++id) {
            (leaderOrder(id) < leaderOrder(replication.self) ? before : after).push_back(id);
        }
        replication.startedAt = now - second;
        replication.confirmedAt = row.confirmedAt;
        replication.leading = row.leading;
        std::size_t n = 0;
        for (const auto &[healthy, first] : row.otherLeaders) {
            replication.otherLeaders[(first ? before : after)[n++]] = {healthy, now - 100 * millisecond};
        }
        CHECK(shouldLead(replication, row.rank, now) == row.expected);
    }
}

// Guards against a wait for the heartbeat time-out when the leader has already reported that the store doesn't answer.
TEST_CASE("after a leader reports a failing store the next node in rank order leads at once")
{
    StoreReplication replication;
    replication.self = 1000;
    Id first = 1;
    while (leaderOrder(first) > leaderOrder(replication.self)) {
        ++first;
    }
    handleHeartbeat(replication, {first, true, {}, 0}, 10 * second);
    CHECK_FALSE(shouldLead(replication, 1, 10 * second));
    handleHeartbeat(replication, {first, false, {}, 0}, 10 * second + 300 * millisecond);
    CHECK(shouldLead(replication, 1, 10 * second + 300 * millisecond));
    CHECK_FALSE(shouldLead(replication, 2, 10 * second + 300 * millisecond));
    CHECK(shouldLead(replication, 2, 10 * second + 300 * millisecond + replication.settings.rankDelay));
}

// Guards against leaders that report a healthy store before its first answer. Two nodes without a connection to the store
// led alternately, each for the 0.5 s until its first call failed, and their heartbeats kept the other nodes from reading
// a new configuration for 5 s.
TEST_CASE("a new leader sends no heartbeat before its first call has ended")
{
    StoreReplication replication;
    replication.known = {20, 20};
    replication.confirmedAt = second;
    startLeading(replication, 2 * second);
    updateStoreHealth(replication, StoreHealth::Unknown, 2 * second + 400 * millisecond);
    CHECK_FALSE(isHeartbeatDue(replication, 2 * second + 400 * millisecond));
    CHECK(replication.confirmedAt == second);
    updateStoreHealth(replication, StoreHealth::Failing, 2 * second + 500 * millisecond);
    CHECK(isHeartbeatDue(replication, 2 * second + 500 * millisecond));
    CHECK(replication.confirmedAt == second);
    // The time without an answer is counted from the start of leading.
    updateStoreHealth(replication, StoreHealth::Failing, 2 * second + replication.settings.leaderFailureLimit);
    CHECK_FALSE(shouldLead(replication, 0, 3 * second + replication.settings.leaderFailureLimit));

    StoreReplication reached;
    startLeading(reached, 2 * second);
    updateStoreHealth(reached, StoreHealth::Answering, 2 * second + 5 * millisecond);
    CHECK(isHeartbeatDue(reached, 2 * second + 5 * millisecond));
    CHECK(reached.confirmedAt == 2 * second + 5 * millisecond);
}

TEST_CASE("a leader that can't reach the store steps down")
{
    StoreReplication replication;
    replication.leading = true;
    updateStoreHealth(replication, StoreHealth::Answering, second);
    CHECK(replication.confirmedAt == second);
    updateStoreHealth(replication, StoreHealth::Failing, 2 * second);
    CHECK(shouldLead(replication, 0, 2 * second));
    updateStoreHealth(replication, StoreHealth::Failing, 2 * second + replication.settings.leaderFailureLimit);
    CHECK_FALSE(shouldLead(replication, 0, 4 * second));
    CHECK(replication.confirmedAt == second);
}
