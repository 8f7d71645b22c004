#include <algorithm>

#include <libpimentofold/onceparts.h>

namespace pimentofold::onceparts {

namespace {

/// @return true when the intent is stored, now or before
bool acceptIntent(OnceState &state, const OnceKey &key, const OncePair &pair, Time now)
{
    if (const OnceRecord *record = findRecord(state.witness, key)) {
        return !record->closed && record->stage == OnceStage::Intent && record->pair == pair;
    }
    if (state.witness.refusals.contains(key) || isClosed(state.witness, key) || state.stopping || state.wall > key.pairExpiry) {
        return false;
    }
    if (state.witness.records.size() >= state.limits.records) {
        ++state.counts.full;
        return false;
    }
    addRecord(state.witness, key, pair, OnceStage::Intent, now);
    return true;
}

void answerWaits(OnceState &state, const OnceKey &key, const std::shared_ptr<const OnceOutcome> &outcome, OnceOutput &out)
{
    for (const OnceWait &it : state.waits) {
        if (it.key == key) {
            reply(out, key, it.route, outcome);
        }
    }
    std::erase_if(state.waits, [&key](const OnceWait &it) { return it.key == key; });
}

/// @return what the witness says of a request whose outcome it doesn't have, or not whole
std::shared_ptr<const OnceOutcome> unknownOutcome(OnceTable &table, const OnceKey &key)
{
    const OnceRecord *record = findRecord(table, key);
    if (record == nullptr || !record->parts) {
        return verdictOnly(Verdict::MayHaveRun, Reason::PairLost);
    }
    auto outcome = std::make_shared<OnceOutcome>(record->parts->outcome);
    outcome->answer.clear();
    outcome->reason = Reason::PairLost;
    return outcome;
}

/// Adds one part of an answer.
/// @return true when the outcome is complete
bool addPart(OnceRecord &record, const wire::OnceRecordWire &part)
{
    const std::int64_t offset = part.__isset.offset ? part.offset : 0;
    const auto size = static_cast<std::int64_t>(part.answer.size());
    if (offset < 0 || offset > part.total || size > part.total - offset) {
        return false;
    }
    if (!record.parts) {
        record.parts = std::make_shared<OnceParts>();
        OnceOutcome &outcome = record.parts->outcome;
        outcome.verdict = static_cast<Verdict>(part.verdict);
        outcome.reason = static_cast<Reason>(part.reason);
        outcome.total = part.total;
        outcome.entityTag = part.entityTag;
        outcome.answer.resize(static_cast<std::size_t>(part.total));
    }
    OnceParts &parts = *record.parts;
    if (parts.outcome.total != part.total || parts.outcome.entityTag != part.entityTag || !parts.offsets.insert(offset).second) {
        return false;
    }
    parts.outcome.answer.replace(static_cast<std::size_t>(offset), part.answer.size(), part.answer);
    parts.received += part.answer.size();
    return parts.received == parts.outcome.answer.size();
}

/// @return the complete outcome, or null while parts are missing
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
    if (part.total > static_cast<std::int64_t>(onceAnswerBytes) || !addPart(record, part)) {
        return {};
    }
    return std::make_shared<const OnceOutcome>(std::move(record.parts->outcome));
}

bool validVerdict(const wire::OnceRecordWire &record)
{
    return record.verdict >= wire::Verdict::Ran && record.verdict <= wire::Verdict::MayHaveRun && record.reason >= wire::Reason::None
        && record.reason <= wire::Reason::TimedOut && record.total >= 0;
}

} // namespace

void requestAtWitness(OnceState &state, const OnceRequest &request, const OnceNow &now, OnceOutput &out)
{
    const OnceKey &key = request.key;
    if (OnceRecord *record = findRecord(state.witness, key)) {
        record->closed = true;
        if (record->stage == OnceStage::Final) {
            reply(out, key, request.route, record->outcome);
        } else if (state.waits.size() >= state.limits.records) {
            reply(out, key, request.route, unknownOutcome(state.witness, key));
        } else {
            state.waits.push_back({key, request.route, now.now + onceOutcomeWait});
        }
        return;
    }
    const auto refusal = state.witness.refusals.find(key);
    if (refusal != state.witness.refusals.end()) {
        reply(out, key, request.route, verdictOnly(Verdict::NotRun, refusal->second.reason));
        return;
    }
    if (state.wall > key.pairExpiry) {
        reply(out, key, request.route, verdictOnly(Verdict::MayHaveRun, Reason::TokenExpired));
        return;
    }
    addRefusal(state, state.witness, key, {Reason::PairLost, request.pair.home});
    reply(out, key, request.route, verdictOnly(Verdict::NotRun, Reason::PairLost));
}

void storeIntent(OnceState &state, const wire::PeerMessage &message, const OnceNow &now, OnceOutput &out)
{
    const OnceKey key = fromWire(message.onceKey);
    const OncePair pair{fromWire(message.sender), state.self};
    const bool accepted = acceptIntent(state, key, pair, now.now);
    const wire::PeerKind::type kind = accepted ? wire::PeerKind::IntentStored : wire::PeerKind::IntentRefused;
    OnceMessage answer = messageTo(state, pair.home, kind);
    answer.message.__set_onceKey(message.onceKey);
    out.messages.push_back(std::move(answer));
}

bool takeOutcome(OnceState &state, OnceTable &table, const wire::OnceRecordWire &record, const OnceNow &now, OnceOutput &out)
{
    const OnceKey key = fromWire(record.key);
    const OncePair pair{fromWire(record.home), fromWire(record.witness)};
    const bool asWitness = &table == &state.witness;
    if ((asWitness && pair.witness != state.self) || !validVerdict(record) || state.wall > key.pairExpiry + onceKeepMs) {
        ++state.counts.ignored;
        return true;
    }
    OnceRecord *kept = findRecord(table, key);
    if (kept == nullptr) {
        if (table.refusals.contains(key)) {
            return true; // this witness has closed the record as NotRun; the home can't know more
        }
        if (table.records.size() >= state.limits.records) {
            ++state.counts.full;
            return false;
        }
        kept = &addRecord(table, key, pair, OnceStage::Intent, now.now);
    }
    const bool exact = record.verdict != wire::Verdict::MayHaveRun;
    const bool replaceable = kept->stage != OnceStage::Final || (exact && kept->outcome->verdict == Verdict::MayHaveRun) || !holdsAnswer(*kept->outcome);
    if (kept->pair != pair || !replaceable) {
        return true;
    }
    if (const auto outcome = assemble(*kept, record)) {
        keepOutcome(state, table, key, *kept, outcome);
        if (asWitness) {
            answerWaits(state, key, outcome, out);
        }
    }
    return true;
}

void tickWitness(OnceState &state, const OnceNow &now, OnceOutput &out)
{
    std::vector<OnceWait> over;
    std::erase_if(state.waits, [&](const OnceWait &it) {
        if (it.until > now.now) {
            return false;
        }
        over.push_back(it);
        return true;
    });
    for (const OnceWait &it : over) {
        reply(out, it.key, it.route, unknownOutcome(state.witness, it.key));
    }
}

} // namespace pimentofold::onceparts
