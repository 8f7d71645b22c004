#include <algorithm>

#include <pimentofold/membership.h>

#include <libpimentofold/onceparts.h>

namespace pimentofold {

std::vector<InstanceKey> onceSuccessors(std::span<const InstanceKey> members, const InstanceKey &owner, std::size_t count)
{
    std::vector<InstanceKey> result = ranked(members, "successor of " + toString(owner), members.size());
    std::erase_if(result, [&owner](const InstanceKey &it) { return it.instance == owner.instance; });
    result.resize(std::min(result.size(), count));
    return result;
}

bool holdsEstate(const OnceState &state, const OncePair &pair)
{
    return std::any_of(state.estates.begin(), state.estates.end(), [&pair](const auto &it) {
        return it.second.complete && (it.first == pair.home || it.first == pair.witness);
    });
}

namespace onceparts {

namespace {

/// @return what the records of one stopped balancer say; without a record the request can't have been dispatched and
///         never will be, because the home needs the intent at its witness and both tables went into the estate
std::shared_ptr<const OnceOutcome> outcomeIn(OnceState &state, OnceEstate &estate, const OnceRequest &request)
{
    if (const OnceRecord *record = findRecord(estate.table, request.key)) {
        const bool known = record->pair == request.pair && record->outcome;
        return known ? record->outcome : verdictOnly(Verdict::MayHaveRun, Reason::PairLost);
    }
    if (state.wall > request.key.pairExpiry) {
        return verdictOnly(Verdict::MayHaveRun, Reason::TokenExpired);
    }
    return verdictOnly(Verdict::NotRun, Reason::PairLost);
}

} // namespace

void requestAtSuccessor(OnceState &state, const OnceRequest &request, OnceOutput &out)
{
    // The home knows the outcomes of all its requests; the witness may have missed some.
    for (const InstanceKey &owner : {request.pair.home, request.pair.witness}) {
        const auto it = state.estates.find(owner);
        if (it != state.estates.end() && it->second.complete) {
            reply(out, request.key, request.route, outcomeIn(state, it->second, request));
            return;
        }
    }
}

bool takeEstate(OnceState &state, const wire::PeerMessage &message, const OnceNow &now, OnceOutput &out)
{
    if (state.stopping) {
        return false;
    }
    OnceEstate &estate = state.estates[fromWire(message.about)];
    estate.keepUntil = state.wall + onceEstateKeepMs;
    bool kept = true;
    for (const wire::OnceRecordWire &it : message.records) {
        kept = takeOutcome(state, estate.table, it, now, out) && kept;
    }
    estate.complete = estate.complete || message.last;
    return kept;
}

void dropEstates(OnceState &state)
{
    for (auto &[owner, estate] : state.estates) {
        dropExpired(state, estate.table);
    }
    std::erase_if(state.estates, [&state](const auto &it) { return it.second.keepUntil < state.wall; });
}

} // namespace onceparts

} // namespace pimentofold
