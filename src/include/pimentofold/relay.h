#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <pimentofold/once.h>
#include <pimentofold/types.h>

/// Relays requests that must run at most once to their home, then to their witness, then to those who may keep the
/// records of stopped balancers (section 4, step 6).
namespace pimentofold {

/// Sendings to one peer before the next one is tried.
constexpr int maxRelayAttempts = 3;
/// Time from one sending to the next.
constexpr Time relayRetryInterval = 50 * millisecond;

/// While the caller has more time left than this, a relay that nobody acknowledges ends in silence: the caller
/// retransmits, perhaps to a balancer with a newer view or on the other side of a partition. MayHaveRun is final, so
/// it is the last resort.
constexpr Time relayRetransmitMargin = second;

/// A request that this balancer can't serve itself.
struct RelayRequest {
    OnceKey key;
    BalancerPair pair;
    ReplyDestination destination;
    std::string packet;
    /// The view shows a later incarnation of the home: it is skipped. A token may also name a later incarnation than
    /// the view shows; that one is to be asked. A wrong view costs a refusal, never a second run, because the witness
    /// closes the record first.
    bool homeGone = false;
    bool witnessGone = false;
    /// Asked when neither home nor witness acknowledges; see rankSuccessors(). This balancer itself is among them only
    /// when isSuccessorFor().
    std::vector<InstanceKey> successors;
    Time deadline = 0; ///< when the caller gives up; 0: MayHaveRun is answered without patience
};

/// A relay without an acknowledgement.
struct PendingRelay {
    RelayRequest request;
    std::vector<InstanceKey> recipients; ///< still to be asked, the current one first
    int attempts = 0;
    Time retryAt = 0;
};

/// Open relays of one balancer.
struct RelayState {
    InstanceKey self;
    std::size_t limit = 8'192; ///< further requests are dropped; their callers retransmit
    std::int64_t sequence = 0;
    std::map<std::int64_t, PendingRelay> pending;
    std::int64_t acknowledged = 0;
    std::int64_t dropped = 0;
    std::int64_t unanswered = 0;
};

/// An answer to a caller whose request nobody took charge of.
struct RelayReply : OnceReply {
    std::string packet; ///< the caller's datagram, so that the program can add a fresh token
};

/// What a command asks of the program around it. Commands append.
struct RelayOutput {
    std::vector<OnceMessage> messages;
    std::vector<OnceRequest> witnessRequests; ///< the home is gone and this balancer is the witness: handleOnceRequest()
    std::vector<InstanceKey> unresponsive; ///< balancers that left a relay unacknowledged
    std::vector<RelayReply> replies; ///< MayHaveRun/PairLost: nobody acknowledged and the deadline is near
};

/// Starts a relay. The witness itself relays to the home too, before it answers for it.
void startRelay(RelayState &state, RelayRequest request, Time now, RelayOutput &out);

/// Ends a relay that the recipient has taken charge of.
/// @param message a RelayAck from an authenticated datagram
void handleRelayAck(RelayState &state, const wire::PeerMessage &message);

/// Repeats relays and moves on to the witness. To be called about every 10 ms.
void tickRelay(RelayState &state, Time now, RelayOutput &out);

/// @param relay a Relay message that this balancer serves in the role it asks for
/// @return the acknowledgement, to be sent at once
OnceMessage relayAck(const InstanceKey &self, const wire::PeerMessage &relay);

} // namespace pimentofold
