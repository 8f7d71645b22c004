#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/evacuation/evacuationstate.h>
#include <pimentofold/flowpacket.h>
#include <pimentofold/outlier/outlierstate.h>
#include <pimentofold/reachability/reachabilitystate.h>
#include <pimentofold/slowstart/slowstart.h>
#include <pimentofold/types.h>

/// Routes and targets of an edge node, and the tokens from which any node derives a flow's target.
///
///     applyConfig(table, config);
///     applyTarget(table, record, now);
///     const EdgeRoute *route = findRoute(table, packet.flow.service);
///     EdgeTarget *target = findTargetByToken(table, packet.token, route);
///
/// Updates are ordered by store revision: an older configuration or an older target entry is ignored. When the store has come back
/// from an older copy, what it holds has a newer era but may be older than what is known here: isNewerConfig() and isOlderCopy()
/// tell until the operators and the targets have written again.
namespace pimentofold {

/// A target whose store entry disappears while the target still answers stays in use for this long. Entries that expire
/// during an outage of the store are written again within two seconds.
constexpr Time expiredEntryGracePeriod = 2 * second;
/// Targets without a store entry are kept in the table for this long, so that packets of their open flows can still be
/// forwarded.
constexpr Time removedTargetRetention = 90 * second;

/// A target with this node's observations of it.
struct EdgeTarget {
    TargetRecord record;
    FlowToken token = 0;
    bool registered = true; ///< has an entry in the store
    StoreRevision removedRevision = 0; ///< of the store at which the entry was removed
    Time removedAt = 0; ///< when this node learned of the removal; only valid when the target is not registered
    Time drainingSince = never; ///< when this node learned that the target is draining
    Time drainBeganAfter = never; ///< the store took the entry that says so after this time; never: the target isn't draining, or the time isn't known
    Time warmupEndsAt = 0;
    Time incarnationSeenAt = 0; ///< when this node learned of this incarnation; earlier flows belong to an earlier one
    bool serviceConfirmed = false; ///< two entries of this incarnation have named record.service
    std::string otherService; ///< service that the last entry has named instead of record.service; empty: none
    std::int64_t otherSequence = 0; ///< sequence of the entry that has named otherService
    // Observations from callers' packets.
    int openFlows = 0; ///< open flows on the target that this node knows of as a dispatcher
    int workingFlows = 0; ///< those of openFlows with a request at work
    double idleLoad = 0; ///< expected number of requests at work that the other open flows add
    Id owner = 0; ///< dispatcher that places the target's flows; 0: this node
    Time lastFlowAt = 0; ///< when a flow was last placed on the target
    Time lastAnswerAt = 0; ///< last sign of an answer: a caller sent a further packet on a flow to this target
    int unansweredOpenings = 0; ///< consecutive opening packets without a sign of an answer
    Time nextProbeAt = 0; ///< when a suspected target may get a single new flow as a probe
    Time lastProgressAt = 0; ///< last time a flow at any node has shown progress on the target, see targetloss/targetloss.h; 0: never
    Time lostSince = never; ///< when the target was declared lost; `never`: it isn't lost
    Time noVerdictUntil = 0; ///< the target isn't declared lost before this time
    TargetPerformance performance; ///< only changed at the target's owner, see outlier/outlier.h
};

/// A route with the configuration revision that changed it last.
struct RouteEntry {
    EdgeRoute route;
    StoreRevision revision = 0;
    bool removed = false; ///< removed routes stay in the table so that the removal can be sent to peers
};

/// A jump from one state of the targets to a later one. Targets that were added and removed in between may never have been known
/// here. A peer whose state lies in between needs the full state, and one with an earlier state a delta that starts just there.
struct TargetGap {
    StoreRevision from = 0; ///< revision of the state before the jump
    StoreRevision to = 0; ///< revision of the state after it; 0: there was none
};

/// Routes and targets. Only the functions below change them.
struct TargetTable {
    StoreRevision configRevision = 0; ///< of the store for the configuration in force; 0: none yet
    std::int64_t configVersion = 0; ///< version number that the operator assigned
    Time idleTimeout = 0; ///< of the configuration in force
    std::unordered_map<std::uint64_t, RouteEntry> routes; ///< by address: IP shifted left by 16 bits, then the port
    /// Revisions of the last configurations that have been in force here, oldest first. Only a peer with one of them can be sent a
    /// delta: between two of them there may be others whose routes this node has never known.
    std::deque<StoreRevision> configHistory;
    /// Removals of targets up to this revision are no longer recorded, so a peer with an older state needs the full state instead of
    /// a delta. 0: not all targets are known yet.
    StoreRevision targetHistoryStart = 0;
    TargetGap targetGap;
    std::unordered_map<std::uint64_t, EdgeTarget> targets; ///< by target id
    std::unordered_multimap<FlowToken, std::uint64_t> tokens; ///< target ids by token
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> services; ///< target ids by service, in ascending order
    /// Ids of the targets that this node owns or whose owner isn't known yet, by service, in ascending order.
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> ownedTargets;
    std::unordered_set<std::uint64_t> changedTargets; ///< ids of targets that were added, changed or removed since updateDispatchers()
    EvacuationState evacuations;
    Reachability reachability; ///< of the data centres from this node
    OutlierDetection outliers; ///< requests on the targets that this node owns
    SlowStart slowStart; ///< limits of cold targets and what this node has sent to them
};

/// Adds routes of the first configuration while it is being read, so that a node that has just started can place their flows before
/// the rest has arrived. Does nothing once a configuration is known.
void addFirstRoutes(TargetTable &table, const std::vector<EdgeRoute> &routes);

/// Removes the routes that addFirstRoutes() has added. Does nothing once a configuration is known, which has replaced them.
void dropFirstRoutes(TargetTable &table);

/// Orders two versions of the configuration: by revision within an era of the store, else by version number, which the operators
/// only raise.
/// @param revision of a configuration
/// @param version of the same configuration
/// @return whether that configuration is newer than the one in force
bool isNewerConfig(const TargetTable &table, const StoreRevision &revision, std::int64_t version);

/// Replaces the configuration. Routes that are not part of @p config are removed; those that it contains in an unreadable
/// form stay as they are.
/// @return false when @p config is not newer than the configuration in force; nothing changes then
bool applyConfig(TargetTable &table, const EdgeConfig &config);

/// Applies a delta between two versions of the configuration.
/// @param base store revision of the version that the delta starts from, which has to be in force
/// @param change routes that were added or changed, with revision, version and idle timeout of the newer version
/// @param removed addresses of routes that were removed
/// @return false when the newer version is already in force, or when another version than @p base is; nothing changes then
bool applyConfigChange(TargetTable &table, const StoreRevision &base, const EdgeConfig &change, const std::vector<Address> &removed);

/// A target keeps its service until it starts again, so an entry with another service and no later start was written by another
/// process. The exception is a first entry that was itself wrong: the target renews its own entry, so two entries in a row that name
/// the same other service with rising sequences are the target's, as long as only one entry has named the known service.
/// @return whether @p record names another service than the one that is known for this start of the target
bool contradictsService(const TargetTable &table, const TargetRecord &record);

/// @return whether @p record, of a later era of the store than the known entry, was written before the known entry: by an earlier
///         start of the target, or with a lower sequence number. A store that comes back from an older copy holds such entries until
///         their targets have written again.
bool isOlderCopy(const TargetTable &table, const TargetRecord &record);

/// Adds a target or updates its entry. An entry that contradictsService() counts as the removal of the target's own entry.
/// @return false when the entry isn't newer than the known one or than its removal, or says the same in a later era of the store;
///         nothing changes then
bool applyTarget(TargetTable &table, const TargetRecord &record, Time now);

/// @return whether a delta from this version of the configuration can be made
bool isInConfigHistory(const TargetTable &table, const StoreRevision &revision);

/// Records a jump between two states of the targets. An earlier jump that ended before only raises targetHistoryStart.
void recordTargetGap(TargetTable &table, const StoreRevision &from, const StoreRevision &to);

/// Marks a target's entry as removed. The target stays in the table for its open flows until purgeRemovedTargets().
/// @param revision store revision of the removal
/// @return false when the target is unknown, has no entry, or has a newer entry
bool removeTarget(TargetTable &table, std::uint64_t id, const StoreRevision &revision, Time now);

/// Sets the dispatcher that places the target's flows.
/// @param owner 0: this node
void setOwner(TargetTable &table, EdgeTarget &target, Id owner);

/// Records that the table holds all targets up to a store revision. Only the first call has an effect.
void setTargetHistoryStart(TargetTable &table, const StoreRevision &revision);

/// Takes over the end of a list of all targets, whose entries have been applied: removes the targets that it doesn't contain, and
/// records the jump, since targets may have been added and removed before the list.
/// @param listed ids on the list
/// @param known revision of the targets known before the list
/// @param revision of the list
/// @return the targets that were removed
std::vector<std::uint64_t>
finishTargetList(TargetTable &table, const std::set<std::uint64_t> &listed, const StoreRevision &known, const StoreRevision &revision, Time now);

/// Deletes targets without open flows whose entries were removed at least removedTargetRetention ago.
void purgeRemovedTargets(TargetTable &table, Time now);

/// @return the route of a service address, nullptr when there is none
const EdgeRoute *findRoute(const TargetTable &table, const Address &address);

/// @return the target with this id, nullptr when it is unknown
EdgeTarget *findTarget(TargetTable &table, std::uint64_t id);
/// @overload
const EdgeTarget *findTarget(const TargetTable &table, std::uint64_t id);

/// @param route route of the packet that carries the token, or nullptr. Two target ids may have the same token; a target of
///        one of the route's services is preferred then.
/// @return the target of the token, which may already be removed from the store; nullptr when the token is unknown
EdgeTarget *findTargetByToken(TargetTable &table, FlowToken token, const EdgeRoute *route);

/// Flows that this node counts on targets as their dispatcher.
struct FlowCounts {
    int working = 0; ///< with a request at work
    int idle = 0; ///< open without a request
};

/// @return the sum over all targets
FlowCounts countFlows(const TargetTable &table);

/// @return the token of a target, a 32-bit hash of its id; never 0
FlowToken tokenOf(std::uint64_t id);

/// @return whether the target is ready for new flows. A target without an entry still is for expiredEntryGracePeriod if it
///         was not draining and its last answer came no earlier than one second before the removal.
bool acceptsNewFlows(const EdgeTarget &target, Time now);

} // namespace pimentofold
