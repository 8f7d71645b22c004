#include <algorithm>
#include <memory>
#include <unordered_map>
#include <vector>

#include <doctest/doctest.h>

#include <libnet/loop.h>
#include <libnet/udpsocket.h>
#include <pimentofold-edge/peertransport.h>
#include <pimentofold/codec.h>
#include <testsupport/rununtil.h>

#include "peer_types.h"

using namespace pimentofold;
using testsupport::runUntil;

namespace {

wire::PeerMessage announcement(const std::string &address, const std::string &dataCentre = "dc1", std::int64_t instance = 77)
{
    wire::MemberUpdate member;
    member.key.instance = instance;
    member.key.incarnation = 1;
    member.state = wire::MemberState::Alive;
    member.name = "n" + std::to_string(instance);
    member.address = address;
    member.balancerAddress = address;
    member.dataCentre = dataCentre;
    wire::PeerMessage message;
    message.kind = wire::PeerKind::Ping;
    message.sender.instance = instance;
    message.sender.incarnation = 1;
    message.__set_members({member});
    return message;
}

} // namespace

// Guards against a process that ends because a peer's message names a member with an unusable address: the address was
// parsed only when the member was to be probed.
TEST_CASE("a member with an unusable address doesn't end the process")
{
    const std::string rows[] = {"nowhere", "", ":", "10.0.0.1", "10.0.0.1:99999", "300.0.0.1:1", std::string(500, 'x')};
    std::uint16_t port = 22'100;
    for (const std::string &row : rows) {
        CAPTURE(row);
        EdgeSettings settings;
        settings.node = "n1";
        settings.dataCentre = "dc1";
        settings.peerAddress = {0x7f000001, ++port};
        EventLog log;
        PeerTransport transport(
            settings, false, 1, log, [](const wire::EdgeMessage &, const Address &) {}, [] {});
        int answers = 0;
        UdpSocket peer({0x7f000001, 0}, [&](std::string_view, const Address &) { ++answers; });
        Codec codec;
        peer.send(std::string("M").append(codec.encode(announcement(row))), settings.peerAddress);
        const Time start = monotonicNow();
        Timer tick([&] { transport.tick(monotonicNow()); });
        tick.start(0, 50 * millisecond);
        runUntil([&] { return answers > 0; });
        // The node goes on to probe its members and to answer.
        const int before = answers;
        runUntil([&] { return monotonicNow() - start > 1200 * millisecond; });
        peer.send(std::string("M").append(codec.encode(announcement("127.0.0.1:" + std::to_string(peer.localAddress().port)))), settings.peerAddress);
        runUntil([&] { return answers > before; });
    }
}

// Guards against bytes between data centres that aren't counted, or are counted as sent within one.
TEST_CASE("sent bytes are counted by the data centre of the receiver")
{
    struct Row {
        std::string dataCentre;
        bool same;
    };
    const Row rows[] = {{"dc1", true}, {"dc2", false}};
    std::uint16_t port = 22'120;
    for (const Row &row : rows) {
        CAPTURE(row.dataCentre);
        EdgeSettings settings;
        settings.node = "n1";
        settings.dataCentre = "dc1";
        settings.peerAddress = {0x7f000001, ++port};
        EventLog log;
        PeerTransport transport(
            settings, false, 1, log, [](const wire::EdgeMessage &, const Address &) {}, [] {});
        std::size_t received = 0;
        UdpSocket peer({0x7f000001, 0}, [&](std::string_view bytes, const Address &) { received += bytes.front() == 'E' ? bytes.size() : 0; });
        Codec codec;
        const std::string text(codec.encode(announcement("127.0.0.1:" + std::to_string(peer.localAddress().port), row.dataCentre)));
        peer.send(std::string("M").append(text), settings.peerAddress);
        runUntil([&] { return transport.members().size() == 2; });
        wire::EdgeMessage message;
        message.kind = wire::EdgeKind::Place;
        message.sender = 1;
        REQUIRE(transport.send(message, 77));
        runUntil([&] { return received > 0; });
        const ScopedBytes &counted = transport.traffic().byPurpose.at(static_cast<std::size_t>(TrafficPurpose::Placement));
        CHECK((row.same ? counted.sameDataCentre : counted.otherDataCentre) == static_cast<std::int64_t>(received));
        CHECK((row.same ? counted.otherDataCentre : counted.sameDataCentre) == 0);
    }
}

