#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <pimentofold/storerevision.h>
#include <pimentofold/types.h>

/// Data centres that the operators have evacuated. Targets there get no new flows; open flows continue.
namespace pimentofold {

/// A data centre's name in an evacuation is at most this long, in bytes. Longer names are ignored, since the whole state has to
/// fit into one datagram.
constexpr std::size_t maxDataCentreNameBytes = 64;

/// The evacuated data centres as of one revision of the store.
struct EvacuationState {
    StoreRevision revision = 0; ///< 0: not known yet
    std::set<std::string, std::less<>> dataCentres;

    friend bool operator==(const EvacuationState &, const EvacuationState &) = default;
};

/// An evacuation that was requested or withdrawn, as the store reports it.
struct EvacuationChange {
    std::string dataCentre;
    StoreRevision revision = 0; ///< of the object; a withdrawal may carry the revision of the object's last change
    bool withdrawn = false;
};

/// Differences between two states, for the log.
struct EvacuationDifference {
    std::vector<std::string> started; ///< data centres that are evacuated now
    std::vector<std::string> ended; ///< data centres that no longer are
};

/// Replaces the state by a newer one.
/// @return false when @p newer isn't of a higher revision; nothing changes then
bool replaceEvacuations(EvacuationState &state, EvacuationState newer);

/// Applies the changes of one watch.
/// @param changes in the order of the store's answer. They start at or before the revision of @p state, so changes that the state
///        already contains are applied again without effect.
/// @param revision of the store's answer
/// @return false when @p revision isn't higher than that of the state; nothing changes then
bool applyEvacuationChanges(EvacuationState &state, std::span<const EvacuationChange> changes, const StoreRevision &revision);

/// Adds one page of a list.
/// @param listed state of the pages before; a default one for the first page. It gets the revision of the first page, since a
///        later change may be missing on the pages before; the watch that follows returns it.
void addListedEvacuations(EvacuationState &listed, std::span<const EvacuationChange> page, const StoreRevision &revision);

/// @return data centres that are evacuated in only one of two states
EvacuationDifference differenceOf(const EvacuationState &before, const EvacuationState &after);

/// @return how long a watch for evacuations may wait at the store. A dead connection is noticed only when the wait ends, and a
///         change of the leader after that takes up to 1.6 s.
/// @param bound time within which an evacuation has to be in force
Time evacuationWatchTimeout(Time bound);

/// Holds back the placement of flows on a node that has started and doesn't know the evacuations yet.
struct EvacuationWait {
    /// A node that knows the rest of the state for this long without hearing of evacuations places flows: none of its peers knows
    /// them, and the store doesn't answer this kind.
    static constexpr Time maxWait = second;

    bool enabled = false; ///< evacuations are on in this deployment
    Time waitingSince = never; ///< when the rest of the state became known
    bool expired = false; ///< maxWait has passed
};

/// Updates the gate. Has to be called after changes of the state and several times a second while waitsForEvacuations().
/// @param otherStateKnown the configuration and the targets are known
void updateEvacuationWait(EvacuationWait &gate, bool otherStateKnown, Time now);

/// @return whether the node must not place flows yet
bool waitsForEvacuations(const EvacuationWait &gate, const EvacuationState &state);

} // namespace pimentofold
