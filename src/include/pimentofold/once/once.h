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

/// At-most-once execution of requests that may not be repeated (section 4 of the design). The prefix Once stands for
/// at-most-once.
///
/// The caller's token names a pair of balancers. The home sends the request to its target; the witness keeps a second record
/// of the request, so that it can answer the caller when the home can't be reached.
/// - The home dispatches a request only after the witness has stored the intent, that is, a record that the request is
///   about to run.
/// - Before the witness answers in place of the home, it closes the record: it refuses later intents of the home for this
///   request, so that a request reported as NotRun can't run afterwards.
/// - A balancer that may have dropped a record answers MayHaveRun.
///
/// The rules don't depend on synchronised clocks.
///
/// The functions here decide and change state only. They append messages, dispatches and replies to a OnceOutput, which the
/// calling program sends. A caller's request passes through them at the home like this:
///
///     handleOnceRequest(state, request, OnceRole::Home, now, out);  // out.messages: IntentStore for the witness
///     handleOnceMessage(state, intentStored, now, out);             // out.dispatches: the request for its target
///     handleOnceOutcome(state, key, outcome, now, out);             // out.replies: the answer for the caller
namespace pimentofold {

/// Interval at which the home repeats an unanswered IntentStore and a stopping balancer an unacknowledged Handover.
constexpr Time oncePeerRetryInterval = 50 * millisecond;
/// The home refuses a request when the witness hasn't answered its IntentStore within this time.
constexpr Time onceIntentTimeout = 500 * millisecond;
/// Time that the witness waits for the outcome of a stored intent before it answers MayHaveRun.
constexpr Time onceOutcomeTimeout = 300 * millisecond;
/// Retention of a record after the expiry of its pair, in ms of wall time at the balancer that holds the record. It exceeds the
/// longest deadline (30 s), so that the record of an open request is never dropped.
constexpr WallTime onceRetentionMs = 60'000;
/// Time without an acknowledgement after which a stopping balancer tries the next successor, or gives up the handover when there
/// is none.
constexpr Time onceHandoverTimeout = 2 * second;
/// Retention of a stopped balancer's records at its successor, in ms: the lifetime of a pair (pairLifeMs) plus
/// onceRetentionMs.
constexpr WallTime successorRetentionMs = 180'000;
/// Number of members that may be the successor of one stopped balancer. More than one is tried, because the membership views
/// of two balancers may differ by a join or a leave.
constexpr std::size_t maxSuccessors = 4;
/// Largest answer in bytes that the home also sends to the witness. For a larger answer the witness gets only the verdict.
constexpr std::size_t maxReplicatedAnswerBytes = 32'768;

/// Time of a call, read from both clocks.
struct ClockReading {
    Time monotonic = 0;
    WallTime wall = 0; ///< in ms; a value below the highest one seen is ignored, so that a clock step back can't make an expired pair valid again
};

/// Identifies a request that must run at most once.
struct OnceKey {
    Id serviceId = 0;
    std::int64_t flow = 0; ///< number of the flow, chosen by the caller
    std::int64_t request = 0; ///< number of the request within the flow
    WallTime pairExpiry = 0; ///< wall time in ms at which the pair expires, from the token with which the caller first sent the request

    friend bool operator==(const OnceKey &, const OnceKey &) = default;
    friend bool operator<(const OnceKey &a, const OnceKey &b)
    {
        return std::tie(a.serviceId, a.flow, a.request, a.pairExpiry) < std::tie(b.serviceId, b.flow, b.request, b.pairExpiry);
    }
};

/// The home and the witness that a token names.
struct BalancerPair {
    InstanceKey home;
    /// Instance 0 when there was no second balancer at the time the token was made. The home then dispatches without an
    /// intent, and after the loss of the home the verdict is MayHaveRun.
    InstanceKey witness;