// Guards against the complete state that crosses a boundary for each node that starts: a seed elsewhere passes the request on
// to a node that has run for some time in the data centre of the node that starts.
TEST_CASE("the request of a starting node is answered in its data centre")
{
    struct Row {
        std::string starting; ///< data centre of the node that starts
        std::string other; ///< data centre of the other member
        bool relayed;
    };
    const Row rows[] = {{"dc2", "dc2", true}, {"dc2", "dc3", false}, {"dc1", "dc1", false}};
    std::uint16_t port = 22'140;
    for (const Row &row : rows) {
        CAPTURE(row.starting);
        CAPTURE(row.other);
        EdgeSettings settings;
        settings.node = "n1";
        settings.dataCentre = "dc1";
        settings.peerAddress = {0x7f000001, ++port};
        EventLog log;
        PeerTransport transport(
            settings, true, 1, log, [](const wire::EdgeMessage &, const Address &) {}, [] {});
        Codec codec;
        std::vector<wire::EdgeMessage> received;
        UdpSocket starting({0x7f000001, 0}, [](std::string_view, const Address &) {});
        UdpSocket other({0x7f000001, 0}, [&](std::string_view bytes, const Address &) {
            if (bytes.front() == 'E') {
                codec.decode(bytes.substr(1), received.emplace_back());
            }
        });
        const auto announce = [&](UdpSocket &socket, const std::string &dataCentre, std::int64_t instance) {
            const std::string address = "127.0.0.1:" + std::to_string(socket.localAddress().port);
            socket.send(std::string("M").append(codec.encode(announcement(address, dataCentre, instance))), settings.peerAddress);
        };
        announce(starting, row.starting, 77);
        announce(other, row.other, 78);
        runUntil([&] { return transport.members().size() == 3; });
        wire::EdgeMessage fetch;
        fetch.kind = wire::EdgeKind::Fetch;
        fetch.sender = 77;
        const Address from{0x7f000001, starting.localAddress().port};
        REQUIRE(transport.relayToDataCentreOf(from, fetch) == row.relayed);
        if (row.relayed) {
            runUntil([&] { return !received.empty(); });
            REQUIRE(received.front().relayTo.size() == 1);
            CHECK(toString(fromWire(received.front().relayTo.front())) == toString(from));
        }
    }
}

// Guards against nodes that take all others for members of their own data centre: an entry without a data centre meant that of
// its sender, and the receiver took its own. Heartbeats and changes then crossed the boundary once for each node.
TEST_CASE("nodes know the data centres of the others, and a broadcast crosses once for each of these")
{
    const std::string places[] = {"dc1", "dc2", "dc3", "dc1", "dc2", "dc3"};
    constexpr std::uint16_t firstPort = 22'160;
    EventLog log;
    std::vector<std::unique_ptr<PeerTransport>> nodes;
    std::unordered_map<Id, std::string> expected;
    std::vector<int> received(std::size(places));
    for (const std::string &place : places) {
        EdgeSettings settings;
        settings.node = "n" + std::to_string(nodes.size());
        settings.dataCentre = place;
        settings.peerAddress = {0x7f000001, static_cast<std::uint16_t>(firstPort + nodes.size())};
        settings.seeds = {{0x7f000001, firstPort}};
        expected[idOf(settings.node)] = place;
        nodes.push_back(std::make_unique<PeerTransport>(
            settings,
            false,
            nodes.size() + 1,
            log,
            [&nodes, &received, i = nodes.size()](const wire::EdgeMessage &message, const Address &) {
                ++received[i];
                nodes[i]->relayBroadcast(message);
            },
            [] {}));
    }
    Timer tick([&] {
        for (const std::unique_ptr<PeerTransport> &it : nodes) {
            it->tick(monotonicNow());
        }
    });
    tick.start(0, 50 * millisecond);
    runUntil([&] { return std::ranges::all_of(nodes, [&](const auto &it) { return it->members().size() == expected.size(); }); });
    for (const std::unique_ptr<PeerTransport> &it : nodes) {
        CHECK(it->memberDataCentres() == expected);
    }
    wire::EdgeMessage message;
    message.kind = wire::EdgeKind::Beat;
    message.sender = idOf("n0");
    nodes[0]->broadcast(message, 0);
    runUntil([&] { return std::count(received.begin(), received.end(), 1) == 5; });
    std::int64_t same = 0;
    std::int64_t other = 0;
    for (const std::unique_ptr<PeerTransport> &it : nodes) {
        const ScopedBytes &bytes = it->traffic().byPurpose.at(static_cast<std::size_t>(TrafficPurpose::Replication));
        same += bytes.sameDataCentre;
        other += bytes.otherDataCentre;
    }
    // Five datagrams of nearly the same size, two of them to another data centre.
    CHECK(other > 0);
    CHECK(other < same);
}

// Guards against pings that a node doesn't answer, and against answers that don't count as a sign of life.
TEST_CASE("a node answers a ping, and its messages count as signs of life")
{
    EventLog log;
    const auto start = [&](const std::string &name, std::uint16_t port) {
        EdgeSettings settings;
        settings.node = name;
        settings.dataCentre = "dc-" + name;
        settings.peerAddress = {0x7f000001, port};
        settings.seeds = {{0x7f000001, 22'180}};
        return std::make_unique<PeerTransport>(
            settings, false, port, log, [](const wire::EdgeMessage &, const Address &) {}, [] {});
    };
    const auto node = start("n1", 22'180);
    const auto peer = start("n2", 22'181);
    {
        Timer tick([&] {
            node->tick(monotonicNow());
            peer->tick(monotonicNow());
        });
        tick.start(0, 50 * millisecond);
        runUntil([&] { return node->members().size() == 2 && peer->members().size() == 2; });
    }
    // Without ticks the nodes send nothing but answers. Earlier ones are awaited here.
    const Time joined = monotonicNow();
    Timer wake([] {});
    wake.start(0, 10 * millisecond);
    runUntil([&] { return monotonicNow() - joined > 300 * millisecond; });
    const Id other = idOf("n2");
    REQUIRE(node->otherNodes().contains(other));
    CHECK(node->otherNodes().at(other).dataCentre == "dc-n2");
    CHECK(node->otherNodes().at(other).live);
    std::vector<Id> heard;
    node->setHeardHandler([&](Id from) { heard.push_back(from); });
    node->ping(other);
    runUntil([&] { return !heard.empty(); });
    CHECK(heard == std::vector<Id>{other});
}
