// The part of Edge that shares the store's state with the other nodes.
#include <pimentofold-edge/edge.h>

#include <algorithm>

namespace pimentofold {

namespace {

// A node that has just started finds its peers and the store's state with short steps.
constexpr Time startInterval = 50 * millisecond;
constexpr Time startTime = 3 * second;
constexpr Time shareInterval = 150 * millisecond;
// Datagrams of changes that one node sends to another; for more, each node reads the store. All nodes of a large fleet would
// otherwise fetch them over the link of one small instance.
constexpr std::size_t mostParts = 60;

} // namespace

void Edge::prepareSharing()
{
    m_share.self = m_forwarder.self.instance;
    if (m_settings.firstStart && !m_settings.seeds.empty()) {
        const auto own = std::ranges::find(m_settings.seeds, m_settings.peerAddress);
        const std::optional<std::size_t> position = own == m_settings.seeds.end() ? std::nullopt : std::optional<std::size_t>(own - m_settings.seeds.begin());
        m_share.settings.startWait = firstCallWait(m_share.settings, position, m_forwarder.dispatcher.random);
    }
    m_share.startedAt = monotonicNow();
}

void Edge::startSharing()
{
    onMembers();
    tickShare(m_share.startedAt);
    m_peers.tick(m_share.startedAt);
    m_shareTick.start(std::min(m_share.settings.startWait, startInterval));
}

void Edge::onBeat(const wire::EdgeMessage &message, const Address &from, Time now)
{
    m_peers.passOn(message);
    if (message.__isset.changes) {
        onChanges(message, now);
    }
    const StoreBeat beat{message.sender, message.healthy, {message.configKnown, message.targetsKnown}, message.age};
    const bool missing = takeBeat(m_share, beat, now);
    if (!missing || now < m_share.fetchAt) {
        return;
    }
    if (message.large && m_store.contact() != StoreContact::Failing) {
        m_share.fetchAt = now + m_share.settings.readWait;
        m_store.readOnce(m_share.known);
    } else {
        // The node that passed the beat on: a follower that all nodes ask would fill its link.
        m_share.fetchAt = now + m_share.settings.fetchRetry;
        m_peers.send(fetchMessage(false), from);
    }
}

wire::EdgeMessage Edge::fetchMessage(bool evenIfLarge) const
{
    wire::EdgeMessage message = newMessage(wire::EdgeKind::Fetch);
    message.__set_configRevision(m_forwarder.table.configRevision);
    message.__set_configKnown(m_share.known.config);
    message.__set_targetsKnown(m_share.known.targets);
    message.__set_large(evenIfLarge);
    return message;
}

void Edge::onFetch(const wire::EdgeMessage &message, const Address &from, Time now)
{
    if (!canPlaceFlows(m_forwarder)) {
        return;
    }
    const KnownRevisions base{message.configKnown, message.targetsKnown};
    if (!knowsMore(m_share, base)) {
        return;
    }
    const StoreChanges changes = changesSince(m_forwarder.table, base, message.configRevision, m_share.known, now);
    const std::vector<wire::EdgeChanges> parts = toWire(changes);
    wire::EdgeMessage answer = newMessage(wire::EdgeKind::Changes);
    if (parts.size() > mostParts && !message.large) {
        answer.__set_large(true);
        m_peers.send(answer, from);
        return;
    }
    for (const wire::EdgeChanges &it : parts) {
        answer.__set_changes(it);
        m_peers.send(answer, from);
    }
}

void Edge::onLarge(const Address &from, Time now)
{
    if (m_readAt == 0 || now - m_readAt > m_share.settings.readWait) {
        m_readAt = now;
        m_share.fetchAt = now + m_share.settings.readWait;
        m_store.readOnce(m_share.known);
        return;
    }
    // The store hasn't answered this node, so it needs the changes from a peer, however many they are.
    m_peers.send(fetchMessage(true), from);
}

void Edge::onChanges(const wire::EdgeMessage &message, Time now)
{
    if (!message.__isset.changes) {
        return;
    }
    const std::optional<StoreChanges> changes = addPart(m_partial, message.sender, message.changes);
    if (!changes) {
        return;
    }
    const std::int64_t configBefore = m_forwarder.table.configRevision;
    const KnownRevisions before = m_share.known;
    // One kind may be taken over while changes of the other are missing.
    applyChanges(m_share, m_forwarder.table, *changes, now);
    if (m_share.known == before && m_forwarder.table.configRevision == configBefore) {
        return;
    }
    if (m_forwarder.table.configRevision != configBefore) {
        logEvent(m_log,
                 "config_applied",
                 {{"source", "peer"},
                  {"version", m_forwarder.table.configVersion},
                  {"revision", m_forwarder.table.configRevision},
                  {"changed", changes->config.routes.size()},
                  {"removed", changes->removedRoutes.size()}});
    }
    if (m_share.known.targets != before.targets && (!changes->targets.empty() || !changes->removedTargets.empty())) {
        logEvent(m_log,
                 "targets_applied",
                 {{"source", "peer"}, {"changed", changes->targets.size()}, {"removed", changes->removedTargets.size()}, {"revision", m_share.known.targets}});
    }
    afterChange();
}

void Edge::onShareTick()
{
    const Time now = monotonicNow();
    noteRunning(now);
    m_peers.tick(now);
    tickShare(now);
    m_shareTick.start(now - m_share.startedAt < startTime ? startInterval : shareInterval);
}

void Edge::noteStoreContact(Time now)
{
    const StoreContact before = m_share.contact;
    noteContact(m_share, m_store.contact(), now);
    if (m_share.contact != before) {
        logEvent(m_log, "store_contact", {{"state", name(m_share.contact)}, {"before", name(before)}, {"known_targets", m_share.known.targets}});
    }
}

void Edge::tickShare(Time now)
{
    if (m_store.isFollowing()) {
        noteStoreContact(now);
    }
    const bool follow = shouldFollow(m_share, m_peers.rankBy(followRank), now);
    if (follow != m_share.following) {
        m_share.following = follow;
        logEvent(m_log,
                 follow ? "store_follow_started" : "store_follow_ended",
                 {{"known_config", m_share.known.config},
                  {"known_targets", m_share.known.targets},
                  {"confirmed_us", now - m_share.confirmedAt},
                  {"calls", m_store.calls()}});
        if (follow) {
            startFollowing(m_share, now);
            m_beatConfig = m_forwarder.table.configRevision;
            m_store.start(m_share.known);
            if (!m_rosterAsked && m_forwarder.members.size() == 1) {
                m_rosterAsked = true;
                m_roster.read();
            }
        } else {
            m_store.stop();
        }
    }
    if (m_share.known.targets == 0 || m_share.known.config == 0) {
        fetchFirst(now);
    } else if (isBehind(m_share) && !follow && now >= m_share.fetchAt) {
        m_share.fetchAt = now + m_share.settings.fetchRetry;
        m_peers.sendToNeighbour(fetchMessage(false));
    }
    if (follow && m_share.contact == StoreContact::Answering && canPlaceFlows(m_forwarder)) {
        m_roster.keep(m_peers.addresses(), now);
    }
    if (isBeatDue(m_share, now)) {
        sendBeat(now);
    }
}

void Edge::fetchFirst(Time now)
{
    if (m_settings.seeds.empty() || now < m_share.fetchAt) {
        return;
    }
    // Seeds and neighbours by turns: the seeds may be gone, and can't serve a large fleet alone.
    const std::size_t turn = m_fetches++;
    const bool sent = turn % 2 == 1 && m_peers.sendToNeighbour(fetchMessage(false));
    const Address &seed = m_settings.seeds[turn / 2 % m_settings.seeds.size()];
    if (!sent && seed != m_settings.peerAddress) {
        m_peers.send(fetchMessage(false), seed);
    }
    m_share.fetchAt = now + (m_settings.firstStart ? m_share.settings.firstFetchRetry : m_share.settings.fetchRetry);
}

void Edge::broadcastParts(const std::vector<wire::EdgeChanges> &parts)
{
    wire::EdgeMessage message = newMessage(wire::EdgeKind::Changes);
    for (const wire::EdgeChanges &it : parts) {
        message.__set_changes(it);
        m_peers.broadcast(message, m_beats);
    }
}

void Edge::sendBeat(Time now)
{
    m_share.beatAt = now;
    wire::EdgeMessage message = newMessage(wire::EdgeKind::Beat);
    message.healthy = m_share.contact == StoreContact::Answering;
    message.configKnown = m_share.known.config;
    message.targetsKnown = m_share.known.targets;
    message.configRevision = m_forwarder.table.configRevision;
    message.age = m_share.confirmedAt == 0 ? 0 : now - m_share.confirmedAt;
    const bool changed = m_share.known != m_share.beatKnown && m_share.beatKnown.config > 0 && m_share.beatKnown.targets > 0;
    if (changed) {
        const StoreChanges changes = changesSince(m_forwarder.table, m_share.beatKnown, m_beatConfig, m_share.known, now);
        std::vector<wire::EdgeChanges> parts = toWire(changes);
        if (parts.size() == 1) {
            message.__set_changes(parts.front());
        }
        message.__set_large(parts.size() > mostParts);
        if (parts.size() > 1 && parts.size() <= mostParts) {
            broadcastParts(parts);
        }
    }
    m_share.beatKnown = m_share.known;
    m_beatConfig = m_forwarder.table.configRevision;
    m_peers.broadcast(message, m_beats);
    ++m_beats;
}

void Edge::onStoreChange()
{
    const Time now = monotonicNow();
    const KnownRevisions known = m_store.known();
    m_share.known.config = std::max(m_share.known.config, known.config);
    m_share.known.targets = std::max(m_share.known.targets, known.targets);
    if (m_store.isFollowing()) {
        noteStoreContact(now);
    }
    afterChange();
    if (isBeatDue(m_share, now)) {
        sendBeat(now);
    }
}

void Edge::afterChange()
{
    const Time now = monotonicNow();
    updateDispatchers(m_forwarder, now);
    if (canPlaceFlows(m_forwarder) && !m_forwarder.earlyPackets.empty()) {
        for (const EarlyPacket &it : takeEarlyPackets(m_forwarder, now)) {
            handle(it.bytes, now);
        }
    }
    scheduleTick();
}

} // namespace pimentofold
