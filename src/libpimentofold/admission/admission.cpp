#include <pimentofold/admission/admission.h>

#include <algorithm>
#include <climits>
#include <cmath>
#include <limits>

#include <libpimentofold/admission/admissionlimit.h>

namespace pimentofold {

namespace {

constexpr double rateTimeConstant = static_cast<double>(1 * second);
constexpr double inFlightTimeConstant = static_cast<double>(500 * millisecond);
constexpr double maxCreditTime = static_cast<double>(1 * second); // multiplied by the slots of the floor
// Maximum debt of a kind that used more than its floor while slots were idle, multiplied by the slots of the floor; at least
// one mean run time. The bound restores the floor soon after requests of other kinds arrive.
constexpr double maxDebtTime = static_cast<double>(50 * millisecond);
constexpr double overloadRefusalShare = 0.1; // a kind is overloaded when this share of its offered requests is refused
constexpr double allowanceFactor = 2; // see relayAllowance()

using Decisions = std::vector<AdmissionDecision>;

/// Context of one event, passed to each step of its processing.
struct EventContext {
    Admission &admission;
    TargetSet &targets;
    Time now;
    Random &random;
    Decisions &out;
    int slots = 0; ///< usable slots within the concurrency limit; floors, ceilings and rates refer to these slots
    std::size_t maxInFlight = 0; ///< requests that may be in flight, including pipelined ones
};

/// @return state of a kind of work; the least urgent kind when the index is invalid
WorkKindState &findKind(Admission &admission, int workKind)
{
    if (admission.kinds.empty()) {
        setPolicies(admission, {});
    }
    const auto index = static_cast<std::size_t>(workKind);
    if (workKind >= 0 && index < admission.kinds.size()) {
        return admission.kinds[index];
    }
    return *std::max_element(
        admission.kinds.begin(), admission.kinds.end(), [](const WorkKindState &a, const WorkKindState &b) { return a.policy.urgency < b.policy.urgency; });
}

/// @return maximum number of requests of the kind in flight; unlimited for a kind without a ceiling, which may also pipeline requests
int ceilingSlots(const WorkKindState &kind, int slots)
{
    return kind.policy.ceilingShare >= 1 ? INT_MAX : std::max(1, static_cast<int>(std::lround(kind.policy.ceilingShare * slots)));
}

int floorSlots(const WorkKindState &kind, int slots)
{
    return std::max(1, static_cast<int>(std::ceil(kind.policy.floorShare * slots)));
}

/// @return number of slots that a kind can expect to get while other kinds are busy: limited by its ceiling and by the slots
///         that more urgent kinds leave, but at least its floor
double expectedSlots(const Admission &admission, const WorkKindState &kind, int slots)
{
    double moreUrgent = 0;
    for (const WorkKindState &it : admission.kinds) {
        moreUrgent += it.policy.urgency < kind.policy.urgency ? it.meanInFlight : 0;
    }
    const double left = std::min(kind.policy.ceilingShare * slots, slots - moreUrgent);
    // The lower bound keeps the expected wait of a kind without a floor finite.
    return std::max({left, kind.policy.floorShare * slots, 0.1});
}

/// Decays the rates of a kind and updates its mean number of requests in flight.
/// @param elapsed time since the last update, in microseconds
void decayRates(WorkKindState &kind, double elapsed)
{
    const double kept = std::exp(-elapsed / rateTimeConstant);
    kind.offeredRate *= kept;
    kind.completedRate *= kept;
    kind.refusedRate *= kept;
    const double meanInFlightKept = std::exp(-elapsed / inFlightTimeConstant);
    kind.meanInFlight = kind.meanInFlight * meanInFlightKept + kind.inFlight * (1 - meanInFlightKept);
}

double milliseconds(Time time)
{
    return static_cast<double>(time) / static_cast<double>(millisecond);
}

/// Counts one event in an exponentially decaying rate, in events per second.
void addToRate(double &rate)
{
    rate += static_cast<double>(second) / rateTimeConstant;
}

/// Credits each kind with the slot time of its floor and charges the slot time that the kind used since the last event. Credit
/// accumulates only while the kind has queued requests.
void accountSlotTime(Admission &admission, int slots, Time now)
{
    const auto elapsed = static_cast<double>(now - admission.accountedAt);
    admission.accountedAt = now;
    for (WorkKindState &it : admission.kinds) {
        decayRates(it, elapsed);
        const double floor = it.policy.floorShare * slots;
        const bool active = !it.queue.empty() || it.inFlight > 0;
        const double maxCredit = it.queue.empty() ? 0.0 : floor * maxCreditTime;
        it.credit += (active ? floor * elapsed : 0.0) - it.inFlight * elapsed;
        it.credit = std::clamp(it.credit, -std::max(floor * maxDebtTime, it.meanRunTime), maxCredit);
    }
}

void refuse(EventContext &event, WorkKindState &kind, RequestId id, Reason reason)
{
    kind.refused += 1;
    addToRate(kind.refusedRate);
    const bool callerWaits = reason != Reason::Cancelled && reason != Reason::TimedOut;
    event.out.push_back({id, AdmissionAction::Refuse, 0, reason, callerWaits ? retryHintMs(event.admission, event.random) : 0});
}

/// @return the target on which a request can start now; std::nullopt when there is none
std::optional<Id> findStartTarget(const EventContext &event, const AdmissionRequest &request)
{
    if (request.target != 0) {
        return mayStartOn(event.targets, request.target) ? std::optional(request.target) : std::nullopt;
    }
    return chooseForRequest(event.targets, event.now, event.random);
}

void start(EventContext &event, WorkKindState &kind, const AdmissionRequest &request, Id target)
{
    requestStarted(event.targets, target);
    kind.inFlight += 1;
    kind.started += 1;
    const auto index = static_cast<int>(&kind - event.admission.kinds.data());
    event.admission.running[request.id] = {index, target, event.now};
    event.out.push_back({request.id, AdmissionAction::Start, target, Reason::None, 0});
}

/// Order in which kinds start requests: first kinds below their floor, by the ratio of credit to floor; then by urgency; then by
/// the arrival of the first queued request.
/// @return whether @p a starts before @p b
bool precedes(const WorkKindState &a, const WorkKindState &b, int slots)
{
    const auto belowFloor = [slots](const WorkKindState &it) { return it.policy.floorShare > 0 && it.credit >= 0 && it.inFlight < floorSlots(it, slots); };
    if (belowFloor(a) != belowFloor(b)) {
        return belowFloor(a);
    }
    if (belowFloor(a)) {
        return a.credit / a.policy.floorShare > b.credit / b.policy.floorShare;
    }
    if (a.policy.urgency != b.policy.urgency) {
        return a.policy.urgency < b.policy.urgency;
    }
    return a.queue.front().queuedAt < b.queue.front().queuedAt;
}

/// @return kinds with queued requests that are below their ceilings, in the order in which they start requests
std::vector<WorkKindState *> startableKinds(Admission &admission, int slots)
{
    std::vector<WorkKindState *> order;
    for (WorkKindState &it : admission.kinds) {
        if (!it.queue.empty() && it.inFlight < ceilingSlots(it, slots)) {
            order.push_back(&it);
        }
    }
    std::stable_sort(order.begin(), order.end(), [slots](const WorkKindState *a, const WorkKindState *b) { return precedes(*a, *b, slots); });
    return order;
}

/// Starts the first queued request of a kind for which a target has capacity. A request that is bound to a busy target doesn't
/// block the requests behind it.
/// @return whether a request was started
bool startFirst(EventContext &event, WorkKindState &kind)
{
    bool unboundBlocked = false;
    for (auto it = kind.queue.begin(); it != kind.queue.end(); ++it) {
        if (it->request.target == 0 && unboundBlocked) {
            continue;
        }
        const std::optional<Id> target = findStartTarget(event, it->request);
        if (target) {
            const AdmissionRequest request = it->request;
            kind.queue.erase(it);
            event.admission.queued -= 1;
            start(event, kind, request, *target);
            return true;
        }
        unboundBlocked = unboundBlocked || it->request.target == 0;
    }
    return false;
}

/// Starts the next queued request over all kinds.
/// @return whether a request was started
bool startOne(EventContext &event)
{
    for (WorkKindState *it : startableKinds(event.admission, event.slots)) {
        if (startFirst(event, *it)) {
            return true;
        }
    }
    return false;
}

/// Starts queued requests while the concurrency limit and the targets allow it.
void startQueued(EventContext &event)
{
    while (event.admission.queued > 0) {
        if (event.admission.running.size() >= event.maxInFlight) {
            event.admission.limit.limitReached = true;
            return;
        }
        if (!startOne(event)) {
            return;
        }
    }
}

/// @return why a request can't be served in time even by an idle service; Reason::None when it can
Reason unservableReason(const EventContext &event, const WorkKindState &kind, const AdmissionRequest &request)
{
    const auto timeLeft = static_cast<double>(request.deadline - event.now);
    if (timeLeft <= 0) {
        return Reason::TimedOut;
    }
    if (timeLeft < kind.minRunTime) {
        return Reason::DeadlineTooShort;
    }
    const auto usable = [](const TargetLoad &it) { return it.serving && it.reachable && !it.draining; };
    const TargetLoad *boundTarget = request.target != 0 ? findTarget(event.targets, request.target) : nullptr;
    const bool hasTarget = request.target != 0 ? boundTarget != nullptr && boundTarget->reachable : std::ranges::any_of(event.targets.targets, usable);
    return hasTarget ? Reason::None : Reason::NoTarget;
}

/// @return the number of slots, reduced to the concurrency limit; at least 1
int applyLimit(const Admission &admission, int slots)
{
    const double limit = admission.limit.limit > 0 ? admission.limit.limit : admission.settings.maxLimit;
    return std::max(1, std::min(slots, static_cast<int>(limit)));
}

/// Updates the cached sums over the targets when a target has changed, and each millisecond, since slot shares and slow start
/// change with time.
void updateTotals(Admission &admission, const TargetSet &targets, Time now)
{
    if (admission.totalsVersion == targets.version && now - admission.totalsAt < millisecond) {
        return;
    }
    admission.totals = slotTotals(targets, now);
    admission.totalsAt = now;
    admission.totalsVersion = targets.version;
}

/// @return expected time until the queue of the kind is empty, in microseconds
double expectedWait(const Admission &admission, const WorkKindState &kind, int slots)
{
    return static_cast<double>(kind.queue.size()) * kind.meanRunTime / expectedSlots(admission, kind, slots);
}

/// @return maximum length of the kind's queue
std::size_t maxQueuedRequests(const Admission &admission, const WorkKindState &kind, int slots)
{
    if (kind.meanRunTime == 0) {
        return std::max(admission.settings.minQueueLength, static_cast<std::size_t>(slots));
    }
    const double work = static_cast<double>(admission.settings.maxQueueTime) * expectedSlots(admission, kind, slots) / kind.meanRunTime;
    return std::max(admission.settings.minQueueLength, static_cast<std::size_t>(work));
}

/// Refuses the queued request of a kind that has the earliest deadline.
void refuseEarliestDeadline(EventContext &event, WorkKindState &kind)
{
    const auto it = std::min_element(
        kind.queue.begin(), kind.queue.end(), [](const QueuedRequest &a, const QueuedRequest &b) { return a.request.deadline < b.request.deadline; });
    const RequestId id = it->request.id;
    kind.queue.erase(it);
    event.admission.queued -= 1;
    refuse(event, kind, id, Reason::Overload);
}

/// @return the kind whose queue is shortened when all queues are full: the least urgent kind that exceeds its equal share of
///         the queue capacity; without such a kind, the one with the longest queue
WorkKindState &kindToTrim(Admission &admission)
{
    const std::size_t equalShare = admission.settings.maxQueueLength / admission.kinds.size();
    return *std::max_element(admission.kinds.begin(), admission.kinds.end(), [equalShare](const WorkKindState &a, const WorkKindState &b) {
        const bool exceedsA = a.queue.size() > equalShare;
        const bool exceedsB = b.queue.size() > equalShare;
        if (exceedsA != exceedsB) {
            return exceedsB;
        }
        return exceedsA ? a.policy.urgency < b.policy.urgency : a.queue.size() < b.queue.size();
    });
}

/// Queues a request. Bounds on the queues may refuse this or another queued request.
void enqueue(EventContext &event, WorkKindState &kind, const AdmissionRequest &request)
{
    kind.queue.push_back({request, event.now});
    event.admission.queued += 1;
    const std::size_t firstRefusal = event.out.size();
    if (kind.queue.size() > maxQueuedRequests(event.admission, kind, event.slots)) {
        refuseEarliestDeadline(event, kind);
    }
    while (event.admission.queued > event.admission.settings.maxQueueLength) {
        refuseEarliestDeadline(event, kindToTrim(event.admission));
    }
    const bool offeredRefused = std::any_of(event.out.begin() + static_cast<std::ptrdiff_t>(firstRefusal),
                                            event.out.end(),
                                            [&request](const AdmissionDecision &it) { return it.id == request.id; });
    if (!offeredRefused) {
        event.out.push_back({request.id, AdmissionAction::Queue, 0, Reason::None, 0});
    }
}

/// Begins an event: updates the totals and the concurrency limit, and accounts the slot time since the last event.
EventContext beginEvent(Admission &admission, TargetSet &targets, Time now, Random &random, Decisions &out)
{
    updateTotals(admission, targets, now);
    adaptLimit(admission, admission.totals.reachable, now);
    EventContext event{admission, targets, now, random, out};
    event.slots = applyLimit(admission, admission.totals.usable);
    event.maxInFlight = static_cast<std::size_t>(applyLimit(admission, admission.totals.usable + admission.totals.pipeline));
    accountSlotTime(admission, event.slots, now);
    return event;
}

TargetOutcome targetOutcome(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Done:
        return TargetOutcome::Done;
    case RequestOutcome::Shed:
        return TargetOutcome::Shed;
    case RequestOutcome::Draining:
        return TargetOutcome::Draining;
    case RequestOutcome::Lost:
        return TargetOutcome::Lost;
    case RequestOutcome::Cancelled:
    case RequestOutcome::Expired:
        break;
    }
    return TargetOutcome::Cancelled;
}

/// Refuses the queued requests of a kind that can no longer be served in time.
void expireQueue(EventContext &event, WorkKindState &kind)
{
    for (auto it = kind.queue.begin(); it != kind.queue.end();) {
        const Reason reason = unservableReason(event, kind, it->request);
        if (reason == Reason::None) {
            ++it;
            continue;
        }
        const RequestId id = it->request.id;
        it = kind.queue.erase(it);
        event.admission.queued -= 1;
        // The deadline was long enough when the request was queued, so the wait in the queue made it too short: an overload.
        refuse(event, kind, id, reason == Reason::DeadlineTooShort ? Reason::Overload : reason);
    }
}

double sumOfFloors(std::span<const WorkKindPolicy> policies)
{
    double sum = 0;
    for (const WorkKindPolicy &it : policies) {
        sum += it.floorShare;
    }
    return sum;
}

} // namespace

