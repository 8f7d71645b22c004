#include <pimentofold-balancer/balancer.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

wire::RelayRole::type roleOf(const wire::PeerMessage &message)
{
    return message.__isset.role ? message.role : wire::RelayRole::Dispatcher;
}

} // namespace

void Balancer::onPeerMessage(const wire::PeerMessage &message, const Address &from)
{
    m_now = monotonicNow();
    clearSilent(fromWire(message.sender));
    switch (message.kind) {
    case wire::PeerKind::Relay:
        onRelay(message, from);
        return;
    case wire::PeerKind::RelayAck:
        onRelayAck(message);
        return;
    case wire::PeerKind::IntentStore:
    case wire::PeerKind::IntentStored:
    case wire::PeerKind::IntentRefused:
    case wire::PeerKind::Outcome:
    case wire::PeerKind::Handover:
    case wire::PeerKind::HandoverAck:
        onOncePeerMessage(message);
        return;
    default:
        count(m_metrics, "peer_dropped_total{reason=\"kind\"}");
        return;
    }
}

void Balancer::onRelay(const wire::PeerMessage &message, const Address &from)
{
    IncomingPacket incoming;
    incoming.service = findService(m_view, message.serviceId);
    if (incoming.service == nullptr || message.hops != 1 || !message.__isset.packet || !message.__isset.callerAddress) {
        count(m_metrics, "peer_dropped_total{reason=\"relay\"}");
        return;
    }
    try {
        incoming.caller = parseAddress(message.callerAddress);
    } catch (const std::invalid_argument &) {
        count(m_metrics, "peer_dropped_total{reason=\"relay\"}");
        return;
    }
    incoming.datagram = message.packet;
    incoming.relayed = true;
    incoming.checked = checkPacket(m_codec, incoming.datagram, *incoming.service, m_view.keys, wallNow(), incoming.packet);
    if (incoming.checked.fault != PacketFault::None) {
        countDroppedPacket(incoming.checked);
        return;
    }
    const wire::RelayRole::type role = roleOf(message);
    if (role != wire::RelayRole::Dispatcher && !canServeOnceRequest(incoming, role)) {
        return;
    }
    incoming.relayedBy = fromWire(message.sender);
    acknowledgeRelay(message, incoming, from);
    count(m_metrics, "relays_taken_total");
    if (role == wire::RelayRole::Witness) {
        serveOnceRequest(incoming, OnceRole::Witness);
    } else {
        handlePacket(incoming);
    }
}

void Balancer::acknowledgeRelay(const wire::PeerMessage &message, const IncomingPacket &incoming, const Address &from)
{
    wire::PeerMessage acknowledgement;
    acknowledgement.kind = wire::PeerKind::RelayAck;
    acknowledgement.sequence = message.sequence;
    acknowledgement.serviceId = message.serviceId;
    acknowledgement.__set_recipient(message.sender);
    if (roleOf(message) == wire::RelayRole::Dispatcher) {
        ServiceLoad &load = m_serviceLoads[message.serviceId];
        const int kind = incoming.packet.workKind;
        Time &sent = load.limitSentAt[{incoming.relayedBy, kind}];
        if (sent == 0 || m_now - sent >= relayLimitEvery) {
            const auto members = static_cast<int>(servingMembers(m_view).size());
            acknowledgement.relayPerSecond = relayAllowance(load.primary.admission, load.primary.targets, kind, members, m_now);
            acknowledgement.workKind = kind;
            sent = m_now;
        }
    }
    m_peerPort.reply(from, acknowledgement);
}

void Balancer::onRelayAck(const wire::PeerMessage &message)
{
    m_unacknowledgedRelays.erase(message.sequence);
    handleRelayAck(m_onceRelays, message);
    const auto load = m_serviceLoads.find(message.serviceId);
    if (message.relayPerSecond > 0 && load != m_serviceLoads.end()) {
        setRelayLimit(load->second.relayLimits[{fromWire(message.sender), message.workKind}], message.relayPerSecond, m_now);
    }
}

