#include <pimentofold-balancer/balancer.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

RequestOutcome workOutcome(wire::Outcome::type outcome)
{
    switch (outcome) {
    case wire::Outcome::Done:
        return RequestOutcome::Done;
    case wire::Outcome::Shed:
        return RequestOutcome::Shed;
    case wire::Outcome::Draining:
        return RequestOutcome::Draining;
    case wire::Outcome::Expired:
        return RequestOutcome::Expired;
    default:
        return RequestOutcome::Cancelled;
    }
}

} // namespace

RequestOutcome Balancer::outcomeOf(const wire::TargetFrame &frame)
{
    return workOutcome(frame.__isset.outcome ? frame.outcome : wire::Outcome::Done);
}

Lane &Balancer::laneOf(const InFlight &entry)
{
    ServiceLoad &load = m_load[entry.serviceId];
    return entry.direct ? load.direct : load.main;
}

/// Offers a request for admission.
/// @param target of the request's flow; 0: any target
void Balancer::offerRequest(InFlightId id, Id target)
{
    InFlight &entry = *m_inFlight.find(id);
    Lane &lane = laneOf(entry);
    entry.queued = true;
    std::vector<AdmissionDecision> decisions;
    offer(lane.admission, lane.targets, {id, entry.packet.workKind, entry.deadline, entry.packet.body.size(), target}, m_now, m_random, decisions);
    carryOut(lane, std::move(decisions));
}

/// Carries out decisions, including those that follow from them.
void Balancer::carryOut(Lane &lane, std::vector<AdmissionDecision> decisions)
{
    for (std::size_t i = 0; i < decisions.size(); ++i) {
        const AdmissionDecision decision = decisions[i];
        if (decision.action == AdmissionAction::Queue) {
            continue;
        }
        InFlight *entry = m_inFlight.find(decision.id);
        if (decision.action == AdmissionAction::Start) {
            PooledTarget *target = m_pool.find(decision.target);
            if (entry != nullptr) {
                entry->queued = false;
                entry->admitted = true;
            }
            if (entry != nullptr && target != nullptr && sendToTarget(decision.id, *target)) {
                continue;
            }
            pimentofold::finish(lane.admission, lane.targets, decision.id, RequestOutcome::Lost, m_now, m_random, decisions);
            if (entry != nullptr) {
                entry->admitted = false;
                finish(decision.id, {Verdict::NotRun, Reason::NoTarget, retryHint(), {}});
            }
        } else if (entry != nullptr) {
            entry->queued = false;
            refuseAdmission(decision);
        }
    }
}

void Balancer::refuseAdmission(const AdmissionDecision &decision)
{
    InFlight &entry = *m_inFlight.find(decision.id);
    // A request in the direct lane was relayed before; its dispatcher may hold it although it didn't acknowledge.
    if (entry.purpose != Purpose::OnceRequest && (entry.direct || !mayRefuseWithoutRecord(entry.packet.attempt))) {
        const ViewService *service = findService(m_view, entry.serviceId);
        if (service == nullptr || service->session || entry.direct) {
            // An earlier sending may be with another balancer, so that "not run" could be untrue.
            count(m_metrics, "refusals_withheld_total");
            forget(decision.id);
            return;
        }
        recordRefusal(m_load[entry.serviceId].refusals, requestHash(entry.serviceId, entry.packet.flow, entry.packet.request), m_now);
    }
    finish(decision.id, {Verdict::NotRun, decision.reason, decision.retryAfterMs, {}});
}

/// Ends a request's claim on a slot or its place in a queue. The entry stays.
void Balancer::release(InFlightId id, RequestOutcome outcome)
{
    InFlight &entry = *m_inFlight.find(id);
    Lane &lane = laneOf(entry);
    std::vector<AdmissionDecision> decisions;
    if (entry.admitted) {
        entry.admitted = false;
        pimentofold::finish(lane.admission, lane.targets, id, outcome, m_now, m_random, decisions);
    } else if (entry.queued) {
        entry.queued = false;
        pimentofold::cancel(lane.admission, lane.targets, id, m_now, m_random, decisions);
        std::erase_if(decisions, [id](const AdmissionDecision &it) { return it.id == id; });
    }
    carryOut(lane, std::move(decisions));
}

/// Sends a request of a service without sessions to any target.
void Balancer::place(InFlightId id, bool direct)
{
    m_inFlight.find(id)->direct = direct;
    offerRequest(id, 0);
}

std::optional<Id> Balancer::chooseTarget(const ViewService &service)
{
    const std::optional<Id> choice = chooseForFlow(m_load[service.id].main.targets, m_now, m_random);
    const PooledTarget *target = choice ? m_pool.find(*choice) : nullptr;
    return target != nullptr && acceptsNewWork(target->link, m_now) ? choice : std::nullopt;
}

void Balancer::updateLoads()
{
    m_now = monotonicNow();
    std::erase_if(m_load, [this](const auto &it) { return findService(m_view, it.first) == nullptr; });
    for (const ViewService &it : m_view.services) {
        updateLoad(m_load[it.id], m_view, it, m_own, m_now);
    }
    setIngressPolicies(m_gate, ingressPolicies(m_view), m_now);
    for (const auto &[id, target] : m_pool.targets()) {
        noteTarget(*target);
    }
    tickAdmission();
}

void Balancer::updateRates()
{
    constexpr double interval = 1;
    for (auto &[id, load] : m_load) {
        updateRate(load, interval);
    }
    updateLoads();
}

/// Tells the target choice what the connection to a target shows.
void Balancer::noteTarget(PooledTarget &target)
{
    const auto load = m_load.find(target.link.serviceId);
    if (load == m_load.end()) {
        return;
    }
    const Time now = monotonicNow();
    const bool reachable = target.link.state == LinkState::Ready && !target.link.wasSilent && now - target.link.lastFrameAt < linkSilenceTimeout;
    for (Lane *it : {&load->second.main, &load->second.direct}) {
        setReachable(it->targets, target.link.targetId, reachable, now);
    }
}

void Balancer::noteStatus(PooledTarget &target)
{
    const auto load = m_load.find(target.link.serviceId);
    if (load == m_load.end()) {
        return;
    }
    const wire::TargetStatus &status = target.link.status;
    const TargetReport report{status.healthy, target.link.draining, status.inUse, status.queued, status.warmupMs * millisecond};
    for (Lane *it : {&load->second.main, &load->second.direct}) {
        setReachable(it->targets, target.link.targetId, target.link.state == LinkState::Ready, m_now);
        reportStatus(it->targets, target.link.targetId, report, target.link.lastFrameAt);
    }
}

void Balancer::tickAdmission()
{
    for (auto &[id, load] : m_load) {
        for (Lane *it : {&load.main, &load.direct}) {
            if (it->admission.queued > 0) {
                std::vector<AdmissionDecision> decisions;
                expire(it->admission, it->targets, m_now, m_random, decisions);
                carryOut(*it, std::move(decisions));
            }
        }
    }
}

} // namespace pimentofold
