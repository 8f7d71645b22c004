#include <pimentofold/configreplication/configreplication.h>

#include <deque>

#include <doctest/doctest.h>

#include <pimentofold/codec.h>
#include <pimentofold/datagramauth.h>

using namespace pimentofold;

namespace {

ConfigObjectPointer makeObject(const std::string &name, std::int64_t version, const std::string &value = "{}")
{
    return std::make_shared<const ConfigObject>(ConfigObject{{"template", name}, version, false, value, "change"});
}

/// Agents of one data centre. Each datagram is delivered immediately or lost.
struct Group {
    std::map<std::string, ConfigReplication> agents;
    Codec codec;
    Random random{7};
    double loss = 0;
    std::size_t largestDatagram = 0;

    explicit Group(const std::vector<std::string> &addresses)
    {
        auto local = std::make_shared<std::vector<ReplicationPeer>>();
        for (const std::string &it : addresses) {
            local->push_back({{idOf(it), 1}, it});
        }
        for (const std::string &it : addresses) {
            ConfigReplication &replication = agents[it];
            replication.self = {idOf(it), 1};
            replication.address = it;
            replication.team = "team";
            replication.dataCentre = "dc1";
            startConfigReplication(replication, idOf(it), 0);
            setReplicationPeers(replication, {false, false, local, {}});
        }
    }

    void deliver(const std::string &from, ConfigReplicationOutput first, Time now)
    {
        std::deque<std::pair<std::string, MemberMessage>> queue;
        const auto enqueue = [&](const std::string &sender, ConfigReplicationOutput &out) {
            for (MemberMessage &it : out.messages) {
                queue.emplace_back(sender, std::move(it));
            }
        };
        enqueue(from, first);
        while (!queue.empty()) {
            const auto [sender, message] = std::move(queue.front());
            queue.pop_front();
            largestDatagram = std::max(largestDatagram, codec.encode(message.message).size() + macBytes);
            if (chance(random, loss)) {
                continue;
            }
            ConfigReplicationOutput out;
            handleConfigMessage(agents.at(message.address), message.message, sender, now, out);
            enqueue(message.address, out);
        }
    }

    void run(Time from, Time to)
    {
        for (Time now = from; now < to; now += 100 * millisecond) {
            for (auto &[address, replication] : agents) {
                ConfigReplicationOutput out;
                tickConfigReplication(replication, now, out);
                deliver(address, std::move(out), now);
            }
        }
    }
};

} // namespace

// Guards against large objects, up to 1 MB, whose transfer never completes when datagrams are lost, and against ranges
// that exceed the maximum size of a datagram.
TEST_CASE("a large object reaches the other agents in ranges")
{
    for (const double loss : {0.0, 0.05}) {
        Group group({"a", "b", "c"});
        group.loss = loss;
        std::string value(maxStoredValueBytes, 'x');
        for (std::size_t i = 0; i < value.size(); i += 7) {
            value[i] = static_cast<char>('a' + i % 23);
        }
        ConfigReplicationOutput out;
        publishObject(group.agents.at("a"), makeObject("large", 3, value), 0, out);
        group.deliver("a", std::move(out), 0);
        group.run(0, 20 * second);
        for (const auto &[address, replication] : group.agents) {
            const ConfigObjectPointer held = findObject(replication.store, {"template", "large"});
            REQUIRE(held);
            CHECK(held->value == value);
        }
        CHECK(group.largestDatagram <= maxDatagramBytes);
    }
}

// Guards against a new agent that doesn't receive all objects from its peers, and against heads that are lost at the
// boundary of two datagrams when the list of heads of a bucket is split.
TEST_CASE("a new agent receives all objects by exchanging digests")
{
    Group group({"a", "b"});
    ConfigReplication &full = group.agents.at("a");
    constexpr int count = 5000;
    for (int i = 0; i < count; ++i) {
        applyObject(full.store, makeObject("object-with-a-long-name-" + std::to_string(i), 1 + i % 3));
    }
    full.watch.revision = 9;
    for (int i = 0; i < count; i += 2) {
        applyObject(group.agents.at("b").store, makeObject("object-with-a-long-name-" + std::to_string(i), 1 + i % 3));
    }
    group.run(0, 30 * second);
    const ConfigReplication &empty = group.agents.at("b");
    CHECK(empty.store.objects.size() == count);
    CHECK(empty.store.rootDigest == full.store.rootDigest);
    CHECK(empty.initialSyncDone);
    CHECK(empty.watch.revision == 9);
    CHECK(group.largestDatagram <= maxDatagramBytes);
}

