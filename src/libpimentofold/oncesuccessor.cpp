#include <algorithm>

#include <pimentofold/membership.h>

#include <libpimentofold/onceinternal.h>

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

/// @return what the records of one stopped balancer say; without a record the request can't have been dispatched and
///         never will be, because the home needs the intent at its witness and both tables went into the estate
std::shared_ptr<const OnceOutcome> recordedOutcome(OnceState &state, SuccessorRecords &estate, const OnceRequest &request)
{
    if (const OnceRecord *record = findRecord(estate.table, request.key)) {
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
    // The home knows the outcomes of all its requests; the witness may have missed some.
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
    SuccessorRecords &estate = state.successorRecords[fromWire(message.about)];
    estate.keepUntil = state.wall + successorRetentionMs;
    bool kept = true;
    for (const wire::OnceRecordWire &it : message.records) {
        kept = storeOutcome(state, estate.table, it, now, out) && kept;
    }
    estate.complete = estate.complete || message.last;
    return kept;
}

void dropExpiredSuccessorRecords(OnceState &state)
{
    for (auto &[owner, estate] : state.successorRecords) {
        dropExpired(state, estate.table);
    }
    std::erase_if(state.successorRecords, [&state](const auto &it) { return it.second.keepUntil < state.wall; });
}

} // namespace onceinternal

} // namespace pimentofold
