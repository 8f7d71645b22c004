#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <pimentofold/types.h>
#include <pimentofold/verdict.h>

#include "peer_types.h"
#include "target_types.h"

/// Requests that run at most once: the records of their home and their witness (section 4 of the design).
///
/// A token names a home and a witness. Only the home dispatches, and only after the witness has stored the
/// intent; the witness answers for the home after it has closed the record to it. No rule depends on clocks
/// that agree: an intent that the witness doesn't hold is never dispatched, and a holder that may have dropped a
/// record answers MayHaveRun.
namespace pimentofold {

/// The home repeats an unanswered IntentStore, and a stopping balancer a Handover, in this interval.
constexpr Time oncePeerRetryInterval = 50 * millisecond;
/// After this time without an answer of the witness the home refuses the request.
constexpr Time onceIntentTimeout = 500 * millisecond;
/// The witness waits this long for the outcome of a stored intent before it answers MayHaveRun.
constexpr Time onceOutcomeTimeout = 300 * millisecond;
/// Records are kept for this time after the end of their pair, in ms of the holder's wall time. It exceeds the
/// longest deadline (30 s), so that an open request always has its record.
constexpr WallTime onceRetentionMs = 60'000;
/// A stopping balancer gives up handing over to a peer that acknowledges nothing for this time.
constexpr Time onceHandoverTimeout = 2 * second;
/// A successor keeps the records of a stopped balancer for this time in ms: the life of a pair and onceRetentionMs.
constexpr WallTime successorRetentionMs = 180'000;
/// Members that are asked as successors of one stopped balancer. The views of two balancers may differ by a join or
/// a leave.
constexpr std::size_t maxSuccessors = 4;
/// Answers up to this size in bytes are kept with the record and sent to the witness.
constexpr std::size_t maxReplicatedAnswerBytes = 32'768;

/// The point in time of a call, on both clocks.
struct ClockReading {
    Time monotonic = 0; ///< monotonic
    WallTime wall = 0; ///< only its highest value so far counts, so that a step back reopens no pair
};

/// Identifies one request that must run at most once.
struct OnceKey {
    Id serviceId = 0;
    std::int64_t flow = 0;
    std::int64_t request = 0;
    WallTime pairExpiry = 0; ///< from the token of the request's first sending

    friend bool operator==(const OnceKey &, const OnceKey &) = default;
    friend bool operator<(const OnceKey &a, const OnceKey &b)
    {
        return std::tie(a.serviceId, a.flow, a.request, a.pairExpiry) < std::tie(b.serviceId, b.flow, b.request, b.pairExpiry);
    }
};

/// The two balancers that a token names.
struct BalancerPair {
    InstanceKey home;
    /// Instance 0 when there was no second balancer: the home then dispatches without an intent, and the loss
    /// of the home leaves MayHaveRun.
    InstanceKey witness;

    friend bool operator==(const BalancerPair &, const BalancerPair &) = default;
};

/// Part that a balancer plays for a request.
enum class OnceRole { Relay, Home, Witness };

/// @return the role of the balancer @p self under @p pair; another incarnation of the same instance only relays
OnceRole onceRole(const InstanceKey &self, const BalancerPair &pair);

/// Where and how much of the answer to send; opaque to the records.
struct ReplyDestination {
    std::string caller; ///< address of the caller
    std::int64_t offset = 0;
    std::int32_t limit = 0;
    std::int32_t attempt = 1;
};

/// A caller's request, or a further range of its answer, as it comes to the home or the witness.
struct OnceRequest {
    OnceKey key;
    BalancerPair pair;
    ReplyDestination destination;
    std::string packet; ///< the caller's datagram; handed out again with the dispatch
    Time deadline = never; ///< monotonic; a request whose intent is stored later isn't dispatched
    /// Set when admission refuses the request, should it be a new one. See isKnownRequest().
    std::optional<Reason> refusal;
};

/// What became of a request.
struct OnceOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    std::string answer;
    std::int64_t total = 0; ///< length of the whole answer in bytes
    std::int64_t entityTag = 0;

    friend bool operator==(const OnceOutcome &, const OnceOutcome &) = default;
};

/// @return true when the outcome holds all bytes of its answer; a record that kept or received only the verdict
///         doesn't, and the caller learns that its request ran without getting the answer
bool hasCompleteAnswer(const OnceOutcome &outcome);

/// @param outcome of a frame from the target; a lost connection is Verdict::MayHaveRun with Reason::TargetLost
/// @return the outcome without an answer body
OnceOutcome toOnceOutcome(wire::Outcome::type outcome);