    friend bool operator==(const BalancerPair &, const BalancerPair &) = default;
};

/// Role of a balancer for a request. A balancer in role Relay is not in the pair and forwards the request to it.
enum class OnceRole { Relay, Home, Witness };

/// @return the role of the balancer @p self for requests of @p pair; Relay also for another incarnation of a balancer of the pair,
///         since a restarted process has lost its records
OnceRole onceRole(const InstanceKey &self, const BalancerPair &pair);

/// Where to send the reply, and which range of the answer. Stored with the record and returned unchanged in OnceReply.
struct ReplyDestination {
    std::string caller; ///< address of the caller
    std::int64_t offset = 0; ///< first wanted byte of the answer
    std::int32_t limit = 0; ///< most wanted bytes; 0 for as many as fit in one datagram
    std::int32_t attempt = 1; ///< number of the caller's transmission, copied into the reply
};

/// A request as received by the home or the witness: the first transmission, a duplicate, or a request for a further range of
/// the answer.
struct OnceRequest {
    OnceKey key;
    BalancerPair pair;
    ReplyDestination destination;
    std::string packet; ///< the caller's datagram, returned in OnceDispatch
    Time deadline = never; ///< monotonic; the request isn't dispatched after this time
    /// Reason of the refusal when admission control refuses the request. Ignored for a duplicate, which is
    /// answered from its record. See isKnownRequest().
    std::optional<Reason> refusal;
};

/// Result of a request.
struct OnceOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    std::string answer; ///< empty when only the verdict is known
    std::int64_t total = 0; ///< length of the whole answer in bytes
    std::int64_t entityTag = 0; ///< identifies the version of the answer's content

    friend bool operator==(const OnceOutcome &, const OnceOutcome &) = default;
};

/// @return true when the outcome contains all bytes of the answer. It is false for a record that stored or received only the
///         verdict; the caller is then told that the request ran, but doesn't get the answer.
bool hasCompleteAnswer(const OnceOutcome &outcome);

/// Converts the outcome code of a target.
/// @param outcome field of the target's frame. A lost connection has no such code; it is Verdict::MayHaveRun with
///        Reason::TargetLost.
/// @return verdict and reason, with an empty answer
OnceOutcome toOnceOutcome(wire::Outcome::type outcome);

/// A message to be sent to another balancer. Its fields sender and recipient are set.
struct OnceMessage {
    InstanceKey to;
    wire::PeerMessage message;
};

/// Instructs the program to send a request to its target. At most one exists for each key over all balancers.
struct OnceDispatch {
    OnceKey key;
    std::string packet; ///< the caller's datagram
    Time deadline = never; ///< monotonic
};

/// A reply to be sent to a caller.
struct OnceReply {
    OnceKey key;
    ReplyDestination destination;
    std::shared_ptr<const OnceOutcome> outcome;
};

/// Actions that the calling program has to carry out. The functions append to it.
struct OnceOutput {
    std::vector<OnceMessage> messages;
    std::vector<OnceDispatch> dispatches;
    std::vector<OnceReply> replies;
};

/// Limits on memory. When a table is full, new requests are refused with verdict NotRun.
struct OnceLimits {
    std::size_t records = 65'536; ///< records as home, and as many again as witness; about 400 bytes each
    /// Stored refusals of requests that had no intent, for each role; about 80 bytes each. When a refusal doesn't fit, the
    /// service's pairs that expire no later than that request's pair take no new requests (see OnceTable::closedUntil).
    std::size_t refusals = 65'536;
    std::size_t answerBytes = 16 << 20; ///< total size of the stored answers for each role; the oldest answers are dropped first
    std::size_t largeAnswerBytes = 1 << 20; ///< largest answer that the home stores; for larger ones it stores the verdict only
    std::size_t maxWaitingCallers = 4; ///< destinations that wait for one record; a further one replaces the oldest
};

/// Progress of a record.
enum class OnceStage {
    AwaitingWitness, ///< home: the IntentStore is sent, the witness hasn't answered
    Dispatched, ///< home: the request is at the target, the outcome is unknown
    Intent, ///< witness: the intent is stored, the outcome is unknown
    Final, ///< the outcome is known
};

/// An outcome whose answer arrives in several messages.
struct PartialOutcome {
    OnceOutcome outcome; ///< its answer has the final size; missing bytes are 0
    std::set<std::int64_t> offsets; ///< offsets of the parts received
    std::size_t received = 0; ///< bytes received
};

