#include <pimentofold-balancer/balancer.h>

#include <utility>

namespace pimentofold {

namespace {

constexpr Time relayRetry = 50 * millisecond;
// After this many unacknowledged sendings the relaying balancer turns elsewhere.
constexpr int relayTries = 3;

wire::RelayRole::type roleOf(const wire::PeerMessage &message)
{
    return message.__isset.role ? message.role : wire::RelayRole::Dispatcher;
}

} // namespace

void Balancer::onPeerMessage(const wire::PeerMessage &message, const Address &from)
{
    switch (message.kind) {
    case wire::PeerKind::Relay:
        onRelay(message, from);
        return;
    case wire::PeerKind::RelayAck:
        m_relays.erase(message.sequence);
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
    wire::PeerMessage acknowledgement;
    acknowledgement.kind = wire::PeerKind::RelayAck;
    acknowledgement.sequence = message.sequence;
    acknowledgement.__set_recipient(message.sender);
    m_peers.reply(from, acknowledgement);
    count(m_metrics, "relays_taken_total");
    if (role == wire::RelayRole::Witness) {
        takeOnce(arrival, OnceRole::Witness);
    } else {
        handle(arrival);
    }
}

void Balancer::relay(const Arrival &arrival, const InstanceKey &to, wire::RelayRole::type role)
{
    PendingRelay relay;
    relay.serviceId = arrival.service->id;
    relay.packet = arrival.packet;
    relay.token = arrival.checked.token;
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

void Balancer::sendRelay(PendingRelay &relay)
{
    ++relay.tries;
    relay.nextAt = monotonicNow() + relayRetry;
    m_peers.send(m_view, relay.to, relay.message);
}

void Balancer::tickRelays()
{
    const Time now = monotonicNow();
    std::vector<PendingRelay> unanswered;
    for (auto it = m_relays.begin(); it != m_relays.end();) {
        PendingRelay &relay = it->second;
        if (now < relay.nextAt) {
            ++it;
        } else if (relay.tries < relayTries) {
            sendRelay(relay);
            ++it;
        } else {
            unanswered.push_back(std::move(relay));
            it = m_relays.erase(it);
        }
    }
    for (const PendingRelay &it : unanswered) {
        relayUnanswered(it);
    }
}

/// Serves or passes on a packet whose relay wasn't acknowledged.
void Balancer::relayUnanswered(const PendingRelay &relay)
{
    count(m_metrics, "relays_unanswered_total");
    Arrival arrival;
    arrival.service = findService(m_view, relay.serviceId);
    if (arrival.service == nullptr) {
        return;
    }
    arrival.packet = relay.packet;
    arrival.checked.hasToken = relay.packet.kind == wire::PacketKind::Request && !relay.packet.repeatable;
    arrival.checked.token = relay.token;
    arrival.caller = relay.caller;
    arrival.bytes = relay.message.packet;
    switch (relay.message.role) {
    case wire::RelayRole::Dispatcher:
        if (relay.packet.kind == wire::PacketKind::Request) {
            place(addInFlight(arrival, Purpose::Request), 0);
        }
        return;
    case wire::RelayRole::Home:
        homeUnreachable(arrival);
        return;
    default:
        refuse({relay.serviceId, relay.caller, &relay.packet},
               {Verdict::MayHaveRun, Reason::PairLost, 0, refreshed(relay.token, *arrival.service, relay.packet.flow)});
        return;
    }
}

} // namespace pimentofold
