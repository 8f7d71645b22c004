#include <algorithm>

#include <pimentofold/membership/membership.h>

#include <libpimentofold/once/onceinternal.h>

namespace pimentofold {

std::vector<InstanceKey> rankSuccessors(std::span<const InstanceKey> members, const InstanceKey &owner, std::size_t count)
{
    std::vector<InstanceKey> result = rankInstances(members, "successor of " + toString(owner), members.size());
    std::erase_if(result, [&owner](const InstanceKey &it) { return it.instance == owner.instance; });
    result.resize(std::min(result.size(), count));
    return result;
}

bool isSuccessorFor(const OnceState &state, const BalancerPair &pair)
{
    return std::any_of(state.successorRecords.begin(), state.successorRecords.end(), [&pair](const auto &it) {
        return it.second.complete && (it.first == pair.home || it.first == pair.witness);
    });
}

namespace onceinternal {

namespace {

/// Looks up the outcome of a request in the records of one stopped balancer.
/// @return the outcome in the record. Without a record: NotRun, or MayHaveRun after the expiry of the pair, when the record may
///         have been dropped. NotRun is true, since the home dispatches a request only after its witness has stored the intent,
///         and the records of both roles were transferred: the request was never dispatched and can't be dispatched any more.
std::shared_ptr<const OnceOutcome> recordedOutcome(OnceState &state, SuccessorRecords &records, const OnceRequest &request)
{
    if (const OnceRecord *record = findRecord(records.table, request.key)) {
        const bool known = record->pair == request.pair && record->outcome;
        return known ? record->outcome : outcomeWithoutAnswer(Verdict::MayHaveRun, Reason::PairLost);
    }
    if (state.wall > request.key.pairExpiry) {
        return outcomeWithoutAnswer(Verdict::MayHaveRun, Reason::TokenExpired);
    }
    return outcomeWithoutAnswer(Verdict::NotRun, Reason::PairLost);
}

} // namespace

void handleRequestAtSuccessor(OnceState &state, const OnceRequest &request, OnceOutput &out)
{
    // The records of the home come first: the home has the outcomes of all its requests, the witness may have missed some.
    for (const InstanceKey &owner : {request.pair.home, request.pair.witness}) {
        const auto it = state.successorRecords.find(owner);
        if (it != state.successorRecords.end() && it->second.complete) {
            reply(out, request.key, request.destination, recordedOutcome(state, it->second, request));
            return;
        }
    }
}

bool storeSuccessorRecords(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out)
{
    if (state.stopping) {
        return false;
    }
    SuccessorRecords &records = state.successorRecords[fromWire(message.about)];
    records.keepUntil = state.wall + successorRetentionMs;
    bool stored = true;
    for (const wire::OnceRecordWire &it : message.records) {
        stored = storeOutcome(state, records.table, it, now, out) && stored;
    }
    records.complete = records.complete || message.last;
    return stored;
}

void dropExpiredSuccessorRecords(OnceState &state)
{
    for (auto &[owner, records] : state.successorRecords) {
        dropExpired(state, records.table);
    }
    std::erase_if(state.successorRecords, [&state](const auto &it) { return it.second.keepUntil < state.wall; });
}

} // namespace onceinternal

} // namespace pimentofold
