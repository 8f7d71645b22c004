#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/targetchoice.h>

/// Division of a service's targets among dispatchers by data centre.
///
/// A data centre whose targets have enough slots for a dispatcher gets dispatchers of its own, so that neither opening
/// packets nor the notices about them leave it. The targets of all other data centres are divided among dispatchers that
/// are chosen from all nodes. All nodes with the same members and targets get the same division.
namespace pimentofold {

/// Value of PlacementSettings::otherDataCentreCost with local dispatch. A node may own targets in its own data centre and, as a
/// dispatcher for data centres without nodes, targets elsewhere. With one flow, the targets elsewhere are used once those of
/// the own data centre have a flow more, but no flow waits here while a slot is free there.
constexpr double localDispatchDistanceCost = 1;
/// Value of PlacementSettings::maxLocalAttempts with local dispatch: the two attempts of a dispatcher and the first one of the
/// node itself. The last of the usual four attempts goes elsewhere, in case that no target of the data centre answers.
constexpr int localDispatchAttempts = 3;

/// Nodes that may become dispatchers.
struct DispatcherCandidates {
    std::vector<InstanceKey> all;
    bool leavesOutLiveNodes = false; ///< live nodes that don't answer this node are left out, although others may use them
    /// By data centre; without an entry, a data centre gets no dispatchers of its own.
    std::map<std::string, std::vector<InstanceKey>, std::less<>> byDataCentre;
};

/// A target with its place.
struct PlacedTarget {
    TargetEntry entry;
    std::string_view dataCentre;
    std::optional<int> weightedSlots = std::nullopt; ///< replaces entry.slots in the division of the flows, not in the number of dispatchers
};

/// The dispatchers of one service.
struct ServiceDispatchers {
    /// Dispatchers of the openings that arrive in the own data centre: those of the data centre if it has some, else all
    /// dispatchers of the service.
    DispatcherTable table;
    std::map<std::string, DispatcherTable, std::less<>> byDataCentre; ///< of data centres with dispatchers of their own
    std::vector<Id> owners; ///< of each target that the division was made from; 0: none
};

/// Selects the nodes that may become dispatchers: those that started at least a few seconds before the newest node, because
/// a node that has just joined doesn't know the load of the targets. When all nodes have started at about the same time, the
/// oldest ones are selected, so that few services change their dispatcher while further nodes join. All nodes with the same
/// members get the same result.
std::vector<InstanceKey> dispatcherCandidates(const std::vector<InstanceKey> &members);

/// @param startOf incarnation of the member at a position in the order of their ages, oldest first
/// @return how many of the oldest members dispatcherCandidates() selects
std::size_t candidateCount(std::size_t members, const std::function<std::int64_t(std::size_t position)> &startOf);

/// Sets ServiceDispatchers::table, which holds the shared dispatchers at first, to the dispatchers of the openings that arrive
/// in a data centre.
/// @param sharedSlots slots of the targets that accept new flows in data centres without dispatchers of their own
void selectTable(ServiceDispatchers &dispatchers, std::string_view ownDataCentre, int sharedSlots);

/// Divides the targets of a service. DispatcherRanking gets the same result from the changes since the last division.
/// @param ownDataCentre data centre in which the openings arrive
/// @param slotsPerDispatcher a group of targets gets one dispatcher for each full or started group of this many slots. A data
///        centre with fewer slots gets no dispatchers of its own.
ServiceDispatchers divideTargets(
    Id service, std::span<const PlacedTarget> targets, const DispatcherCandidates &candidates, std::string_view ownDataCentre, int slotsPerDispatcher);

} // namespace pimentofold
