#include <pimentofold/evacuation/evacuationstate.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace pimentofold {

bool replaceEvacuations(EvacuationState &state, EvacuationState newer)
{
    if (newer.revision <= state.revision) {
        return false;
    }
    state = std::move(newer);
    return true;
}

bool applyEvacuationChanges(EvacuationState &state, std::span<const EvacuationChange> changes, const StoreRevision &revision)
{
    if (revision <= state.revision) {
        return false;
    }
    std::map<std::string_view, StoreRevision> applied;
    for (const EvacuationChange &it : changes) {
        StoreRevision &latest = applied[it.dataCentre];
        if (it.revision < latest || it.dataCentre.size() > maxDataCentreNameBytes) {
            continue;
        }
        latest = it.revision;
        if (it.withdrawn) {
            state.dataCentres.erase(it.dataCentre);
        } else {
            state.dataCentres.insert(it.dataCentre);
        }
    }
    state.revision = revision;
    return true;
}

void addListedEvacuations(EvacuationState &listed, std::span<const EvacuationChange> page, const StoreRevision &revision)
{
    if (listed.revision == 0) {
        listed.revision = revision;
    }
    for (const EvacuationChange &it : page) {
        if (!it.withdrawn && it.dataCentre.size() <= maxDataCentreNameBytes) {
            listed.dataCentres.insert(it.dataCentre);
        }
    }
}

EvacuationDifference differenceOf(const EvacuationState &before, const EvacuationState &after)
{
    EvacuationDifference difference;
    std::ranges::set_difference(after.dataCentres, before.dataCentres, std::back_inserter(difference.started));
    std::ranges::set_difference(before.dataCentres, after.dataCentres, std::back_inserter(difference.ended));
    return difference;
}

Time evacuationWatchTimeout(Time bound)
{
    constexpr Time minTimeout = 200 * millisecond;
    constexpr Time maxTimeout = 10 * second;
    return std::clamp(bound * 2 / 5, minTimeout, maxTimeout);
}

void updateEvacuationWait(EvacuationWait &gate, bool otherStateKnown, Time now)
{
    if (!otherStateKnown || gate.expired) {
        return;
    }
    gate.waitingSince = std::min(gate.waitingSince, now);
    gate.expired = now - gate.waitingSince >= EvacuationWait::maxWait;
}

bool waitsForEvacuations(const EvacuationWait &gate, const EvacuationState &state)
{
    return gate.enabled && state.revision == 0 && !gate.expired;
}

} // namespace pimentofold