/// Record of one request at the home or at the witness.
struct OnceRecord {
    BalancerPair pair;
    OnceStage stage = OnceStage::AwaitingWitness;
    bool closed = false; ///< witness: later intents of the home are refused
    Time startedAt = 0; ///< monotonic, as are the next two
    Time retryAt = 0; ///< home: when to repeat the IntentStore
    Time deadline = never; ///< home: the request isn't dispatched after this time
    std::string packet; ///< home: the caller's datagram, until the dispatch
    std::vector<ReplyDestination> destinations; ///< home: callers that wait for the outcome
    std::shared_ptr<const OnceOutcome> outcome; ///< set in stage Final
    std::shared_ptr<PartialOutcome> partialOutcome; ///< witness: an outcome of which parts are missing
};

/// A request that was refused with NotRun before it had an intent.
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

/// Records of one role, with the indexes that limit their number, size and lifetime.
struct OnceTable {
    std::unordered_map<OnceKey, OnceRecord> records;
    std::unordered_map<OnceKey, OnceRefusal> refusals;
    std::map<WallTime, std::vector<OnceKey>> expiries; ///< keys of records and refusals by pairExpiry, rounded up to seconds
    std::deque<OnceKey> answers; ///< keys of records with an answer, oldest first
    std::size_t answerBytes = 0; ///< total size of the stored answers
    /// By service: pairs that expire at or before this wall time take no new requests. Replaces the refusals that didn't fit
    /// in the table, so that a duplicate of a refused request is still refused.
    std::unordered_map<Id, WallTime> closedUntil;
};

/// A caller that waits at the witness for the outcome of a request.
struct WaitingCaller {
    OnceKey key;
    ReplyDestination destination;
    Time timeoutAt = 0; ///< monotonic; when the witness answers without the outcome
};

/// All records of a stopped balancer, kept by its successor. The successor answers requests of pairs whose balancers have both
/// stopped.
struct SuccessorRecords {
    OnceTable table;
    bool complete = false; ///< the stopped balancer has sent its last record; until then a missing record proves nothing
    WallTime keepUntil = 0; ///< wall time in ms at which the records are dropped
};

/// Transfer of records from a stopping balancer to one peer.
struct OnceHandover {
    InstanceKey peer;
    /// Balancer whose records are transferred to a successor; instance 0 for records that go to the other balancer of their
    /// pair.
    InstanceKey owner;
    std::vector<InstanceKey> fallbackPeers; ///< further successors, tried in order when @c peer doesn't acknowledge
    std::vector<OnceKey> allKeys;
    std::vector<OnceKey> unsentKeys;
    std::map<std::int64_t, wire::PeerMessage> unacknowledged; ///< by sequence number
    Time retryAt = 0; ///< when to repeat the unacknowledged messages
    Time lastAckAt = 0; ///< when the peer last acknowledged a message; initially the start of the transfer
    bool endSent = false; ///< the message that marks the end has been sent
    bool done = false; ///< all messages are acknowledged, or the transfer was given up
};

/// Counters for metrics and measurements.
struct OnceCounts {
    std::int64_t dispatched = 0; ///< requests sent to a target
    std::int64_t duplicates = 0; ///< requests that already had a record or a refusal at the home
    std::int64_t refused = 0; ///< requests refused before they had an intent, as home and as witness
    std::int64_t pairLost = 0; ///< requests refused because the witness didn't answer within onceIntentTimeout
    std::int64_t closedByWitness = 0; ///< requests whose intent the witness refused
    std::int64_t tableFull = 0; ///< intents, outcomes and refusals for which a table had no room
    std::int64_t answersDropped = 0; ///< answers dropped to stay within OnceLimits; their verdicts are kept
    std::int64_t ignored = 0; ///< messages and outcomes that were late, for another incarnation, or from a balancer outside of the pair
};

/// All records of one balancer.
struct OnceState {
    InstanceKey self;
    OnceLimits limits;
    OnceTable home; ///< records of requests for which this balancer is the home
    OnceTable witness; ///< records of requests for which this balancer is the witness
    WallTime wall = 0; ///< highest wall time seen
    std::unordered_set<OnceKey> awaitingWitness; ///< requests in stage AwaitingWitness
    std::unordered_set<OnceKey> running; ///< dispatched requests without an outcome
    std::vector<WaitingCaller> waitingCallers; ///< as witness
    std::set<InstanceKey> stoppingWitnesses; ///< witnesses that have announced their stop
    std::int64_t sequence = 0; ///< sequence number of the last Handover sent
    bool stopping = false; ///< new requests are refused
    bool handingOver = false; ///< no request is open any more and the handovers have begun
    Time stopLimit = never; ///< monotonic time after which open requests no longer delay the stop
    std::vector<InstanceKey> successorCandidates; ///< live members, as last reported during the stop
    std::vector<OnceHandover> handovers;
    std::map<InstanceKey, SuccessorRecords> successorRecords; ///< records of stopped balancers, by balancer
    OnceCounts counts;
};

