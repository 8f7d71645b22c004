#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <pimentofold/once/once.h>
#include <pimentofold/types.h>

/// Relays requests that must run at most once to a balancer that can answer them: first to their home, then to their witness,
/// then to the balancers that may keep the records of the home or the witness after a stop (section 4 of the design, step 6).
namespace pimentofold {

/// Number of transmissions to one peer before the next peer is tried.
constexpr int maxRelayAttempts = 3;
/// Time between two transmissions to one peer.
constexpr Time relayRetryInterval = 50 * millisecond;

/// When no peer acknowledges a relay and more than this time is left until the caller's deadline, the request is dropped without
/// an answer. The caller retransmits it, and may then reach a balancer with a newer view or on the other side of a network
/// partition. With less time left the caller gets MayHaveRun, which is final.
constexpr Time relayRetransmitMargin = second;

/// A request that this balancer has to relay.
struct RelayRequest {
    OnceKey key;
    BalancerPair pair;
    ReplyDestination destination;
    std::string packet; ///< the caller's datagram
    /// True when the home is skipped, because the view has no such member or a later incarnation of it. Must be false when the
    /// token names a later incarnation than the view has. An outdated view can cause a refusal but no second run, because the
    /// witness closes the record before it answers.
    bool homeGone = false;
    bool witnessGone = false; ///< the same for the witness
    /// Balancers to try when neither the home nor the witness acknowledges; see rankSuccessors(). Contains this balancer only when
    /// isSuccessorFor() is true for the pair.
    std::vector<InstanceKey> successors;
    Time deadline = 0; ///< monotonic time at which the caller gives up; with 0 an unacknowledged relay is answered with MayHaveRun
};

/// A relay that hasn't been acknowledged yet.
struct PendingRelay {
    RelayRequest request;
    std::vector<InstanceKey> recipients; ///< peers to try in this order; the first is the current one
    int attempts = 0; ///< transmissions to the current peer
    Time retryAt = 0; ///< monotonic time of the next transmission
};

/// All pending relays of one balancer.
struct RelayState {
    InstanceKey self;
    std::size_t limit = 8'192; ///< most pending relays; further requests are dropped, and their callers retransmit
    std::int64_t sequence = 0; ///< sequence number of the last relay
    std::map<std::int64_t, PendingRelay> pending; ///< by sequence number
    std::int64_t acknowledged = 0; ///< number of relays that a peer acknowledged
    std::int64_t dropped = 0; ///< number of requests dropped because of @c limit
    std::int64_t unanswered = 0; ///< number of relays that no peer acknowledged
};

/// Reply to a caller whose request no peer acknowledged.
struct RelayReply : OnceReply {
    std::string packet; ///< the caller's datagram, so that the program can add a fresh token
};

/// Actions that the calling program has to carry out. The functions append to it.
struct RelayOutput {
    std::vector<OnceMessage> messages;
    /// Requests whose next recipient is this balancer itself, as witness or successor. The program passes them to
    /// handleOnceRequest() with OnceRole::Witness.
    std::vector<OnceRequest> witnessRequests;
    std::vector<InstanceKey> unresponsive; ///< balancers that didn't acknowledge a relay
    std::vector<RelayReply> replies; ///< MayHaveRun/PairLost: no peer acknowledged and the deadline is near
};

/// Starts a relay. The witness calls it too, because the home is to be tried before the witness answers in its place.
void startRelay(RelayState &state, RelayRequest request, Time now, RelayOutput &out);

/// Ends a relay whose current recipient has acknowledged it. A RelayAck from another balancer is ignored.
/// @param state changed
/// @param message a RelayAck from an authenticated datagram
void handleRelayAck(RelayState &state, const wire::PeerMessage &message);

/// Repeats pending relays; after maxRelayAttempts to a recipient the next one is tried. To be called about every 10 ms.
void tickRelay(RelayState &state, Time now, RelayOutput &out);

/// Makes the acknowledgement of a relay. It is to be sent as soon as the relay has arrived.
/// @param self this balancer
/// @param relay a Relay message that this balancer serves in the role that the message names
OnceMessage relayAck(const InstanceKey &self, const wire::PeerMessage &relay);

} // namespace pimentofold
