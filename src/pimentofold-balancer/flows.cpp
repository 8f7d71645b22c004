#include <pimentofold-balancer/balancer.h>

#include <utility>

namespace pimentofold {

namespace {

// In the last fifth of the drain limit repeatable packets are refused, so that running requests can finish.
constexpr Time finalPhaseDivisor = 5;

} // namespace

void Balancer::onDatagram(Id serviceId, std::string_view bytes, const Address &from)
{
    ++m_packetsTotal;
    m_now = monotonicNow();
    m_lastDatagramAt = m_now;
    const ViewService *service = findService(m_view, serviceId);
    if (service == nullptr || !passDatagram(m_ingress, serviceId, m_now)) {
        return;
    }
    decodeAndHandle(*service, bytes, from);
    chargeDatagram(m_ingress, serviceId, monotonicNow() - m_now);
}

void Balancer::decodeAndHandle(const ViewService &service, std::string_view bytes, const Address &from)
{
    IncomingPacket incoming;
    incoming.service = &service;
    incoming.datagram = bytes;
    incoming.caller = from;
    incoming.checked = checkPacket(m_codec, bytes, service, m_view.keys, wallNow(), incoming.packet);
    if (incoming.checked.fault != PacketFault::None) {
        countDroppedPacket(incoming.checked);
        if (incoming.checked.tokenFault == TokenFault::Expired) {
            sendRefusal({service.id, from, &incoming.packet}, {Verdict::NotRun, Reason::TokenExpired, 0, {}});
        }
        return;
    }
    handlePacket(incoming);
}

void Balancer::countDroppedPacket(const CheckedPacket &checked)
{
    const std::string_view reason = checked.fault == PacketFault::Token ? name(checked.tokenFault) : name(checked.fault);
    count(m_metrics, "dropped_total{reason=\"" + std::string(reason) + "\"}");
}

void Balancer::handlePacket(IncomingPacket &incoming)
{
    const bool isFinalPhase = m_now >= m_stopDeadline - m_settings.drainLimit / finalPhaseDivisor;
    if (isFinalPhase && incoming.packet.repeatable && incoming.packet.kind != wire::PacketKind::Cancel) {
        refuseWhileStopping(incoming);
        return;
    }
    // The token is already decoded in incoming.checked; clearing its bytes saves memory for each packet in flight.
    incoming.packet.token.clear();
    incoming.packet.__isset.token = false;
    // Duplicates of at-most-once requests aren't looked up here: they are answered from their records.
    const bool mayBeDuplicate = incoming.packet.kind != wire::PacketKind::Cancel && incoming.packet.repeatable;
    const InFlightId existing = mayBeDuplicate ? m_inFlight.findDuplicate(incoming.service->id, incoming.packet) : 0;
    if (existing != 0) {
        InFlight &entry = *m_inFlight.find(existing);
        entry.packet.attempt = incoming.packet.attempt;
        entry.caller = incoming.caller;
        count(m_metrics, "duplicates_in_flight_total");
        return;
    }
    switch (incoming.packet.kind) {
    case wire::PacketKind::Open:
        handleOpen(incoming);
        return;
    case wire::PacketKind::Request:
        handleRequest(incoming);
        return;
    case wire::PacketKind::Cancel:
        handleCancel(incoming);
        return;
    default:
        handleClose(incoming);
        return;
    }
}

void Balancer::refuseWhileStopping(const IncomingPacket &incoming)
{
    if (mayRefuseWithoutMemory(incoming.packet.attempt)) {
        sendRefusal({incoming.service->id, incoming.caller, &incoming.packet}, {Verdict::NotRun, Reason::Stopping, randomRetryAfterMs(), {}});
    } else {
        count(m_metrics, "refusals_withheld_total");
    }
}

void Balancer::handleOpen(IncomingPacket &incoming)
{
    const ViewService &service = *incoming.service;
    const wire::CallerPacket &packet = incoming.packet;
    if (!service.session) {
        wire::CallerPacket answer;
        answer.kind = wire::PacketKind::Opened;
        answer.flow = packet.flow;
        answer.attempt = packet.attempt;
        if (packet.wantsToken) {
            answer.token = issueToken(service, packet.flow, 0, 0);
            answer.__isset.token = !answer.token.empty();
        }
        m_callerPorts.send(service.id, m_codec.encode(answer), incoming.caller);
        return;
    }
    if (packet.wantsToken && newestKey(m_view, service.teamId) != nullptr) {
        openTokenFlow(addInFlight(incoming, Purpose::OpenTokenFlow));
        return;
    }
    askNextCandidate(addInFlight(incoming, packet.attempt > 1 ? Purpose::FindFlowBeforeOpen : Purpose::OpenBareFlow));
}

void Balancer::openTokenFlow(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    const std::optional<Id> choice = service == nullptr ? std::nullopt : chooseTarget(*service);
    if (!choice || !sendToTarget(id, *m_targetPool.find(*choice))) {
        finishWithRefusal(id, {Verdict::NotRun, Reason::NoTarget, randomRetryAfterMs(), {}});
    }
}

void Balancer::askNextCandidate(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    const Time now = m_now;
    const bool opening = entry.purpose == Purpose::OpenBareFlow;
    while (service != nullptr) {
        const bool allAsked = entry.purpose == Purpose::FindFlowBeforeOpen && entry.candidatesAsked >= maxOpenCandidates;
        const std::optional<std::size_t> next = allAsked ? std::nullopt : nextCandidate(m_view, *service, entry.packet.flow, entry.target);
        if (!next) {
            break;
        }
        const ViewTarget &candidate = m_view.targets[*next];
        entry.target = candidate.id;
        ++entry.candidatesAsked;
        PooledTarget *target = m_targetPool.find(candidate.id);
        const bool usable = target != nullptr && (!opening || (candidate.state == ViewTarget::State::Serving && acceptsNewWork(target->link, now)));
        if (usable && entry.purpose == Purpose::Request && target->link.state == LinkState::Ready) {
            submitForAdmission(id, candidate.id);
            return;
        }
        if (usable && entry.purpose != Purpose::Request && sendToTarget(id, *target)) {
            return;
        }
        entry.candidateSkipped = true;
    }
    onCandidatesExhausted(id);
}

void Balancer::onCandidatesExhausted(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    if (entry.purpose == Purpose::FindFlowBeforeOpen && !entry.candidateSkipped) {
        entry.purpose = Purpose::OpenBareFlow;
        entry.target = 0;
        entry.candidatesAsked = 0;
        askNextCandidate(id);
        return;
    }
    const bool opening = entry.purpose == Purpose::OpenBareFlow || entry.purpose == Purpose::FindFlowBeforeOpen;
    if (opening || entry.candidateSkipped) {
        finishWithRefusal(id, {Verdict::NotRun, Reason::NoTarget, randomRetryAfterMs(), {}});
    } else {
        finishWithRefusal(id, {Verdict::NotRun, Reason::UnknownFlow, 0, {}});
    }
}

void Balancer::confirmOpen(InFlightId id, PooledTarget &target)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    if (entry.purpose != Purpose::FindFlowBeforeOpen) {
        flowOpened(m_serviceLoads[entry.serviceId].primary.targets, target.link.targetId, m_now);
    }
    wire::CallerPacket answer;
    answer.kind = wire::PacketKind::Opened;
    answer.flow = entry.packet.flow;
    answer.attempt = entry.packet.attempt;
    if (service != nullptr && entry.purpose == Purpose::OpenTokenFlow) {
        answer.token = issueToken(*service, entry.packet.flow, target.link.targetId, target.link.incarnation);
        answer.__isset.token = !answer.token.empty();
    }
    m_callerPorts.send(entry.serviceId, m_codec.encode(answer), entry.caller);
    m_inFlight.remove(id);
}