/// Checks whether a request is a duplicate. Only requests that aren't known need to pass admission control.
/// @return true when this balancer, as home, has a record or a refusal of the request
bool isKnownRequest(const OnceState &state, const OnceKey &key);

/// Chooses the members that may keep the records of a stopped balancer. Balancers with the same members choose the same ones.
/// @param members live balancers; all incarnations of @p owner are left out
/// @param owner the stopped balancer
/// @param count most members to choose
/// @return members in the order in which they are tried
std::vector<InstanceKey> rankSuccessors(std::span<const InstanceKey> members, const InstanceKey &owner, std::size_t count = maxSuccessors);

/// @return true when this balancer is a successor that holds all records of the stopped home or of the stopped witness of
///         @p pair, and therefore answers in their place
bool isSuccessorFor(const OnceState &state, const BalancerPair &pair);

/// Processes a request or a duplicate of it. A request whose pair names another incarnation of this balancer is ignored; the
/// program must not acknowledge its relay (see onceRole()).
/// @param state changed
/// @param request as received
/// @param role Home, or Witness for a request that couldn't be relayed to the home. A successor of the pair passes Witness
///        too (see isSuccessorFor()).
/// @param now time of the call
/// @param out gets the messages, dispatches and replies to send
void handleOnceRequest(OnceState &state, const OnceRequest &request, OnceRole role, const ClockReading &now, OnceOutput &out);

/// Processes an IntentStore, IntentStored, IntentRefused, Outcome, Handover or HandoverAck message of another balancer. Other
/// kinds, and messages for another incarnation of this balancer, are ignored.
/// @param state changed
/// @param message from an authenticated datagram
/// @param now time of the call
/// @param out gets the messages, dispatches and replies to send
void handleOnceMessage(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);

/// Processes the result of a dispatched request, also when the program couldn't send the request to a target.
/// @param state changed
/// @param key from the OnceDispatch
/// @param outcome final, except that Ran or NotRun may still replace MayHaveRun
/// @param now time of the call
/// @param out gets the messages and replies to send
void handleOnceOutcome(OnceState &state, const OnceKey &key, OnceOutcome outcome, const ClockReading &now, OnceOutput &out);

/// Repeats unanswered messages, answers callers whose wait timed out, advances a graceful stop and drops expired records. To be
/// called about every 10 ms.
void tickOnce(OnceState &state, const ClockReading &now, OnceOutput &out);

/// Begins a graceful stop. New requests are refused with NotRun/Stopping and running ones finish; then all records are transferred
/// to the other balancer of their pair and to a successor. The program goes on calling the handle functions and tickOnce()
/// until isOnceStopComplete() is true.
/// @param state changed
/// @param limit monotonic time at which requests without an outcome get the verdict MayHaveRun
/// @param members live balancers, from which the successor is chosen. While there is no other balancer, a stopping balancer
///        that has records waits for one until @p limit. If none appears, requests of a pair whose balancers both stop get
///        MayHaveRun.
void beginOnceStop(OnceState &state, Time limit, std::vector<InstanceKey> members = {});

/// Updates the live balancers from which the successor is chosen. Has an effect only during a stop, until the handovers begin.
void updateSuccessorCandidates(OnceState &state, std::vector<InstanceKey> members);

/// @return true when the graceful stop is complete: all handovers are acknowledged or given up, and no caller waits
bool isOnceStopComplete(const OnceState &state);

/// Converts a key to its wire format.
wire::OnceKey toWire(const OnceKey &key);
/// @overload
wire::InstanceKey toWire(const InstanceKey &key);
/// Converts a key from its wire format.
OnceKey fromWire(const wire::OnceKey &key);
/// @overload
InstanceKey fromWire(const wire::InstanceKey &key);

} // namespace pimentofold
