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
