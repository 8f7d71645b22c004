#pragma once

#include <caller-standin/callers.h>

/// Requests: sending, retransmission, answers, verdicts and cancellation.
namespace pimentofold {

/// Sends a new piece of work on a random flow, if one is open.
void startWork(Callers &callers, std::size_t group, std::size_t work, Time now);

/// Sends a first request on a flow, if it is open, so that its server is known.
void useNewFlow(Callers &callers, std::int64_t number, Time now);

/// Handles one part of an answer or a verdict.
void onAnswer(Callers &callers, const wire::CallerPacket &packet, std::uint16_t port, Time now);

/// Retransmits, cancels or gives up a request.
void onCallAlarm(Callers &callers, const CallKey &key, Time now);

/// Sends a piece of work again after NotRun, with a new request number and the flow's newest token.
void onResendAlarm(Callers &callers, std::int64_t number, Time now);

/// Starts a check of all open flows: each one has to answer a request from its own server.
/// @param perSecond rate of the checks
void startSweep(Callers &callers, double perSecond);

/// Sends the checks that are due.
/// @param elapsed time since the last call
void continueSweep(Callers &callers, Time elapsed, Time now);

} // namespace pimentofold
