#include <pimentofold-balancer/balancer.h>

#include <utility>

namespace pimentofold {

namespace {

// In the last fifth of the drain limit nothing new is taken, so that running requests can end.
constexpr Time lastShareOfStop = 5;

} // namespace

void Balancer::onDatagram(Id serviceId, std::string_view bytes, const Address &from)
{
    ++m_packets;
    m_now = monotonicNow();
    m_lastDatagram = m_now;
    const ViewService *service = findService(m_view, serviceId);
    if (service == nullptr || !passDatagram(m_gate, serviceId, m_now)) {
        return;
    }
    decodeAndHandle(*service, bytes, from);
    chargeDatagram(m_gate, serviceId, monotonicNow() - m_now);
}

void Balancer::decodeAndHandle(const ViewService &service, std::string_view bytes, const Address &from)
{
    Arrival arrival;
    arrival.service = &service;
    arrival.bytes = bytes;
    arrival.caller = from;
    arrival.checked = checkPacket(m_codec, bytes, service, m_view.keys, wallNow(), arrival.packet);
    if (arrival.checked.fault != PacketFault::None) {
        countFault(arrival.checked);
        if (arrival.checked.tokenFault == TokenFault::Expired) {
            refuse({service.id, from, &arrival.packet}, {Verdict::NotRun, Reason::TokenExpired, 0, {}});
        }
        return;
    }
    handle(arrival);
}

void Balancer::countFault(const CheckedPacket &checked)
{
    const std::string_view reason = checked.fault == PacketFault::Token ? name(checked.tokenFault) : name(checked.fault);
    count(m_metrics, "dropped_total{reason=\"" + std::string(reason) + "\"}");
}

void Balancer::handle(Arrival &arrival)
{
    const bool isEnding = m_now >= m_stopAt - m_settings.drainLimit / lastShareOfStop;
    if (isEnding && arrival.packet.repeatable && arrival.packet.kind != wire::PacketKind::Cancel) {
        refuseWhenEnding(arrival);
        return;
    }
    // The token has been read; packets in flight don't keep its bytes.
    arrival.packet.token.clear();
    arrival.packet.__isset.token = false;
    // Duplicates of requests that may not be repeated are answered from their records.
    const bool mayBeSame = arrival.packet.kind != wire::PacketKind::Cancel && arrival.packet.repeatable;
    const InFlightId same = mayBeSame ? m_inFlight.findSame(arrival.service->id, arrival.packet) : 0;
    if (same != 0) {
        InFlight &entry = *m_inFlight.find(same);
        entry.packet.attempt = arrival.packet.attempt;
        entry.caller = arrival.caller;
        count(m_metrics, "duplicates_in_flight_total");
        return;
    }
    switch (arrival.packet.kind) {
    case wire::PacketKind::Open:
        open(arrival);
        return;
    case wire::PacketKind::Request:
        request(arrival);
        return;
    case wire::PacketKind::Cancel:
        cancel(arrival);
        return;
    default:
        close(arrival);
        return;
    }
}

/// Refuses a packet for lack of time before the end. Requests that may not be repeated aren't refused here, since
/// only their records tell whether an earlier sending has run.
void Balancer::refuseWhenEnding(const Arrival &arrival)
{
    if (mayRefuseWithoutMemory(arrival.packet.attempt)) {
        refuse({arrival.service->id, arrival.caller, &arrival.packet}, {Verdict::NotRun, Reason::Stopping, retryHint(), {}});
    } else {
        count(m_metrics, "refusals_withheld_total");
    }
}

void Balancer::open(Arrival &arrival)
{
    const ViewService &service = *arrival.service;
    const wire::CallerPacket &packet = arrival.packet;
    if (!service.session) {
        wire::CallerPacket answer;
        answer.kind = wire::PacketKind::Opened;
        answer.flow = packet.flow;
        answer.attempt = packet.attempt;
        if (packet.wantsToken) {
            answer.token = mint(service, packet.flow, 0, 0);
            answer.__isset.token = !answer.token.empty();
        }
        m_ports.send(service.id, m_codec.encode(answer), arrival.caller);
        return;
    }
    if (packet.wantsToken && newestKey(m_view, service.teamId) != nullptr) {
        openWithToken(addInFlight(arrival, Purpose::OpenToken));
        return;
    }
    askCandidate(addInFlight(arrival, packet.attempt > 1 ? Purpose::FindBeforeOpen : Purpose::OpenBare));
}

void Balancer::openWithToken(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    const std::optional<Id> choice = service == nullptr ? std::nullopt : chooseTarget(*service);
    if (!choice || !sendToTarget(id, *m_pool.find(*choice))) {
        finish(id, {Verdict::NotRun, Reason::NoTarget, retryHint(), {}});
    }
}

/// Sends a packet of a bare flow to its next candidate.
void Balancer::askCandidate(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    const Time now = m_now;
    const bool opening = entry.purpose == Purpose::OpenBare;
    while (service != nullptr) {
        const bool enough = entry.purpose == Purpose::FindBeforeOpen && entry.asked >= maxOpenCandidates;
        const std::optional<std::size_t> next = enough ? std::nullopt : nextCandidate(m_view, *service, entry.packet.flow, entry.target);
        if (!next) {
            break;
        }
        const ViewTarget &listed = m_view.targets[*next];
        entry.target = listed.id;
        ++entry.asked;
        PooledTarget *target = m_pool.find(listed.id);
        const bool usable = target != nullptr && (!opening || (listed.state == ViewTarget::State::Serving && acceptsNewWork(target->link, now)));
        if (usable && entry.purpose == Purpose::Request && target->link.state == LinkState::Ready) {
            offerRequest(id, listed.id);
            return;
        }
        if (usable && entry.purpose != Purpose::Request && sendToTarget(id, *target)) {
            return;
        }
        entry.skipped = true;
    }
    candidatesExhausted(id);
}

void Balancer::candidatesExhausted(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    if (entry.purpose == Purpose::FindBeforeOpen && !entry.skipped) {
        entry.purpose = Purpose::OpenBare;
        entry.target = 0;
        entry.asked = 0;
        askCandidate(id);
        return;
    }
    const bool opening = entry.purpose == Purpose::OpenBare || entry.purpose == Purpose::FindBeforeOpen;
    if (opening || entry.skipped) {
        finish(id, {Verdict::NotRun, Reason::NoTarget, retryHint(), {}});
    } else {
        finish(id, {Verdict::NotRun, Reason::UnknownFlow, 0, {}});
    }
}

void Balancer::opened(InFlightId id, PooledTarget &target)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    if (entry.purpose != Purpose::FindBeforeOpen) {
        flowOpened(m_load[entry.serviceId].main.targets, target.link.targetId, m_now);
    }
    wire::CallerPacket answer;
    answer.kind = wire::PacketKind::Opened;
    answer.flow = entry.packet.flow;
    answer.attempt = entry.packet.attempt;
    if (service != nullptr && entry.purpose == Purpose::OpenToken) {
        answer.token = mint(*service, entry.packet.flow, target.link.targetId, target.link.incarnation);
        answer.__isset.token = !answer.token.empty();
    }
    m_ports.send(entry.serviceId, m_codec.encode(answer), entry.caller);
    m_inFlight.remove(id);
}

