#include <pimentofold/flowactivity.h>

namespace pimentofold {

namespace {

/// Compares sequence numbers, which wrap around.
bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

ActivityChange observePacket(FlowActivity &activity, const FlowPacket &packet)
{
    const std::uint32_t end = packet.sequence + packet.payloadBytes;
    const bool hasNewData = packet.payloadBytes > 0 && (!activity.requestSeen || isAfter(end, activity.requestEnd));
    if (hasNewData) {
        const bool starts = !activity.working;
        if (starts || isAfter(packet.acknowledgement, activity.answerStart)) {
            activity.answerStart = packet.acknowledgement;
        }
        activity.requestSeen = true;
        activity.requestEnd = end;
        activity.working = true;
        return starts ? ActivityChange::RequestStarted : ActivityChange::None;
    }
    if (!activity.requestSeen && packet.payloadBytes == 0) {
        activity.requestSeen = true;
        activity.requestEnd = packet.sequence;
        activity.answerStart = packet.acknowledgement;
        return ActivityChange::AnswerStarted;
    }
    if (activity.working && isAfter(packet.acknowledgement, activity.answerStart)) {
        activity.working = false;
        return ActivityChange::AnswerStarted;
    }
    return ActivityChange::None;
}

} // namespace pimentofold
