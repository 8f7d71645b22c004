#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// Selection of the target for a new flow or a single request, and of the dispatchers of a service.
///
/// A balancer keeps one TargetSet for each service and updates it with the state that it observes:
///
///     setTargets(set, entries, now);                 // on each new NodeView
///     setReachable(set, id, true, now);              // Identity matched; false: connection lost or silent
///     reportStatus(set, id, report, now);            // on each Status frame
///
/// New flows of services with sessions:
///
///     std::optional<Id> target = chooseForFlow(set, now, random);
///     flowOpened(set, *target, now);                 // on Opened
///     flowClosed(set, *target, now);                 // on Close, or when a flow that passes through this process ends
///
/// Single requests are started by admission.h, which chooses the target and counts its slots; the balancer then calls
/// only the functions above. A program without admission calls chooseForRequest(), requestStarted() and
/// requestEnded() itself.
///
/// A slot is the capacity of a target to run one request at a time.
///
/// Memory: about 120 bytes for each target.
namespace pimentofold {

/// Parameters of target selection.
struct TargetChoiceSettings {
    Time reportHalfLife = 1 * second; ///< half-life of the load that a target reports for other processes
    Time flowHalfLife = 60 * second; ///< half-life of the count of open flows, since a flow may be closed through another balancer
    Time shedPause = 50 * millisecond; ///< a target that shed gets no new work for this time or until one of its requests succeeds
    Time slotShareRecovery = 5 * second; ///< time in which a slot share recovers from 0 to 1
    Time slowStart = 2 * second; ///< slow start of a target that joins a set in use and reports no warm-up of its own
    /// Pipelined requests: single requests that may be in flight to a target beyond its slots when no target has a free
    /// slot, so that the target doesn't idle for a round trip after each answer. Requests are pipelined only to targets with
    /// a full slot share that are past their slow start and haven't shed a pipelined request recently.
    int pipelineDepth = 1;
    int shortRunPipelineDepth = 2; ///< pipelineDepth of a service with short run times, where a round trip is a larger part of a run
    Time shortRunLimit = 10 * millisecond; ///< mean run time below which run times count as short
    Time pipelinePauseAfterShed = 60 * second; ///< a target that shed a pipelined request gets no further one for this time
    double minSlowStart = 0.1; ///< share of its slots that a target gets at the beginning of its slow start, so that it warms up
};

/// A target as listed in the view.
struct TargetEntry {
    Id id = 0;
    int slots = 1; ///< requests that the target runs at the same time
    bool serving = true; ///< false: leaving or down; its flows continue, but it gets no new flows or single requests
};

/// The status that a target reports about itself. It may be outdated or wrong.
struct TargetReport {
    bool healthy = true;
    bool draining = false;
    int inUse = 0; ///< slots in use, by all processes
    int queued = 0; ///< requests in the target's own queue
    Time warmup = 0; ///< remaining time of a cold start
};

/// How a request on a target ended.
enum class TargetOutcome {
    Done,
    Shed, ///< rejected because the target had no capacity; did not run
    Draining, ///< rejected because the target is draining; did not run
    Lost, ///< the connection was lost
    Cancelled, ///< cancelled or expired, before or during the run
};

/// State of one target. Metrics read the fields; only the functions below change them.
struct TargetLoad {
    Id id = 0;
    int slots = 1;
    bool listed = true; ///< contained in the current view
    bool serving = true;
    bool reachable = false;
    bool healthy = true;
    bool draining = false;
    int inFlight = 0; ///< requests of this process on the target
    int minInFlight = 0; ///< minimum of inFlight since the last report
    int completedSinceReport = 0; ///< requests that ended as Done since the last report
    double openFlows = 0; ///< flows opened minus flows closed through this process, decayed with flowHalfLife
    Time openFlowsAt = 0; ///< when openFlows was last decayed
    double othersLoad = 0; ///< reported requests of other processes, at reportedAt
    Time reportedAt = 0;
    double reportWeight = 1; ///< weight of the reported load, 0 to 1: reduced when reports contradict observations, then recovers
    double slotShare = 1; ///< usable share of the slots at slotShareAt: reduced on sheds and lost connections, then recovers
    Time slotShareAt = 0;
    Time pausedUntil = 0; ///< no new work before, after a shed
    Time pipelineFrom = 0; ///< no pipelined request before
    Time slowStartFrom = 0;
    Time slowStartUntil = 0;
    std::int64_t started = 0; ///< requests started since the target joined
};

/// The targets of one service as seen by one process, ordered by id.
struct TargetSet {
    TargetChoiceSettings settings;
    std::vector<TargetLoad> targets;
    double meanRunTime = 0; ///< moving average of the time from start to answer over all targets, in microseconds
    int runCount = 0; ///< recorded run times, counted up to 100; meanRunTime is used from then on
    std::uint64_t version = 0; ///< incremented by each change that isn't only the passing of time
    bool healthIgnored = false; ///< more than half of the serving targets report that they are unhealthy
};

/// Replaces the list of targets by that of a new view. Targets in both lists keep their state. A target that is no longer
/// listed gets no new work and is removed once it has no request in flight.
void setTargets(TargetSet &set, std::span<const TargetEntry> entries, Time now);

/// Sets whether the connection to a target can be used for new work. Targets start as not reachable. Losing the
/// connection reduces the target's slot share.
void setReachable(TargetSet &set, Id target, bool reachable, Time now);

/// Records a target's report. A report that contradicts the observations of this process reduces the weight of the
/// load that the target reports; `draining` always applies immediately.
void reportStatus(TargetSet &set, Id target, const TargetReport &report, Time now);

/// Counts a flow that was opened on a target.
void flowOpened(TargetSet &set, Id target, Time now);

/// Counts a flow that was closed on a target.
void flowClosed(TargetSet &set, Id target, Time now);

/// Counts a request that was sent to a target; the request occupies one slot until requestEnded().
void requestStarted(TargetSet &set, Id target);

/// Adds the run time of a request to the mean run time of the service.
/// @param run time from start to answer
void recordRunTime(TargetSet &set, Time run);

/// Frees the slot of a request. After Shed and Draining the target gets no new work; Shed and Lost reduce its slot share.
void requestEnded(TargetSet &set, Id target, TargetOutcome outcome, Time now);

/// Chooses the target of a new flow by power of two choices: draws two targets at random, weighted by slots and slot
/// share, and takes the one with the lower load (open flows and estimated requests) per slot.
/// @return std::nullopt when no target accepts new work
std::optional<Id> chooseForFlow(const TargetSet &set, Time now, Random &random);

/// Chooses the target of a single request: the target with the lowest estimated load per slot among those with a free
/// slot; ties are broken at random. When no target has a free slot, requests are pipelined, up to `pipelineDepth`
/// (`shortRunPipelineDepth` with short run times) on each target. Reports only rank the targets. Whether a slot is free
/// depends on the requests of this process alone, so a wrong report can neither overload a target nor exclude it.
/// @return std::nullopt when no target has capacity; the request has to wait
std::optional<Id> chooseForRequest(const TargetSet &set, Time now, Random &random);

/// Requests of established flows also start on leaving targets. Such requests are never pipelined: they start only while
/// fewer than `slots` requests of this process are in flight on the target.
/// @return whether a request that is bound to this target by its flow may start now
bool mayStartOn(const TargetSet &set, Id target);

/// @return whether new flows and single requests may go to the target now
bool acceptsNewWork(const TargetSet &set, const TargetLoad &target, Time now);

/// @return number of slots that this process may use on the target now, from 1 to its slots: fewer during slow start and
///         while the slot share is reduced
int usableSlots(const TargetSet &set, const TargetLoad &target, Time now);

/// @return number of requests that may be pipelined to the target now, beyond its slots
int pipelineSlots(const TargetSet &set, const TargetLoad &target, Time now);

/// Sums over the targets of a service.
struct SlotTotals {
    int usable = 0; ///< usableSlots() of reachable targets; all slots of reachable targets that are leaving, since their flows continue
    int pipeline = 0; ///< pipelineSlots() of the targets that accept new work
    int reachable = 0; ///< all slots of reachable targets plus their undisturbed pipeline depth
};

/// @return the current sums; the run time is linear in the number of targets
SlotTotals slotTotals(const TargetSet &set, Time now);

/// @return estimated number of requests on a target: those of this process plus the reported ones of other processes, which
///         decay with reportHalfLife and are scaled by reportWeight; limited to the slots, unless the requests of this
///         process alone exceed them
double estimatedLoad(const TargetSet &set, const TargetLoad &target, Time now);

/// @return the target's state; nullptr when the set doesn't contain the target
const TargetLoad *findTarget(const TargetSet &set, Id target);

// Dispatchers: the balancers that place the requests of a service without sessions.

/// Requests per second that one dispatcher handles before a second one is added. A dispatcher spends about
/// 50 microseconds on a request and its answer, so this is half of one core.
constexpr double requestsPerDispatcher = 10'000;

/// @param key id of a service or target
/// @return the member's rank in rendezvous hashing. It doesn't depend on the incarnation, so that a restarted member keeps it.
std::uint64_t rendezvousRank(Id key, const InstanceKey &member);

/// Ranks the live members by rendezvous hashing. All balancers with the same members compute the same order, and
/// a member that joins or leaves doesn't change the order of the others.
/// @param members live members, at most one incarnation each
/// @return the members, highest rank first
std::vector<InstanceKey> rankForService(Id service, std::span<const InstanceKey> members);

/// Computes the number of dispatchers of a service: a power of two, limited by the numbers of members and targets. The number
/// grows as soon as the rate exceeds the capacity of the current dispatchers. It is halved only when the rate is below 60%
/// of the capacity of half of them, so that a varying rate doesn't reassign targets.
/// @param rate requests per second of the whole service; a balancer passes its own rate times the number of members
/// @param current the current number, 0 initially
/// @param members number of live members
/// @param targets number of targets of the service; there are never more dispatchers than targets
int dispatcherCount(double rate, int current, int members, int targets);

/// The dispatchers of one service and the slots that each one owns. Rebuilt when the members, the targets or the
/// number of dispatchers change.
struct DispatcherTable {
    std::vector<InstanceKey> dispatchers; ///< highest rank first
    std::vector<std::int64_t> cumulativeSlots; ///< for each dispatcher, its slots plus those of the dispatchers before it
    std::vector<std::size_t> owners; ///< for each target that the table was built from, the index of its dispatcher; 0 when there is none
};

/// Finds the dispatcher that owns a target: the one with the highest rendezvous hash for the target. Each target
/// has one owner. While a change of the members or of the number of dispatchers spreads, a target can have an old and a new
/// owner, and so up to twice its slots in flight until the old owner's requests end.
/// @param dispatchers the highest-ranked members of rankForService()
/// @return std::nullopt when there are no dispatchers
std::optional<InstanceKey> ownerOfTarget(Id target, std::span<const InstanceKey> dispatchers);

/// Builds the table of dispatchers of a service.
/// @param members live members
/// @param count number of dispatchers, at least 1
DispatcherTable makeDispatcherTable(Id service, std::span<const TargetEntry> targets, std::span<const InstanceKey> members, int count);

/// @return the entries of the targets that @p self owns, for setTargets()
std::vector<TargetEntry> ownedTargets(const DispatcherTable &table, std::span<const TargetEntry> targets, const InstanceKey &self);

/// Chooses the dispatcher of one request by hash, in proportion to the slots that each dispatcher owns. Retransmissions of
/// a request go to the same dispatcher.
/// @param requestHash for example mix(flow, request)
/// @return std::nullopt when there are no members
std::optional<InstanceKey> dispatcherFor(const DispatcherTable &table, std::uint64_t requestHash);

} // namespace pimentofold