void setPolicies(Admission &admission, std::span<const WorkKindPolicy> policies)
{
    const WorkKindPolicy single;
    if (policies.empty()) {
        policies = {&single, 1};
    }
    // Kinds are never removed, since running requests refer to them by index.
    admission.kinds.resize(std::max(admission.kinds.size(), policies.size()));
    const double scale = 1 / std::max(1.0, sumOfFloors(policies));
    for (std::size_t i = 0; i < policies.size(); ++i) {
        admission.kinds[i].policy = policies[i];
        admission.kinds[i].policy.floorShare *= scale;
    }
}

void offer(Admission &admission, TargetSet &targets, const AdmissionRequest &request, Time now, Random &random, Decisions &out)
{
    WorkKindState &kind = findKind(admission, request.workKind);
    EventContext event = beginEvent(admission, targets, now, random, out);
    kind.offered += 1;
    addToRate(kind.offeredRate);
    const Reason reason = unservableReason(event, kind, request);
    if (reason != Reason::None) {
        refuse(event, kind, request.id, reason);
        return;
    }
    const auto timeLeft = static_cast<double>(request.deadline - now);
    const double wait = expectedWait(admission, kind, event.slots);
    if (wait > 0 && wait + kind.meanRunTime > timeLeft) {
        refuse(event, kind, request.id, Reason::Overload);
        return;
    }
    const bool hasRoom = admission.running.size() < event.maxInFlight && kind.inFlight < ceilingSlots(kind, event.slots);
    const std::optional<Id> target = hasRoom && kind.queue.empty() ? findStartTarget(event, request) : std::nullopt;
    if (target) {
        start(event, kind, request, *target);
        return;
    }
    enqueue(event, kind, request);
    startQueued(event);
}