/// A message for another balancer; sender and recipient are filled in.
struct OnceMessage {
    InstanceKey to;
    wire::PeerMessage message;
};

/// Order to send a request to its target. There is at most one for each key over all balancers.
struct OnceDispatch {
    OnceKey key;
    std::string packet;
    Time deadline = never;
};

/// Answer to a caller.
struct OnceReply {
    OnceKey key;
    ReplyDestination destination;
    std::shared_ptr<const OnceOutcome> outcome;
};

/// What a command asks of the program around it. Commands append.
struct OnceOutput {
    std::vector<OnceMessage> messages;
    std::vector<OnceDispatch> dispatches;
    std::vector<OnceReply> replies;
};

/// Bounds on memory. A full table refuses new requests as NotRun.
struct OnceLimits {
    std::size_t records = 65'536; ///< records as home, and as many as witness; about 400 bytes each
    /// Requests that were refused before an intent existed, by role; about 80 bytes each. When they don't fit,
    /// all pairs of the service that end by then are closed (see OnceState::closedUntil).
    std::size_t refusals = 65'536;
    std::size_t answerBytes = 16 << 20; ///< for all kept answers by role; the oldest are dropped first
    std::size_t largeAnswerBytes = 1 << 20; ///< largest answer that the home keeps; larger ones keep the verdict only
    std::size_t maxWaitingCallers = 4; ///< callers' addresses that wait for one record; the oldest is dropped
};

/// Progress of a record.
enum class OnceStage {
    AwaitingWitness, ///< home: waits for the witness
    Dispatched, ///< home: waits for the target
    Intent, ///< witness: the intent is stored, the outcome unknown
    Final, ///< the outcome is known
};

/// An outcome whose answer arrives in parts.
struct PartialOutcome {
    OnceOutcome outcome; ///< the answer has its final size
    std::set<std::int64_t> offsets; ///< parts received
    std::size_t received = 0; ///< bytes
};

/// One record, at the home or at the witness.
struct OnceRecord {
    BalancerPair pair;
    OnceStage stage = OnceStage::AwaitingWitness;
    bool closed = false; ///< witness: the home's intents are refused from now on
    Time startedAt = 0;
    Time retryAt = 0;
    Time deadline = never;
    std::string packet;
    std::vector<ReplyDestination> destinations; ///< callers that wait for the outcome
    std::shared_ptr<const OnceOutcome> outcome;
    std::shared_ptr<PartialOutcome> partialOutcome; ///< witness: an outcome of which parts are missing
};

/// A request that was answered NotRun before an intent existed.
struct OnceRefusal {
    Reason reason = Reason::None;
    InstanceKey peer; ///< the other balancer of the pair
};

} // namespace pimentofold

template<>
struct std::hash<pimentofold::OnceKey> {
    std::size_t operator()(const pimentofold::OnceKey &key) const noexcept
    {
        using pimentofold::mix;
        const auto u = [](std::int64_t n) { return static_cast<std::uint64_t>(n); };
        return mix(mix(u(key.serviceId), u(key.flow)), mix(u(key.request), u(key.pairExpiry)));
    }
};

