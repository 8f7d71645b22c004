#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// Choice of the target for a new flow or a single request, and of the dispatchers of a service.
///
/// A balancer keeps one TargetSet for each service and tells it what it sees:
///
///     setTargets(set, entries, now);                 // each new NodeView
///     setReachable(set, id, true, now);              // Identity matched; false: connection lost or silent
///     reportStatus(set, id, report, now);            // each Status frame
///
/// New flows of session services:
///
///     std::optional<Id> target = chooseForFlow(set, now, random);
///     flowOpened(set, *target, now);                 // Opened came back
///     flowClosed(set, *target, now);                 // Close or the end of the flow passed through here
///
/// Requests are started by admission.h, which chooses the target and counts its slots; the balancer then calls
/// only the functions above. A program without admission calls chooseForRequest(), requestStarted() and
/// requestEnded() itself.
///
/// Memory: about 120 bytes for each target.
namespace pimentofold {

/// Constants of the target choice.
struct TargetChoiceSettings {
    Time reportHalfLife = 1 * second; ///< a report of others' load counts half after this time
    Time flowHalfLife = 60 * second; ///< a flow may be closed through another balancer, so the count of open flows fades
    Time shedPause = 50 * millisecond; ///< a target that shed gets no new work until then or until one of its requests ends
    Time slotShareRecovery = 5 * second; ///< a share grows from 0 to 1 in this time
    Time slowStart = 2 * second; ///< ramp of a target that joins a set in use and reports no warm-up of its own
    /// Single requests that may be in flight to a target beyond its slots, when no slot is free, so that the target
    /// doesn't idle for a round trip after each answer. Only at full share, and not after a target has refused one.
    int pipelineDepth = 1;
    int shortRunPipelineDepth = 2; ///< the same for a service with short runs, where a round trip is a larger part of a run
    Time shortRunLimit = 10 * millisecond; ///< mean run below which runs count as short
    Time pipelinePauseAfterShed = 60 * second; ///< a target that shed a request sent ahead gets no further one for this time
    double minSlowStart = 0.1; ///< share at the start of a ramp, so that a cold target gets some work
};

/// What the view says about a target.
struct TargetEntry {
    Id id = 0;
    int slots = 1;
    bool serving = true; ///< false: leaving or down; established flows stay, new work goes elsewhere
};

/// What a target reports about itself; may lag or be wrong.
struct TargetReport {
    bool healthy = true;
    bool draining = false;
    int inUse = 0;
    int queued = 0;
    Time warmup = 0; ///< time left of a cold start
};

/// How a request on a target ended.
enum class TargetOutcome {
    Done,
    Shed, ///< refused for lack of room; did not run
    Draining, ///< refused because the target is leaving; did not run
    Lost, ///< the connection broke
    Cancelled, ///< cancelled or expired, before or during the run
};

/// State of one target. The fields are read by metrics; only the functions below change them.
struct TargetLoad {
    Id id = 0;
    int slots = 1;
    bool listed = true; ///< part of the present view
    bool serving = true;
    bool reachable = false;
    bool healthy = true;
    bool draining = false;
    int inFlight = 0; ///< requests of this process on the target
    int minInFlight = 0; ///< least value of inFlight since the last report
    int completedSinceReport = 0; ///< requests that ran since the last report
    double openFlows = 0; ///< flows opened less flows closed through this process, fading
    Time openFlowsAt = 0;
    double othersLoad = 0; ///< reported load that isn't from this process, at reportedAt
    Time reportedAt = 0;
    double reportWeight = 1; ///< weight of the reports: cut when they contradict what is seen, grows back
    double slotShare = 1; ///< cut by sheds and losses, grows back
    Time slotShareAt = 0;
    Time pausedUntil = 0;
    Time pipelineFrom = 0; ///< no request is sent ahead before
    Time slowStartFrom = 0;
    Time slowStartUntil = 0;
    std::int64_t started = 0; ///< requests started since the target joined
};

/// Targets of one service as one process sees them, ordered by id.
struct TargetSet {
    TargetChoiceSettings settings;
    std::vector<TargetLoad> targets;
    double meanRunTime = 0; ///< smoothed time from start to answer over all targets, in microseconds
    int runCount = 0; ///< counted up to 100, from which on meanRunTime is used
    std::uint64_t version = 0; ///< raised by each change that isn't only the passing of time
    bool healthIgnored = false; ///< more than half of the serving targets look unhealthy
};

/// Takes over the targets of a new view. Targets that stay keep their state. A target that is no longer listed is
/// forgotten once it has no request in flight.
void setTargets(TargetSet &set, std::span<const TargetEntry> entries, Time now);

/// Tells whether the connection to a target can be used for new work. Targets start as not reachable. Losing the
/// connection cuts the target's share.
void setReachable(TargetSet &set, Id target, bool reachable, Time now);

/// Takes over a target's report. A report that contradicts what this process sees lowers the reportWeight in the
/// target's reports of load; `draining` takes effect at once and in any case.
void reportStatus(TargetSet &set, Id target, const TargetReport &report, Time now);

/// Counts a flow that was opened on a target.
void flowOpened(TargetSet &set, Id target, Time now);

/// Counts a flow that was closed on a target.
void flowClosed(TargetSet &set, Id target, Time now);

/// Takes one of the target's slots.
void requestStarted(TargetSet &set, Id target);

/// Tells the time from start to answer of a request that ran.
void recordRunTime(TargetSet &set, Time run);

/// Frees the slot. Sheds, drains and losses keep new work away from the target at once.
void requestEnded(TargetSet &set, Id target, TargetOutcome outcome, Time now);

/// Chooses the target of a new flow: two targets are drawn at random, weighted by slots and share, and the one with
/// less load (open flows and estimated requests) per slot wins.
/// @return nothing when no target accepts new work
std::optional<Id> chooseForFlow(const TargetSet &set, Time now, Random &random);

/// Chooses the target of a single request: the one with the lowest estimated load per slot among those with
/// a free slot; ties are broken at random. When no slot is free, up to `pipelineDepth` requests (`shortRunPipelineDepth` with short
/// runs) go to each target beyond its slots. Reports only rank the targets. Whether a slot is free depends on this process' own requests alone, so a
/// wrong report can neither overfill a target nor exclude it.
/// @return nothing when there is no room; the request has to wait
std::optional<Id> chooseForRequest(const TargetSet &set, Time now, Random &random);

/// @return whether a request that is bound to this target by its flow may start now. Leaving targets still
///         serve the requests of their flows; a process never has more than `slots` requests on a target.
bool mayStartOn(const TargetSet &set, Id target);

/// @return whether the target gets new flows and single requests now
bool acceptsNewWork(const TargetSet &set, const TargetLoad &target, Time now);

/// @return slots that the target offers to this process now: its slots, less during a ramp and after sheds
int usableSlots(const TargetSet &set, const TargetLoad &target, Time now);

/// @return requests that may be sent to the target beyond its slots now
int pipelineSlots(const TargetSet &set, const TargetLoad &target, Time now);

/// Sums over the targets of a service.
struct SlotTotals {
    int usable = 0; ///< usableSlots() of reachable targets, and all slots of reachable leaving ones, whose flows go on
    int pipeline = 0; ///< pipelineSlots() of the targets that accept new work
    int reachable = 0; ///< all slots of reachable targets, and what may be sent ahead to them when nothing is wrong
};

/// @return the sums at present; takes time in proportion to the number of targets
SlotTotals slotTotals(const TargetSet &set, Time now);

/// @return estimate of a target's load in requests: own ones plus the reported ones of others, halved each
///         reportHalfLife and weighted by reportWeight; at most its slots unless own requests alone are more
double estimatedLoad(const TargetSet &set, const TargetLoad &target, Time now);

/// @return the target's state, nullptr when the set doesn't have it
const TargetLoad *findTarget(const TargetSet &set, Id target);

// Dispatchers of services whose requests are placed one by one.

/// Requests a second that one dispatcher takes before a second one is used. A dispatcher spends about
/// 50 microseconds on a request and its answer, so this is half of one core.
constexpr double requestsPerDispatcher = 10'000;

/// Ranks the live members by rendezvous hash. All balancers with the same members get the same order, and
/// a member that joins or leaves doesn't change the order of the others.
/// @param members live members, at most one incarnation each
/// @return the members, first-ranked first
std::vector<InstanceKey> rankForService(Id service, std::span<const InstanceKey> members);

/// Number of dispatchers of a service: a power of two. It grows as soon as the rate exceeds what the present ones
/// take and shrinks only when half of them would be used by less than 60%, so that a varying rate doesn't move targets.
/// @param rate requests a second of the whole service; a balancer takes its own rate times the number of members
/// @param current the number in force, 0 at first
/// @param members number of live members
/// @param targets number of targets of the service; there are never more dispatchers than targets
int dispatcherCount(double rate, int current, int members, int targets);

/// The dispatchers of one service and the slots that each one owns. Made anew when the members, the targets or the
/// number of dispatchers change.
struct DispatcherTable {
    std::vector<InstanceKey> dispatchers; ///< first-ranked first
    std::vector<std::int64_t> cumulativeSlots; ///< slots of this dispatcher and those before it
};

/// The dispatcher that owns a target: the first by rendezvous hash of the target among the dispatchers. Each target
/// has one owner. During a change of members or of the number of dispatchers a target can have an old and a new owner,
/// and so up to twice its slots in flight until the old owner's requests end.
/// @param dispatchers the first of rankForService()
/// @return nothing when there are none
std::optional<InstanceKey> ownerOfTarget(Id target, std::span<const InstanceKey> dispatchers);

/// @param members live members
/// @param count number of dispatchers, from 1
DispatcherTable makeDispatcherTable(Id service, std::span<const TargetEntry> targets, std::span<const InstanceKey> members, int count);

/// @return the entries that @p self owns; it passes them to setTargets()
std::vector<TargetEntry> ownedTargets(const DispatcherTable &table, std::span<const TargetEntry> targets, const InstanceKey &self);

/// The dispatcher for one request, drawn by hash in proportion to the slots that each one owns. Retransmissions of the
/// same request go to the same dispatcher.
/// @param requestHash for example mix(flow, request)
/// @return nothing when there are no members
std::optional<InstanceKey> dispatcherFor(const DispatcherTable &table, std::uint64_t requestHash);

} // namespace pimentofold
