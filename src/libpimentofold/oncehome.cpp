#include <algorithm>

#include <libpimentofold/onceparts.h>

namespace pimentofold::onceparts {

namespace {

void addRoute(const OnceState &state, OnceRecord &record, const OnceRoute &route)
{
    const auto same = [&route](const OnceRoute &it) { return it.caller == route.caller && it.offset == route.offset; };
    std::erase_if(record.routes, same);
    if (record.routes.size() >= state.limits.waitingRoutes) {
        record.routes.erase(record.routes.begin());
    }
    record.routes.push_back(route);
}

/// @return why a new request is refused, or nothing
std::optional<Reason> refusalOf(const OnceState &state, const OnceRequest &request)
{
    if (state.stopping) {
        return Reason::Stopping;
    }
    if (isClosed(state.home, request.key) || state.retiredWitnesses.contains(request.pair.witness)) {
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

bool answerDuplicate(OnceState &state, const OnceRequest &request, OnceOutput &out)
{
    if (OnceRecord *record = findRecord(state.home, request.key)) {
        ++state.counts.duplicates;
        if (record->stage == OnceStage::Final) {
            reply(out, request.key, request.route, record->outcome);
        } else {
            addRoute(state, *record, request.route);
        }
        return true;
    }
    const auto it = state.home.refusals.find(request.key);
    if (it == state.home.refusals.end()) {
        return false;
    }
    ++state.counts.duplicates;
    reply(out, request.key, request.route, verdictOnly(Verdict::NotRun, it->second.reason));
    return true;
}

bool answerExpired(const OnceState &state, const OnceRequest &request, OnceOutput &out)
{
    if (state.wall <= request.key.pairExpiry) {
        return false;
    }
    // After the keeping time a record of this request may have been dropped.
    const bool dropped = state.wall > request.key.pairExpiry + onceKeepMs;
    reply(out, request.key, request.route, verdictOnly(dropped ? Verdict::MayHaveRun : Verdict::NotRun, Reason::TokenExpired));
    return true;
}

void sendIntent(const OnceState &state, const OnceKey &key, OnceRecord &record, Time now, OnceOutput &out)
{
    OnceMessage intent = messageTo(state, record.pair.witness, wire::PeerKind::IntentStore);
    intent.message.__set_onceKey(toWire(key));
    intent.message.__set_home(toWire(state.self));
    out.messages.push_back(std::move(intent));
    record.retryAt = now + oncePeerRetry;
}

void dispatch(OnceState &state, const OnceKey &key, OnceRecord &record, Time now, OnceOutput &out)
{
    if (record.deadline <= now) {
        finish(state, key, record, {Verdict::NotRun, Reason::TimedOut, {}, 0, 0}, out);
        return;
    }
    state.intending.erase(key);
    state.running.insert(key);
    record.stage = OnceStage::Dispatched;
    ++state.counts.dispatched;
    out.dispatches.push_back({key, std::move(record.packet), record.deadline});
    record.packet = {};
}

} // namespace

void requestAtHome(OnceState &state, const OnceRequest &request, const OnceNow &now, OnceOutput &out)
{
    if (answerDuplicate(state, request, out) || answerExpired(state, request, out)) {
        return;
    }
    if (const std::optional<Reason> reason = refusalOf(state, request)) {
        addRefusal(state, state.home, request.key, {*reason, request.pair.witness});
        reply(out, request.key, request.route, verdictOnly(Verdict::NotRun, *reason));
        return;
    }
    OnceRecord &record = addRecord(state.home, request.key, request.pair, OnceStage::Intending, now.now);
    record.deadline = request.deadline;
    record.packet = request.packet;
    record.routes.push_back(request.route);
    state.intending.insert(request.key);
    if (request.pair.witness.instance == 0) {
        dispatch(state, request.key, record, now.now, out);
    } else {
        sendIntent(state, request.key, record, now.now, out);
    }
}

void intentAnswered(OnceState &state, const wire::PeerMessage &message, const OnceNow &now, OnceOutput &out)
{
    const OnceKey key = fromWire(message.onceKey);
    OnceRecord *record = findRecord(state.home, key);
    if (record == nullptr || record->stage != OnceStage::Intending || record->pair.witness != fromWire(message.sender)) {
        ++state.counts.ignored;
        return;
    }
    if (message.kind == wire::PeerKind::IntentStored) {
        dispatch(state, key, *record, now.now, out);
        return;
    }
    ++state.counts.closedByWitness;
    finish(state, key, *record, {Verdict::NotRun, Reason::PairLost, {}, 0, 0}, out);
}

void finish(OnceState &state, const OnceKey &key, OnceRecord &record, OnceOutcome outcome, OnceOutput &out)
{
    state.intending.erase(key);
    state.running.erase(key);
    const auto shared = std::make_shared<const OnceOutcome>(std::move(outcome));
    for (const OnceRoute &it : record.routes) {
        reply(out, key, it, shared);
    }
    if (record.pair.witness.instance != 0) {
        for (wire::OnceRecordWire &it : recordParts(key, record.pair, *shared)) {
            OnceMessage message = messageTo(state, record.pair.witness, wire::PeerKind::Outcome);
            message.message.__set_records({std::move(it)});
            out.messages.push_back(std::move(message));
        }
    }
    keepOutcome(state, state.home, key, record, shared);
}

void tickHome(OnceState &state, const OnceNow &now, OnceOutput &out)
{
    std::vector<OnceKey> keys(state.intending.begin(), state.intending.end());
    std::sort(keys.begin(), keys.end());
    for (const OnceKey &key : keys) {
        OnceRecord &record = state.home.records.at(key);
        if (now.now - record.startedAt >= onceIntentLimit) {
            ++state.counts.pairLost;
            finish(state, key, record, {Verdict::NotRun, Reason::PairLost, {}, 0, 0}, out);
        } else if (now.now >= record.retryAt) {
            sendIntent(state, key, record, now.now, out);
        }
    }
}

} // namespace pimentofold::onceparts
