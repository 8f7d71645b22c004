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

wire::PeerMessage announcement(const std::string &address, const std::string &dataCentre = "dc1")
{
    wire::MemberUpdate member;
    member.key.instance = 77;
    member.key.incarnation = 1;
    member.state = wire::MemberState::Alive;
    member.name = "n77";
    member.address = address;
    member.balancerAddress = address;
    member.dataCentre = dataCentre;
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
            settings, 1, log, [](const wire::EdgeMessage &, const Address &) {}, [] {});
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
