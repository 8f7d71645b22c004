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

/// Admission of requests to the targets of one service: start now, queue, or refuse with a reason and the time after
/// which the caller may come back.
///
/// A balancer keeps one Admission and one TargetSet for each service. Each event appends decisions, which the
/// balancer carries out in order. One event can decide on several requests:
///
///     std::vector<AdmissionDecision> out;
///     offer(admission, targets, {id, kind, now + deadline, bytes, target}, now, random, out);
///     finish(admission, targets, id, RequestOutcome::Done, now, random, out); // an answer came back
///     cancel(admission, targets, id, now, random, out);      // the caller no longer waits
///     expire(admission, targets, now, random, out);          // a timer, each 5 ms while anything is queued
///     for (const AdmissionDecision &it : out) {
///         switch (it.action) {
///         case AdmissionAction::Start:  // send to it.target, whose slot is already taken
///         case AdmissionAction::Queue:  // keep the request; a later decision names its id again
///         case AdmissionAction::Refuse: // answer NotRun with it.reason and it.retryAfterMs; forget the request
///         }
///     }
///
/// Each offered request gets Start or Refuse exactly once, possibly after Queue. A refused request never starts.
/// After Start the balancer calls finish() exactly once; until then the request holds its slot.
///
/// Order: a kind below its floor comes first; then the more urgent kind below its ceiling; within a kind the
/// first that came. Floors hold for slot time over a backlog, so also where a floor is less than one slot.
///
/// Bounds: a target never has more requests of this process in flight than its slots and TargetChoiceSettings::pipelineDepth (1, or 2 with short runs);
/// requests that are bound to a target never more than its slots. Memory: at most `maxQueueLength`
/// queued requests over all kinds and maxLimit running ones, about 100 bytes each.
namespace pimentofold {

/// Identifies a request within one Admission; chosen by the balancer, unique among its unfinished requests.
using RequestId = std::uint64_t;

/// How the limit on requests in flight adapts.
enum class LimitAlgorithm {
    Aimd, ///< additive increase while waits stay below the set point, multiplicative decrease on sheds and waits
    Gradient, ///< ratio of the undisturbed to the present round-trip time, plus room for the square root of the limit
    Fixed, ///< the slots of the targets
};

/// Constants of admission; the defaults are those in force.
struct AdmissionSettings {
    LimitAlgorithm limitAlgorithm = LimitAlgorithm::Aimd;
    Time maxQueueTime = 200 * millisecond; ///< a queue holds at most the work of this time
    std::size_t minQueueLength = 4; ///< a queue holds this many requests even if their work takes longer
    std::size_t maxQueueLength = 1024; ///< bound over all kinds of work
    Time waitSetPoint = 20 * millisecond; ///< wait at the targets above which the limit shrinks
    Time adaptInterval = 100 * millisecond;
    double maxLimit = 4096;
    /// The limit doesn't fall below this share of the slots, so that work which has become slower isn't taken for a wait and
    /// throttled. A dispatcher owns its targets; a balancer that shares them with others sets 1 / members.
    double minLimitShare = 0.5;
    Time minRetryAfter = 200 * millisecond; ///< least and largest hint of a refusal
    Time maxRetryAfter = 2 * second;
};

/// One kind of work of the service. Floors above 1 in total are scaled down.
struct WorkKindPolicy {
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< share of the slots' time that this kind gets whenever it has work
    double ceilingShare = 1; ///< share of the slots that this kind can occupy at most; at least one slot
};

/// A request that is offered for admission.
struct AdmissionRequest {
    RequestId id = 0;
    int workKind = 0; ///< index into the policies; others count as the least urgent kind
    Time deadline = 0; ///< point in time
    std::size_t bytes = 0; ///< size of the request
    Id target = 0; ///< target of the request's flow; 0: any target
};

enum class AdmissionAction { Start, Queue, Refuse };

/// A decision on one request.
struct AdmissionDecision {
    RequestId id = 0;
    AdmissionAction action = AdmissionAction::Refuse;
    Id target = 0; ///< Start: where to send the request
    Reason reason = Reason::None; ///< Refuse: Overload, DeadlineTooShort, NoTarget, Cancelled or TimedOut
    int retryAfterMs = 0; ///< Refuse: 200 to 2000; 0 when the caller no longer waits
};

/// How a started request ended.
enum class RequestOutcome {
    Done,
    Shed, ///< the target refused for lack of room
    Draining, ///< the target refused because it is leaving
    Lost, ///< the connection to the target broke
    Cancelled,
    Expired, ///< the target dropped it after its deadline
};

/// A request that waits in a queue.
struct QueuedRequest {
    AdmissionRequest request;
    Time queuedAt = 0;
};

/// A request that was started and not yet finished.
struct RunningRequest {
    int workKind = 0;
    Id target = 0;
    Time startedAt = 0;
};

/// State of one kind of work. Times are in microseconds, rates in requests a second smoothed over about 1 s.
struct WorkKindState {
    WorkKindPolicy policy;
    std::deque<QueuedRequest> queue; ///< in order of arrival
    int inFlight = 0;
    double meanInFlight = 0; ///< smoothed inFlight
    double credit = 0; ///< slot time owed under the floor; negative when the kind had more
    double meanRunTime = 0; ///< smoothed time from start to answer; 0 before the first answer
    double minRunTime = 0; ///< about the fastest answers
    double batchRunTime = 0; ///< runs of the batch that is being averaged
    int batchCount = 0;
    double baselineRunTime = 0; ///< mean run without waits at the targets; 0 before the first batch
    double waitTime = 0; ///< mean run of the last batch above the baseline
    double offeredRate = 0;
    double completedRate = 0;
    double refusedRate = 0;
    std::int64_t offered = 0;
    std::int64_t started = 0;
    std::int64_t refused = 0;
};

/// State of the adaptive limit.
struct LimitState {
    double limit = 0; ///< requests in flight; 0 until the targets are known
    Time adaptedAt = 0;
    int completed = 0; ///< answers in the current interval
    int shed = 0; ///< sheds in the current interval
    bool limitReached = false; ///< the limit held work back in the current interval
};

/// Admission of one service.
struct Admission {
    AdmissionSettings settings;
    std::vector<WorkKindState> kinds;
    std::unordered_map<RequestId, RunningRequest> running;
    LimitState limit;
    std::size_t queued = 0; ///< over all kinds
    Time accountedAt = 0;
    SlotTotals totals; ///< of the targets, at totalsAt
    Time totalsAt = -second;
    std::uint64_t totalsVersion = 0;
};

/// Sets the kinds of work. Queued and running requests stay.
/// @param policies one for each kind; an empty list stands for one kind without floor or ceiling
void setPolicies(Admission &admission, std::span<const WorkKindPolicy> policies);

/// Offers a request. The decisions cover this request and any that it pushed out of a queue.
/// @param out decisions are appended
void offer(Admission &admission, TargetSet &targets, const AdmissionRequest &request, Time now, Random &random, std::vector<AdmissionDecision> &out);

/// Ends a started request, frees its slot and starts queued ones. Unknown ids are ignored.
void finish(Admission &admission, TargetSet &targets, RequestId id, RequestOutcome outcome, Time now, Random &random, std::vector<AdmissionDecision> &out);

/// Takes a request out of its queue; the decision is a refusal as Cancelled. A started request isn't changed: send Cancel to
/// its target and call finish() when the target answers.
void cancel(Admission &admission, TargetSet &targets, RequestId id, Time now, Random &random, std::vector<AdmissionDecision> &out);

/// Refuses queued requests that can no longer meet their deadlines and starts others if targets have become usable.
/// Call each 5 ms while anything is queued, and after the set of targets changed.
void expire(Admission &admission, TargetSet &targets, Time now, Random &random, std::vector<AdmissionDecision> &out);

/// @return requests that may be in flight now: the limit, or the slots of the usable targets with what may be sent ahead,
///         whichever is less
int capacity(const Admission &admission, const TargetSet &targets, Time now);

/// @return a hint for a refused caller, in milliseconds: uniformly distributed from `minRetryAfter` to a bound
///         that grows with the ratio of offered to finished requests, so that callers that were refused together
///         don't come back together
int retryHintMs(const Admission &admission, Random &random);

/// What this dispatcher takes from each relaying balancer, sent as `relayPerSecond`. It is twice the kind's share of what
/// the targets finish, so that the queue never runs empty, and work beyond it is refused where it came in.
/// @param workKind index of the kind
/// @param members number of balancers that relay
/// @return requests a second; 0 when the kind isn't overloaded
double relayAllowance(const Admission &admission, const TargetSet &targets, int workKind, int members, Time now);

} // namespace pimentofold
