#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/flowpacket.h>
#include <pimentofold/types.h>

/// Routes and targets of an edge node, and the tokens by which any node finds a flow's target.
///
///     applyConfig(table, config);
///     applyTarget(table, record, now);
///     const EdgeRoute *route = findRoute(table, packet.flow.service);
///     TargetEntryState *target = findByToken(table, packet.token, route);
///
/// Versions only grow: an older configuration or an older entry of a target changes nothing.
namespace pimentofold {

/// A target that has lost its entry while it still answered stays in use for this long, because entries that lapse
/// while the store is away come back within two seconds.
constexpr Time expiredEntryGracePeriod = 2 * second;
/// Entries of targets that are gone are kept for open flows for this long.
constexpr Time removedTargetRetention = 90 * second;

/// A target with what this node has seen of it.
struct EdgeTarget {
    TargetRecord record;
    FlowToken token = 0;
    bool registered = true; ///< has an entry in the store
    std::int64_t removedRevision = 0; ///< of the store when the entry was removed
    Time removedAt = 0; ///< when the entry was gone; meaningful unless listed
    Time drainingSince = never; ///< when this node learned that the target leaves
    Time warmupEndsAt = 0; ///< end of the cold start
    // What packets of callers show.
    int openFlows = 0; ///< open ones that this node has placed
    bool owned = true; ///< this node is the dispatcher that places its flows
    Time lastFlowAt = 0; ///< last new flow
    Time lastAnswerAt = 0; ///< last time that a caller went on with a flow that was opened here
    int unansweredOpenings = 0; ///< opening packets in a row without a sign of an answer
    Time nextProbeAt = 0; ///< a suspected target gets one new flow from then on
};

/// A route with the version of the configuration that changed it last.
struct RouteEntry {
    EdgeRoute route;
    std::int64_t revision = 0;
    bool removed = false; ///< kept so that peers hear of the removal
};

/// Routes and targets. Only the functions below change them.
struct TargetTable {
    std::int64_t configRevision = 0; ///< of the configuration in force; 0: none yet
    std::int64_t configVersion = 0; ///< the operator's own number
    Time idleTimeout = 0; ///< of the configuration in force
    std::unordered_map<std::uint64_t, RouteEntry> routes; ///< by address
    /// Removals of targets and routes up to these revisions aren't remembered, so that no difference can be made from
    /// older states.
    std::int64_t targetHistoryStart = 0; ///< 0: not all targets are known yet
    std::int64_t configHistoryStart = 0;
    std::unordered_map<std::uint64_t, EdgeTarget> targets; ///< by id
    std::unordered_multimap<FlowToken, std::uint64_t> tokens; ///< ids
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> services; ///< ids by service, in order
};

/// Takes over a whole configuration.
/// @return false when it is not newer than the one in force
bool applyConfig(TargetTable &table, const EdgeConfig &config);

/// Takes over the difference between two versions of the configuration.
/// @param base version from which the difference was made
/// @param change routes that were added or changed, and the number and limits of the newer version
/// @param removed addresses of routes that were removed
/// @return false when the newer version is in force already, or a version between is missing
bool applyConfigChange(TargetTable &table, std::int64_t base, const EdgeConfig &change, const std::vector<Address> &removed);

/// Takes over an entry of a target.
/// @return false when nothing changed, or the entry is older than what is known
bool applyTarget(TargetTable &table, const TargetRecord &record, Time now);

/// Takes over that a target's entry was removed.
/// @param revision of the removal
/// @return false when the target is unknown, has no entry, or has a newer one
bool removeTarget(TargetTable &table, std::uint64_t id, std::int64_t revision, Time now);

/// Takes over that all targets up to a revision are known, for a table that knew none before.
void setTargetHistoryStart(TargetTable &table, std::int64_t revision);

/// Forgets targets that have been gone for long and have no flows.
void purgeRemovedTargets(TargetTable &table, Time now);

/// @return the route of an address, nullptr when there is none
const EdgeRoute *findRoute(const TargetTable &table, const Address &address);

/// @return the target with that id, nullptr when it is unknown
EdgeTarget *findTarget(TargetTable &table, std::uint64_t id);
/// @overload
const EdgeTarget *findTarget(const TargetTable &table, std::uint64_t id);

/// @param route of the packet with the token; decides between targets with the same token; may be nullptr
/// @return the target that a token names, also one that is gone; nullptr when the token is unknown
EdgeTarget *findTargetByToken(TargetTable &table, FlowToken token, const EdgeRoute *route);

/// @return the token of a target, never 0
FlowToken tokenOf(std::uint64_t id);

/// @return whether the entry names a target that takes new flows
bool acceptsNewFlows(const EdgeTarget &target, Time now);

} // namespace pimentofold