void Balancer::close(Arrival &arrival)
{
    const ViewService &service = *arrival.service;
    if (!service.session) {
        wire::CallerPacket answer;
        answer.kind = wire::PacketKind::Closed;
        answer.flow = arrival.packet.flow;
        answer.attempt = arrival.packet.attempt;
        m_ports.send(service.id, m_codec.encode(answer), arrival.caller);
        return;
    }
    request(arrival);
}

void Balancer::cancel(Arrival &arrival)
{
    const ViewService &service = *arrival.service;
    const wire::CallerPacket &packet = arrival.packet;
    wire::TargetFrame frame;
    frame.kind = wire::FrameKind::Cancel;
    frame.flow = packet.flow;
    frame.request = packet.request;
    frame.attempt = packet.attempt;
    frame.serviceId = service.id;
    frame.session = service.session;
    Id target = arrival.checked.token.target;
    {
        // The packet in flight knows the target and the call; a cancel has the key of its request.
        wire::CallerPacket wanted = packet;
        wanted.kind = wire::PacketKind::Request;
        const InFlightId same = m_inFlight.findSame(service.id, wanted);
        const InFlight *entry = m_inFlight.find(same);
        if (entry != nullptr && entry->queued) {
            release(same, WorkOutcome::Cancelled);
            finish(same, {Verdict::NotRun, Reason::Cancelled, 0, {}});
            return;
        }
        if (entry != nullptr) {
            target = entry->target;
            frame.call = entry->call;
        }
    }
    if (target == 0 && !service.session && !arrival.relayed) {
        const InstanceKey dispatcher = packet.repeatable ? dispatcherOf(service, packet) : arrival.checked.token.home;
        if (dispatcher.instance != 0 && dispatcher != m_own) {
            relay(arrival, dispatcher, packet.repeatable ? wire::RelayRole::Dispatcher : wire::RelayRole::Home);
            return;
        }
    }
    PooledTarget *pooled = m_pool.find(target);
    if (pooled != nullptr) {
        m_pool.notify(*pooled, frame);
        return;
    }
    if (service.session && !arrival.checked.hasToken) {
        // A bare flow in flight elsewhere: the first candidate holds almost all flows.
        const std::optional<std::size_t> first = nextCandidate(m_view, service, packet.flow, 0);
        pooled = first ? m_pool.find(m_view.targets[*first].id) : nullptr;
        if (pooled != nullptr) {
            m_pool.notify(*pooled, frame);
        }
    }
}

} // namespace pimentofold
