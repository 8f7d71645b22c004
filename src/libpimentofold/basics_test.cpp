#include <pimentofold/codec.h>
#include <pimentofold/datagramauth.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/hlc.h>
#include <pimentofold/metrics.h>
#include <pimentofold/random.h>

#include <doctest/doctest.h>

#include "caller_types.h"

using namespace pimentofold;

// Guards against a hybrid logical clock that steps back together with wall time, or that a peer with a wrong clock can set
// far ahead.
TEST_CASE("the hybrid logical clock never steps back and limits how far a peer advances it")
{
    Hlc clock;
    const HlcTime first = tick(clock, 1000);
    CHECK(tick(clock, 900) > first);
    const HlcTime ahead = static_cast<HlcTime>(5000) << 16;
    CHECK(observe(clock, ahead, 1000) > ahead);
    const HlcTime tooFar = static_cast<HlcTime>(1000 + hlcMaxAheadMs + 1) << 16;
    CHECK(observe(clock, tooFar, 1000) < tooFar);
}

// Guards against accepting forged or altered datagrams between instances.
TEST_CASE("a peer datagram is accepted only unaltered and under a known key")
{
    const std::vector<MacKey> keys{deriveKey("new secret of the fleet", "peer"), deriveKey("old secret of the fleet", "peer")};
    const std::vector<MacKey> oldKeys{keys[1]};
    const std::vector<MacKey> otherKeys{deriveKey("old secret of the fleet", "token")};
    std::string datagram = signDatagram("hello", oldKeys);
    std::string_view payload;
    CHECK(verifyDatagram(datagram, keys, payload));
    CHECK(payload == "hello");
    CHECK_FALSE(verifyDatagram(datagram, otherKeys, payload));
    datagram.back() ^= 1;
    CHECK_FALSE(verifyDatagram(datagram, keys, payload));
    CHECK_FALSE(verifyDatagram("short", keys, payload));
}

// Guards against a decoder that accepts invalid bytes or reads past the end of the datagram.
TEST_CASE("decoding refuses truncated structs and trailing bytes")
{
    Codec codec;
    wire::CallerPacket packet;
    packet.kind = wire::PacketKind::Request;
    packet.flow = 42;
    packet.__set_body("word");
    const std::string bytes(codec.encode(packet));
    wire::CallerPacket back;
    codec.decode(bytes, back);
    CHECK(back == packet);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        wire::CallerPacket truncated;
        CHECK_THROWS_AS(codec.decode(bytes.substr(0, n), truncated), DecodeError);
    }
    wire::CallerPacket longer;
    CHECK_THROWS_AS(codec.decode(bytes + "x", longer), DecodeError);
}

// Guards against a codec that refuses all messages once it has read maxFrameBytes in total: Thrift compares the bytes that a
// buffer has read since its creation with the maximum message size.
TEST_CASE("a codec decodes any number of messages")
{
    Codec codec;
    wire::CallerPacket packet;
    packet.kind = wire::PacketKind::Request;
    packet.flow = INT64_MAX;
    packet.request = INT64_MAX;
    packet.offset = INT64_MAX;
    packet.total = INT64_MAX;
    packet.entityTag = INT64_MAX;
    packet.__set_body("body");
    const std::string bytes(codec.encode(packet));
    std::size_t failed = 0;
    for (std::size_t total = 0; total < 3 * maxFrameBytes; total += bytes.size()) {
        wire::CallerPacket back;
        try {
            codec.decode(bytes, back);
        } catch (const DecodeError &) {
            ++failed;
        }
    }
    CHECK(failed == 0);
}

TEST_CASE("a frame is extracted only when it is complete")
{
    std::string out;
    appendFrame(out, "abc");
    appendFrame(out, "");
    std::string_view bytes(out);
    std::string_view payload;
    std::string_view partial = bytes.substr(0, 5);
    CHECK_FALSE(takeFrame(partial, payload));
    REQUIRE(takeFrame(bytes, payload));
    CHECK(payload == "abc");
    REQUIRE(takeFrame(bytes, payload));
    CHECK(payload.empty());
    CHECK_FALSE(takeFrame(bytes, payload));
    std::string_view huge("\x7f\xff\xff\xff", 4);
    CHECK_THROWS_AS(takeFrame(huge, payload), DecodeError);
}

// Guards against event lines that can't be split into keys and values again.
TEST_CASE("values with spaces or quotes are quoted in event lines")
{
    CHECK(eventLine("a", 1, 2, "start", {{"text", "x \"y\"\n"}, {"n", 3}}) == "time=1 hlc=2 node=a event=start text=\"x \\\"y\\\"\\n\" n=3");
}

TEST_CASE("metrics render cumulative histogram buckets")
{
    Metrics metrics;
    count(metrics, "requests_total", 2);
    recordDuration(metrics, "wait_seconds", 0.001);
    recordDuration(metrics, "wait_seconds", 100.0);
    recordDuration(metrics, "route_wait_seconds{route=\"a\"}", 1.0);
    const std::string text = renderMetrics(metrics);
    CHECK(text.find("pimentofold_requests_total 2\n") != std::string::npos);
    CHECK(text.find("pimentofold_wait_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("pimentofold_wait_seconds_count 2\n") != std::string::npos);
    CHECK(text.find("pimentofold_route_wait_seconds_bucket{route=\"a\",le=\"+Inf\"} 1\n") != std::string::npos);
    CHECK(text.find("pimentofold_route_wait_seconds_count{route=\"a\"} 1\n") != std::string::npos);
}

TEST_CASE("random numbers can be repeated from their seed")
{
    Random a{7};
    Random b{7};
    for (int i = 0; i < 100; ++i) {
        CHECK(below(a, 10) == below(b, 10));
    }
    Random c{8};
    double sum = 0;
    for (int i = 0; i < 10000; ++i) {
        sum += exponential(c, 2.0);
    }
    CHECK(sum / 10000 == doctest::Approx(2.0).epsilon(0.1));
}
