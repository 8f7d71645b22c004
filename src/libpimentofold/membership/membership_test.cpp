#include <doctest/doctest.h>

#include <algorithm>

#include <pimentofold/datagramauth.h>

#include <testsupport/membersim.h>

using namespace pimentofold;
using namespace pimentofold::testsupport;

namespace {

/// Starts a group of agents whose seeds are the first two, and waits until every member knows every other one.
void startGroup(MemberSim &sim, std::uint64_t seed, int size)
{
    setUp(sim, seed);
    for (int n = 0; n < size; ++n) {
        addAgent(sim, {0, 1});
    }
    REQUIRE(runUntilAgreed(sim, 300 * second) != never);
}

} // namespace

// Guards against member lists that still differ some time after one of the faults listed in the design document.
TEST_CASE("members agree again after each fault")
{
    struct Row {
        std::string name;
        int size;
        double loss;
        void (*fault)(MemberSim &);
        Time limit; ///< maximum virtual time until all member lists agree
    };
    const Row rows[] = {
        {"crash of one", 15, 0, [](MemberSim &sim) { crashAgent(sim, 7); }, 15 * second},
        {"crash of one with loss", 15, 0.1, [](MemberSim &sim) { crashAgent(sim, 7); }, 40 * second},
        {"planned stop", 15, 0, [](MemberSim &sim) { leaveAgent(sim, 7); }, 4 * second},
        {"crash of a seed", 15, 0, [](MemberSim &sim) { crashAgent(sim, 0); }, 15 * second},
        {"crash of a rack of 16",
         60,
         0,
         [](MemberSim &sim) {
             for (int n = 20; n < 36; ++n) {
                 crashAgent(sim, n);
             }
         },
         30 * second},
        {"crash of all but one",
         6,
         0,
         [](MemberSim &sim) {
             for (int n = 1; n < 6; ++n) {
                 crashAgent(sim, n);
             }
         },
         60 * second},
        {"restart before detection",
         15,
         0,
         [](MemberSim &sim) {
             crashAgent(sim, 7);
             schedule(sim.queue, sim.queue.now + second, [&sim] { startAgent(sim, 7, {0, 1}); });
         },
         30 * second},
        {"replacement of half at once",
         40,
         0,
         [](MemberSim &sim) {
             for (int n = 20; n < 40; ++n) {
                 leaveAgent(sim, n);
                 addAgent(sim, {0, 1, 2, 3});
             }
         },
         60 * second},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        MemberSim sim;
        startGroup(sim, 11, row.size);
        sim.net.loss = row.loss;
        row.fault(sim);
        runUntil(sim.queue, sim.queue.now + 1500 * millisecond);
        CHECK(runUntilAgreed(sim, sim.queue.now + row.limit) != never);
        CHECK(sim.falseDeaths == 0);
        CHECK(sim.largestMessage <= static_cast<std::int64_t>(maxDatagramBytes));
    }
}

// Guards against a member whose process was paused and that then stays recorded as dead by the others, or declares
// the others dead because of the time that has passed.
TEST_CASE("a paused member rejoins with a higher state version")
{
    MemberSim sim;
    startGroup(sim, 3, 15);
    pauseAgent(sim, 5, 20 * second);
    runUntil(sim.queue, sim.queue.now + 15 * second);
    CHECK(unawareOf(sim, 5) == 1);
    runUntil(sim.queue, sim.queue.now + 6 * second);
    sim.falseDeaths = 0;
    CHECK(runUntilAgreed(sim, sim.queue.now + 30 * second) != never);
    CHECK(sim.falseDeaths == 0);
    CHECK(sim.agents[5].membership.self.stateVersion > 0);
}

// Guards against the two sides of a partition that don't find each other again afterwards, or whose outdated death
// reports about each other cause further deaths while the partition heals.
TEST_CASE("a partition heals without further deaths")
{
    for (const int size : {4, 30}) {
        MemberSim sim;
        startGroup(sim, 5, size);
        for (int n = 0; n < size / 2; ++n) {
            sim.net.groups[n] = 1;
        }
        runUntil(sim.queue, sim.queue.now + 5 * minute);
        CHECK(liveCount(sim.agents[0].membership) == static_cast<std::size_t>(size / 2));
        sim.net.groups.clear();
        const std::int64_t before = sim.falseDeaths;
        CHECK(runUntilAgreed(sim, sim.queue.now + 2 * minute) != never);
        CHECK(sim.falseDeaths == before);
    }
}

// Guards against an isolated member that declares all other members dead because no probe is acknowledged, and
// disseminates these deaths when it is connected again.
TEST_CASE("a member that was isolated for ten seconds declares no live member dead")
{
    MemberSim sim;
    startGroup(sim, 6, 30);
    sim.net.groups[4] = 1;
    runUntil(sim.queue, sim.queue.now + 10 * second);
    sim.net.groups.clear();
    sim.falseDeaths = 0;
    CHECK(runUntilAgreed(sim, sim.queue.now + minute) != never);
    CHECK(sim.falseDeaths == 0);
}

