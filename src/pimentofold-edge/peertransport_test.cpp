#include <memory>
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

wire::PeerMessage announcement(const std::string &address)
{
    wire::MemberUpdate member;
    member.key.instance = 77;
    member.key.incarnation = 1;
    member.state = wire::MemberState::Alive;
    member.name = "n77";
    member.address = address;
    member.balancerAddress = address;
    member.dataCentre = "dc1";
    wire::PeerMessage message;
    message.kind = wire::PeerKind::Ping;
    message.sender.instance = 77;
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
            settings, 1, log, [](const wire::EdgeMessage &, const Address &) {}, [] {});
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

// Guards against pings that a node doesn't answer, and against answers that don't count as a sign of life.
TEST_CASE("a node answers a ping, and its messages count as signs of life")
{
    EventLog log;
    const auto start = [&](const std::string &name, std::uint16_t port) {
        EdgeSettings settings;
        settings.node = name;
        settings.dataCentre = "dc-" + name;
        settings.peerAddress = {0x7f000001, port};
        settings.seeds = {{0x7f000001, 22'140}};
        return std::make_unique<PeerTransport>(
            settings, port, log, [](const wire::EdgeMessage &, const Address &) {}, [] {});
    };
    const auto node = start("n1", 22'140);
    const auto peer = start("n2", 22'141);
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
