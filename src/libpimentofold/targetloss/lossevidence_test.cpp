#include <doctest/doctest.h>

#include <libpimentofold/targetloss/losstestdata.h>
#include <pimentofold/edgecodec.h>

using namespace pimentofold;
using namespace pimentofold::losstest;

// Guards against stalls that this node can't know of, or that a duplicate, a late packet or a living target explains.
TEST_CASE("target loss: stalls of one flow")
{
    struct Step {
        Time at; ///< milliseconds
        std::uint32_t sequence;
        std::uint16_t payloadBytes;
        std::uint32_t acknowledgement;
        bool stalled;
        bool progressed;
    };
    struct Row {
        std::string pattern;
        std::vector<Step> steps;
    };
    const Row rows[] = {
        {"retransmissions", {{0, 1, 180, 900, false, false}, {200, 1, 180, 900, true, false}, {600, 1, 180, 900, true, false}}},
        {"a duplicate", {{0, 1, 180, 900, false, false}, {100, 1, 180, 900, false, false}}},
        {"only the retransmission came through this node", {{200, 1, 180, 900, false, false}}},
        {"progress before the retransmission", {{0, 1, 180, 900, false, false}, {100, 181, 0, 2100, false, true}, {200, 1, 180, 900, false, false}}},
        {"a retransmission with a higher acknowledgement", {{0, 1, 180, 900, false, false}, {200, 1, 180, 2100, false, true}}},
        {"an old acknowledgement", {{0, 181, 0, 2100, false, false}, {1, 181, 0, 900, false, false}}},
        {"sequence numbers wrap around",
         {{0, 0xffffff00, 0x180, 0xfffffff0, false, false}, {200, 0xffffff00, 0x180, 0xfffffff0, true, false}, {300, 0x80, 0, 0x10, false, true}}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        FlowProgress progress;
        for (const Step &it : row.steps) {
            CAPTURE(it.at);
            const ProgressObservation seen =
                observeProgress(progress, makePacket(1, it.sequence, it.payloadBytes, it.acknowledgement), true, it.at * millisecond);
            CHECK(seen.stalled == it.stalled);
            CHECK(seen.progressed == it.progressed);
        }
    }
    // More packets than the caller's window holds: the first one was acknowledged.
    FlowProgress progress;
    for (std::uint32_t n = 0; n <= maxPacketsInFlight; ++n) {
        CHECK(observeProgress(progress, makePacket(1, 1 + n * 1200, 1200, 900), true, 0).progressed == (n == maxPacketsInFlight));
    }
}

// Guards against messages that another node reads differently, and against numbers out of range.
TEST_CASE("target loss: evidence and verdicts on the wire")
{
    TargetEvidence evidence = makeEvidence(3, 2);
    evidence.target = 0xfedcba9876543210;
    evidence.progressAge = -1;
    CHECK(fromWire(toWire(evidence)) == evidence);
    const LostTarget lost{0xfedcba9876543210, 5, "dc2"};
    CHECK(fromWire(toWire(lost)) == lost);
    wire::EdgeTargetEvidence invalid = toWire(evidence);
    invalid.stalledFlows = 1'000'000;
    invalid.stalledFor = -5;
    CHECK(fromWire(invalid).stalledFlows == static_cast<int>(maxStallsPerTarget));
    CHECK(fromWire(invalid).stalledFor == 0);
}

// Guards against accusing targets when the reporting node's own path, or the link of a caller, may be at fault.
TEST_CASE("target loss: stalls that a node may report")
{
    struct Stall {
        std::uint64_t target;
        std::uint32_t caller;
        Time since; ///< milliseconds
    };
    struct Proof {
        std::uint64_t target;
        std::uint32_t caller;
        Time forwardedAt; ///< milliseconds
    };
    struct Row {
        std::string pattern;
        std::vector<Stall> stalls;
        std::vector<Proof> proofs;
        int stalledFlows; ///< counted for target 1
    };
    const Row rows[] = {
        {"the path is proven", {{1, 1, 100}}, {{2, 2, 150}}, 1},
        {"nothing else was answered", {{1, 1, 100}}, {}, 0},
        {"only data from before the stall was answered", {{1, 1, 100}}, {{2, 2, 90}}, 0},
        {"more targets stall than answer", {{1, 1, 100}, {2, 2, 100}}, {{3, 3, 150}}, 0},
        {"as many targets stall as answer", {{1, 1, 100}, {2, 2, 100}}, {{3, 3, 150}, {4, 4, 150}}, 1},
        {"a stall from before the path broke doesn't count against it", {{1, 1, 100}, {2, 2, 50}}, {{3, 3, 150}}, 1},
        {"two callers", {{1, 1, 100}, {1, 2, 110}}, {{2, 3, 150}}, 2},
        {"two flows of one caller", {{1, 1, 100}, {1, 1, 110}}, {{2, 3, 150}}, 1},
        {"a caller that stalls on two targets", {{1, 1, 100}, {2, 1, 100}}, {{3, 3, 150}, {4, 4, 150}}, 0},
        {"a caller that stalls on two targets and gets answers from others", {{1, 1, 100}, {2, 1, 100}}, {{3, 1, 150}, {4, 4, 150}}, 1},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        LossEvidence evidence;
        for (const Proof &it : row.proofs) {
            recordProgress(evidence, it.target, it.caller, it.forwardedAt * millisecond, 180 * millisecond);
        }
        std::uint16_t port = 0;
        for (const Stall &it : row.stalls) {
            const FlowKey flow{{it.caller, ++port}, testdata::shopAddress};
            recordStall(evidence, it.target, {flow, it.since * millisecond, 300 * millisecond, 200 * millisecond, 1});
        }
        CHECK(countableStalls(evidence, 1, 310 * millisecond).stalledFlows == row.stalledFlows);
    }
}
