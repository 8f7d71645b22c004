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
    noteHeard(fromWire(message.sender));
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
        onOncePeer(message);
        return;
    default:
        count(m_metrics, "peer_dropped_total{reason=\"kind\"}");
        return;
    }
}

void Balancer::onRelay(const wire::PeerMessage &message, const Address &from)
{
    Arrival arrival;
    arrival.service = findService(m_view, message.serviceId);
    if (arrival.service == nullptr || message.hops != 1 || !message.__isset.packet || !message.__isset.callerAddress) {
        count(m_metrics, "peer_dropped_total{reason=\"relay\"}");
        return;
    }
    try {
        arrival.caller = parseAddress(message.callerAddress);
    } catch (const std::invalid_argument &) {
        count(m_metrics, "peer_dropped_total{reason=\"relay\"}");
        return;
    }
    arrival.bytes = message.packet;
    arrival.relayed = true;
    arrival.checked = checkPacket(m_codec, arrival.bytes, *arrival.service, m_view.keys, wallNow(), arrival.packet);
    if (arrival.checked.fault != PacketFault::None) {
        countFault(arrival.checked);
        return;
    }
    const wire::RelayRole::type role = roleOf(message);
    if (role != wire::RelayRole::Dispatcher && !takesOnce(arrival, role)) {
        return;
    }
    arrival.relayedBy = fromWire(message.sender);
    acknowledge(message, arrival, from);
    count(m_metrics, "relays_taken_total");
    if (role == wire::RelayRole::Witness) {
        takeOnce(arrival, OnceRole::Witness);
    } else {
        handle(arrival);
    }
}

/// Acknowledges a relay. While a kind of work is overloaded, its dispatcher also tells the sender what it takes.
void Balancer::acknowledge(const wire::PeerMessage &message, const Arrival &arrival, const Address &from)
{
    wire::PeerMessage acknowledgement;
    acknowledgement.kind = wire::PeerKind::RelayAck;
    acknowledgement.sequence = message.sequence;
    acknowledgement.serviceId = message.serviceId;
    acknowledgement.__set_recipient(message.sender);
    if (roleOf(message) == wire::RelayRole::Dispatcher) {
        ServiceLoad &load = m_load[message.serviceId];
        const int kind = arrival.packet.workKind;
        Time &sent = load.limitsSent[{arrival.relayedBy, kind}];
        if (sent == 0 || m_now - sent >= relayLimitEvery) {
            const auto members = static_cast<int>(servingMembers(m_view).size());
            acknowledgement.relayPerSecond = relayAllowance(load.main.admission, load.main.targets, kind, members, m_now);
            acknowledgement.workKind = kind;
            sent = m_now;
        }
    }
    m_peers.reply(from, acknowledgement);
}

void Balancer::onRelayAck(const wire::PeerMessage &message)
{
    m_relays.erase(message.sequence);
    handleRelayAck(m_onceRelays, message);
    const auto load = m_load.find(message.serviceId);
    if (message.relayPerSecond > 0 && load != m_load.end()) {
        setRelayLimit(load->second.relayLimits[{fromWire(message.sender), message.workKind}], message.relayPerSecond, m_now);
    }
}

InstanceKey Balancer::dispatcherOf(const ViewService &service, const wire::CallerPacket &packet)
{
    const std::optional<InstanceKey> dispatcher = dispatcherFor(m_load[service.id].dispatchers, requestHash(service.id, packet.flow, packet.request));
    return dispatcher.value_or(InstanceKey{});
}

void Balancer::relayToDispatcher(Arrival &arrival)
{
    const ViewService &service = *arrival.service;
    const InstanceKey dispatcher = dispatcherOf(service, arrival.packet);
    const Time usual = std::max<Time>(1, service.defaultDeadlineMs * millisecond);
    const double timeLeft = std::min(1.0, static_cast<double>(deadlineOf(arrival.packet, service)) / static_cast<double>(usual));
    ServiceLoad &load = m_load[service.id];
    if (passRelay(load.relayLimits[{dispatcher, arrival.packet.workKind}], timeLeft, m_now)) {
        relay(arrival, dispatcher, wire::RelayRole::Dispatcher);
    } else if (mayRefuseWithoutMemory(arrival.packet.attempt)) {
        refuse({service.id, arrival.caller, &arrival.packet}, {Verdict::NotRun, Reason::Overload, retryHintMs(load.main.admission, m_random), {}});
    } else {
        count(m_metrics, "refusals_withheld_total");
    }
}

void Balancer::relay(const Arrival &arrival, const InstanceKey &to, wire::RelayRole::type role)
{
    UnacknowledgedRelay relay;
    relay.serviceId = arrival.service->id;
    relay.packet = arrival.packet;
    relay.caller = arrival.caller;
    relay.to = to;
    relay.message.kind = wire::PeerKind::Relay;
    relay.message.sequence = ++m_sequence;
    relay.message.__set_packet(std::string(arrival.bytes));
    relay.message.__set_callerAddress(toString(arrival.caller));
    relay.message.hops = 1;
    relay.message.__set_role(role);
    relay.message.serviceId = relay.serviceId;
    count(m_metrics, "relays_sent_total");
    sendRelay(relay);
    m_relays.emplace(m_sequence, std::move(relay));
}

void Balancer::sendRelay(UnacknowledgedRelay &relay)
{
    ++relay.tries;
    relay.nextAt = m_now + relayRetryInterval;
    m_peers.send(m_view, relay.to, relay.message);
}

void Balancer::tickRelays()
{
    const Time now = m_now;
    std::vector<UnacknowledgedRelay> unanswered;
    for (auto it = m_relays.begin(); it != m_relays.end();) {
        UnacknowledgedRelay &relay = it->second;
        if (now < relay.nextAt) {
            ++it;
        } else if (relay.tries < maxRelayAttempts) {
            sendRelay(relay);
            ++it;
        } else {
            unanswered.push_back(std::move(relay));
            it = m_relays.erase(it);
        }
    }
    for (const UnacknowledgedRelay &it : unanswered) {
        relayUnanswered(it);
    }
}

/// Serves or passes on a packet whose relay wasn't acknowledged.
void Balancer::relayUnanswered(const UnacknowledgedRelay &relay)
{
    count(m_metrics, "relays_unanswered_total");
    noteSilent(relay.to);
    Arrival arrival;
    arrival.service = findService(m_view, relay.serviceId);
    if (arrival.service == nullptr) {
        return;
    }
    arrival.packet = relay.packet;
    arrival.caller = relay.caller;
    arrival.bytes = relay.message.packet;
    // A lost cancellation costs only the target's work.
    if (relay.message.role == wire::RelayRole::Dispatcher && relay.packet.kind == wire::PacketKind::Request) {
        place(addInFlight(arrival, Purpose::Request), true);
    }
}

} // namespace pimentofold
