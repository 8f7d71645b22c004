#include <pimentofold-balancer/peerport.h>

#include <utility>

namespace pimentofold {

namespace {

std::vector<SealKey> deriveKeys(const std::vector<std::string> &secrets)
{
    std::vector<SealKey> keys;
    keys.reserve(secrets.size());
    for (const std::string &it : secrets) {
        keys.push_back(deriveKey(it, "peer"));
    }
    return keys;
}

} // namespace

PeerPort::PeerPort(const Address &local, const InstanceKey &self, const std::vector<std::string> &secrets, EventLog &log, Metrics &metrics, Handler handler)
    : m_self(self)
    , m_keys(deriveKeys(secrets))
    , m_log(log)
    , m_metrics(metrics)
    , m_handler(std::move(handler))
    , m_socket(
          local, [this](std::string_view bytes, const Address &from) { receive(bytes, from); }, maxPeerDatagramBytes)
{
}

void PeerPort::send(const View &view, const InstanceKey &to, wire::PeerMessage &message)
{
    const ViewMember *member = findMember(view, to.instance);
    if (member == nullptr) {
        count(m_metrics, "peer_recipients_unknown_total");
        return;
    }
    message.recipient.instance = to.instance;
    message.recipient.incarnation = to.incarnation;
    message.__isset.recipient = true;
    reply(parseAddress(member->address), message);
}

void PeerPort::reply(const Address &to, wire::PeerMessage &message)
{
    message.sender.instance = m_self.instance;
    message.sender.incarnation = m_self.incarnation;
    message.clock = tick(m_log.clock, wallNow());
    m_socket.send(sealDatagram(m_codec.encode(message), m_keys), to);
}

void PeerPort::receive(std::string_view bytes, const Address &from)
{
    std::string_view payload;
    if (!openDatagram(bytes, m_keys, payload)) {
        count(m_metrics, "peer_dropped_total{reason=\"forged\"}");
        return;
    }
    wire::PeerMessage message;
    try {
        m_codec.decode(payload, message);
    } catch (const DecodeError &) {
        count(m_metrics, "peer_dropped_total{reason=\"malformed\"}");
        return;
    }
    const InstanceKey sender{message.sender.instance, message.sender.incarnation};
    const HlcTime now = observe(m_log.clock, message.clock, wallNow());
    const PeerFreshness freshness = checkFreshness(m_guard, sender, message.clock, now);
    if (freshness != PeerFreshness::Fresh) {
        count(m_metrics, freshness == PeerFreshness::Replayed ? "peer_dropped_total{reason=\"replayed\"}" : "peer_dropped_total{reason=\"stale\"}");
        return;
    }
    // A message addressed to an earlier run of this process must not be handled: its state was lost with the restart.
    if (message.__isset.recipient && InstanceKey{message.recipient.instance, message.recipient.incarnation} != m_self) {
        count(m_metrics, "peer_dropped_total{reason=\"other_recipient\"}");
        return;
    }
    m_handler(message, from);
}

const UdpSocket &PeerPort::socket() const
{
    return m_socket;
}

} // namespace pimentofold
