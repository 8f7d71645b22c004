#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include <pimentofold/edgecodec.h>
#include <pimentofold/random.h>
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

/// The store: routes and targets that come and go.
struct Store {
    std::int64_t revision = 1;
    std::int64_t configRevision = 1;
    std::set<std::uint16_t> routes;
    std::map<std::uint64_t, std::int64_t> targets; ///< id and revision of the entry
    std::vector<std::pair<std::int64_t, std::uint64_t>> targetEvents; ///< revision and id of each addition and removal

    EdgeConfig config() const
    {
        std::vector<EdgeRoute> list;
        for (const std::uint16_t port : routes) {
            list.push_back(makeRoute({shopAddress.ip, port}, "shop"));
        }
        return makeConfig(configRevision, list);
    }

    void toggleRoute(std::uint16_t port)
    {
        configRevision = ++revision;
        if (routes.erase(port) == 0) {
            routes.insert(port);
        }
    }

    void toggleTarget(std::uint64_t id)
    {
        ++revision;
        if (targets.erase(id) == 0) {
            targets[id] = revision;
        }
        targetEvents.emplace_back(revision, id);
    }
};

/// Reads the store as a node that follows it does, by list or by watch.
void readStore(Node &node, const Store &store, bool list)
{
    applyConfig(node.table, store.config());
    const StoreRevision known = node.replication.known.targets;
    if (list || known == 0) {
        std::set<std::uint64_t> ids;
        for (const auto &[id, revision] : store.targets) {
            applyTarget(node.table, makeTarget(id, revision), 0);
            ids.insert(id);
        }
        finishTargetList(node.table, ids, known, store.revision, 0);
    } else {
        std::map<std::uint64_t, bool> present;
        for (const auto &[revision, id] : store.targetEvents) {
            if (revision <= known.number) {
                present[id] = !present[id];
                continue;
            }
            present[id] = !present[id];
            if (present[id]) {
                applyTarget(node.table, makeTarget(id, revision), 0);
            } else {
                removeTarget(node.table, id, revision, 0);
            }
        }
    }
    node.replication.known = {store.revision, store.revision, 0};
}

/// Applies changes to a node, over the wire.
void deliver(Node &node, const StoreChanges &changes)
{
    ChangesAssembler assembler;
    std::optional<StoreChanges> received;
    for (const wire::EdgeChanges &it : toWire(changes)) {
        received = addPart(assembler, testSender, it);
    }
    REQUIRE(received);
    applyChanges(node.replication, node.table, *received, 0);
}

/// The node asks another one for the changes that it lacks.
void fetch(Node &node, const Node &from)
{
    if (isAheadOf(from.replication, node.replication.known)) {
        deliver(node, changesSince(from.table, node.replication.known, node.table.configRevision, from.replication.known, 0));
    }
}

/// @return what the node has in force, as the store holds it: ports of the routes and ids of the targets
std::pair<std::set<std::uint16_t>, std::set<std::uint64_t>> stateOf(const Node &node)
{
    std::pair<std::set<std::uint16_t>, std::set<std::uint64_t>> state;
    for (const auto &[key, entry] : node.table.routes) {
        if (!entry.removed) {
            state.first.insert(entry.route.address.port);
        }
    }
    for (const auto &[id, target] : node.table.targets) {
        if (target.registered) {
            state.second.insert(id);
        }
    }
    return state;
}

std::pair<std::set<std::uint16_t>, std::set<std::uint64_t>> stateOf(const Store &store)
{
    std::pair<std::set<std::uint16_t>, std::set<std::uint64_t>> state{store.routes, {}};
    for (const auto &[id, revision] : store.targets) {
        state.second.insert(id);
    }
    return state;
}

/// How a node gets past versions that it doesn't see.
enum class Jump {
    Delta,
    FullState,
    List,
    Watch,
};

} // namespace

