#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <pimentofold/types.h>
#include <pimentofold/verdict.h>

#include "target_types.h"

/// State of one connection to a target: the identity check, the calls in flight, the target's status and the detection of
/// silent targets. The functions do no I/O: the balancer owns the socket, sends the frames and passes received ones.
namespace pimentofold {

/// A connection on which no frame was received for this time gets no new work until the target sends a Status again.
constexpr Time linkSilenceTimeout = 1500 * millisecond;
/// A Subscribe is sent on a connection that was idle for this time, so that an idle target isn't mistaken for a silent one.
constexpr Time subscribeIdleTime = 700 * millisecond;
/// Time between unanswered Subscribe frames.
constexpr Time subscribeInterval = 500 * millisecond;
/// Time for a target to answer Identify; the connection is closed afterwards.
constexpr Time identifyTimeout = 2 * second;

enum class LinkState {
    Disconnected,
    Identifying, ///< Identify was sent; no other frame may be sent
    Ready, ///< the target has the expected identity
};

/// An entry for a call in flight. The call number that the target echoes combines the index of the entry with a sequence
/// number, so that a late answer to an earlier call on the same entry doesn't match.
struct LinkCall {
    std::int64_t number = 0; ///< 0: the entry is free
    std::uint64_t context = 0; ///< chosen by the caller of startCall()
    std::uint32_t nextFree = 0; ///< index of the next free entry plus 1; 0: none
};

/// State of the connection to one target.
struct TargetLink {
    Id targetId = 0;
    Id serviceId = 0;
    std::string teamName;
    std::string serviceName;
    std::string instance;

    LinkState state = LinkState::Disconnected;
    std::int64_t incarnation = 0; ///< of the target; valid when Ready
    bool draining = false; ///< the target reported on this connection that it is draining
    wire::TargetStatus status; ///< last status that the target sent
    Time statusAt = 0; ///< when `status` was received
    Time lastFrameAt = 0; ///< when the last frame from the target was received
    Time connectedAt = 0;
    Time subscribedAt = 0; ///< when the last Subscribe was sent
    bool subscribePending = false; ///< a Subscribe is unanswered
    bool wasSilent = false; ///< the target was silent for linkSilenceTimeout and hasn't sent a Status since

    std::vector<LinkCall> calls;
    std::uint32_t firstFree = 0; ///< index of the first free entry of `calls` plus 1; 0: none
    std::int64_t callSequence = 0; ///< sequence number of the last call
    std::size_t inFlight = 0;
};

/// Result of a received frame.
enum class FrameResult {
    Ignored,
    Identified, ///< the connection is ready
    WrongIdentity, ///< the connection must be closed; only Identify was sent on it
    Answered, ///< the answer to a call in flight
    StatusChanged,
    Unmatched, ///< an answer that matches no call in flight, to be counted
    Malformed, ///< the connection must be closed
};

struct FrameOutcome {
    FrameResult result = FrameResult::Ignored;
    std::uint64_t context = 0; ///< context of the answered call, when Answered
};

/// Starts the identity check on a new connection.
/// @return the Identify frame; no other frame may be sent until onTargetFrame() returns Identified
wire::TargetFrame connectLink(TargetLink &link, Time now);

/// Handles a frame that was received from the target. An answer ends its call.
FrameOutcome onTargetFrame(TargetLink &link, const wire::TargetFrame &frame, Time now);

/// Starts a call.
/// @param context returned with the answer by onTargetFrame()
/// @return the call number for the frame
/// @throws std::logic_error when the link isn't Ready, since no frame may be sent then
/// @throws std::length_error when the maximum number of calls is in flight
std::int64_t startCall(TargetLink &link, std::uint64_t context);

/// Ends a call whose answer is no longer needed; a later answer is Unmatched.
void abandonCall(TargetLink &link, std::int64_t number);

/// Resets the link after the connection was closed or lost.
/// @return the contexts of all calls that were in flight; these calls may have run
std::vector<std::uint64_t> disconnectLink(TargetLink &link);

/// Checks whether a Subscribe is due and, if so, records it as sent.
/// @return whether the caller must send a Subscribe now
bool subscribeIfDue(TargetLink &link, Time now);

/// @return whether the target has not answered Identify within identifyTimeout
bool isIdentifyOverdue(const TargetLink &link, Time now);

/// @return whether new flows, and requests that aren't bound to a target by their flow, may go to the target
bool acceptsNewWork(const TargetLink &link, Time now);

/// Verdict and reason that the caller gets for the outcome of a call on a target.
struct CallVerdict {
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
};

/// @return verdict and reason for the outcome in an answer; MayHaveRun for an unknown outcome
CallVerdict callVerdict(wire::Outcome::type outcome);

} // namespace pimentofold