void finish(Admission &admission, TargetSet &targets, RequestId id, RequestOutcome outcome, Time now, Random &random, Decisions &out)
{
    const auto it = admission.running.find(id);
    if (it == admission.running.end()) {
        return;
    }
    EventContext event = beginEvent(admission, targets, now, random, out);
    const RunningRequest run = it->second;
    admission.running.erase(it);
    WorkKindState &kind = admission.kinds[static_cast<std::size_t>(run.workKind)];
    kind.inFlight -= 1;
    requestEnded(targets, run.target, targetOutcome(outcome), now);
    if (outcome == RequestOutcome::Done) {
        addToRate(kind.completedRate);
        recordRunTime(admission, kind, now - run.startedAt);
        recordRunTime(targets, now - run.startedAt);
    } else if (outcome == RequestOutcome::Shed) {
        admission.limit.shed += 1;
    }
    startQueued(event);
}

void cancel(Admission &admission, TargetSet &targets, RequestId id, Time now, Random &random, Decisions &out)
{
    EventContext event = beginEvent(admission, targets, now, random, out);
    for (WorkKindState &kind : admission.kinds) {
        const auto it = std::find_if(kind.queue.begin(), kind.queue.end(), [id](const QueuedRequest &queued) { return queued.request.id == id; });
        if (it != kind.queue.end()) {
            kind.queue.erase(it);
            admission.queued -= 1;
            refuse(event, kind, id, Reason::Cancelled);
            return;
        }
    }
}

