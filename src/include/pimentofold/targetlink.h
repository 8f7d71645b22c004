#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <pimentofold/types.h>
#include <pimentofold/verdict.h>

#include "target_types.h"

/// One connection to a target: the identity check, calls in flight, drain and silence. Pure state; the daemon
/// owns the socket.
namespace pimentofold {

/// A connection that has been silent for this long gets no new flow until the target answers a Subscribe.
constexpr Time linkSilenceTimeout = 1500 * millisecond;
/// A quiet connection is asked with a Subscribe after this time, so that an idle target isn't taken for a
/// silent one.
constexpr Time subscribeIdleTime = 700 * millisecond;
/// Time between unanswered Subscribe frames.
constexpr Time subscribeInterval = 500 * millisecond;
/// Time for a target to answer Identify; then the connection is given up.
constexpr Time identifyTimeout = 2 * second;

enum class LinkState {
    Disconnected,
    Identifying, ///< Identify was sent; nothing else may be
    Ready,
};

/// A call in flight. The number that the target echoes is position plus a count of callSequence, so that a late
/// answer to an earlier call doesn't match.
struct LinkCall {
    std::int64_t number = 0; ///< 0: free
    std::uint64_t context = 0; ///< chosen by the owner
    std::uint32_t nextFree = 0;
};

/// State of the connection to one target.
struct TargetLink {
    Id targetId = 0;
    Id serviceId = 0;
    std::string teamName;
    std::string serviceName;
    std::string instance;

    LinkState state = LinkState::Disconnected;
    std::int64_t incarnation = 0; ///< of the target; known when Ready
    bool draining = false; ///< the target said so on this connection
    wire::TargetStatus status; ///< last one that was pushed
    Time statusAt = 0;
    Time lastFrameAt = 0; ///< last frame from the target
    Time connectedAt = 0;
    Time subscribedAt = 0;
    bool subscribePending = false; ///< a Subscribe is unanswered
    bool wasSilent = false; ///< was silent for linkSilenceTimeout and hasn't sent a Status since

    std::vector<LinkCall> calls;
    std::uint32_t firstFree = 0;
    std::int64_t callSequence = 0;
    std::size_t inFlight = 0;
};

/// What a received frame means.
enum class FrameResult {
    Ignored,
    Identified, ///< the connection is ready
    WrongIdentity, ///< close the connection; nothing else was sent on it
    Answered, ///< an answer to a call in flight
    StatusChanged,
    Unmatched, ///< an answer to no call in flight; count it
    Malformed, ///< close the connection
};

struct FrameOutcome {
    FrameResult result = FrameResult::Ignored;
    std::uint64_t context = 0; ///< of the call, when Answered
};

/// Starts the identity check on a new connection.
/// @return the Identify frame, the only one that may be sent until onTargetFrame() gives Identified
wire::TargetFrame connectLink(TargetLink &link, Time now);

/// Handles a frame from the target. An answered call ends.
FrameOutcome onTargetFrame(TargetLink &link, const wire::TargetFrame &frame, Time now);

/// Starts a call.
/// @param context given back with the answer
/// @return the call number for the frame
/// @throws std::logic_error when the link isn't Ready, since no frame may be sent then
std::int64_t startCall(TargetLink &link, std::uint64_t context);

/// Ends a call whose answer is no longer wanted; a later answer is Unmatched.
void abandonCall(TargetLink &link, std::int64_t number);

/// Ends the connection.
/// @return the contexts of all calls that were in flight; they may have run
std::vector<std::uint64_t> disconnectLink(TargetLink &link);

/// @return whether to send a Subscribe now; counts it as sent
bool subscribeIfDue(TargetLink &link, Time now);

/// @return whether the identity check has taken too long
bool isIdentifyOverdue(const TargetLink &link, Time now);

/// @return whether new flows and new unbound requests may go to the target
bool acceptsNewWork(const TargetLink &link, Time now);

/// What a target's outcome tells the caller.
struct CallVerdict {
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
};

/// @return verdict and reason for the outcome of an answered call
CallVerdict callVerdict(wire::Outcome::type outcome);

} // namespace pimentofold
