#include <pimentofold-balancer/balancer.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

WorkOutcome workOutcome(wire::Outcome::type outcome)
{
    switch (outcome) {
    case wire::Outcome::Done:
        return WorkOutcome::Done;
    case wire::Outcome::Shed:
        return WorkOutcome::Shed;
    case wire::Outcome::Draining:
        return WorkOutcome::Draining;
    case wire::Outcome::Expired:
        return WorkOutcome::Expired;
    default:
        return WorkOutcome::Cancelled;
    }
}

} // namespace

WorkOutcome Balancer::outcomeOf(const wire::TargetFrame &frame)
{
    return workOutcome(frame.__isset.outcome ? frame.outcome : wire::Outcome::Done);
}

AdmissionLane &Balancer::laneOf(const InFlight &entry)
{
    ServiceLoad &load = m_serviceLoads[entry.serviceId];
    return entry.bypassDispatcher ? load.bypass : load.primary;
}

void Balancer::submitForAdmission(InFlightId id, Id target)
{
    InFlight &entry = *m_inFlight.find(id);
    AdmissionLane &lane = laneOf(entry);
    entry.queued = true;
    std::vector<AdmissionDecision> decisions;
    offer(lane.admission, lane.targets, {id, entry.packet.workKind, entry.deadline, entry.packet.body.size(), target}, m_now, m_random, decisions);
    applyDecisions(lane, std::move(decisions));
}

void Balancer::applyDecisions(AdmissionLane &lane, std::vector<AdmissionDecision> decisions)
{
    for (std::size_t i = 0; i < decisions.size(); ++i) {
        const AdmissionDecision decision = decisions[i];
        if (decision.action == AdmissionAction::Queue) {
            continue;
        }
        InFlight *entry = m_inFlight.find(decision.id);
        if (decision.action == AdmissionAction::Start) {
            PooledTarget *target = m_targetPool.find(decision.target);
            if (entry != nullptr) {
                entry->queued = false;
                entry->admitted = true;
            }
            if (entry != nullptr && target != nullptr && sendToTarget(decision.id, *target)) {
                continue;
            }
            pimentofold::finish(lane.admission, lane.targets, decision.id, WorkOutcome::Lost, m_now, m_random, decisions);
            if (entry != nullptr) {
                entry->admitted = false;
                finishWithRefusal(decision.id, {Verdict::NotRun, Reason::NoTarget, randomRetryAfterMs(), {}});
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
    // A request that bypasses its dispatcher may have been relayed before. The dispatcher may hold it even if it didn't
    // acknowledge the relay.
    if (entry.purpose != Purpose::OnceRequest && (entry.bypassDispatcher || !mayRefuseWithoutMemory(entry.packet.attempt))) {
        const ViewService *service = findService(m_view, entry.serviceId);
        if (service == nullptr || service->session || entry.bypassDispatcher) {
            // Another balancer may hold an earlier transmission of the request and run it, so that NotRun could be untrue.
            count(m_metrics, "refusals_withheld_total");
            abandon(decision.id);
            return;
        }
        rememberRefusal(m_serviceLoads[entry.serviceId].refusals, requestHash(entry.serviceId, entry.packet.flow, entry.packet.request), m_now);
    }
    finishWithRefusal(decision.id, {Verdict::NotRun, decision.reason, decision.retryAfterMs, {}});
}

void Balancer::releaseAdmission(InFlightId id, WorkOutcome outcome)
{
    InFlight &entry = *m_inFlight.find(id);
    AdmissionLane &lane = laneOf(entry);
    std::vector<AdmissionDecision> decisions;
    if (entry.admitted) {
        entry.admitted = false;
        pimentofold::finish(lane.admission, lane.targets, id, outcome, m_now, m_random, decisions);
    } else if (entry.queued) {
        entry.queued = false;
        pimentofold::cancel(lane.admission, lane.targets, id, m_now, m_random, decisions);
        std::erase_if(decisions, [id](const AdmissionDecision &it) { return it.id == id; });
    }
    applyDecisions(lane, std::move(decisions));
}

void Balancer::placeOnAnyTarget(InFlightId id, bool bypassDispatcher)
{
    m_inFlight.find(id)->bypassDispatcher = bypassDispatcher;
    submitForAdmission(id, 0);
}

std::optional<Id> Balancer::chooseTarget(const ViewService &service)
{
    const std::optional<Id> choice = chooseForOpen(m_serviceLoads[service.id].primary.targets, m_now, m_random);
    const PooledTarget *target = choice ? m_targetPool.find(*choice) : nullptr;
    return target != nullptr && acceptsNewWork(target->link, m_now) ? choice : std::nullopt;
}

void Balancer::updateLoads()
{
    m_now = monotonicNow();
    std::erase_if(m_serviceLoads, [this](const auto &it) { return findService(m_view, it.first) == nullptr; });
    for (const ViewService &it : m_view.services) {
        updateLoad(m_serviceLoads[it.id], m_view, it, m_self, m_now);
    }
    setIngressPolicies(m_ingress, ingressPolicies(m_view), m_now);
    for (const auto &[id, target] : m_targetPool.targets()) {
        updateReachability(*target);
    }
    processQueues();
}

void Balancer::updateRates()
{
    constexpr double intervalSeconds = 1;
    for (auto &[id, load] : m_serviceLoads) {
        updateRate(load, intervalSeconds);
    }
    updateLoads();
}

void Balancer::updateReachability(PooledTarget &target)
{
    const auto load = m_serviceLoads.find(target.link.serviceId);
    if (load == m_serviceLoads.end()) {
        return;
    }
    const Time now = monotonicNow();
    const bool reachable = target.link.state == LinkState::Ready && !target.link.silenced && now - target.link.heardAt < linkSilence;
    for (AdmissionLane *it : {&load->second.primary, &load->second.bypass}) {
        setReachable(it->targets, target.link.targetId, reachable, now);
    }
}

void Balancer::updateTargetStatus(PooledTarget &target)
{
    const auto load = m_serviceLoads.find(target.link.serviceId);
    if (load == m_serviceLoads.end()) {
        return;
    }
    const wire::TargetStatus &status = target.link.status;
    const TargetReport report{status.healthy, target.link.draining, status.inUse, status.queued, status.warmupMs * millisecond};
    for (AdmissionLane *it : {&load->second.primary, &load->second.bypass}) {
        setReachable(it->targets, target.link.targetId, target.link.state == LinkState::Ready, m_now);
        reportStatus(it->targets, target.link.targetId, report, target.link.heardAt);
    }
}

void Balancer::processQueues()
{
    for (auto &[id, load] : m_serviceLoads) {
        for (AdmissionLane *it : {&load.primary, &load.bypass}) {
            if (it->admission.queued > 0) {
                std::vector<AdmissionDecision> decisions;
                expire(it->admission, it->targets, m_now, m_random, decisions);
                applyDecisions(*it, std::move(decisions));
            }
        }
    }
}

} // namespace pimentofold
