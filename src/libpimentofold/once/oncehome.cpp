#include <algorithm>

#include <libpimentofold/once/onceinternal.h>

namespace pimentofold::onceinternal {

namespace {

void addDestination(const OnceState &state, OnceRecord &record, const ReplyDestination &route)
{
    const auto same = [&route](const ReplyDestination &it) { return it.caller == route.caller && it.offset == route.offset; };
    std::erase_if(record.destinations, same);
    if (record.destinations.size() >= state.limits.maxWaitingCallers) {
        record.destinations.erase(record.destinations.begin());
    }
    record.destinations.push_back(route);
}

/// @return why a new request is refused, or nothing when it is accepted
std::optional<Reason> refusalReason(const OnceState &state, const OnceRequest &request)
{
    if (state.stopping) {
        return Reason::Stopping;
    }
    if (isPairClosed(state.home, request.key) || state.stoppingWitnesses.contains(request.pair.witness)) {
        return Reason::PairLost;
    }
    if (request.refusal) {
        return request.refusal;
    }
    if (state.home.records.size() >= state.limits.records) {
        return Reason::Overload;
    }
    return {};
}

/// @return true when the request is a duplicate
bool answerDuplicate(OnceState &state, const OnceRequest &request, OnceOutput &out)
{
    if (OnceRecord *record = findRecord(state.home, request.key)) {
        ++state.counts.duplicates;
        if (record->stage == OnceStage::Final) {
            reply(out, request.key, request.destination, record->outcome);
        } else {
            addDestination(state, *record, request.destination);
        }
        return true;
    }
    const auto it = state.home.refusals.find(request.key);
    if (it == state.home.refusals.end()) {
        return false;
    }
    ++state.counts.duplicates;
    reply(out, request.key, request.destination, outcomeWithoutAnswer(Verdict::NotRun, it->second.reason));
    return true;
}

/// @return true when the pair has expired
bool answerExpired(const OnceState &state, const OnceRequest &request, OnceOutput &out)
{
    if (state.wall <= request.key.pairExpiry) {
        return false;
    }
    // A record of this request may have been dropped once its retention has ended.
    const bool dropped = state.wall > request.key.pairExpiry + onceRetentionMs;
    reply(out, request.key, request.destination, outcomeWithoutAnswer(dropped ? Verdict::MayHaveRun : Verdict::NotRun, Reason::TokenExpired));
    return true;
}

void sendIntent(const OnceState &state, const OnceKey &key, OnceRecord &record, Time now, OnceOutput &out)
{
    OnceMessage intent = messageTo(state, record.pair.witness, wire::PeerKind::IntentStore);
    intent.message.__set_onceKey(toWire(key));
    intent.message.__set_home(toWire(state.self));
    out.messages.push_back(std::move(intent));
    record.retryAt = now + oncePeerRetryInterval;
}

void dispatch(OnceState &state, const OnceKey &key, OnceRecord &record, Time now, OnceOutput &out)
{
    if (record.deadline <= now) {
        finishRecord(state, key, record, {Verdict::NotRun, Reason::TimedOut, {}, 0, 0}, out);
        return;
    }
    state.awaitingWitness.erase(key);
    state.running.insert(key);
    record.stage = OnceStage::Dispatched;
    ++state.counts.dispatched;
    out.dispatches.push_back({key, std::move(record.packet), record.deadline});
    record.packet = {};
}

} // namespace

void handleRequestAtHome(OnceState &state, const OnceRequest &request, const ClockReading &now, OnceOutput &out)
{
    if (answerDuplicate(state, request, out) || answerExpired(state, request, out)) {
        return;
    }
    if (const std::optional<Reason> reason = refusalReason(state, request)) {
        addRefusal(state, state.home, request.key, {*reason, request.pair.witness});
        reply(out, request.key, request.destination, outcomeWithoutAnswer(Verdict::NotRun, *reason));
        return;
    }
    OnceRecord &record = addRecord(state.home, request.key, request.pair, OnceStage::AwaitingWitness, now.monotonic);
    record.deadline = request.deadline;
    record.packet = request.packet;
    record.destinations.push_back(request.destination);
    state.awaitingWitness.insert(request.key);
    if (request.pair.witness.instance == 0) {
        dispatch(state, request.key, record, now.monotonic, out);
    } else {
        sendIntent(state, request.key, record, now.monotonic, out);
    }
}

void handleIntentResponse(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out)
{
    const OnceKey key = fromWire(message.onceKey);
    OnceRecord *record = findRecord(state.home, key);
    if (record == nullptr || record->stage != OnceStage::AwaitingWitness || record->pair.witness != fromWire(message.sender)) {
        ++state.counts.ignored;
        return;
    }
    if (message.kind == wire::PeerKind::IntentStored) {
        dispatch(state, key, *record, now.monotonic, out);
        return;
    }
    ++state.counts.closedByWitness;
    finishRecord(state, key, *record, {Verdict::NotRun, Reason::PairLost, {}, 0, 0}, out);
}

void finishRecord(OnceState &state, const OnceKey &key, OnceRecord &record, OnceOutcome outcome, OnceOutput &out)
{
    state.awaitingWitness.erase(key);
    state.running.erase(key);
    const auto shared = std::make_shared<const OnceOutcome>(std::move(outcome));
    for (const ReplyDestination &it : record.destinations) {
        reply(out, key, it, shared);
    }
    if (record.pair.witness.instance != 0) {
        for (wire::OnceRecordWire &it : splitRecord(key, record.pair, *shared)) {
            OnceMessage message = messageTo(state, record.pair.witness, wire::PeerKind::Outcome);
            message.message.__set_records({std::move(it)});
            out.messages.push_back(std::move(message));
        }
    }
    setFinalOutcome(state, state.home, key, record, shared);
}

void tickHome(OnceState &state, const ClockReading &now, OnceOutput &out)
{
    std::vector<OnceKey> keys(state.awaitingWitness.begin(), state.awaitingWitness.end());
    std::sort(keys.begin(), keys.end());
    for (const OnceKey &key : keys) {
        OnceRecord &record = state.home.records.at(key);
        if (now.monotonic - record.startedAt >= onceIntentTimeout) {
            ++state.counts.pairLost;
            finishRecord(state, key, record, {Verdict::NotRun, Reason::PairLost, {}, 0, 0}, out);
        } else if (now.monotonic >= record.retryAt) {
            sendIntent(state, key, record, now.monotonic, out);
        }
    }
}

} // namespace pimentofold::onceinternal
