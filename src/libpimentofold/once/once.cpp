#include <pimentofold/once/once.h>

#include <algorithm>

#include <libpimentofold/once/onceinternal.h>

namespace pimentofold {

using namespace onceinternal;

OnceRole onceRole(const InstanceKey &self, const BalancerPair &pair)
{
    if (self == pair.home) {
        return OnceRole::Home;
    }
    return self == pair.witness ? OnceRole::Witness : OnceRole::Relay;
}

bool hasCompleteAnswer(const OnceOutcome &outcome)
{
    return outcome.total == static_cast<std::int64_t>(outcome.answer.size());
}

OnceOutcome toOnceOutcome(wire::Outcome::type outcome)
{
    OnceOutcome result;
    result.verdict = Verdict::NotRun;
    switch (outcome) {
    case wire::Outcome::Done:
        result.verdict = Verdict::Ran;
        return result;
    case wire::Outcome::Shed:
        result.reason = Reason::Shed;
        return result;
    case wire::Outcome::UnknownFlow:
        result.reason = Reason::UnknownFlow;
        return result;
    case wire::Outcome::Draining:
        result.reason = Reason::NoTarget;
        return result;
    case wire::Outcome::Expired:
        result.reason = Reason::TimedOut;
        return result;
    case wire::Outcome::CancelledBeforeRun:
        result.reason = Reason::Cancelled;
        return result;
    case wire::Outcome::CancelledWhileRunning:
        break;
    }
    result.verdict = Verdict::MayHaveRun;
    result.reason = Reason::Cancelled;
    return result;
}

bool isKnownRequest(const OnceState &state, const OnceKey &key)
{
    return state.home.records.contains(key) || state.home.refusals.contains(key);
}

void handleOnceRequest(OnceState &state, const OnceRequest &request, OnceRole role, const ClockReading &now, OnceOutput &out)
{
    advanceWallTime(state, now);
    if (role == OnceRole::Relay || onceRole(state.self, request.pair) != role) {
        if (role == OnceRole::Witness && isSuccessorFor(state, request.pair)) {
            return handleRequestAtSuccessor(state, request, out);
        }
        ++state.counts.ignored;
        return;
    }
    if (role == OnceRole::Home) {
        handleRequestAtHome(state, request, now, out);
    } else {
        handleRequestAtWitness(state, request, now, out);
    }
}

void handleOnceMessage(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out)
{
    advanceWallTime(state, now);
    if (!message.__isset.recipient || fromWire(message.recipient) != state.self) {
        ++state.counts.ignored;
        return;
    }
    switch (message.kind) {
    case wire::PeerKind::IntentStore:
        return handleIntentStore(state, message, now, out);
    case wire::PeerKind::IntentStored:
    case wire::PeerKind::IntentRefused:
        return handleIntentResponse(state, message, now, out);
    case wire::PeerKind::Outcome:
        for (const wire::OnceRecordWire &it : message.records) {
            if (it.home == message.sender) {
                storeOutcome(state, state.witness, it, now, out);
            }
        }
        return;
    case wire::PeerKind::Handover:
        return handleHandover(state, message, now, out);
    case wire::PeerKind::HandoverAck:
        return handleHandoverAck(state, message, now);
    default:
        return;
    }
}

void handleOnceOutcome(OnceState &state, const OnceKey &key, OnceOutcome outcome, const ClockReading &now, OnceOutput &out)
{
    advanceWallTime(state, now);
    OnceRecord *record = findRecord(state.home, key);
    const bool open = record != nullptr && record->stage == OnceStage::Dispatched;
    const bool resolvesUncertainty =
        record != nullptr && record->stage == OnceStage::Final && record->outcome->verdict == Verdict::MayHaveRun && outcome.verdict != Verdict::MayHaveRun;
    if (!open && !resolvesUncertainty) {
        ++state.counts.ignored;
        return;
    }
    outcome.total = std::max(outcome.total, static_cast<std::int64_t>(outcome.answer.size()));
    finishRecord(state, key, *record, std::move(outcome), out);
}

void tickOnce(OnceState &state, const ClockReading &now, OnceOutput &out)
{
    advanceWallTime(state, now);
    tickHome(state, now, out);
    tickWitness(state, now, out);
    if (state.stopping) {
        tickStop(state, now, out);
    }
    dropExpired(state, state.home);
    dropExpired(state, state.witness);
    dropExpiredSuccessorRecords(state);
}

void beginOnceStop(OnceState &state, Time limit, std::vector<InstanceKey> members)
{
    state.stopping = true;
    state.successorCandidates = std::move(members);
    state.stopLimit = std::min(state.stopLimit, limit);
}

void updateSuccessorCandidates(OnceState &state, std::vector<InstanceKey> members)
{
    if (state.stopping && !state.handingOver) {
        state.successorCandidates = std::move(members);
    }
}

bool isOnceStopComplete(const OnceState &state)
{
    return state.handingOver && state.waitingCallers.empty()
        && std::all_of(state.handovers.begin(), state.handovers.end(), [](const auto &it) { return it.done; });
}

wire::OnceKey toWire(const OnceKey &key)
{
    wire::OnceKey result;
    result.serviceId = key.serviceId;
    result.flow = key.flow;
    result.request = key.request;
    result.pairExpiry = key.pairExpiry;
    return result;
}

wire::InstanceKey toWire(const InstanceKey &key)
{
    wire::InstanceKey result;
    result.instance = key.instance;
    result.incarnation = key.incarnation;
    return result;
}

OnceKey fromWire(const wire::OnceKey &key)
{
    return {key.serviceId, key.flow, key.request, key.pairExpiry};
}

InstanceKey fromWire(const wire::InstanceKey &key)
{
    return {key.instance, key.incarnation};
}

} // namespace pimentofold
