#pragma once

#include <cstdint>

#include <pimentofold/flowpacket.h>

/// Tells from a caller's packets whether a flow has a request at work at its target. A caller may keep a flow open for many
/// requests with pauses between them, so an open flow isn't necessarily load. Targets answer callers directly, so the start
/// of an answer is seen only from the acknowledgement in the caller's next packet.
namespace pimentofold {

/// Requests of one flow, as far as the packets seen at this node show them.
struct FlowActivity {
    bool working = false; ///< the caller has sent a request and has acknowledged no byte of the answer yet
    bool requestSeen = false; ///< the fields below are valid
    std::uint32_t requestEnd = 0; ///< sequence number after the last byte that the caller has sent
    std::uint32_t answerStart = 0; ///< sequence number at which the answer to the last request starts
};

/// What a packet has changed.
enum class ActivityChange {
    None,
    RequestStarted, ///< the caller has started to send a request
    AnswerStarted, ///< the caller has received the start of the answer, so the target is no longer at work on the request
};

/// Updates a flow's activity by a packet after the opening one. Packets may arrive late, twice or out of order.
/// @return what has changed; AnswerStarted also for the first packet seen of a flow when it carries no data, since then no
///         request is known to be at work
ActivityChange observePacket(FlowActivity &activity, const FlowPacket &packet);

} // namespace pimentofold
