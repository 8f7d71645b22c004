#pragma once

#include <pimentofold/once/once.h>

/// Declarations shared by the source files of the at-most-once records. Not part of the library's interface.
namespace pimentofold::onceinternal {

/// Size of a record in a message without its answer, in bytes.
constexpr std::size_t recordOverheadBytes = 130;
/// Largest total size of the records in one message, in bytes. A message of this size fits in a datagram.
constexpr std::size_t maxMessageRecordBytes = 1'250;
/// Most bytes of an answer in one record.
constexpr std::size_t maxPartAnswerBytes = maxMessageRecordBytes - recordOverheadBytes;

/// Raises OnceState::wall to the wall time of the call, unless that is lower.
void advanceWallTime(OnceState &state, const ClockReading &now);

/// @return a message with sender, recipient and kind set
OnceMessage messageTo(const OnceState &state, const InstanceKey &to, wire::PeerKind::type kind);

/// @return the record, or nullptr
OnceRecord *findRecord(OnceTable &table, const OnceKey &key);

/// @return true when the pair takes no new requests because a refusal didn't fit in the table; see OnceTable::closedUntil
bool isPairClosed(const OnceTable &table, const OnceKey &key);

/// Adds a record. The caller has checked OnceLimits::records.
OnceRecord &addRecord(OnceTable &table, const OnceKey &key, const BalancerPair &pair, OnceStage stage, Time now);

/// Stores that a request without an intent was refused. When the table is full, closes the request's pair instead.
void addRefusal(OnceState &state, OnceTable &table, const OnceKey &key, const OnceRefusal &refusal);

/// Sets the outcome of a record. Drops answers, also of other records, as far as OnceLimits requires.
void setFinalOutcome(OnceState &state, OnceTable &table, const OnceKey &key, OnceRecord &record, std::shared_ptr<const OnceOutcome> outcome);

/// Drops the records and refusals whose retention has ended.
void dropExpired(OnceState &state, OnceTable &table);

/// @return an outcome without an answer
std::shared_ptr<const OnceOutcome> outcomeWithoutAnswer(Verdict verdict, Reason reason);

void reply(OnceOutput &out, const OnceKey &key, const ReplyDestination &route, const std::shared_ptr<const OnceOutcome> &outcome);

/// Splits a record into wire records with at most maxPartAnswerBytes of the answer each.
/// @return at least one record; it has no answer when the answer is incomplete or larger than maxReplicatedAnswerBytes
std::vector<wire::OnceRecordWire> splitRecord(const OnceKey &key, const BalancerPair &pair, const OnceOutcome &outcome);

/// Home: sets the outcome of a record, replies to its waiting callers and sends the outcome to the witness.
void finishRecord(OnceState &state, const OnceKey &key, OnceRecord &record, OnceOutcome outcome, OnceOutput &out);

/// Home: processes a request.
void handleRequestAtHome(OnceState &state, const OnceRequest &request, const ClockReading &now, OnceOutput &out);
/// Home: processes IntentStored or IntentRefused.
void handleIntentResponse(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);
/// Home: repeats IntentStore messages and refuses the requests whose witness hasn't answered within onceIntentTimeout.
void tickHome(OnceState &state, const ClockReading &now, OnceOutput &out);

/// Witness: processes a request that couldn't be relayed to the home. Closes its record.
void handleRequestAtWitness(OnceState &state, const OnceRequest &request, const ClockReading &now, OnceOutput &out);
/// Witness: processes IntentStore.
void handleIntentStore(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);
/// Witness or successor: stores one record of an Outcome or Handover message.
/// @param table the witness table, or that of the stopped balancer whose records the message transfers
/// @return false when the table is full
bool storeOutcome(OnceState &state, OnceTable &table, const wire::OnceRecordWire &record, const ClockReading &now, OnceOutput &out);
/// Witness: replies to the callers that have waited for onceOutcomeTimeout.
void tickWitness(OnceState &state, const ClockReading &now, OnceOutput &out);

/// Successor: replies to a request of a pair whose balancers have both stopped.
void handleRequestAtSuccessor(OnceState &state, const OnceRequest &request, OnceOutput &out);
/// Successor: drops the records whose retention has ended.
void dropExpiredSuccessorRecords(OnceState &state);
/// Successor: stores the records in a Handover of a stopping balancer.
/// @return false when the table is full or this balancer is itself stopping
bool storeSuccessorRecords(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);

/// Processes a Handover message. Acknowledges it unless a record couldn't be stored.
void handleHandover(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);
/// Processes the acknowledgement of a Handover that this balancer has sent.
void handleHandoverAck(OnceState &state, const wire::PeerMessage &message, const ClockReading &now);
/// Advances the graceful stop: waits for open requests, begins the handovers and sends their messages.
void tickStop(OnceState &state, const ClockReading &now, OnceOutput &out);

} // namespace pimentofold::onceinternal
