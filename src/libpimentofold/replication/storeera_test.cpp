#include <doctest/doctest.h>

#include <pimentofold/edgecodec.h>
#include <pimentofold/replication/storereplication.h>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Id testSender = 7;

/// Revisions of the store before and after it has come back from an older copy, which gives out low numbers again.
constexpr StoreRevision before(std::int64_t number)
{
    return {1, number};
}

constexpr StoreRevision after(std::int64_t number)
{
    return {2, number};
}

struct Node {
    StoreReplication replication;
    TargetTable table;
};

EdgeConfig configAt(const StoreRevision &revision, std::int64_t version, std::vector<EdgeRoute> routes)
{
    EdgeConfig config = makeConfig(0, std::move(routes));
    config.revision = revision;
    config.version = version;
    return config;
}

TargetRecord targetAt(std::uint64_t id, const StoreRevision &revision, TargetState state, std::int64_t sequence, std::int64_t startedAt = 1)
{
    TargetRecord record = makeTarget(id, 0);
    record.revision = revision;
    record.state = state;
    record.sequence = sequence;
    record.startedAt = startedAt;
    return record;
}

/// A node that knows version 8 and two targets from the store's first era.
Node makeNode()
{
    Node node;
    applyConfig(node.table, configAt(before(880), 8, {makeRoute(shopAddress, "shop")}));
    applyTarget(node.table, targetAt(1, before(890), TargetState::Ready, 5), 0);
    applyTarget(node.table, targetAt(2, before(891), TargetState::Ready, 5), 0);
    setTargetHistoryStart(node.table, before(900));
    node.replication.known = {before(900), before(900), {}};
    return node;
}

/// Sends the changes that @p to lacks over the wire.
bool syncFrom(Node &to, const Node &from, Time now)
{
    const StoreChanges changes = changesSince(from.table, to.replication.known, to.table.configRevision, from.replication.known, now);
    ChangesAssembler assembler;
    std::optional<StoreChanges> received;
    for (const wire::EdgeChanges &it : toWire(changes)) {
        received = addPart(assembler, testSender, it);
    }
    REQUIRE(received);
    return applyChanges(to.replication, to.table, *received, now);
}

} // namespace

// Guards against nodes that take what is written after the store's return for older than what they know, since its revisions are lower:
// a drained target got flows for over 9 s, and a version was not in force.
TEST_CASE("what is written after the store's return is in force at the leader and at the other nodes")
{
    Node leader = makeNode();
    Node follower = makeNode();
    CHECK(applyConfig(leader.table, configAt(after(41), 9, {makeRoute(otherAddress, "other")})));
    CHECK(applyTarget(leader.table, targetAt(1, after(42), TargetState::Draining, 6), second));
    CHECK(removeTarget(leader.table, 2, after(43), second));
    CHECK(replaceEvacuations(leader.table.evacuations, {after(44), {"dc1"}}));
    leader.replication.known = {after(44), after(44), after(44)};

    CHECK(handleHeartbeat(follower.replication, {testSender, true, leader.replication.known, 0}, second));
    CHECK(syncFrom(follower, leader, second));
    CHECK(findRoute(follower.table, shopAddress) == nullptr);
    CHECK(findRoute(follower.table, otherAddress) != nullptr);
    CHECK(findTarget(follower.table, 1)->record.state == TargetState::Draining);
    CHECK_FALSE(findTarget(follower.table, 2)->registered);
    CHECK(follower.replication.known.targets == after(44));
    CHECK(follower.table.configRevision == after(41));
    follower.table.evacuations = {before(800), {}};
    CHECK(replaceEvacuations(follower.table.evacuations, fromWire(toWire(leader.table.evacuations))));
}

// Guards against a version that goes out of force because the store's copy holds the one before.
TEST_CASE("of two versions from different eras the one with the higher number is in force")
{
    struct Row {
        StoreRevision known;
        std::int64_t knownVersion;
        StoreRevision read;
        std::int64_t readVersion;
        bool applied;
    };
    const Row rows[] = {
        {before(880), 8, after(20), 7, false},
        {before(880), 8, after(41), 8, true},
        {before(880), 8, after(41), 9, true},
        {after(41), 8, before(880), 8, false},
        {after(20), 7, before(880), 8, true}, // a node that has started from the copy hears of the lost version
        {after(20), 7, after(41), 8, true},
        {after(41), 8, after(20), 7, false},
        {{}, 0, after(20), 7, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.read.number);
        CAPTURE(row.readVersion);
        TargetTable table;
        if (row.known > 0) {
            applyConfig(table, configAt(row.known, row.knownVersion, {}));
        }
        CHECK(applyConfig(table, configAt(row.read, row.readVersion, {})) == row.applied);
        CHECK(table.configVersion == (row.applied ? row.readVersion : row.knownVersion));
    }
}

