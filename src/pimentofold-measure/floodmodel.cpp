#include <pimentofold-measure/floodmodel.h>

#include <algorithm>

namespace pimentofold {

namespace {

constexpr std::size_t peerInbox = floodServices;
constexpr std::size_t targetInbox = floodServices + 1;
constexpr std::size_t portBound = 512; // datagrams in a socket's receive buffer
constexpr std::size_t peerBound = 2048;
constexpr std::size_t targetQueue = 8; // a target sheds what exceeds its slots and this queue
constexpr Time expiryEvery = 5 * millisecond;

/// The step that a balancer's processor is at; what it sends leaves when the time so far has passed.
struct Step {
    FloodModel &model;
    std::size_t balancer;
    Time cost = 0;
};

void afterStep(Step &step, Time delay, std::function<void()> act)
{
    after(step.model.sim, step.cost + delay, std::move(act));
}

FloodSending &sendingOf(FloodModel &model, const FloodCopy &copy)
{
    return model.requests[copy.request].sendings[copy.number];
}

/// The id of a request number in admission and in the memory of refusals.
RequestId idOf(const FloodCopy &copy)
{
    return (copy.request << 16U) + copy.number;
}

void refuseCaller(Step &step, const FloodCopy &copy, int retryAfterMs)
{
    FloodModel &model = step.model;
    step.cost += model.costs.refusal;
    sendingOf(model, copy).held = false;
    afterStep(step, callerHop, [&model, copy, retryAfterMs] { callerRefused(model, copy, retryAfterMs); });
}

/// Sends a request to a target; the answer comes back to the same balancer.
void startOn(Step &step, const FloodCopy &copy, std::size_t target)
{
    FloodModel &model = step.model;
    const std::size_t service = model.requests[copy.request].service;
    const std::size_t balancer = step.balancer;
    step.cost += model.costs.start;
    SimJob job;
    job.runFor = 1 + static_cast<Time>(exponential(model.random, model.services[service].meanRun));
    job.deadline = model.requests[copy.request].deadline;
    job.began = [&model, copy] { noteRun(model, copy); };
    job.ended = [&model, balancer, copy, target, service](RequestOutcome outcome) {
        after(model.sim, fleetHop, [&model, balancer, copy, target, service, outcome] {
            deliver(model, balancer, {ItemKind::TargetAnswer, copy, target, outcome, service, 0});
        });
    };
    afterStep(step, fleetHop, [&model, service, target, job = std::move(job)]() mutable {
        submit(model.sim, model.services[service].targets[target], std::move(job));
    });
}

/// The dispatcher refuses a request; the refusal of a retransmission is remembered.
void refuseAtDispatcher(Step &step, const FloodCopy &copy, int retryAfterMs)
{
    if (!mayRefuseWithoutRecord(copy.attempt)) {
        FloodService &service = step.model.services[step.model.requests[copy.request].service];
        recordRefusal(service.refusals, idOf(copy), step.model.sim.now);
    }
    refuseCaller(step, copy, retryAfterMs);
}

void carryOut(Step &step, const std::vector<AdmissionDecision> &out)
{
    for (const AdmissionDecision &it : out) {
        FloodCopy copy{it.id >> 16U, it.id & 0xffffU, 1};
        copy.attempt = sendingOf(step.model, copy).heldAttempt;
        if (it.action == AdmissionAction::Start) {
            startOn(step, copy, static_cast<std::size_t>(it.target) - 1);
        } else if (it.action == AdmissionAction::Refuse) {
            refuseAtDispatcher(step, copy, it.retryAfterMs);
        }
    }
}

bool mayRefuse(const FloodModel &model, const FloodCopy &copy)
{
    return model.refusesAnyCopy || mayRefuseWithoutRecord(copy.attempt);
}

bool admits(const FloodModel &model)
{
    return model.protection == Protection::InForce || model.protection == Protection::NoIngress;
}

/// The dispatcher decides on a request.
void dispatch(Step &step, const FloodCopy &copy)
{
    FloodModel &model = step.model;
    FloodSending &sending = sendingOf(model, copy);
    FloodService &service = model.services[model.requests[copy.request].service];
    if (sending.held || sending.ran || wasRefused(service.refusals, idOf(copy))) {
        sending.heldAttempt = std::max(sending.heldAttempt, copy.attempt);
        return;
    }
    sending.held = true;
    sending.heldAttempt = copy.attempt;
    if (admits(model)) {
        const Time deadline = model.requests[copy.request].deadline - callerHop;
        std::vector<AdmissionDecision> out;
        offer(service.admission, service.set, {idOf(copy), 0, deadline, 100, 0}, model.sim.now, model.random, out);
        carryOut(step, out);
        return;
    }
    const std::optional<Id> target = chooseForRequest(service.set, model.sim.now, model.random);
    if (target) {
        requestStarted(service.set, *target);
        startOn(step, copy, static_cast<std::size_t>(*target) - 1);
    } else {
        refuseAtDispatcher(step, copy, 0);
    }
}

/// @return share of the usual deadline that a request has left
double timeLeft(const FloodModel &model, const FloodCopy &copy)
{
    const FloodRequest &it = model.requests[copy.request];
    return static_cast<double>(it.deadline - model.sim.now) / static_cast<double>(model.services[it.service].deadline);
}

void handleCaller(Step &step, const FloodItem &item)
{
    FloodModel &model = step.model;
    FloodBalancer &self = model.balancers[step.balancer];
    const auto id = static_cast<Id>(item.service) + 1;
    const bool protects = model.protection == Protection::InForce;
    step.cost += model.costs.receipt;
    if (protects && !passDatagram(self.gate, id, model.sim.now)) {
        return;
    }
    step.cost += model.costs.decode;
    if (model.protection == Protection::RandomChoice) {
        startOn(step, item.copy, below(model.random, model.services[item.service].targets.size()));
    } else if (step.balancer == floodDispatcher) {
        dispatch(step, item.copy);
    } else if (protects && !passRelayedRequest(self.relayLimits[item.service], timeLeft(model, item.copy), model.sim.now)) {
        if (mayRefuse(model, item.copy)) {
            refuseCaller(step, item.copy, retryHintMs({}, model.random));
        }
    } else {
        step.cost += model.costs.relay;
        FloodItem relayed = item;
        relayed.kind = ItemKind::Relay;
        relayed.from = step.balancer;
        afterStep(step, fleetHop, [&model, relayed] { deliver(model, floodDispatcher, relayed); });
    }
    chargeDatagram(self.gate, id, step.cost);
}

/// @return the limit that goes out with an acknowledgement; 0 when none is due
double limitDue(FloodModel &model, std::size_t to, std::size_t service)
{
    Time &sentAt = model.balancers[to].limitSentAt[service];
    if (model.protection != Protection::InForce || model.sim.now < sentAt + relayLimitInterval) {
        return 0;
    }
    const FloodService &it = model.services[service];
    const double perSecond = relayAllowance(it.admission, it.set, 0, floodBalancers, model.sim.now);
    if (perSecond > 0) {
        sentAt = model.sim.now;
        model.limitMessages += 1;
    }
    return perSecond;
}

/// Acknowledges a relay; an overloaded kind's limit goes along.
void acknowledge(Step &step, std::size_t to, std::size_t service)
{
    FloodModel &model = step.model;
    const double perSecond = limitDue(model, to, service);
    step.cost += model.costs.acknowledgement;
    afterStep(step, fleetHop, [&model, to, service, perSecond] { deliver(model, to, {ItemKind::RelayAck, {}, 0, RequestOutcome::Done, service, perSecond}); });
}

void handleAnswer(Step &step, const FloodItem &item)
{
    FloodModel &model = step.model;
    FloodService &service = model.services[item.service];
    step.cost += model.costs.answer;
    if (item.outcome == RequestOutcome::Done) {
        afterStep(step, callerHop, [&model, request = item.copy.request] { callerAnswered(model, request); });
    } else {
        refuseAtDispatcher(step, item.copy, 0);
    }
    if (admits(model)) {
        std::vector<AdmissionDecision> out;
        finish(service.admission, service.set, idOf(item.copy), item.outcome, model.sim.now, model.random, out);
        carryOut(step, out);
    } else if (model.protection == Protection::NoAdmission) {
        requestEnded(service.set, static_cast<Id>(item.from) + 1, TargetOutcome::Done, model.sim.now);
    }
    chargeFollowUp(model.balancers[step.balancer].gate, static_cast<Id>(item.service) + 1, step.cost);
}

void handle(Step &step, const FloodItem &item)
{
    FloodModel &model = step.model;
    switch (item.kind) {
    case ItemKind::Caller:
        handleCaller(step, item);
        break;
    case ItemKind::Relay:
        step.cost += model.costs.peerReceipt;
        dispatch(step, item.copy);
        acknowledge(step, item.from, item.service);
        break;
    case ItemKind::TargetAnswer:
        handleAnswer(step, item);
        break;
    case ItemKind::RelayAck:
        step.cost += model.costs.peerReceipt;
        if (item.perSecond > 0) {
            setRelayLimit(model.balancers[step.balancer].relayLimits[item.service], item.perSecond, model.sim.now);
        }
        break;
    }
}

/// Handles the next item of the sockets in turn, then goes on.
void process(FloodModel &model, std::size_t balancer)
{
    FloodBalancer &self = model.balancers[balancer];
    for (std::size_t i = 0; i < self.inbox.size() && !self.busy; ++i) {
        std::deque<FloodItem> &inbox = self.inbox[(self.nextInbox + i) % self.inbox.size()];
        if (inbox.empty()) {
            continue;
        }
        const FloodItem item = inbox.front();
        inbox.pop_front();
        self.nextInbox = (self.nextInbox + i + 1) % self.inbox.size();
        self.busy = true;
        Step step{model, balancer};
        handle(step, item);
        self.busyTime += static_cast<double>(step.cost);
        after(model.sim, step.cost, [&model, balancer] {
            model.balancers[balancer].busy = false;
            process(model, balancer);
        });
    }
}

void setUpService(FloodModel &model, std::size_t index, int targets, Time meanRun, Time deadline)
{
    constexpr int slots = 2;
    constexpr double usualLoad = 0.6;
    FloodService &service = model.services[index];
    service.deadline = deadline;
    service.meanRun = static_cast<double>(meanRun);
    service.capacity = targets * slots * static_cast<double>(second) / static_cast<double>(meanRun);
    service.usualRate = usualLoad * service.capacity;
    std::vector<TargetEntry> entries;
    for (int i = 0; i < targets; ++i) {
        service.targets.push_back({slots, targetQueue, 0, {}, 0});
        entries.push_back({i + 1, slots, true});
    }
    if (model.protection == Protection::NoAdmission) {
        service.set.settings.pipelineDepth = 1 << 30;
    }
    setPolicies(service.admission, {});
    setTargets(service.set, entries, 0);
    for (const TargetEntry &it : entries) {
        setReachable(service.set, it.id, true, 0);
    }
}

} // namespace

void slowDown(StepCosts &costs, Time factor)
{
    for (Time *it : {&costs.receipt, &costs.decode, &costs.relay, &costs.peerReceipt, &costs.start, &costs.answer, &costs.refusal, &costs.acknowledgement}) {
        *it *= factor;
    }
}

void setUpFlood(FloodModel &model, Protection protection, std::uint64_t seed)
{
    model.protection = protection;
    model.random.state = seed;
    setUpService(model, 0, 15, 20 * millisecond, 1 * second);
    setUpService(model, 1, 4, 50 * millisecond, 5 * second);
    const std::array<IngressPolicy, floodServices> policies{{{1, 1, 0, 0.5, 1}, {2, 1, 1, 0.1, 1}}};
    for (FloodBalancer &it : model.balancers) {
        setIngressPolicies(it.gate, policies, 0);
    }
}

void deliver(FloodModel &model, std::size_t balancer, const FloodItem &item)
{
    FloodBalancer &self = model.balancers[balancer];
    std::size_t inbox = item.service;
    std::size_t bound = portBound;
    if (item.kind == ItemKind::TargetAnswer) {
        inbox = targetInbox;
        bound = SIZE_MAX;
    } else if (item.kind != ItemKind::Caller) {
        inbox = peerInbox;
        bound = peerBound;
    }
    if (self.inbox[inbox].size() >= bound) {
        model.socketDrops += 1;
        return;
    }
    self.inbox[inbox].push_back(item);
    process(model, balancer);
}

void addExpiry(FloodModel &model, Time until)
{
    if (model.sim.now >= until) {
        return;
    }
    for (FloodService &it : model.services) {
        Step step{model, floodDispatcher};
        std::vector<AdmissionDecision> out;
        if (it.admission.queued > 0) {
            expire(it.admission, it.set, model.sim.now, model.random, out);
            carryOut(step, out);
        }
    }
    after(model.sim, expiryEvery, [&model, until] { addExpiry(model, until); });
}

} // namespace pimentofold