// Guards against an older version replacing a newer one. After a restart of the agent, its store is empty, but the
// version that its balancer has in force must not be superseded by an older one either.
TEST_CASE("the store accepts newer versions only")
{
    struct Step {
        std::int64_t version;
        ApplyResult result;
    };
    ConfigStore store;
    raiseMinVersion(store, {"template", "t"}, 3);
    CHECK_FALSE(meetsMinVersions(store, false));
    raiseMinVersion(store, {"entries", "team.dc1"}, 3);
    for (const Step &it : std::vector<Step>{{2, ApplyResult::Older},
                                            {3, ApplyResult::Applied},
                                            {3, ApplyResult::AlreadyHeld},
                                            {2, ApplyResult::Older},
                                            {5, ApplyResult::Applied},
                                            {4, ApplyResult::Older}}) {
        CHECK(applyObject(store, makeObject("t", it.version)) == it.result);
    }
    CHECK(meetsMinVersions(store, false));
    CHECK_FALSE(meetsMinVersions(store, true));
    CHECK(versionOf(store, {"template", "t"}) == 5);
    CHECK(applyObject(store, makeObject("", 1)) == ApplyResult::Refused);
    CHECK(applyObject(store, makeObject("u", 1, std::string(maxStoredValueBytes + 1, ' '))) == ApplyResult::Refused);
    CHECK(store.objects.size() == 1);
}

// Guards against overloading the platform by synchronised or unlimited retries and by polls without a minimum interval,
// and against accepting a response whose revision is older than a known one.
TEST_CASE("polls back off with full jitter and reject old revisions")
{
    Random random{3};
    struct Bound {
        int failures;
        Time longest;
    };
    for (const Bound &it : std::vector<Bound>{{1, 200 * millisecond}, {2, 400 * millisecond}, {5, 3200 * millisecond}, {7, maxBackOff}, {1000, maxBackOff}}) {
        Time shortest = never;
        Time longest = 0;
        for (int i = 0; i < 2000; ++i) {
            const Time delay = backOffDelay(it.failures, random);
            shortest = std::min(shortest, delay);
            longest = std::max(longest, delay);
        }
        CHECK(longest <= it.longest);
        CHECK(longest > it.longest * 9 / 10);
        CHECK(shortest < it.longest / 10);
    }
    PlatformWatch watch;
    startPoll(watch, 0);
    CHECK_FALSE(isPollDue(watch, minute));
    CHECK(finishPoll(watch, {true, 10, {}}, millisecond, random));
    CHECK(watch.nextAt == minWatchInterval);
    startPoll(watch, second);
    CHECK_FALSE(finishPoll(watch, {true, 9, {}}, second, random));
    CHECK(watch.revision == 10);
    CHECK(watch.staleResponses == 1);
}

// Guards against polls of the platform by agents that aren't watchers, and by a new watcher that could still be
// synchronised by a peer.
TEST_CASE("only watchers poll, after a time for the initial synchronisation from peers")
{
    Group group({"a", "b"});
    ConfigReplication &replication = group.agents.at("a");
    ConfigReplicationOutput out;
    tickConfigReplication(replication, minute, out);
    CHECK_FALSE(out.watch);
    replication.peers.watcher = true;
    tickConfigReplication(replication, second, out);
    CHECK_FALSE(out.watch);
    tickConfigReplication(replication, replication.options.initialSyncTimeout + second, out);
    REQUIRE(out.watch);
    CHECK(out.watch->since == 0);
}