// Guards against a difference that lacks routes: their revisions are of the earlier era, below that of the version from which it starts.
TEST_CASE("a node that goes from the copy's version to the lost one tells it in full")
{
    const std::vector<EdgeRoute> copyRoutes{makeRoute(shopAddress, "shop")};
    Node node;
    Node peer;
    for (Node *it : {&node, &peer}) {
        applyConfig(it->table, configAt(after(20), 7, copyRoutes));
        it->replication.known = {after(21), after(21), {}};
    }
    applyConfig(node.table, configAt(before(880), 8, {makeRoute(otherAddress, "other")}));
    node.replication.known.config = after(22);
    CHECK(syncFrom(peer, node, second));
    CHECK(peer.table.configVersion == 8);
    CHECK(findRoute(peer.table, shopAddress) == nullptr);
    CHECK(findRoute(peer.table, otherAddress) != nullptr);
}

// Guards against a target that drains, or that has started again, and is used as the store's copy holds it.
TEST_CASE("an entry from before the known one is an older copy, also when another node sends it")
{
    struct Row {
        TargetRecord known;
        TargetRecord read;
        bool isOlder;
    };
    constexpr auto ready = TargetState::Ready;
    constexpr auto draining = TargetState::Draining;
    const Row rows[] = {
        {targetAt(1, before(890), draining, 9), targetAt(1, after(20), ready, 5), true},
        {targetAt(1, before(890), draining, 0), targetAt(1, after(20), ready, 0), true},
        {targetAt(1, before(890), draining, 9), targetAt(1, after(41), draining, 9), false},
        {targetAt(1, before(890), ready, 9), targetAt(1, after(20), draining, 5), true},
        {targetAt(1, before(890), ready, 9), targetAt(1, after(41), draining, 10), false},
        {targetAt(1, before(890), draining, 9), targetAt(1, after(41), ready, 1, 2), false},
        {targetAt(1, before(890), ready, 1, 2), targetAt(1, after(20), ready, 9, 1), true},
        {targetAt(1, after(41), draining, 9), targetAt(1, after(42), ready, 5), false}, // one era: the store's order holds
        {targetAt(1, before(890), draining, 9), targetAt(1, before(892), ready, 5), false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.read.revision.number);
        Node node;
        applyTarget(node.table, row.known, 0);
        node.replication.known = {before(900), before(900), {}};
        CHECK(isOlderCopy(node.table, row.read) == row.isOlder);
        StoreChanges changes;
        changes.base = node.replication.known;
        changes.known = {before(900), std::max(row.read.revision, after(50)), {}};
        changes.targets = {row.read};
        applyChanges(node.replication, node.table, changes, second);
        CHECK(findTarget(node.table, 1)->record.state == (row.isOlder ? row.known.state : row.read.state));
    }
}

// Guards against a broadcast of all targets after each return of the store.
TEST_CASE("an entry that a later era gives out again unchanged is no change")
{
    TargetTable table;
    applyTarget(table, targetAt(1, before(890), TargetState::Ready, 5), 0);
    CHECK_FALSE(applyTarget(table, targetAt(1, after(20), TargetState::Ready, 5), second));
    CHECK(findTarget(table, 1)->record.revision == before(890));
    CHECK(removeTarget(table, 1, after(30), second));
    CHECK(applyTarget(table, targetAt(1, after(31), TargetState::Ready, 5), second));
    CHECK(findTarget(table, 1)->registered);
}

// Guards against nodes that obey a leader that hasn't read the store since its return, and take their state for confirmed by it.
TEST_CASE("a heartbeat of an earlier era counts for nothing")
{
    Node node = makeNode();
    node.replication.known.config = after(41);
    CHECK_FALSE(handleHeartbeat(node.replication, {testSender, true, {before(950), before(950), {}}, 0}, 10 * second));
    CHECK(node.replication.otherLeaders.empty());
    CHECK(node.replication.confirmedAt == 0);
    CHECK(handleHeartbeat(node.replication, {testSender, true, {after(42), before(900), {}}, 0}, 10 * second));
    CHECK(node.replication.otherLeaders.size() == 1);
}

// Guards against parts of two answers that are put together although they hold different versions of the configuration.
TEST_CASE("parts with the same revisions of different eras belong to different changes")
{
    StoreChanges changes;
    changes.known = {before(20), before(20), {}};
    changes.config = configAt(before(20), 3, {});
    for (std::uint16_t port = 1; port <= 40; ++port) {
        changes.config.routes.push_back(makeRoute({0xc6120003, port}, "idle"));
    }
    const std::vector<wire::EdgeChanges> parts = toWire(changes);
    REQUIRE(parts.size() == 2);
    changes.config.revision = after(20);
    const std::vector<wire::EdgeChanges> laterParts = toWire(changes);
    ChangesAssembler assembler;
    CHECK_FALSE(addPart(assembler, testSender, parts[0]));
    CHECK_FALSE(addPart(assembler, testSender, laterParts[1]));
    const std::optional<StoreChanges> whole = addPart(assembler, testSender, parts[1]);
    REQUIRE(whole);
    CHECK(whole->config.revision == before(20));
    CHECK(whole->known == KnownRevisions{before(20), before(20), {}});
}