void expire(Admission &admission, TargetSet &targets, Time now, Random &random, Decisions &out)
{
    EventContext event = beginEvent(admission, targets, now, random, out);
    for (WorkKindState &it : admission.kinds) {
        expireQueue(event, it);
    }
    startQueued(event);
}

int capacity(const Admission &admission, const TargetSet &targets, Time now)
{
    const SlotTotals totals = slotTotals(targets, now);
    return applyLimit(admission, totals.usable + totals.pipeline);
}

int retryHintMs(const Admission &admission, Random &random)
{
    double offered = 0;
    double completed = 0;
    for (const WorkKindState &it : admission.kinds) {
        offered += it.offeredRate;
        completed += it.completedRate;
    }
    const auto minHint = milliseconds(admission.settings.minRetryAfter);
    const auto maxHint = milliseconds(admission.settings.maxRetryAfter);
    const double overload = completed > 0 ? offered / completed : std::numeric_limits<double>::infinity();
    const double bound = std::clamp(2 * minHint * overload, 2 * minHint, maxHint);
    return static_cast<int>(std::lround(minHint + unit(random) * (bound - minHint)));
}

double relayAllowance(const Admission &admission, const TargetSet &targets, int workKind, int members, Time now)
{
    const auto index = static_cast<std::size_t>(workKind);
    if (workKind < 0 || index >= admission.kinds.size() || members < 1) {
        return 0;
    }
    const WorkKindState &kind = admission.kinds[index];
    if (kind.meanRunTime == 0 || kind.refusedRate < overloadRefusalShare * kind.offeredRate) {
        return 0;
    }
    const double slots = expectedSlots(admission, kind, applyLimit(admission, slotTotals(targets, now).usable));
    const double rate = slots * static_cast<double>(second) / kind.meanRunTime;
    return std::max(1.0, allowanceFactor * rate / members);
}

} // namespace pimentofold
