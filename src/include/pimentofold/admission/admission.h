#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include <pimentofold/random.h>
#include <pimentofold/targetchoice.h>
#include <pimentofold/types.h>
#include <pimentofold/verdict.h>

/// Admission control for the requests to the targets of one service: each request is started, queued, or refused with a
/// reason and a time after which the caller may retry.
///
/// A balancer keeps one Admission and one TargetSet for each service. Each event appends decisions, which the
/// balancer executes in order. One event can decide on several requests:
///
///     std::vector<AdmissionDecision> out;
///     offer(admission, targets, {id, kind, now + deadline, bytes, target}, now, random, out);
///     finish(admission, targets, id, RequestOutcome::Done, now, random, out); // on an answer
///     cancel(admission, targets, id, now, random, out);      // the caller no longer waits
///     expire(admission, targets, now, random, out);          // on a timer, each 5 ms while anything is queued
///     for (const AdmissionDecision &it : out) {
///         switch (it.action) {
///         case AdmissionAction::Start:  // send to it.target, whose slot is already occupied
///         case AdmissionAction::Queue:  // keep the request; a later decision has the same id
///         case AdmissionAction::Refuse: // answer NotRun with it.reason and it.retryAfterMs; drop the request
///         }
///     }
///
/// Each offered request gets Start or Refuse exactly once, possibly after Queue. A refused request never starts.
/// After Start the balancer calls finish() exactly once; until then the request occupies its slot.
///
/// Scheduling: kinds of work that got less slot time than their floor go first, then the other kinds by urgency, as long as
/// they are below their ceilings; within a kind requests start in order of arrival. Floors are shares of slot time, accounted
/// while a kind has work, so they also hold where a floor is less than one slot.
///
/// Bounds: requests without a target of their own occupy at most the slots of a target plus its pipeline depth
/// (TargetChoiceSettings::pipelineDepth, or shortRunPipelineDepth with short run times); requests that are bound to a target
/// start only on a free slot. Memory: at most `maxQueueLength` queued requests over all kinds and `maxLimit` running ones,
/// about 100 bytes each.
namespace pimentofold {

/// Identifies a request within one Admission; chosen by the balancer, unique among its unfinished requests.
using RequestId = std::uint64_t;

/// Algorithm that adapts the concurrency limit, which is the number of requests in flight.
enum class LimitAlgorithm {
    Aimd, ///< additive increase while waits stay below the set point, multiplicative decrease on sheds and longer waits
    Gradient, ///< ratio of the baseline to the current run time, plus room of the square root of the limit
    Fixed, ///< no adaptation: the slots of the targets
};

/// Parameters of admission control; production uses the defaults.
struct AdmissionSettings {
    LimitAlgorithm limitAlgorithm = LimitAlgorithm::Aimd;
    Time maxQueueTime = 200 * millisecond; ///< a queue holds at most the work that the targets finish in this time
    std::size_t minQueueLength = 4; ///< a queue may hold this many requests even if their work takes longer than maxQueueTime
    std::size_t maxQueueLength = 1024; ///< bound over all kinds of work
    Time waitSetPoint = 20 * millisecond; ///< mean wait at the targets above which the limit is reduced; at least one baseline run time
    Time adaptInterval = 100 * millisecond; ///< minimum time between adaptations of the limit
    double maxLimit = 4096;
    /// The limit doesn't fall below this share of the slots, so that work with an increased run time isn't mistaken for
    /// work that waits, and throttled. A dispatcher owns its targets; a balancer that shares them with others sets 1 / members.
    double minLimitShare = 0.5;
    Time minRetryAfter = 200 * millisecond; ///< minimum of the retry hint in a refusal
    Time maxRetryAfter = 2 * second; ///< maximum of the retry hint in a refusal
};

/// Policy of one kind of work of the service. Floors that add up to more than 1 are scaled down.
struct WorkKindPolicy {
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< share of the slot time that is guaranteed to this kind whenever it has work
    double ceilingShare = 1; ///< share of the slots that this kind may occupy at most; always at least one slot
};

/// A request that is offered for admission.
struct AdmissionRequest {
    RequestId id = 0;
    int workKind = 0; ///< index into the policies; an invalid index counts as the least urgent kind
    Time deadline = 0; ///< point in time
    std::size_t bytes = 0; ///< size of the request
    Id target = 0; ///< target to which the request's flow is bound; 0: any target
};

enum class AdmissionAction { Start, Queue, Refuse };

/// A decision on one request.
struct AdmissionDecision {
    RequestId id = 0;
    AdmissionAction action = AdmissionAction::Refuse;
    Id target = 0; ///< Start: target to which the request is sent
    Reason reason = Reason::None; ///< Refuse: Overload, DeadlineTooShort, NoTarget, Cancelled or TimedOut
    int retryAfterMs = 0; ///< Refuse: 200 to 2000; 0 when the caller no longer waits
};

/// How a started request ended.
enum class RequestOutcome {
    Done,
    Shed, ///< rejected by the target for lack of capacity
    Draining, ///< rejected by the target because it is draining
    Lost, ///< the connection to the target was lost
    Cancelled,
    Expired, ///< dropped by the target after the deadline
};

/// A request that waits in a queue.
struct QueuedRequest {
    AdmissionRequest request;
    Time queuedAt = 0;
};

/// A request that was started and hasn't finished.
struct RunningRequest {
    int workKind = 0;
    Id target = 0;
    Time startedAt = 0;
};

/// State of one kind of work. Times are in microseconds; rates are in requests per second, smoothed over about 1 s.
struct WorkKindState {
    WorkKindPolicy policy;
    std::deque<QueuedRequest> queue; ///< in order of arrival
    int inFlight = 0;
    double meanInFlight = 0; ///< moving average of inFlight
    double credit = 0; ///< slot time due under the floor; negative when the kind used more than its floor
    double meanRunTime = 0; ///< moving average of the time from start to answer; 0 before the first answer
    double minRunTime = 0; ///< approximately the shortest run times; rises slowly when runs become slower
    double batchRunTime = 0; ///< sum of the run times in the current batch
    int batchCount = 0; ///< run times in the current batch
    double baselineRunTime = 0; ///< estimated mean run time without waits at the targets; 0 before the first batch
    double waitTime = 0; ///< mean run time of the last batch minus the baseline, at least 0
    double offeredRate = 0;
    double completedRate = 0;
    double refusedRate = 0;
    std::int64_t offered = 0;
    std::int64_t started = 0;
    std::int64_t refused = 0;
};

/// State of the adaptive concurrency limit.
struct LimitState {
    double limit = 0; ///< requests in flight; 0 until the targets are known
    Time adaptedAt = 0;
    int completed = 0; ///< answers in the current interval
    int shed = 0; ///< sheds in the current interval
    bool limitReached = false; ///< requests stayed queued because of the limit in the current interval
};

/// Admission control of one service.
struct Admission {
    AdmissionSettings settings;
    std::vector<WorkKindState> kinds;
    std::unordered_map<RequestId, RunningRequest> running;
    LimitState limit;
    std::size_t queued = 0; ///< over all kinds
    Time accountedAt = 0; ///< up to when slot time is accounted
    SlotTotals totals; ///< of the targets, cached at totalsAt
    Time totalsAt = -second;
    std::uint64_t totalsVersion = 0; ///< TargetSet::version of the cached totals
};

/// Sets the kinds of work. Queued and running requests stay.
/// @param policies one for each kind; an empty list stands for one kind without floor or ceiling
void setPolicies(Admission &admission, std::span<const WorkKindPolicy> policies);

/// Offers a request. The decisions cover this request, requests that it displaced from a queue and queued requests that start.
/// @param out decisions are appended
void offer(Admission &admission, TargetSet &targets, const AdmissionRequest &request, Time now, Random &random, std::vector<AdmissionDecision> &out);

/// Ends a started request, frees its slot and starts queued requests. Unknown ids are ignored.
void finish(Admission &admission, TargetSet &targets, RequestId id, RequestOutcome outcome, Time now, Random &random, std::vector<AdmissionDecision> &out);

/// Removes a request from its queue; the decision is a refusal with Reason::Cancelled. A started request isn't changed: send
/// Cancel to its target and call finish() when the target answers.
void cancel(Admission &admission, TargetSet &targets, RequestId id, Time now, Random &random, std::vector<AdmissionDecision> &out);

/// Refuses queued requests that can no longer meet their deadlines and starts others if targets have become usable.
/// Must be called each 5 ms while anything is queued, and after the set of targets changed.
void expire(Admission &admission, TargetSet &targets, Time now, Random &random, std::vector<AdmissionDecision> &out);

/// @return number of requests that may be in flight now: the minimum of the concurrency limit and the slots of the usable
///         targets with their pipeline depth
int capacity(const Admission &admission, const TargetSet &targets, Time now);

/// @return retry hint for a refused caller, in milliseconds: uniformly distributed from `minRetryAfter` to a bound
///         that grows with the ratio of offered to completed requests, so that callers that were refused at the same
///         time don't retry at the same time
int retryHintMs(const Admission &admission, Random &random);

/// Computes the rate of requests that this dispatcher accepts from each relaying balancer, sent as `relayPerSecond`. The rate
/// is twice the kind's share of what the targets complete, so that the queue never runs empty, and requests beyond the rate
/// are refused by the balancer that received them.
/// @param workKind index of the kind
/// @param members number of balancers that relay
/// @return requests per second; 0 when the kind isn't overloaded
double relayAllowance(const Admission &admission, const TargetSet &targets, int workKind, int members, Time now);

} // namespace pimentofold
