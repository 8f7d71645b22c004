#include <pimentofold/admission.h>

#include <algorithm>
#include <climits>
#include <cmath>
#include <limits>

#include <libpimentofold/admissionlimit.h>

namespace pimentofold {

namespace {

constexpr double rateTime = static_cast<double>(1 * second);
constexpr double busyTime = static_cast<double>(500 * millisecond);
constexpr double creditMost = static_cast<double>(1 * second); // of the floor's slots
// A kind that had more than its floor while slots were idle owes at most this much (or one mean run), so that
// its floor is back soon after others come.
constexpr double debtMost = static_cast<double>(50 * millisecond);
constexpr double overloadedShare = 0.1;
constexpr double allowanceFactor = 2;

using Decisions = std::vector<AdmissionDecision>;

/// What each step of an event needs.
struct Event {
    Admission &admission;
    TargetSet &targets;
    Time now;
    Random &random;
    Decisions &out;
    int slots = 0; ///< slots that requests can use; shares and rates refer to them
    std::size_t most = 0; ///< requests that may be in flight, with those sent ahead
};

WorkKindState &kindOf(Admission &admission, int workKind)
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

/// @return requests of the kind that may be in flight; a kind without a ceiling may also use those sent ahead
int ceilingSlots(const WorkKindState &kind, int slots)
{
    return kind.policy.ceilingShare >= 1 ? INT_MAX : std::max(1, static_cast<int>(std::lround(kind.policy.ceilingShare * slots)));
}

int floorSlots(const WorkKindState &kind, int slots)
{
    return std::max(1, static_cast<int>(std::ceil(kind.policy.floorShare * slots)));
}

/// Slots that a kind can count on while others are busy: what its ceiling allows less what more urgent kinds use,
/// at least its floor.
double slotsFor(const Admission &admission, const WorkKindState &kind, int slots)
{
    double moreUrgent = 0;
    for (const WorkKindState &it : admission.kinds) {
        moreUrgent += it.policy.urgency < kind.policy.urgency ? it.meanInFlight : 0;
    }
    const double left = std::min(kind.policy.ceilingShare * slots, slots - moreUrgent);
    // The lower bound keeps the expected wait of a kind without a floor finite.
    return std::max({left, kind.policy.floorShare * slots, 0.1});
}

void fadeRates(WorkKindState &kind, double elapsed)
{
    const double kept = std::exp(-elapsed / rateTime);
    kind.offeredRate *= kept;
    kind.completedRate *= kept;
    kind.refusedRate *= kept;
    const double busyKept = std::exp(-elapsed / busyTime);
    kind.meanInFlight = kind.meanInFlight * busyKept + kind.inFlight * (1 - busyKept);
}

double milliseconds(Time time)
{
    return static_cast<double>(time) / static_cast<double>(millisecond);
}

void countRate(double &rate)
{
    rate += static_cast<double>(second) / rateTime;
}

/// Credits each kind with the slot time of its floor and charges what it used since the last event.
void account(Admission &admission, int slots, Time now)
{
    const auto elapsed = static_cast<double>(now - admission.accountedAt);
    admission.accountedAt = now;
    for (WorkKindState &it : admission.kinds) {
        fadeRates(it, elapsed);
        const double floor = it.policy.floorShare * slots;
        const bool active = !it.queue.empty() || it.inFlight > 0;
        const double most = it.queue.empty() ? 0.0 : floor * creditMost;
        it.credit += (active ? floor * elapsed : 0.0) - it.inFlight * elapsed;
        it.credit = std::clamp(it.credit, -std::max(floor * debtMost, it.meanRunTime), most);
    }
}

void refuse(Event &event, WorkKindState &kind, RequestId id, Reason reason)
{
    kind.refused += 1;
    countRate(kind.refusedRate);
    const bool waits = reason != Reason::Cancelled && reason != Reason::TimedOut;
    event.out.push_back({id, AdmissionAction::Refuse, 0, reason, waits ? retryHintMs(event.admission, event.random) : 0});
}

/// @return the target on which a request can start now
std::optional<Id> startableOn(const Event &event, const AdmissionRequest &request)
{
    if (request.target != 0) {
        return mayStartOn(event.targets, request.target) ? std::optional(request.target) : std::nullopt;
    }
    return chooseForRequest(event.targets, event.now, event.random);
}

void start(Event &event, WorkKindState &kind, const AdmissionRequest &request, Id target)
{
    requestStarted(event.targets, target);
    kind.inFlight += 1;
    kind.started += 1;
    const auto index = static_cast<int>(&kind - event.admission.kinds.data());
    event.admission.running[request.id] = {index, target, event.now};
    event.out.push_back({request.id, AdmissionAction::Start, target, Reason::None, 0});
}

/// The order of kinds: those owed slot time under their floor, longest first; then by urgency; then by arrival.
bool goesBefore(const WorkKindState &a, const WorkKindState &b, int slots)
{
    const auto owed = [slots](const WorkKindState &it) { return it.policy.floorShare > 0 && it.credit >= 0 && it.inFlight < floorSlots(it, slots); };
    if (owed(a) != owed(b)) {
        return owed(a);
    }
    if (owed(a)) {
        return a.credit / a.policy.floorShare > b.credit / b.policy.floorShare;
    }
    if (a.policy.urgency != b.policy.urgency) {
        return a.policy.urgency < b.policy.urgency;
    }
    return a.queue.front().queuedAt < b.queue.front().queuedAt;
}

/// @return kinds with queued requests and room below their ceilings, in the order in which they may start
std::vector<WorkKindState *> kindsInOrder(Admission &admission, int slots)
{
    std::vector<WorkKindState *> order;
    for (WorkKindState &it : admission.kinds) {
        if (!it.queue.empty() && it.inFlight < ceilingSlots(it, slots)) {
            order.push_back(&it);
        }
    }
    std::stable_sort(order.begin(), order.end(), [slots](const WorkKindState *a, const WorkKindState *b) { return goesBefore(*a, *b, slots); });
    return order;
}

/// Starts the first request of a kind whose target has room.
bool startFirst(Event &event, WorkKindState &kind)
{
    bool anyTargetFull = false;
    for (auto it = kind.queue.begin(); it != kind.queue.end(); ++it) {
        if (it->request.target == 0 && anyTargetFull) {
            continue;
        }
        const std::optional<Id> target = startableOn(event, it->request);
        if (target) {
            const AdmissionRequest request = it->request;
            kind.queue.erase(it);
            event.admission.queued -= 1;
            start(event, kind, request, *target);
            return true;
        }
        anyTargetFull = anyTargetFull || it->request.target == 0;
    }
    return false;
}

bool startOne(Event &event)
{
    for (WorkKindState *it : kindsInOrder(event.admission, event.slots)) {
        if (startFirst(event, *it)) {
            return true;
        }
    }
    return false;
}

void startQueued(Event &event)
{
    while (event.admission.queued > 0) {
        if (event.admission.running.size() >= event.most) {
            event.admission.limit.limitReached = true;
            return;
        }
        if (!startOne(event)) {
            return;
        }
    }
}

/// @return why a request can't be served even by an idle service; None when it can
Reason hopeless(const Event &event, const WorkKindState &kind, const AdmissionRequest &request)
{
    const auto left = static_cast<double>(request.deadline - event.now);
    if (left <= 0) {
        return Reason::TimedOut;
    }
    if (left < kind.minRunTime) {
        return Reason::DeadlineTooShort;
    }
    const auto usable = [](const TargetLoad &it) { return it.serving && it.reachable && !it.draining; };
    const TargetLoad *bound = request.target != 0 ? findTarget(event.targets, request.target) : nullptr;
    const bool any = request.target != 0 ? bound != nullptr && bound->reachable : std::ranges::any_of(event.targets.targets, usable);
    return any ? Reason::None : Reason::NoTarget;
}

int limited(const Admission &admission, int slots)
{
    const double limit = admission.limit.limit > 0 ? admission.limit.limit : admission.settings.maxLimit;
    return std::max(1, std::min(slots, static_cast<int>(limit)));
}

/// Renews the sums over the targets when a target has changed, or after a millisecond for shares and ramps.
void updateTotals(Admission &admission, const TargetSet &targets, Time now)
{
    if (admission.totalsVersion == targets.version && now - admission.totalsAt < millisecond) {
        return;
    }
    admission.totals = slotTotals(targets, now);
    admission.totalsAt = now;
    admission.totalsVersion = targets.version;
}

double expectedWait(const Admission &admission, const WorkKindState &kind, int slots)
{
    return static_cast<double>(kind.queue.size()) * kind.meanRunTime / slotsFor(admission, kind, slots);
}

/// @return requests that the kind's queue may hold
std::size_t queueBound(const Admission &admission, const WorkKindState &kind, int slots)
{
    if (kind.meanRunTime == 0) {
        return std::max(admission.settings.minQueueLength, static_cast<std::size_t>(slots));
    }
    const double work = static_cast<double>(admission.settings.maxQueueTime) * slotsFor(admission, kind, slots) / kind.meanRunTime;
    return std::max(admission.settings.minQueueLength, static_cast<std::size_t>(work));
}

/// Refuses the request of a queue that has the least time left.
void dropLeastTimeLeft(Event &event, WorkKindState &kind)
{
    const auto it = std::min_element(
        kind.queue.begin(), kind.queue.end(), [](const QueuedRequest &a, const QueuedRequest &b) { return a.request.deadline < b.request.deadline; });
    const RequestId id = it->request.id;
    kind.queue.erase(it);
    event.admission.queued -= 1;
    refuse(event, kind, id, Reason::Overload);
}

/// @return the least urgent kind that queues more than its part of the memory, else the longest queue
WorkKindState &kindToTrim(Admission &admission)
{
    const std::size_t part = admission.settings.maxQueueLength / admission.kinds.size();
    return *std::max_element(admission.kinds.begin(), admission.kinds.end(), [part](const WorkKindState &a, const WorkKindState &b) {
        const bool overA = a.queue.size() > part;
        const bool overB = b.queue.size() > part;
        if (overA != overB) {
            return overB;
        }
        return overA ? a.policy.urgency < b.policy.urgency : a.queue.size() < b.queue.size();
    });
}

void enqueue(Event &event, WorkKindState &kind, const AdmissionRequest &request)
{
    kind.queue.push_back({request, event.now});
    event.admission.queued += 1;
    const std::size_t refusals = event.out.size();
    if (kind.queue.size() > queueBound(event.admission, kind, event.slots)) {
        dropLeastTimeLeft(event, kind);
    }
    while (event.admission.queued > event.admission.settings.maxQueueLength) {
        dropLeastTimeLeft(event, kindToTrim(event.admission));
    }
    const bool dropped = std::any_of(
        event.out.begin() + static_cast<std::ptrdiff_t>(refusals), event.out.end(), [&request](const AdmissionDecision &it) { return it.id == request.id; });
    if (!dropped) {
        event.out.push_back({request.id, AdmissionAction::Queue, 0, Reason::None, 0});
    }
}

/// Starts an event: accounts for the time since the last one.
Event begin(Admission &admission, TargetSet &targets, Time now, Random &random, Decisions &out)
{
    updateTotals(admission, targets, now);
    adaptLimit(admission, admission.totals.reachable, now);
    Event event{admission, targets, now, random, out};
    event.slots = limited(admission, admission.totals.usable);
    event.most = static_cast<std::size_t>(limited(admission, admission.totals.usable + admission.totals.pipeline));
    account(admission, event.slots, now);
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

void expireQueue(Event &event, WorkKindState &kind)
{
    for (auto it = kind.queue.begin(); it != kind.queue.end();) {
        const Reason reason = hopeless(event, kind, it->request);
        if (reason == Reason::None) {
            ++it;
            continue;
        }
        const RequestId id = it->request.id;
        it = kind.queue.erase(it);
        event.admission.queued -= 1;
        // A queued request whose time has run short met an overload, not a deadline that was too short from the start.
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
    // Kinds are only added, since running requests refer to them by index.
    admission.kinds.resize(std::max(admission.kinds.size(), policies.size()));
    const double scale = 1 / std::max(1.0, sumOfFloors(policies));
    for (std::size_t i = 0; i < policies.size(); ++i) {
        admission.kinds[i].policy = policies[i];
        admission.kinds[i].policy.floorShare *= scale;
    }
}

void offer(Admission &admission, TargetSet &targets, const AdmissionRequest &request, Time now, Random &random, Decisions &out)
{
    WorkKindState &kind = kindOf(admission, request.workKind);
    Event event = begin(admission, targets, now, random, out);
    kind.offered += 1;
    countRate(kind.offeredRate);
    const Reason reason = hopeless(event, kind, request);
    if (reason != Reason::None) {
        refuse(event, kind, request.id, reason);
        return;
    }
    const auto left = static_cast<double>(request.deadline - now);
    const double wait = expectedWait(admission, kind, event.slots);
    if (wait > 0 && wait + kind.meanRunTime > left) {
        refuse(event, kind, request.id, Reason::Overload);
        return;
    }
    const bool roomNow = admission.running.size() < event.most && kind.inFlight < ceilingSlots(kind, event.slots);
    const std::optional<Id> target = roomNow && kind.queue.empty() ? startableOn(event, request) : std::nullopt;
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
    Event event = begin(admission, targets, now, random, out);
    const RunningRequest run = it->second;
    admission.running.erase(it);
    WorkKindState &kind = admission.kinds[static_cast<std::size_t>(run.workKind)];
    kind.inFlight -= 1;
    requestEnded(targets, run.target, targetOutcome(outcome), now);
    if (outcome == RequestOutcome::Done) {
        countRate(kind.completedRate);
        recordRunTime(admission, kind, now - run.startedAt);
        recordRunTime(targets, now - run.startedAt);
    } else if (outcome == RequestOutcome::Shed) {
        admission.limit.shed += 1;
    }
    startQueued(event);
}

void cancel(Admission &admission, TargetSet &targets, RequestId id, Time now, Random &random, Decisions &out)
{
    Event event = begin(admission, targets, now, random, out);
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
    Event event = begin(admission, targets, now, random, out);
    for (WorkKindState &it : admission.kinds) {
        expireQueue(event, it);
    }
    startQueued(event);
}

int capacity(const Admission &admission, const TargetSet &targets, Time now)
{
    const SlotTotals totals = slotTotals(targets, now);
    return limited(admission, totals.usable + totals.pipeline);
}

int retryHintMs(const Admission &admission, Random &random)
{
    double offered = 0;
    double ended = 0;
    for (const WorkKindState &it : admission.kinds) {
        offered += it.offeredRate;
        ended += it.completedRate;
    }
    const auto least = milliseconds(admission.settings.minRetryAfter);
    const auto most = milliseconds(admission.settings.maxRetryAfter);
    const double overload = ended > 0 ? offered / ended : std::numeric_limits<double>::infinity();
    const double bound = std::clamp(2 * least * overload, 2 * least, most);
    return static_cast<int>(std::lround(least + unit(random) * (bound - least)));
}

double relayAllowance(const Admission &admission, const TargetSet &targets, int workKind, int members, Time now)
{
    const auto index = static_cast<std::size_t>(workKind);
    if (workKind < 0 || index >= admission.kinds.size() || members < 1) {
        return 0;
    }
    const WorkKindState &kind = admission.kinds[index];
    if (kind.meanRunTime == 0 || kind.refusedRate < overloadedShare * kind.offeredRate) {
        return 0;
    }
    const double slots = slotsFor(admission, kind, limited(admission, slotTotals(targets, now).usable));
    const double rate = slots * static_cast<double>(second) / kind.meanRunTime;
    return std::max(1.0, allowanceFactor * rate / members);
}

} // namespace pimentofold