InstanceKey Balancer::dispatcherOf(const ViewService &service, const wire::CallerPacket &packet)
{
    const std::optional<InstanceKey> dispatcher = dispatcherFor(m_serviceLoads[service.id].dispatchers, requestHash(service.id, packet.flow, packet.request));
    return dispatcher.value_or(InstanceKey{});
}

void Balancer::relayToDispatcher(IncomingPacket &incoming)
{
    const ViewService &service = *incoming.service;
    const InstanceKey dispatcher = dispatcherOf(service, incoming.packet);
    const Time usualDeadline = std::max<Time>(1, service.defaultDeadlineMs * millisecond);
    const double timeLeftShare = std::min(1.0, static_cast<double>(deadlineOf(incoming.packet, service)) / static_cast<double>(usualDeadline));
    ServiceLoad &load = m_serviceLoads[service.id];
    if (passRelay(load.relayLimits[{dispatcher, incoming.packet.workKind}], timeLeftShare, m_now)) {
        relayPacket(incoming, dispatcher, wire::RelayRole::Dispatcher);
    } else if (mayRefuseWithoutMemory(incoming.packet.attempt)) {
        sendRefusal({service.id, incoming.caller, &incoming.packet}, {Verdict::NotRun, Reason::Overload, retryHintMs(load.primary.admission, m_random), {}});
    } else {
        count(m_metrics, "refusals_withheld_total");
    }
}

void Balancer::relayPacket(const IncomingPacket &incoming, const InstanceKey &to, wire::RelayRole::type role)
{
    UnacknowledgedRelay relay;
    relay.serviceId = incoming.service->id;
    relay.packet = incoming.packet;
    relay.caller = incoming.caller;
    relay.recipient = to;
    relay.message.kind = wire::PeerKind::Relay;
    relay.message.sequence = ++m_lastRelaySequence;
    relay.message.__set_packet(std::string(incoming.datagram));
    relay.message.__set_callerAddress(toString(incoming.caller));
    relay.message.hops = 1;
    relay.message.__set_role(role);
    relay.message.serviceId = relay.serviceId;
    count(m_metrics, "relays_sent_total");
    sendRelay(relay);
    m_unacknowledgedRelays.emplace(m_lastRelaySequence, std::move(relay));
}

void Balancer::sendRelay(UnacknowledgedRelay &relay)
{
    ++relay.attempts;
    relay.nextSendAt = m_now + relayRetryInterval;
    m_peerPort.send(m_view, relay.recipient, relay.message);
}

void Balancer::retryRelays()
{
    const Time now = m_now;
    std::vector<UnacknowledgedRelay> unanswered;
    for (auto it = m_unacknowledgedRelays.begin(); it != m_unacknowledgedRelays.end();) {
        UnacknowledgedRelay &relay = it->second;
        if (now < relay.nextSendAt) {
            ++it;
        } else if (relay.attempts < maxRelayAttempts) {
            sendRelay(relay);
            ++it;
        } else {
            unanswered.push_back(std::move(relay));
            it = m_unacknowledgedRelays.erase(it);
        }
    }
    for (const UnacknowledgedRelay &it : unanswered) {
        onRelayUnanswered(it);
    }
}

void Balancer::onRelayUnanswered(const UnacknowledgedRelay &relay)
{
    count(m_metrics, "relays_unanswered_total");
    markSilent(relay.recipient);
    IncomingPacket incoming;
    incoming.service = findService(m_view, relay.serviceId);
    if (incoming.service == nullptr) {
        return;
    }
    incoming.packet = relay.packet;
    incoming.caller = relay.caller;
    incoming.datagram = relay.message.packet;
    // An unacknowledged cancellation is dropped: the target then completes the request in vain, which does no other harm.
    if (relay.message.role == wire::RelayRole::Dispatcher && relay.packet.kind == wire::PacketKind::Request) {
        placeOnAnyTarget(addInFlight(incoming, Purpose::Request), true);
    }
}

} // namespace pimentofold