void Balancer::handleClose(IncomingPacket &incoming)
{
    const ViewService &service = *incoming.service;
    if (!service.session) {
        wire::CallerPacket answer;
        answer.kind = wire::PacketKind::Closed;
        answer.flow = incoming.packet.flow;
        answer.attempt = incoming.packet.attempt;
        m_callerPorts.send(service.id, m_codec.encode(answer), incoming.caller);
        return;
    }
    handleRequest(incoming);
}

void Balancer::handleCancel(IncomingPacket &incoming)
{
    const ViewService &service = *incoming.service;
    const wire::CallerPacket &packet = incoming.packet;
    wire::TargetFrame frame;
    frame.kind = wire::FrameKind::Cancel;
    frame.flow = packet.flow;
    frame.request = packet.request;
    frame.attempt = packet.attempt;
    frame.serviceId = service.id;
    frame.session = service.session;
    Id target = incoming.checked.token.target;
    {
        // The entry of the request in flight holds the target and the call number. A Cancel carries the flow, request and
        // offset of the request that it cancels.
        wire::CallerPacket requestPacket = packet;
        requestPacket.kind = wire::PacketKind::Request;
        const InFlightId existing = m_inFlight.findDuplicate(service.id, requestPacket);
        const InFlight *entry = m_inFlight.find(existing);
        if (entry != nullptr && entry->queued) {
            releaseAdmission(existing, WorkOutcome::Cancelled);
            finishWithRefusal(existing, {Verdict::NotRun, Reason::Cancelled, 0, {}});
            return;
        }
        if (entry != nullptr) {
            target = entry->target;
            frame.call = entry->callNumber;
        }
    }
    if (target == 0 && !service.session && !incoming.relayed) {
        const InstanceKey dispatcher = packet.repeatable ? dispatcherOf(service, packet) : incoming.checked.token.home;
        if (dispatcher.instance != 0 && dispatcher != m_self) {
            relayPacket(incoming, dispatcher, packet.repeatable ? wire::RelayRole::Dispatcher : wire::RelayRole::Home);
            return;
        }
    }
    PooledTarget *pooled = m_targetPool.find(target);
    if (pooled != nullptr) {
        m_targetPool.notify(*pooled, frame);
        return;
    }
    if (service.session && !incoming.checked.hasToken) {
        // The request of a bare flow may be in flight at another balancer. Its target is most likely the first candidate, which
        // holds almost all bare flows.
        const std::optional<std::size_t> first = nextCandidate(m_view, service, packet.flow, 0);
        pooled = first ? m_targetPool.find(m_view.targets[*first].id) : nullptr;
        if (pooled != nullptr) {
            m_targetPool.notify(*pooled, frame);
        }
    }
}

} // namespace pimentofold
