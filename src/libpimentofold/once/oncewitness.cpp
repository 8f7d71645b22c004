#include <algorithm>

#include <libpimentofold/once/onceinternal.h>

namespace pimentofold::onceinternal {

namespace {

/// @return true when the intent is stored, by this call or an earlier one; false when it is refused
bool storeIntent(OnceState &state, const OnceKey &key, const BalancerPair &pair, Time now)
{
    if (const OnceRecord *record = findRecord(state.witness, key)) {
        return !record->closed && record->stage == OnceStage::Intent && record->pair == pair;
    }
    if (state.witness.refusals.contains(key) || isPairClosed(state.witness, key) || state.stopping || state.wall > key.pairExpiry) {
        return false;
    }
    if (state.witness.records.size() >= state.limits.records) {
        ++state.counts.tableFull;
        return false;
    }
    addRecord(state.witness, key, pair, OnceStage::Intent, now);
    return true;
}

void answerWaitingCallers(OnceState &state, const OnceKey &key, const std::shared_ptr<const OnceOutcome> &outcome, OnceOutput &out)
{
    for (const WaitingCaller &it : state.waitingCallers) {
        if (it.key == key) {
            reply(out, key, it.destination, outcome);
        }
    }
    std::erase_if(state.waitingCallers, [&key](const WaitingCaller &it) { return it.key == key; });
}

/// @return the witness's reply to a request whose outcome it doesn't have or has only in part
std::shared_ptr<const OnceOutcome> incompleteOutcome(OnceTable &table, const OnceKey &key)
{
    const OnceRecord *record = findRecord(table, key);
    if (record == nullptr || !record->partialOutcome) {
        return outcomeWithoutAnswer(Verdict::MayHaveRun, Reason::PairLost);
    }
    auto outcome = std::make_shared<OnceOutcome>(record->partialOutcome->outcome);
    outcome->answer.clear();
    outcome->reason = Reason::PairLost;
    return outcome;
}

/// Adds one part of an answer to the partial outcome of the record.
/// @return true when the outcome is complete
bool addPart(OnceRecord &record, const wire::OnceRecordWire &part)
{
    const std::int64_t offset = part.__isset.offset ? part.offset : 0;
    const auto size = static_cast<std::int64_t>(part.answer.size());
    if (offset < 0 || offset > part.total || size > part.total - offset) {
        return false;
    }
    if (!record.partialOutcome) {
        record.partialOutcome = std::make_shared<PartialOutcome>();
        OnceOutcome &outcome = record.partialOutcome->outcome;
        outcome.verdict = static_cast<Verdict>(part.verdict);
        outcome.reason = static_cast<Reason>(part.reason);
        outcome.total = part.total;
        outcome.entityTag = part.entityTag;
        outcome.answer.resize(static_cast<std::size_t>(part.total));
    }
    PartialOutcome &parts = *record.partialOutcome;
    if (parts.outcome.total != part.total || parts.outcome.entityTag != part.entityTag || !parts.offsets.insert(offset).second) {
        return false;
    }
    parts.outcome.answer.replace(static_cast<std::size_t>(offset), part.answer.size(), part.answer);
    parts.received += part.answer.size();
    return parts.received == parts.outcome.answer.size();
}

/// @return the complete outcome, or nullptr while parts are missing
std::shared_ptr<const OnceOutcome> assemble(OnceRecord &record, const wire::OnceRecordWire &part)
{
    const bool answerOmitted = part.answer.empty() && part.total > 0;
    const bool whole = !part.__isset.offset && part.total == static_cast<std::int64_t>(part.answer.size());
    if (answerOmitted || whole) {
        auto outcome = std::make_shared<OnceOutcome>();
        outcome->verdict = static_cast<Verdict>(part.verdict);
        outcome->reason = static_cast<Reason>(part.reason);
        outcome->answer = part.answer;
        outcome->total = part.total;
        outcome->entityTag = part.entityTag;
        return outcome;
    }
    if (part.total > static_cast<std::int64_t>(maxReplicatedAnswerBytes) || !addPart(record, part)) {
        return {};
    }
    return std::make_shared<const OnceOutcome>(std::move(record.partialOutcome->outcome));
}

bool validVerdict(const wire::OnceRecordWire &record)
{
    return record.verdict >= wire::Verdict::Ran && record.verdict <= wire::Verdict::MayHaveRun && record.reason >= wire::Reason::None
        && record.reason <= wire::Reason::TimedOut && record.total >= 0;
}

} // namespace

void handleRequestAtWitness(OnceState &state, const OnceRequest &request, const ClockReading &now, OnceOutput &out)
{
    const OnceKey &key = request.key;
    if (OnceRecord *record = findRecord(state.witness, key)) {
        record->closed = true;
        if (record->stage == OnceStage::Final) {
            reply(out, key, request.destination, record->outcome);
        } else if (state.waitingCallers.size() >= state.limits.records) {
            reply(out, key, request.destination, incompleteOutcome(state.witness, key));
        } else {
            state.waitingCallers.push_back({key, request.destination, now.monotonic + onceOutcomeTimeout});
        }
        return;
    }
    const auto refusal = state.witness.refusals.find(key);
    if (refusal != state.witness.refusals.end()) {
        reply(out, key, request.destination, outcomeWithoutAnswer(Verdict::NotRun, refusal->second.reason));
        return;
    }
    if (state.wall > key.pairExpiry) {
        reply(out, key, request.destination, outcomeWithoutAnswer(Verdict::MayHaveRun, Reason::TokenExpired));
        return;
    }
    addRefusal(state, state.witness, key, {Reason::PairLost, request.pair.home});
    reply(out, key, request.destination, outcomeWithoutAnswer(Verdict::NotRun, Reason::PairLost));
}

void handleIntentStore(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out)
{
    const OnceKey key = fromWire(message.onceKey);
    const BalancerPair pair{fromWire(message.sender), state.self};
    const bool accepted = storeIntent(state, key, pair, now.monotonic);
    const wire::PeerKind::type kind = accepted ? wire::PeerKind::IntentStored : wire::PeerKind::IntentRefused;
    OnceMessage answer = messageTo(state, pair.home, kind);
    answer.message.__set_onceKey(message.onceKey);
    out.messages.push_back(std::move(answer));
}

bool storeOutcome(OnceState &state, OnceTable &table, const wire::OnceRecordWire &record, const ClockReading &now, OnceOutput &out)
{
    const OnceKey key = fromWire(record.key);
    const BalancerPair pair{fromWire(record.home), fromWire(record.witness)};
    const bool asWitness = &table == &state.witness;
    if ((asWitness && pair.witness != state.self) || !validVerdict(record) || state.wall > key.pairExpiry + onceRetentionMs) {
        ++state.counts.ignored;
        return true;
    }
    OnceRecord *existing = findRecord(table, key);
    if (existing == nullptr) {
        if (table.refusals.contains(key)) {
            return true; // this witness has refused the request and its intent, so the home can't have dispatched it
        }
        if (table.records.size() >= state.limits.records) {
            ++state.counts.tableFull;
            return false;
        }
        existing = &addRecord(table, key, pair, OnceStage::Intent, now.monotonic);
    }
    const bool exact = record.verdict != wire::Verdict::MayHaveRun;
    const bool replaceable =
        existing->stage != OnceStage::Final || (exact && existing->outcome->verdict == Verdict::MayHaveRun) || !hasCompleteAnswer(*existing->outcome);
    if (existing->pair != pair || !replaceable) {
        return true;
    }
    if (const auto outcome = assemble(*existing, record)) {
        setFinalOutcome(state, table, key, *existing, outcome);
        if (asWitness) {
            answerWaitingCallers(state, key, outcome, out);
        }
    }
    return true;
}

void tickWitness(OnceState &state, const ClockReading &now, OnceOutput &out)
{
    std::vector<WaitingCaller> expired;
    std::erase_if(state.waitingCallers, [&](const WaitingCaller &it) {
        if (it.timeoutAt > now.monotonic) {
            return false;
        }
        expired.push_back(it);
        return true;
    });
    for (const WaitingCaller &it : expired) {
        reply(out, it.key, it.destination, incompleteOutcome(state.witness, it.key));
    }
}

} // namespace pimentofold::onceinternal