// Guards against a route that stays in force for ever: a node that had been frozen skipped the version that added it and the one that
// dropped it, and told a third node, which knew the route, of no removal.
TEST_CASE("changes told by a node that skipped some: routes and targets that came and went are gone")
{
    for (const Jump jump : {Jump::Delta, Jump::FullState, Jump::List, Jump::Watch}) {
        CAPTURE(static_cast<int>(jump));
        Store store;
        store.toggleRoute(443);
        store.toggleTarget(1);
        Node leader;
        Node skips;
        Node third;
        readStore(leader, store, true);
        fetch(skips, leader);
        store.toggleRoute(1000);
        store.toggleTarget(2);
        readStore(leader, store, false);
        fetch(third, leader); // knows what the other node skips
        store.toggleRoute(1000);
        store.toggleTarget(2);
        readStore(leader, store, false);
        if (jump == Jump::Delta) {
            fetch(skips, leader);
        } else if (jump == Jump::FullState) {
            deliver(skips, changesSince(leader.table, {}, 0, leader.replication.known, 0));
        } else {
            readStore(skips, store, jump == Jump::List);
        }
        REQUIRE(stateOf(skips) == stateOf(store));
        REQUIRE(third.table.configRevision < skips.table.configRevision);
        fetch(third, skips);
        CHECK(stateOf(third) == stateOf(store));
        CHECK(third.replication.known == leader.replication.known);
    }
}

// Guards against a broadcast of differences that nodes apply to another state than the one it starts from.
TEST_CASE("differences apply only to the state from which they start")
{
    Store store;
    store.toggleRoute(443);
    store.toggleTarget(1);
    Node first;
    Node other;
    readStore(first, store, true);
    fetch(other, first);
    const KnownRevisions base = other.replication.known;
    store.toggleRoute(1000);
    store.toggleTarget(2);
    readStore(first, store, false); // the first leader, which is lost after it has told the second node
    fetch(other, first);
    store.toggleRoute(1000);
    store.toggleTarget(2);
    Node next; // the next leader lists the store, since the store has no history any more
    next.replication.known = base;
    applyConfig(next.table, makeConfig(base.config.number - 1, {makeRoute({shopAddress.ip, 443}, "shop")}));
    applyTarget(next.table, makeTarget(1, base.targets.number), 0);
    setTargetHistoryStart(next.table, base.targets);
    const StoreRevision configBase = next.table.configRevision;
    readStore(next, store, true);
    const StoreChanges broadcast = changesSince(next.table, base, configBase, next.replication.known, 0);
    CHECK(broadcast.hasTargetGap);
    deliver(other, broadcast);
    CHECK(isAheadOf(next.replication, other.replication.known));
    fetch(other, next);
    CHECK(stateOf(other) == stateOf(store));
}

// Guards against states that differ after any order of lists, watches, broadcasts and requests, of which many are lost.
TEST_CASE("changes told by nodes that skipped some: random orders")
{
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        CAPTURE(seed);
        Random random{seed};
        Store store;
        store.toggleRoute(443);
        std::vector<Node> nodes(4);
        std::vector<KnownRevisions> sentKnown(nodes.size());
        std::vector<StoreRevision> sentConfig(nodes.size());
        const auto anyNode = [&] { return below(random, nodes.size()); };
        for (int step = 0; step < 60; ++step) {
            const std::uint64_t action = below(random, 6);
            if (action == 0) {
                store.toggleRoute(static_cast<std::uint16_t>(1000 + below(random, 3)));
            } else if (action == 1) {
                store.toggleTarget(1 + below(random, 3));
            } else if (action <= 3) {
                fetch(nodes[anyNode()], nodes[anyNode()]);
            } else {
                const std::size_t n = anyNode();
                readStore(nodes[n], store, below(random, 4) == 0);
                const StoreChanges changes = changesSince(nodes[n].table, sentKnown[n], sentConfig[n], nodes[n].replication.known, 0);
                sentKnown[n] = nodes[n].replication.known;
                sentConfig[n] = nodes[n].table.configRevision;
                for (Node &it : nodes) {
                    if (&it != &nodes[n] && below(random, 2) == 0) {
                        deliver(it, changes);
                    }
                }
            }
        }
        readStore(nodes.front(), store, false);
        for (Node &it : nodes) {
            for (int attempt = 0; attempt < 2 && &it != &nodes.front(); ++attempt) {
                fetch(it, nodes.front());
            }
            REQUIRE(stateOf(it) == stateOf(store));
        }
    }
}