// Guards against live members that are declared dead because of packet loss alone.
TEST_CASE("packet loss causes suspicions but no deaths")
{
    MemberSim sim;
    startGroup(sim, 7, 30);
    sim.net.loss = 0.1;
    runUntil(sim.queue, sim.queue.now + 5 * minute);
    CHECK(sim.falseDeaths == 0);
    CHECK(agreed(sim));
}

// Guards against a dead instance that seems alive because another instance at its address acknowledges the pings.
TEST_CASE("a ping for another instance is not answered")
{
    MemberSim sim;
    startGroup(sim, 8, 3);
    wire::PeerMessage ping;
    ping.kind = wire::PeerKind::Ping;
    ping.sender.instance = 99;
    ping.recipient.instance = 98;
    ping.__isset.recipient = true;
    MembershipOutput out;
    handleMembership(sim.agents[0].membership, ping, "10.9.9.9:1", sim.queue.now, out);
    CHECK(out.messages.empty());
}

// Guards against a rendezvous ranking in which a member that joins or leaves changes the relative order of the others.
TEST_CASE("the relative order of the other members doesn't change with a join or a leave")
{
    std::vector<InstanceKey> members;
    members.reserve(20);
    for (int n = 0; n < 20; ++n) {
        members.push_back({idOf("e" + std::to_string(n)), n});
    }
    const std::vector<InstanceKey> before = rankInstances(members, "watcher", 20);
    CHECK(rankInstances(members, "delegate", 20) != before);
    CHECK(rankInstances(members, "watcher", 2) == std::vector<InstanceKey>(before.begin(), before.begin() + 2));
    std::reverse(members.begin(), members.end());
    CHECK(rankInstances(members, "watcher", 20) == before);
    std::erase(members, before[3]);
    std::vector<InstanceKey> expected = before;
    expected.erase(expected.begin() + 3);
    CHECK(rankInstances(members, "watcher", 20) == expected);
}

// Guards against pings for other purposes that change the recorded state of a member, and against those that get no answer.
TEST_CASE("a ping outside of the probes is acknowledged and changes no member")
{
    MembershipState states[2];
    for (int n = 0; n < 2; ++n) {
        Member self;
        self.key = {n + 1, 1};
        self.address = "10.0.0." + std::to_string(n + 1) + ":1";
        startMembership(states[n], self, {}, 1, 0);
    }
    Member dead = states[1].self;
    dead.state = wire::MemberState::Dead;
    states[0].members[2] = dead;
    MembershipOutput ping;
    pingMember(states[0], 99, ping);
    pingMember(states[0], 1, ping);
    CHECK(ping.messages.empty());
    pingMember(states[0], 2, ping);
    REQUIRE(ping.messages.size() == 1);
    CHECK(ping.changes.empty());
    MembershipOutput ack;
    handleMembership(states[1], ping.messages.front().message, states[0].self.address, second, ack);
    REQUIRE(ack.messages.size() == 1);
    CHECK(ack.messages.front().message.kind == wire::PeerKind::Ack);
    CHECK(states[0].members.at(2).state == wire::MemberState::Dead);
}

// Guards against recording members under the data centre of the receiver when they are in that of the sender.
TEST_CASE("members of other data centres are recorded with their data centre")
{
    MembershipState states[3];
    const std::string dataCentres[] = {"dc1", "dc2", "dc2"};
    for (int n = 0; n < 3; ++n) {
        Member self;
        self.name = "n" + std::to_string(n);
        self.key = {idOf(self.name), 1};
        self.address = "10.0.0." + std::to_string(n + 1) + ":1";
        self.balancerAddress = self.address;
        self.dataCentre = dataCentres[n];
        states[n].options.severalDataCentres = true;
        startMembership(states[n], self, n == 0 ? std::vector<std::string>() : std::vector<std::string>{"10.0.0.1:1"}, 1 + static_cast<std::uint64_t>(n), 0);
    }
    for (Time now = 0; now < 20 * second; now += 100 * millisecond) {
        for (MembershipState &sender : states) {
            MembershipOutput out;
            tickMembership(sender, now, out);
            for (std::size_t n = 0; n < out.messages.size() && n < 1'000; ++n) {
                const MemberMessage message = out.messages[n];
                const auto to = std::ranges::find_if(states, [&](const MembershipState &it) { return it.self.address == message.address; });
                const auto from =
                    std::ranges::find_if(states, [&](const MembershipState &it) { return it.self.key.instance == message.message.sender.instance; });
                REQUIRE(to != std::end(states));
                REQUIRE(from != std::end(states));
                handleMembership(*to, message.message, from->self.address, now, out);
            }
        }
    }
    for (const MembershipState &it : states) {
        REQUIRE(it.members.size() == 3);
        for (int n = 0; n < 3; ++n) {
            CHECK(it.members.at(states[n].self.key.instance).dataCentre == dataCentres[n]);
        }
    }
}
