#include <algorithm>

#include <libpimentofold/once/onceinternal.h>

namespace pimentofold::onceinternal {

namespace {

/// Resolution of the keys in OnceTable::expiries.
constexpr WallTime expiryBucketMs = 1000;

WallTime expiryBucketOf(const OnceKey &key)
{
    return key.pairExpiry / expiryBucketMs + 1;
}

std::size_t answerBytes(const OnceRecord &record)
{
    return record.outcome ? record.outcome->answer.size() : 0;
}

/// Removes the answer of a record and keeps its verdict.
void dropAnswer(OnceTable &table, OnceRecord &record)
{
    table.answerBytes -= answerBytes(record);
    auto withoutAnswer = std::make_shared<OnceOutcome>();
    withoutAnswer->verdict = record.outcome->verdict;
    withoutAnswer->reason = record.outcome->reason;
    withoutAnswer->total = record.outcome->total;
    withoutAnswer->entityTag = record.outcome->entityTag;
    record.outcome = std::move(withoutAnswer);
}

void removeFromProgressSets(OnceState &state, const OnceKey &key, const OnceRecord &record)
{
    if (record.stage == OnceStage::AwaitingWitness) {
        state.awaitingWitness.erase(key);
    } else if (record.stage == OnceStage::Dispatched) {
        state.running.erase(key);
    }
}

void dropOldestAnswers(OnceState &state, OnceTable &table)
{
    while (table.answerBytes > state.limits.answerBytes && !table.answers.empty()) {
        OnceRecord *record = findRecord(table, table.answers.front());
        table.answers.pop_front();
        if (record != nullptr && answerBytes(*record) > 0) {
            dropAnswer(table, *record);
            ++state.counts.answersDropped;
        }
    }
}

} // namespace

void advanceWallTime(OnceState &state, const ClockReading &now)
{
    state.wall = std::max(state.wall, now.wall);
}

OnceMessage messageTo(const OnceState &state, const InstanceKey &to, wire::PeerKind::type kind)
{
    OnceMessage result;
    result.to = to;
    result.message.kind = kind;
    result.message.sender = toWire(state.self);
    result.message.__set_recipient(toWire(to));
    return result;
}

OnceRecord *findRecord(OnceTable &table, const OnceKey &key)
{
    const auto it = table.records.find(key);
    return it == table.records.end() ? nullptr : &it->second;
}

bool isPairClosed(const OnceTable &table, const OnceKey &key)
{
    const auto it = table.closedUntil.find(key.serviceId);
    return it != table.closedUntil.end() && key.pairExpiry <= it->second;
}

OnceRecord &addRecord(OnceTable &table, const OnceKey &key, const BalancerPair &pair, OnceStage stage, Time now)
{
    OnceRecord &record = table.records[key];
    record.pair = pair;
    record.stage = stage;
    record.startedAt = now;
    table.expiries[expiryBucketOf(key)].push_back(key);
    return record;
}

void addRefusal(OnceState &state, OnceTable &table, const OnceKey &key, const OnceRefusal &refusal)
{
    ++state.counts.refused;
    if (isPairClosed(table, key) || table.refusals.contains(key)) {
        return;
    }
    if (table.refusals.size() < state.limits.refusals) {
        table.refusals[key] = refusal;
        table.expiries[expiryBucketOf(key)].push_back(key);
        return;
    }
    ++state.counts.tableFull;
    WallTime &until = table.closedUntil[key.serviceId];
    until = std::max(until, key.pairExpiry);
}

void setFinalOutcome(OnceState &state, OnceTable &table, const OnceKey &key, OnceRecord &record, std::shared_ptr<const OnceOutcome> outcome)
{
    table.answerBytes -= answerBytes(record);
    record.stage = OnceStage::Final;
    record.packet = {};
    record.destinations = {};
    record.partialOutcome = {};
    record.outcome = std::move(outcome);
    const std::size_t bytes = answerBytes(record);
    table.answerBytes += bytes;
    if (bytes > maxReplicatedAnswerBytes && bytes > state.limits.largeAnswerBytes) {
        dropAnswer(table, record);
        ++state.counts.answersDropped;
    } else if (bytes > 0) {
        table.answers.push_back(key);
        dropOldestAnswers(state, table);
    }
}

void dropExpired(OnceState &state, OnceTable &table)
{
    while (!table.expiries.empty() && table.expiries.begin()->first * expiryBucketMs + onceRetentionMs < state.wall) {
        for (const OnceKey &key : table.expiries.begin()->second) {
            if (const OnceRecord *record = findRecord(table, key)) {
                table.answerBytes -= answerBytes(*record);
                removeFromProgressSets(state, key, *record);
                table.records.erase(key);
            }
            table.refusals.erase(key);
        }
        table.expiries.erase(table.expiries.begin());
    }
    while (!table.answers.empty() && !table.records.contains(table.answers.front())) {
        table.answers.pop_front();
    }
    std::erase_if(table.closedUntil, [&state](const auto &it) { return it.second + onceRetentionMs < state.wall; });
}

std::shared_ptr<const OnceOutcome> outcomeWithoutAnswer(Verdict verdict, Reason reason)
{
    auto outcome = std::make_shared<OnceOutcome>();
    outcome->verdict = verdict;
    outcome->reason = reason;
    return outcome;
}

void reply(OnceOutput &out, const OnceKey &key, const ReplyDestination &route, const std::shared_ptr<const OnceOutcome> &outcome)
{
    out.replies.push_back({key, route, outcome});
}

std::vector<wire::OnceRecordWire> splitRecord(const OnceKey &key, const BalancerPair &pair, const OnceOutcome &outcome)
{
    wire::OnceRecordWire head;
    head.key = toWire(key);
    head.verdict = static_cast<wire::Verdict::type>(outcome.verdict);
    head.reason = static_cast<wire::Reason::type>(outcome.reason);
    head.total = outcome.total;
    head.entityTag = outcome.entityTag;
    head.home = toWire(pair.home);
    head.witness = toWire(pair.witness);
    std::vector<wire::OnceRecordWire> parts;
    const bool withAnswer = hasCompleteAnswer(outcome) && outcome.answer.size() <= maxReplicatedAnswerBytes;
    const std::size_t size = withAnswer ? outcome.answer.size() : 0;
    for (std::size_t n = 0; n == 0 || n < size; n += maxPartAnswerBytes) {
        parts.push_back(head);
        parts.back().answer = withAnswer ? outcome.answer.substr(n, maxPartAnswerBytes) : std::string();
        if (n > 0) {
            parts.back().__set_offset(static_cast<std::int64_t>(n));
        }
    }
    return parts;
}

} // namespace pimentofold::onceinternal
