// Edge: replication of the store's state between the nodes.
#include <pimentofold-edge/edge.h>

#include <algorithm>
#include <utility>

#include <pimentofold/evacuation/evacuation.h>

namespace pimentofold {

namespace {

// Interval of updates in the first seconds after the start, in which the node looks for its peers and the store's state.
constexpr Time startupInterval = 50 * millisecond;
constexpr Time startupTime = 3 * second;
constexpr Time replicationInterval = 150 * millisecond;
// Maximum number of datagrams of changes that one node sends to another. Larger changes are read from the store by each node,
// since requests from all nodes of a large fleet would saturate the network link of one small instance.
constexpr std::size_t maxParts = 60;

// The store counts as not answering when nothing was confirmed for this long: two heartbeats and a call that waits for a change.
constexpr Time storeSilence = 2 * second;

} // namespace

void Edge::configureReplication()
{
    m_replication.self = m_forwarder.self.instance;
    if (m_settings.firstStart && !m_settings.seeds.empty()) {
        const auto ownSeed = std::ranges::find(m_settings.seeds, m_settings.peerAddress);
        const std::optional<std::size_t> position =
            ownSeed == m_settings.seeds.end() ? std::nullopt : std::optional<std::size_t>(ownSeed - m_settings.seeds.begin());
        m_replication.settings.startupPeerWait = firstStartDelay(m_replication.settings, position, m_forwarder.dispatcher.random);
    }
    m_replication.startedAt = monotonicNow();
}

void Edge::startReplication()
{
    onMembersChanged();
    // First, so that a seed that gets the request for the state already knows this node's data centre.
    m_peers.tick(m_replication.startedAt);
    updateReplication(m_replication.startedAt);
    m_replicationTimer.start(std::min(m_replication.settings.startupPeerWait, startupInterval));
}

void Edge::onHeartbeat(const wire::EdgeMessage &message, const Address &from, Time now)
{
    m_peers.relayBroadcast(message);
    onEvacuations(message);
    if (message.__isset.changes) {
        onChanges(message, now);
    }
    const StoreHeartbeat heartbeat{message.sender, message.healthy, knownFromWire(message), message.age};
    const bool missing = handleHeartbeat(m_replication, heartbeat, now);
    if (!missing || now < m_replication.nextFetchAt) {
        return;
    }
    if (message.large && m_store.health() != StoreHealth::Failing) {
        m_replication.nextFetchAt = now + m_replication.settings.storeReadWait;
        m_store.readOnce(m_replication.known);
    } else {
        // Requests from all nodes to the leader would saturate its network link, so the node that relayed the heartbeat is asked.
        m_replication.nextFetchAt = now + m_replication.settings.fetchInterval;
        m_peers.send(fetchMessage(false), from);
    }
}

wire::EdgeMessage Edge::fetchMessage(bool acceptLarge) const
{
    wire::EdgeMessage message = newMessage(wire::EdgeKind::Fetch);
    setKnown(message, m_replication.known);
    setConfigRevision(message, m_forwarder.table.configRevision);
    message.__set_large(acceptLarge);
    return message;
}

void Edge::onFetch(const wire::EdgeMessage &message, const Address &from, Time now)
{
    if (!canPlaceFlows(m_forwarder)) {
        return;
    }
    const KnownRevisions base = knownFromWire(message);
    if (!isAheadOf(m_replication, base)) {
        return;
    }
    const bool relayed = message.__isset.relayTo && message.relayTo.size() == 1;
    const bool isInitial = base == KnownRevisions();
    if (m_forwarder.settings.localDispatch && isInitial && !relayed && m_peers.relayToDataCentreOf(from, message)) {
        return;
    }
    const Address to = relayed ? fromWire(message.relayTo.front()) : from;
    wire::EdgeMessage response = newMessage(wire::EdgeKind::Changes);
    addEvacuations(response);
    if (m_replication.known.config <= base.config && m_replication.known.targets <= base.targets) {
        m_peers.send(response, to);
        return;
    }
    StoreChanges changes = changesSince(m_forwarder.table, base, configRevisionFromWire(message), m_replication.known, now);
    const bool routesFit = canSendRoutes(changes);
    if (!routesFit) {
        changes = withoutConfig(std::move(changes));
    }
    const std::vector<wire::EdgeChanges> parts = toWire(changes);
    if ((parts.size() > maxParts || !routesFit) && !message.large) {
        wire::EdgeMessage refusal = response;
        refusal.__set_large(true);
        m_peers.send(refusal, to);
        if (parts.size() > maxParts) {
            return;
        }
    }
    for (const wire::EdgeChanges &it : parts) {
        response.__set_changes(it);
        m_peers.send(response, to);
        response.__isset.evacuations = false; // the first part has carried them
    }
}

void Edge::onChangesTooLarge(const Address &from, Time now)
{
    if (m_storeReadAt == 0 || now - m_storeReadAt > m_replication.settings.storeReadWait) {
        m_storeReadAt = now;
        m_replication.nextFetchAt = now + m_replication.settings.storeReadWait;
        m_store.readOnce(m_replication.known);
        return;
    }
    // The store hasn't answered this node's read, so it requests the changes from the peer, whatever their size.
    m_peers.send(fetchMessage(true), from);
}

void Edge::onChanges(const wire::EdgeMessage &message, Time now)
{
    if (!message.__isset.changes) {
        return;
    }
    const std::optional<StoreChanges> changes = addPart(m_changesAssembler, message.sender, message.changes);
    if (!changes) {
        return;
    }
    const StoreRevision configBefore = m_forwarder.table.configRevision;
    const KnownRevisions before = m_replication.known;
    // Changes of one kind are applied even if earlier changes of the other kind are missing.
    applyChanges(m_replication, m_forwarder.table, *changes, now);
    if (m_replication.known == before && m_forwarder.table.configRevision == configBefore) {
        return;
    }
    if (m_forwarder.table.configRevision != configBefore) {
        logEvent(m_log,
                 "config_applied",
                 {{"source", "peer"},
                  {"version", m_forwarder.table.configVersion},
                  {"era", m_forwarder.table.configRevision.era},
                  {"revision", m_forwarder.table.configRevision.number},
                  {"changed", changes->config.routes.size()},
                  {"removed", changes->removedRoutes.size()}});
    }
    if (m_replication.known.targets != before.targets && (!changes->targets.empty() || !changes->removedTargets.empty())) {
        logEvent(m_log,
                 "targets_applied",
                 {{"source", "peer"},
                  {"changed", changes->targets.size()},
                  {"removed", changes->removedTargets.size()},
                  {"era", m_replication.known.targets.era},
                  {"revision", m_replication.known.targets.number}});
    }
    onStateChanged();
}

void Edge::onReplicationTick()
{
    // Started before anything can fail, so that one failure doesn't end all further updates.
    m_replicationTimer.start(monotonicNow() - m_replication.startedAt < startupTime ? startupInterval : replicationInterval);
    // A pause must not pass for the silence of other members or of the leader.
    readMissedMessages(monotonicNow());
    const Time now = monotonicNow();
    m_peers.tick(now);
    updateReplication(now);
}

void Edge::refreshStoreHealth(Time now)
{
    const StoreHealth before = m_replication.storeHealth;
    updateStoreHealth(m_replication, m_store.health(), now);
    if (m_replication.storeHealth != before) {
        logEvent(m_log,
                 "store_contact",
                 {{"state", name(m_replication.storeHealth)}, {"before", name(before)}, {"known_targets", m_replication.known.targets.number}});
    }
}

void Edge::updateReplication(Time now)
{
    if (m_store.isWatching()) {
        refreshStoreHealth(now);
    }
    if (m_forwarder.targetLoss.settings.enabled) {
        const bool confirmed = m_replication.confirmedAt > 0 && now - m_replication.confirmedAt <= storeSilence;
        const bool answering =
            confirmed && (m_replication.leading ? m_replication.storeHealth == StoreHealth::Answering : m_replication.failureReportedAt == never);
        recordStoreContact(m_forwarder.targetLoss.verdicts, answering, m_replication.confirmedAt, now);
    }
    const bool lead = shouldLead(m_replication, m_peers.rankBy(leaderOrder), now);
    if (lead != m_replication.leading) {
        m_replication.leading = lead;
        logEvent(m_log,
                 lead ? "store_follow_started" : "store_follow_ended",
                 {{"era", eraOf(m_replication.known)},
                  {"known_config", m_replication.known.config.number},
                  {"known_targets", m_replication.known.targets.number},
                  {"confirmed_us", now - m_replication.confirmedAt},
                  {"calls", m_store.callCount()}});
        if (lead) {
            startLeading(m_replication, now);
            m_heartbeatConfigRevision = m_forwarder.table.configRevision;
            m_store.start(m_replication.known);
            if (!m_rosterRequested && m_forwarder.members.size() == 1) {
                m_rosterRequested = true;
                m_roster.read();
            }
        } else {
            m_store.stop();
        }
    }
    const bool couldPlace = canPlaceFlows(m_forwarder);
    updateEvacuationWait(m_forwarder.evacuationWait, knowsTargets(m_forwarder), now);
    if (!couldPlace && canPlaceFlows(m_forwarder)) {
        onStateChanged();
    }
    const bool knowsEvacuations = !waitsForEvacuations(m_forwarder.evacuationWait, m_forwarder.table.evacuations);
    if (m_replication.known.targets == 0 || m_replication.known.config == 0 || !knowsEvacuations) {
        fetchInitialState(now);
    } else if (isBehind(m_replication) && !lead && now >= m_replication.nextFetchAt) {
        m_replication.nextFetchAt = now + m_replication.settings.fetchInterval;
        m_peers.sendToRandomPeer(fetchMessage(false));
    }
    if (lead && m_replication.storeHealth == StoreHealth::Answering && canPlaceFlows(m_forwarder)) {
        m_roster.beginEra(m_store.era());
        m_roster.update(m_peers.memberAddresses(), now);
    }
    if (isHeartbeatDue(m_replication, now)) {
        sendHeartbeat(now);
    }
}

void Edge::fetchInitialState(Time now)
{
    if (m_settings.seeds.empty() || now < m_replication.nextFetchAt) {
        return;
    }
    // Alternates between seeds and random peers: the seeds may no longer run, and can't serve a large fleet alone.
    const std::size_t attempt = m_initialFetches++;
    const bool sent = attempt % 2 == 1 && m_peers.sendToRandomPeer(fetchMessage(false));
    const Address &seed = m_settings.seeds[attempt / 2 % m_settings.seeds.size()];
    if (!sent && seed != m_settings.peerAddress) {
        m_peers.send(fetchMessage(false), seed);
    }
    m_replication.nextFetchAt = now + (m_settings.firstStart ? m_replication.settings.firstStartFetchInterval : m_replication.settings.fetchInterval);
}

void Edge::broadcastChanges(const std::vector<wire::EdgeChanges> &parts)
{
    wire::EdgeMessage message = newMessage(wire::EdgeKind::Changes);
    for (const wire::EdgeChanges &it : parts) {
        message.__set_changes(it);
        m_peers.broadcast(message, m_heartbeatsSent);
    }
}

void Edge::sendHeartbeat(Time now)
{
    m_replication.heartbeatSentAt = now;
    wire::EdgeMessage message = newMessage(wire::EdgeKind::Beat);
    message.healthy = m_replication.storeHealth == StoreHealth::Answering;
    setKnown(message, m_replication.known);
    setConfigRevision(message, m_forwarder.table.configRevision);
    addEvacuations(message);
    message.age = m_replication.confirmedAt == 0 ? 0 : now - m_replication.confirmedAt;
    const bool changed =
        m_replication.known != m_replication.heartbeatSentKnown && m_replication.heartbeatSentKnown.config > 0 && m_replication.heartbeatSentKnown.targets > 0;
    if (changed) {
        StoreChanges changes = changesSince(m_forwarder.table, m_replication.heartbeatSentKnown, m_heartbeatConfigRevision, m_replication.known, now);
        const bool routesFit = canSendRoutes(changes);
        if (!routesFit) {
            changes = withoutConfig(std::move(changes));
        }
        std::vector<wire::EdgeChanges> parts = toWire(changes);
        if (parts.size() == 1) {
            message.__set_changes(parts.front());
        }
        message.__set_large(parts.size() > maxParts || !routesFit);
        if (parts.size() > 1 && parts.size() <= maxParts) {
            broadcastChanges(parts);
        }
    }
    m_replication.heartbeatSentKnown = m_replication.known;
    m_heartbeatConfigRevision = m_forwarder.table.configRevision;
    m_peers.broadcast(message, m_heartbeatsSent);
    ++m_heartbeatsSent;
}

void Edge::configureEvacuations()
{
    m_forwarder.evacuationWait.enabled = m_settings.evacuationBound > 0;
    m_store.setEvacuationBound(m_settings.evacuationBound);
    if (m_settings.evacuationBound == 0) {
        announceEvacuations("settings", 0);
    }
}

void Edge::onEvacuations(const wire::EdgeMessage &message)
{
    if (!message.__isset.evacuations || m_settings.evacuationBound == 0) {
        return;
    }
    if (replaceEvacuations(m_forwarder.table.evacuations, fromWire(message.evacuations))) {
        announceEvacuations("peer", message.age);
    }
}

void Edge::announceEvacuations(std::string_view source, Time age)
{
    const EvacuationState &state = m_forwarder.table.evacuations;
    if (state == m_announcedEvacuations) {
        return;
    }
    const bool first = m_announcedEvacuations.revision == 0;
    const EvacuationDifference difference = differenceOf(m_announcedEvacuations, state);
    m_announcedEvacuations = state;
    m_replication.known.evacuations = state.revision;
    for (const std::string &it : difference.started) {
        logEvent(m_log,
                 "evacuation_started",
                 {{"data_centre", it}, {"era", state.revision.era}, {"revision", state.revision.number}, {"source", source}, {"age_us", age}});
    }
    for (const std::string &it : difference.ended) {
        logEvent(m_log,
                 "evacuation_ended",
                 {{"data_centre", it}, {"era", state.revision.era}, {"revision", state.revision.number}, {"source", source}, {"age_us", age}});
        markDataCentreCold(m_forwarder.table, it, state.revision, monotonicNow());
    }
    const bool changed = !difference.started.empty() || !difference.ended.empty();
    if (!changed) {
        // The revision alone goes with the next heartbeat that is due anyway.
        m_replication.heartbeatSentKnown.evacuations = state.revision;
    }
    if (changed) {
        recordDuration(m_metrics, "evacuation_apply_seconds", static_cast<double>(age) / static_cast<double>(second));
    }
    if (changed || first) {
        onStateChanged();
    }
}

void Edge::addEvacuations(wire::EdgeMessage &message) const
{
    if (m_forwarder.table.evacuations.revision > 0) {
        message.__set_evacuations(toWire(evacuationsToSend(m_forwarder.table)));
        setEvacuationsKnown(message, m_forwarder.table.evacuations.revision);
    }
}

void Edge::onStoreAnswer()
{
    const Time now = monotonicNow();
    const KnownRevisions known = m_store.known();
    m_replication.known.config = std::max(m_replication.known.config, known.config);
    m_replication.known.targets = std::max(m_replication.known.targets, known.targets);
    announceEvacuations("store", 0);
    if (m_store.isWatching()) {
        refreshStoreHealth(now);
    }
    onStateChanged();
    if (isHeartbeatDue(m_replication, now)) {
        sendHeartbeat(now);
    }
}

void Edge::onStateChanged()
{
    updateDispatchers(m_forwarder, monotonicNow());
    releaseEarlyPackets();
}

void Edge::releaseEarlyPackets()
{
    const Time now = monotonicNow();
    for (const EarlyPacket &it : takeEarlyPackets(m_forwarder, now)) {
        handlePacketBytes(it.bytes, now - it.receivedAt, now);
    }
    scheduleForwardTick();
}

} // namespace pimentofold