namespace pimentofold {

/// Records of one role with their bounds.
struct OnceTable {
    std::unordered_map<OnceKey, OnceRecord> records;
    std::unordered_map<OnceKey, OnceRefusal> refusals;
    std::map<WallTime, std::vector<OnceKey>> expiries; ///< keys by pairExpiry, rounded up to seconds
    std::deque<OnceKey> answers; ///< keys with an answer, oldest first
    std::size_t answerBytes = 0;
    /// By service: pairs that end at or before this wall time take no new request. It stands for refusals that
    /// didn't fit in the table.
    std::unordered_map<Id, WallTime> closedUntil;
};

/// A caller that waits at the witness for an outcome.
struct WaitingCaller {
    OnceKey key;
    ReplyDestination destination;
    Time timeoutAt = 0;
};

/// All records of a stopped balancer, kept by its successor. It answers for pairs whose balancers have both stopped.
struct SuccessorRecords {
    OnceTable table;
    bool complete = false; ///< the stopped balancer has announced the end; without it nothing is concluded
    WallTime keepUntil = 0;
};

/// Handover to one peer by a stopping balancer.
struct OnceHandover {
    InstanceKey peer;
    /// Whose records are handed to a successor; instance 0 for records that go to the other balancer of their pair.
    InstanceKey owner;
    std::vector<InstanceKey> fallbackPeers; ///< further successors, should this one not acknowledge
    std::vector<OnceKey> allKeys;
    std::vector<OnceKey> unsentKeys; ///< still to be sent
    std::map<std::int64_t, wire::PeerMessage> unacknowledged; ///< by sequence
    Time retryAt = 0;
    Time lastAckAt = 0; ///< when the peer last acknowledged something
    bool endSent = false;
    bool done = false;
};

/// Counts for metrics and measurements.
struct OnceCounts {
    std::int64_t dispatched = 0;
    std::int64_t duplicates = 0; ///< requests answered from a record
    std::int64_t refused = 0;
    std::int64_t pairLost = 0;
    std::int64_t closedByWitness = 0;
    std::int64_t tableFull = 0;
    std::int64_t answersDropped = 0;
    std::int64_t ignored = 0; ///< messages for another incarnation, from a stranger or late
};

/// All records of one balancer.
struct OnceState {
    InstanceKey self;
    OnceLimits limits;
    OnceTable home;
    OnceTable witness;
    WallTime wall = 0;
    std::unordered_set<OnceKey> awaitingWitness;
    std::unordered_set<OnceKey> running; ///< dispatched requests without an outcome
    std::vector<WaitingCaller> waitingCallers;
    std::set<InstanceKey> stoppingWitnesses; ///< witnesses that have announced their stop
    std::int64_t sequence = 0;
    bool stopping = false;
    bool handingOver = false;
    Time stopLimit = never;
    std::vector<InstanceKey> successorCandidates; ///< live members when the stop began
    std::vector<OnceHandover> handovers;
    std::map<InstanceKey, SuccessorRecords> successorRecords; ///< by stopped balancer
    OnceCounts counts;
};

/// Tells whether a request is new, so that admission is asked only for new ones.
/// @return true when a record or a refusal of the request exists at the home
bool isKnownRequest(const OnceState &state, const OnceKey &key);

/// Orders the members that may keep the records of a stopped balancer.
/// @param members live ones; @p owner is skipped
/// @return the first ranked ones, at most @p count
std::vector<InstanceKey> rankSuccessors(std::span<const InstanceKey> members, const InstanceKey &owner, std::size_t count = maxSuccessors);

/// @return true when this balancer holds all records of the stopped home or witness, and so answers in their place
bool isSuccessorFor(const OnceState &state, const BalancerPair &pair);

/// Takes a request or a duplicate of one. A request of another incarnation's pair is ignored; the program doesn't
/// acknowledge its relay (see onceRole()).
/// @param role Home, or Witness for a request that the relaying balancer couldn't give to the home; the latter also
///        at a successor of the pair (see isSuccessorFor())
void handleOnceRequest(OnceState &state, const OnceRequest &request, OnceRole role, const ClockReading &now, OnceOutput &out);

/// Takes IntentStore, IntentStored, IntentRefused, Outcome, Handover and HandoverAck; ignores other kinds and
/// messages for another incarnation.
/// @param message from an authenticated datagram
void handleOnceMessage(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);

/// Takes the result of a dispatch, or of a refusal between dispatch and target.
/// @param outcome final for the request; a MayHaveRun may be followed by an exact one
void handleOnceOutcome(OnceState &state, const OnceKey &key, OnceOutcome outcome, const ClockReading &now, OnceOutput &out);

/// Repeats messages, ends waits and drops expired records. To be called about every 10 ms.
void tickOnce(OnceState &state, const ClockReading &now, OnceOutput &out);

/// Starts the graceful stop: new requests are refused with NotRun/Stopping, running ones finish, then all records go
/// to the other balancer of their pair and to a successor. handle functions and tickOnce() are called until
/// isOnceStopComplete().
/// @param limit monotonic time at which requests without an outcome become MayHaveRun
/// @param members live balancers, of which the successor is chosen. While there is none, a stopping balancer with records
///        waits for one until the limit; after it requests of a pair whose balancers both stop get MayHaveRun.
void beginOnceStop(OnceState &state, Time limit, std::vector<InstanceKey> members = {});

/// Takes the live balancers that are known during a stop; without effect once the handovers have begun.
void updateSuccessorCandidates(OnceState &state, std::vector<InstanceKey> members);

/// @return true when the stop is complete: all handovers are acknowledged or given up
bool isOnceStopComplete(const OnceState &state);

/// @return the wire form
wire::OnceKey toWire(const OnceKey &key);
/// @overload
wire::InstanceKey toWire(const InstanceKey &key);
/// @return the key of a message
OnceKey fromWire(const wire::OnceKey &key);
/// @overload
InstanceKey fromWire(const wire::InstanceKey &key);

} // namespace pimentofold
