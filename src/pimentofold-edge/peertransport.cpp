#include <pimentofold-edge/peertransport.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include <pimentofold/replication/relaygroups.h>
#include <pimentofold/settings.h>
#include <pimentofold/statusobject.h>

namespace pimentofold {

namespace {

// The first byte of a datagram is the type of the message that follows.
constexpr char membershipTag = 'M';
constexpr char edgeTag = 'E';

/// Shorter intervals than the defaults, since edge nodes are few, the latency between them is low, and callers wait for a node that starts.
MembershipOptions edgeMembershipOptions()
{
    MembershipOptions options;
    options.probeInterval = 500 * millisecond;
    options.probeTimeout = 150 * millisecond;
    options.joinInterval = 60 * millisecond;
    options.catchUpInterval = 60 * millisecond;
    options.catchUpRetry = 200 * millisecond;
    options.baseSuspicionTimeout = 1500 * millisecond;
    options.updateBytesPerSecond = 2'000;
    options.reconnectInterval = 2 * second;
    options.deadRetention = 2 * minute;
    options.severalDataCentres = true;
    return options;
}

Member selfMember(const EdgeSettings &settings)
{
    Member self;
    self.name = settings.node;
    self.address = toString(settings.peerAddress);
    self.balancerAddress = self.address;
    self.dataCentre = settings.dataCentre;
    self.key.instance = idOf(settings.node);
    self.key.incarnation = wallNow() * (millisecond / microsecond);
    return self;
}

std::string withTag(char tag, std::string_view bytes)
{
    std::string datagram(1, tag);
    datagram += bytes;
    return datagram;
}

} // namespace

PeerTransport::PeerTransport(const EdgeSettings &settings,
                             bool preferOwnDataCentre,
                             std::uint64_t randomSeed,
                             EventLog &log,
                             std::function<void(const wire::EdgeMessage &, const Address &)> onMessage,
                             std::function<void()> onMembersChanged)
    : m_log(log)
    , m_onMessage(std::move(onMessage))
    , m_onMembersChanged(std::move(onMembersChanged))
    , m_address(settings.peerAddress)
    , m_socket(settings.peerAddress, [this](std::string_view bytes, const Address &from) { onDatagram(bytes, from); })
{
    m_random.state = randomSeed;
    m_membership.options = edgeMembershipOptions();
    m_membership.options.preferOwnDataCentre = preferOwnDataCentre;
    std::vector<std::string> seeds;
    for (const Address &it : settings.seeds) {
        seeds.push_back(toString(it));
    }
    startMembership(m_membership, selfMember(settings), seeds, randomSeed, monotonicNow());
}

void PeerTransport::setHeardHandler(std::function<void(Id)> onHeard)
{
    m_onHeard = std::move(onHeard);
}

void PeerTransport::setDrainedHandler(std::function<void()> handler)
{
    m_socket.setDrainedHandler(std::move(handler));
}

void PeerTransport::readArrived()
{
    m_socket.readArrived();
}

void PeerTransport::tick(Time now)
{
    MembershipOutput output;
    tickMembership(m_membership, now, output);
    applyOutput(std::move(output));
}

void PeerTransport::announceLeave(Time now)
{
    MembershipOutput output;
    leaveMembership(m_membership, now, output);
    applyOutput(std::move(output));
}

void PeerTransport::send(const wire::EdgeMessage &message, const Address &to)
{
    sendDatagram(purposeOf(message.kind), withTag(edgeTag, m_codec.encode(message)), to);
}

bool PeerTransport::send(const wire::EdgeMessage &message, Id to)
{
    const auto it = m_peerAddresses.find(to);
    if (it == m_peerAddresses.end()) {
        return false;
    }
    send(message, it->second);
    return true;
}

void PeerTransport::sendDatagram(TrafficPurpose purpose, std::string_view datagram, const Address &to)
{
    const auto dataCentre = m_dataCentres.find(to);
    const bool same = dataCentre != m_dataCentres.end() && dataCentre->second == m_membership.self.dataCentre;
    countBytes(m_traffic, purpose, same, datagram.size());
    m_socket.send(datagram, to);
}

const PeerTraffic &PeerTransport::traffic() const
{
    return m_traffic;
}

void PeerTransport::broadcast(wire::EdgeMessage message, std::size_t rotation)
{
    m_rotation = rotation;
    sendToOwnDataCentre(message);
    message.__set_forward(true);
    const std::string datagram = withTag(edgeTag, m_codec.encode(message));
    for (const auto &[dataCentre, dataCentrePeers] : m_peersByDataCentre) {
        const std::vector<Address> &candidates = dataCentrePeers.alive.empty() ? dataCentrePeers.unreliable : dataCentrePeers.alive;
        if (dataCentre != m_membership.self.dataCentre) {
            sendDatagram(purposeOf(message.kind), datagram, candidates[rotation % candidates.size()]);
        }
    }
}

void PeerTransport::relayBroadcast(const wire::EdgeMessage &message)
{
    if (message.forward) {
        m_rotation += message.kind == wire::EdgeKind::Beat ? 1 : 0;
        sendToOwnDataCentre(message);
    }
    if (message.__isset.relayTo) {
        wire::EdgeMessage copy = message;
        copy.__isset.relayTo = false;
        const std::string datagram = withTag(edgeTag, m_codec.encode(copy));
        for (const wire::EdgeEndpoint &it : message.relayTo) {
            sendDatagram(purposeOf(message.kind), datagram, fromWire(it));
        }
    }
}

void PeerTransport::sendToOwnDataCentre(wire::EdgeMessage message)
{
    const auto own = m_peersByDataCentre.find(m_membership.self.dataCentre);
    if (own == m_peersByDataCentre.end()) {
        return;
    }
    message.__set_forward(false);
    for (const RelayGroup &it : makeRelayGroups(own->second.alive, own->second.unreliable, m_rotation)) {
        message.relayTo.clear();
        for (const Address &other : it.relayTo) {
            message.relayTo.push_back(toWire(other));
        }
        message.__isset.relayTo = !it.relayTo.empty();
        send(message, it.relay);
    }
}

bool PeerTransport::sendToRandomPeer(const wire::EdgeMessage &message)
{
    std::vector<Address> candidates;
    const auto own = m_peersByDataCentre.find(m_membership.self.dataCentre);
    if (own != m_peersByDataCentre.end()) {
        candidates = own->second.alive;
    }
    if (candidates.empty()) {
        for (const auto &[dataCentre, peers] : m_peersByDataCentre) {
            candidates.insert(candidates.end(), peers.alive.begin(), peers.alive.end());
        }
    }
    if (candidates.empty()) {
        return false;
    }
    send(message, candidates[below(m_random, candidates.size())]);
    return true;
}

bool PeerTransport::relayToDataCentreOf(const Address &from, const wire::EdgeMessage &message)
{
    // A member that has run for this long knows the state, unless the store and all other nodes have failed.
    constexpr std::int64_t minRunTime = 5 * second;
    const auto dataCentre = m_dataCentres.find(from);
    if (dataCentre == m_dataCentres.end() || dataCentre->second == m_membership.self.dataCentre) {
        return false;
    }
    const std::int64_t startedBefore = wallNow() * (millisecond / microsecond) - minRunTime;
    std::vector<Address> relays;
    for (const auto &[id, member] : m_membership.members) {
        const bool running = member.state == wire::MemberState::Alive && member.key.incarnation < startedBefore;
        if (running && member.dataCentre == dataCentre->second && parseAddress(member.address) != from) {
            relays.push_back(parseAddress(member.address));
        }
    }
    if (relays.empty()) {
        return false;
    }
    wire::EdgeMessage copy = message;
    copy.__set_relayTo({toWire(from)});
    send(copy, relays[below(m_random, relays.size())]);
    return true;
}

void PeerTransport::ping(Id node)
{
    MembershipOutput output;
    pingMember(m_membership, node, output);
    applyOutput(std::move(output));
}

std::unordered_map<Id, OtherNode> PeerTransport::otherNodes() const
{
    std::unordered_map<Id, OtherNode> nodes;
    for (const auto &[id, member] : m_membership.members) {
        if (id != m_membership.self.key.instance && member.state != wire::MemberState::Leaving && isAddress(member.address)) {
            nodes[id] = {member.dataCentre, member.state != wire::MemberState::Dead};
        }
    }
    return nodes;
}

void PeerTransport::contactNodes(const std::vector<Address> &nodes, Time now)
{
    MembershipOutput output;
    for (const Address &it : nodes) {
        addSeed(m_membership, toString(it));
    }
    contactSeeds(m_membership, now, output);
    applyOutput(std::move(output));
}

std::vector<Address> PeerTransport::memberAddresses() const
{
    std::vector<Address> result{m_address};
    for (const auto &[id, address] : m_peerAddresses) {
        result.push_back(address);
    }
    return result;
}

InstanceKey PeerTransport::self() const
{
    return m_membership.self.key;
}

std::vector<InstanceKey> PeerTransport::members() const
{
    std::vector<InstanceKey> keys;
    for (const Member &it : liveMembers(m_membership)) {
        keys.push_back(it.key);
    }
    return keys;
}

std::string PeerTransport::dataCentreOf(Id member) const
{
    const auto it = m_membership.members.find(member);
    return it == m_membership.members.end() ? std::string() : it->second.dataCentre;
}

std::unordered_map<Id, std::string> PeerTransport::memberDataCentres() const
{
    std::unordered_map<Id, std::string> result;
    for (const Member &it : liveMembers(m_membership)) {
        result[it.key.instance] = it.dataCentre;
    }
    return result;
}

int PeerTransport::rankBy(const std::function<std::uint64_t(Id)> &order) const
{
    const std::uint64_t own = order(m_membership.self.key.instance);
    return static_cast<int>(std::ranges::count_if(m_peerAddresses, [&](const auto &it) { return order(it.first) < own; }));
}

void PeerTransport::onDatagram(std::string_view bytes, const Address &from)
{
    if (bytes.empty()) {
        return;
    }
    const std::string_view body = bytes.substr(1);
    try {
        if (bytes.front() == membershipTag) {
            onMembership(body, from, monotonicNow());
        } else if (bytes.front() == edgeTag) {
            wire::EdgeMessage message;
            m_codec.decode(body, message);
            m_onHeard(message.sender);
            m_onMessage(message, from);
        }
    } catch (const DecodeError &error) {
        logEvent(m_log, "peer_message_unreadable", {{"from", toString(from)}, {"bytes", bytes.size()}, {"problem", error.what()}});
    }
}

void PeerTransport::onMembership(std::string_view bytes, const Address &from, Time now)
{
    wire::PeerMessage message;
    m_codec.decode(bytes, message);
    m_onHeard(message.sender.instance);
    for (const wire::MemberUpdate &it : message.members) {
        if (it.key.instance == m_membership.self.key.instance && it.key.incarnation > m_membership.self.key.incarnation) {
            // The system time was set back since the previous process of this node started, so its incarnation is higher.
            setIncarnation(m_membership, it.key.incarnation + 1, now);
        }
    }
    MembershipOutput output;
    handleMembership(m_membership, message, toString(from), now, output);
    applyOutput(std::move(output));
}

void PeerTransport::applyOutput(MembershipOutput &&output)
{
    for (const MemberMessage &it : output.messages) {
        sendDatagram(TrafficPurpose::Membership, withTag(membershipTag, m_codec.encode(it.message)), parseAddress(it.address));
    }
    for (const MemberChange &it : output.changes) {
        logEvent(m_log,
                 "member_changed",
                 {{"member", it.member.name}, {"address", it.member.address}, {"state", name(it.member.state)}, {"members", liveCount(m_membership)}});
    }
    if (!output.changes.empty()) {
        updatePeers();
        m_onMembersChanged();
    }
}

void PeerTransport::updatePeers()
{
    m_peerAddresses.clear();
    m_peersByDataCentre.clear();
    m_dataCentres.clear();
    for (const auto &[id, member] : m_membership.members) {
        if (id == m_membership.self.key.instance || !isAddress(member.address)) {
            continue;
        }
        const Address address = parseAddress(member.address);
        m_dataCentres[address] = member.dataCentre;
        if (member.state == wire::MemberState::Dead) {
            continue;
        }
        DataCentrePeers &dataCentrePeers = m_peersByDataCentre[member.dataCentre];
        (member.state == wire::MemberState::Alive ? dataCentrePeers.alive : dataCentrePeers.unreliable).push_back(address);
        if (member.state != wire::MemberState::Leaving) {
            m_peerAddresses[id] = address;
        }
    }
}

} // namespace pimentofold
