#pragma once

#include <pimentofold/once.h>

/// Parts of the at-most-once records that the files of that module share; not for users of the library.
namespace pimentofold::onceinternal {

/// Bytes of a record in a message, without its answer.
constexpr std::size_t recordOverheadBytes = 130;
/// Bytes of records in one message, so that it fits in a datagram.
constexpr std::size_t maxMessageRecordBytes = 1'250;
/// Bytes of an answer in one record.
constexpr std::size_t maxPartAnswerBytes = maxMessageRecordBytes - recordOverheadBytes;

/// Advances the highest wall time seen.
void advanceWallTime(OnceState &state, const ClockReading &now);

/// @return a message of this balancer to @p to
OnceMessage messageTo(const OnceState &state, const InstanceKey &to, wire::PeerKind::type kind);

/// @return the record, or null
OnceRecord *findRecord(OnceTable &table, const OnceKey &key);

/// @return true when requests with this pair expiry stand closed because their refusals didn't fit
bool isPairClosed(const OnceTable &table, const OnceKey &key);

/// Adds a record; the caller has checked that there is room.
OnceRecord &addRecord(OnceTable &table, const OnceKey &key, const BalancerPair &pair, OnceStage stage, Time now);

/// Remembers that a request without an intent was refused, or closes its pair when there is no room.
void addRefusal(OnceState &state, OnceTable &table, const OnceKey &key, const OnceRefusal &refusal);

/// Makes the outcome final, within the bounds on kept answers.
void setFinalOutcome(OnceState &state, OnceTable &table, const OnceKey &key, OnceRecord &record, std::shared_ptr<const OnceOutcome> outcome);

/// Drops the records and refusals whose time is over.
void dropExpired(OnceState &state, OnceTable &table);

/// @return an outcome without an answer
std::shared_ptr<const OnceOutcome> outcomeWithoutAnswer(Verdict verdict, Reason reason);

/// Appends a reply.
void reply(OnceOutput &out, const OnceKey &key, const ReplyDestination &route, const std::shared_ptr<const OnceOutcome> &outcome);

/// Splits a record with its outcome into records of at most maxPartAnswerBytes of answer each.
std::vector<wire::OnceRecordWire> splitRecord(const OnceKey &key, const BalancerPair &pair, const OnceOutcome &outcome);

/// Home: ends a record, answers its callers and tells the witness.
void finishRecord(OnceState &state, const OnceKey &key, OnceRecord &record, OnceOutcome outcome, OnceOutput &out);

/// Home: takes a request.
void handleRequestAtHome(OnceState &state, const OnceRequest &request, const ClockReading &now, OnceOutput &out);
/// Home: takes IntentStored or IntentRefused.
void handleIntentResponse(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);
/// Home: repeats intents, gives up unanswered ones.
void tickHome(OnceState &state, const ClockReading &now, OnceOutput &out);

/// Witness: takes a request that couldn't be given to the home.
void handleRequestAtWitness(OnceState &state, const OnceRequest &request, const ClockReading &now, OnceOutput &out);
/// Witness: takes IntentStore.
void handleIntentStore(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);
/// Witness or successor: takes one record of an Outcome or a Handover.
/// @param table of the witness, or of the estate that the record belongs to
/// @return false when there was no room for it
bool storeOutcome(OnceState &state, OnceTable &table, const wire::OnceRecordWire &record, const ClockReading &now, OnceOutput &out);
/// Witness: ends the waits for outcomes.
void tickWitness(OnceState &state, const ClockReading &now, OnceOutput &out);

/// Successor: answers for a pair whose balancers have stopped.
void handleRequestAtSuccessor(OnceState &state, const OnceRequest &request, OnceOutput &out);
/// Successor: drops records and whole estates whose time is over.
void dropExpiredSuccessorRecords(OnceState &state);
/// Successor: takes records of another balancer.
/// @return false when there was no room or this balancer is stopping itself
bool storeSuccessorRecords(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);

/// Takes a Handover of a stopping home or witness.
void handleHandover(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out);
/// Takes the acknowledgement of an own Handover.
void handleHandoverAck(OnceState &state, const wire::PeerMessage &message, const ClockReading &now);
/// Moves the graceful stop on.
void tickStop(OnceState &state, const ClockReading &now, OnceOutput &out);

} // namespace pimentofold::onceinternal
