#include <algorithm>

#include <libpimentofold/onceparts.h>

namespace pimentofold::onceparts {

namespace {

constexpr WallTime bucketMs = 1000;

WallTime bucketOf(const OnceKey &key)
{
    return key.pairExpiry / bucketMs + 1;
}

std::size_t answerBytes(const OnceRecord &record)
{
    return record.outcome ? record.outcome->answer.size() : 0;
}

void dropAnswer(OnceTable &table, OnceRecord &record)
{
    table.answerBytes -= answerBytes(record);
    auto bare = std::make_shared<OnceOutcome>();
    bare->verdict = record.outcome->verdict;
    bare->reason = record.outcome->reason;
    bare->total = record.outcome->total;
    bare->entityTag = record.outcome->entityTag;
    record.outcome = std::move(bare);
}

void forgetProgress(OnceState &state, const OnceKey &key, const OnceRecord &record)
{
    if (record.stage == OnceStage::Intending) {
        state.intending.erase(key);
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

void advanceWall(OnceState &state, const OnceNow &now)
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

bool isClosed(const OnceTable &table, const OnceKey &key)
{
    const auto it = table.closedUntil.find(key.serviceId);
    return it != table.closedUntil.end() && key.pairExpiry <= it->second;
}

OnceRecord &addRecord(OnceTable &table, const OnceKey &key, const OncePair &pair, OnceStage stage, Time now)
{
    OnceRecord &record = table.records[key];
    record.pair = pair;
    record.stage = stage;
    record.startedAt = now;
    table.expiries[bucketOf(key)].push_back(key);
    return record;
}

void addRefusal(OnceState &state, OnceTable &table, const OnceKey &key, const OnceRefusal &refusal)
{
    ++state.counts.refused;
    if (isClosed(table, key) || table.refusals.contains(key)) {
        return;
    }
    if (table.refusals.size() < state.limits.refusals) {
        table.refusals[key] = refusal;
        table.expiries[bucketOf(key)].push_back(key);
        return;
    }
    ++state.counts.full;
    WallTime &until = table.closedUntil[key.serviceId];
    until = std::max(until, key.pairExpiry);
}

void keepOutcome(OnceState &state, OnceTable &table, const OnceKey &key, OnceRecord &record, std::shared_ptr<const OnceOutcome> outcome)
{
    table.answerBytes -= answerBytes(record);
    record.stage = OnceStage::Final;
    record.packet = {};
    record.routes = {};
    record.parts = {};
    record.outcome = std::move(outcome);
    const std::size_t bytes = answerBytes(record);
    table.answerBytes += bytes;
    if (bytes > onceAnswerBytes && bytes > state.limits.largeAnswerBytes) {
        dropAnswer(table, record);
        ++state.counts.answersDropped;
    } else if (bytes > 0) {
        table.answers.push_back(key);
        dropOldestAnswers(state, table);
    }
}

void dropExpired(OnceState &state, OnceTable &table)
{
    while (!table.expiries.empty() && table.expiries.begin()->first * bucketMs + onceKeepMs < state.wall) {
        for (const OnceKey &key : table.expiries.begin()->second) {
            if (const OnceRecord *record = findRecord(table, key)) {
                table.answerBytes -= answerBytes(*record);
                forgetProgress(state, key, *record);
                table.records.erase(key);
            }
            table.refusals.erase(key);
        }
        table.expiries.erase(table.expiries.begin());
    }
    while (!table.answers.empty() && !table.records.contains(table.answers.front())) {
        table.answers.pop_front();
    }
    std::erase_if(table.closedUntil, [&state](const auto &it) { return it.second + onceKeepMs < state.wall; });
}

std::shared_ptr<const OnceOutcome> verdictOnly(Verdict verdict, Reason reason)
{
    auto outcome = std::make_shared<OnceOutcome>();
    outcome->verdict = verdict;
    outcome->reason = reason;
    return outcome;
}

void reply(OnceOutput &out, const OnceKey &key, const OnceRoute &route, const std::shared_ptr<const OnceOutcome> &outcome)
{
    out.replies.push_back({key, route, outcome});
}

std::vector<wire::OnceRecordWire> recordParts(const OnceKey &key, const OncePair &pair, const OnceOutcome &outcome)
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
    const bool withAnswer = holdsAnswer(outcome) && outcome.answer.size() <= onceAnswerBytes;
    const std::size_t size = withAnswer ? outcome.answer.size() : 0;
    for (std::size_t n = 0; n == 0 || n < size; n += partBytes) {
        parts.push_back(head);
        parts.back().answer = withAnswer ? outcome.answer.substr(n, partBytes) : std::string();
        if (n > 0) {
            parts.back().__set_offset(static_cast<std::int64_t>(n));
        }
    }
    return parts;
}

} // namespace pimentofold::onceparts
