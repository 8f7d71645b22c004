#include <map>

#include <pimentofold/answer.h>
#include <pimentofold/callerpacket.h>
#include <pimentofold/flowroute.h>
#include <pimentofold/random.h>
#include <pimentofold/replayfilter.h>
#include <pimentofold/targetlink.h>

#include <doctest/doctest.h>

#include <libpimentofold/testmutation.h>
#include <libpimentofold/testviews.h>

#include "peer_types.h"

using namespace pimentofold;
using namespace pimentofold::testviews;

namespace {

constexpr std::uint64_t seed = 20'260'101;
constexpr int callerPackets = 1'000'000;
constexpr int otherMessages = 200'000;
constexpr WallTime now = 500'000;

wire::CallerPacket validPacket(Random &random, const View &view, std::size_t service, std::int64_t flow)
{
    const ViewService &viewService = view.services[service];
    wire::CallerPacket packet;
    packet.kind = static_cast<wire::PacketKind::type>(1 + below(random, 7));
    packet.flow = flow;
    packet.request = static_cast<std::int64_t>(1 + below(random, 5));
    packet.repeatable = chance(random, 0.5);
    packet.deadlineMs = static_cast<std::int32_t>(below(random, 100'000));
    packet.offset = static_cast<std::int64_t>(below(random, 1 << 20));
    packet.limit = static_cast<std::int32_t>(below(random, maxRangeBytes));
    packet.__set_body(std::string(below(random, 40), 'b'));
    if (chance(random, 0.7)) {
        const Token token = mintToken(viewService.id, view.targets[viewService.targets[0]].id, 5, {1, 10}, {2, 20}, 1, now);
        const TokenKey &key = view.keys[service == 0 ? 1 : 2];
        const SealedToken sealed = sealToken(token, flow, key.key);
        packet.__set_token(std::string(sealed.begin(), sealed.end()));
    }
    return packet;
}

/// @return how many guarantees an accepted packet violates. The original packet is the only source of authentic tokens.
int countViolations(
    const View &view, const ViewService &service, const CheckedPacket &checked, const wire::CallerPacket &packet, const wire::CallerPacket &original)
{
    int violations = 0;
    const bool sameToken = original.__isset.token && packet.token == original.token && packet.flow == original.flow;
    violations += checked.hasToken && !sameToken ? 1 : 0;
    violations += checked.hasToken && checked.token.serviceId != service.id ? 1 : 0;
    violations += packet.__isset.token && !checked.hasToken ? 1 : 0;
    const Time deadline = deadlineOf(packet, service);
    violations += deadline <= 0 || deadline > maxDeadline ? 1 : 0;
    violations += clampedLimit(packet.limit) > maxRangeBytes ? 1 : 0;
    const auto candidate = nextCandidate(view, service, packet.flow, 0);
    violations += !candidate || view.targets[*candidate].serviceId != service.id ? 1 : 0;
    return violations;
}

} // namespace

// Guards against crashes on malicious datagrams, and against accepting a mutated packet with a token that no balancer sealed
// for the packet's flow and service.
TEST_CASE("a million mutated packets cause no crash and no forged token")
{
    Random random{seed};
    const View view = parseView(smallView());
    Codec codec;
    std::map<PacketFault, int> faults;
    int violations = 0;
    for (int i = 0; i < callerPackets; ++i) {
        const std::size_t sealedFor = below(random, 2);
        const ViewService &service = view.services[chance(random, 0.9) ? sealedFor : 1 - sealedFor];
        const wire::CallerPacket original = validPacket(random, view, sealedFor, static_cast<std::int64_t>(next(random)));
        const std::string bytes = mutate(random, std::string(codec.encode(original)));
        wire::CallerPacket packet;
        const CheckedPacket checked = checkPacket(codec, bytes, service, view.keys, now, packet);
        ++faults[checked.fault];
        if (checked.fault == PacketFault::None) {
            violations += countViolations(view, service, checked, packet, original);
        }
    }
    INFO("seed " << seed);
    CHECK(violations == 0);
    // Ensures that the mutations triggered each check often enough.
    for (const PacketFault it : {PacketFault::None, PacketFault::Malformed, PacketFault::NotForBalancer, PacketFault::BadField, PacketFault::Token}) {
        CAPTURE(name(it));
        CHECK(faults[it] > 1000);
    }
    CHECK(faults[PacketFault::Oversized] == 0);
    wire::CallerPacket packet;
    CHECK(checkPacket(codec, std::string(maxDatagramBytes + 1, 'x'), view.services[0], view.keys, now, packet).fault == PacketFault::Oversized);
}

// Guards against crashes on malicious frames and peer messages, and against calls that a mutated frame ends twice.
TEST_CASE("mutated target frames and peer messages cause no crash")
{
    Random random{seed};
    Codec codec;
    TargetLink link;
    connectLink(link, 0);
    wire::TargetFrame identity;
    identity.kind = wire::FrameKind::Identity;
    identity.__set_identity({});
    REQUIRE(onTargetFrame(link, identity, 0).result == FrameResult::Identified);
    std::size_t ended = 0;
    for (int i = 0; i < otherMessages; ++i) {
        wire::TargetFrame frame;
        frame.kind = static_cast<wire::FrameKind::type>(1 + below(random, 11));
        frame.call = startCall(link, static_cast<std::uint64_t>(i));
        frame.flow = static_cast<std::int64_t>(next(random));
        frame.__set_outcome(static_cast<wire::Outcome::type>(1 + below(random, 7)));
        try {
            wire::TargetFrame back;
            codec.decode(mutate(random, std::string(codec.encode(frame))), back);
            ended += onTargetFrame(link, back, 0).result == FrameResult::Answered ? 1 : 0;
        } catch (const DecodeError &) {
            continue;
        }
    }
    CHECK(ended > 1000);
    CHECK(link.inFlight + ended == otherMessages);

    const std::vector<MacKey> keys{deriveKey("a secret of the fleet", "peer")};
    wire::PeerMessage message;
    message.kind = wire::PeerKind::Relay;
    message.__set_packet("packet");
    const std::string sealed = signDatagram(codec.encode(message), keys);
    int altered = 0;
    for (int i = 0; i < otherMessages; ++i) {
        const std::string bytes = mutate(random, sealed);
        std::string_view payload;
        altered += bytes != sealed && verifyDatagram(bytes, keys, payload) ? 1 : 0;
        try {
            wire::PeerMessage back;
            codec.decode(mutate(random, sealed.substr(macBytes)), back);
        } catch (const DecodeError &) {
            continue;
        }
    }
    CHECK(altered == 0);
}

// Guards against accepting a captured datagram that is sent again, at once or later.
TEST_CASE("replayed and stale peer messages are refused")
{
    ReplayFilter guard;
    const HlcTime at = static_cast<HlcTime>(now) << 16;
    CHECK(checkReplay(guard, {1, 10}, at, at) == ReplayCheckResult::Fresh);
    CHECK(checkReplay(guard, {1, 10}, at, at + 5) == ReplayCheckResult::Replayed);
    CHECK(checkReplay(guard, {1, 11}, at, at) == ReplayCheckResult::Fresh);
    CHECK(checkReplay(guard, {1, 10}, at + 1, at) == ReplayCheckResult::Fresh);
    const HlcTime later = static_cast<HlcTime>(now + maxPeerMessageAgeMs + 1) << 16;
    CHECK(checkReplay(guard, {1, 10}, at + 2, later) == ReplayCheckResult::Stale);
}
