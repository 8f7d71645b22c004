#include <vector>

#include <doctest/doctest.h>

#include <pimentofold/flowactivity.h>

using namespace pimentofold;

namespace {

FlowPacket makePacket(std::uint32_t sequence, std::uint16_t payloadBytes, std::uint32_t acknowledgement)
{
    FlowPacket packet;
    packet.sequence = sequence;
    packet.payloadBytes = payloadBytes;
    packet.acknowledgement = acknowledgement;
    return packet;
}

} // namespace

// Guards against counting every open flow as a request at work: callers who keep a flow open for many requests then fill the
// targets' room, and further flows wait beside idle targets.
TEST_CASE("requests of a flow are told from the caller's packets")
{
    using enum ActivityChange;
    struct Step {
        std::uint32_t sequence;
        std::uint16_t payloadBytes;
        std::uint32_t acknowledgement;
        ActivityChange change;
    };
    struct Row {
        const char *pattern;
        std::vector<Step> steps;
    };
    const Row rows[] = {
        {"one request", {{1, 180, 900, RequestStarted}, {181, 0, 2100, AnswerStarted}, {181, 0, 2900, None}}},
        {"a kept flow", {{1, 180, 900, RequestStarted}, {181, 0, 2100, AnswerStarted}, {181, 180, 2100, RequestStarted}, {361, 0, 3300, AnswerStarted}}},
        {"the answer is acknowledged with the next request", {{1, 180, 900, RequestStarted}, {181, 180, 2100, None}, {361, 0, 3300, AnswerStarted}}},
        {"acknowledgements out of order", {{1, 180, 900, RequestStarted}, {181, 0, 2900, AnswerStarted}, {181, 0, 900, None}, {181, 0, 2100, None}}},
        {"a large body out of order", {{2401, 1200, 900, RequestStarted}, {1, 1200, 900, None}, {1201, 1200, 900, None}, {3601, 0, 1200, AnswerStarted}}},
        {"a retransmitted request", {{1, 180, 900, RequestStarted}, {1, 180, 900, None}, {181, 0, 2100, AnswerStarted}, {1, 180, 900, None}}},
        {"a flow that moves to this node after its request", {{181, 0, 2100, AnswerStarted}, {181, 180, 2900, RequestStarted}}},
        {"a flow that moves to this node in the middle of a body", {{2401, 1200, 900, RequestStarted}, {3601, 0, 1200, AnswerStarted}}},
        {"sequence numbers wrap around", {{0xffffff00, 0x180, 0xfffffff0, RequestStarted}, {0x80, 0, 0x40, AnswerStarted}, {0x80, 10, 0x40, RequestStarted}}},
        {"the answer's sequence numbers wrap around", {{1, 180, 0xfffffff0, RequestStarted}, {181, 0, 0x10, AnswerStarted}}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        FlowActivity activity;
        for (const Step &it : row.steps) {
            CAPTURE(it.sequence);
            CHECK(observePacket(activity, makePacket(it.sequence, it.payloadBytes, it.acknowledgement)) == it.change);
        }
    }
}
