#include <pimentofold-edge/edge.h>

#include <algorithm>
#include <random>
#include <utility>

#include <pimentofold-edge/edgelog.h>
#include <platform/packetcodec.h>

namespace pimentofold {

namespace {

// The fabric takes a node out of rotation after two failed checks, half a second apart.
constexpr Time leastStopTime = 1200 * millisecond;
// No packet for this long shows that the fabric sends none any more.
constexpr Time quietTime = 400 * millisecond;
constexpr Time stopCheckInterval = 100 * millisecond;
// Left of the time that the platform gives, so that the process ends by itself.
constexpr Time stopReserve = second;
// A node that has just started finds its peers and the store's state with short steps.
constexpr Time startInterval = 50 * millisecond;
constexpr Time startTime = 3 * second;
constexpr Time shareInterval = 150 * millisecond;
// Datagrams of changes that one node sends to another; for more, each node reads the store. All nodes of a large fleet would
// otherwise fetch them over the link of one small instance.
constexpr std::size_t mostParts = 60;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

double inSeconds(Time duration)
{
    return static_cast<double>(duration) / static_cast<double>(second);
}

std::string seedText(const std::vector<Address> &seeds)
{
    std::string text;
    for (const Address &it : seeds) {
        text += text.empty() ? "" : ",";
        text += toString(it);
    }
    return text;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32U | device();
}

} // namespace

Edge::Edge(const EdgeSettings &settings, const EdgeOptions &options)
    : m_settings(settings)
    , m_packets(
          settings.packets, [this](std::string_view bytes, const Address &) { onPacket(bytes); }, platform::mostPacketBytes + platform::targetPrefixBytes)
    , m_readiness(settings.readiness, [this](const HttpRequest &) { return ready(); })
    , m_peers(
          settings,
          randomSeed(),
          m_log,
          [this](const wire::EdgeMessage &message, const Address &from) { onPeerMessage(message, from); },
          [this] { onMembers(); })
    , m_store(settings.store, m_forwarder.table, m_forwarder.dispatcher.random, m_log, [this] { onStoreChange(); })
    , m_roster(settings.store, m_log, [this](const std::vector<Address> &nodes) { m_peers.contact(nodes, monotonicNow()); })
    , m_tick([this] { onTick(); })
    , m_shareTick([this] { onShareTick(); })
    , m_stopTimer([this] { onStopTick(); })
{
    m_log.node = settings.node;
    m_budget.perSecond = options.logEventsPerSecond;
    m_budget.burst = options.logBurst;
    m_forwarder.settings = options.forward;
    m_forwarder.dispatcher.settings = options.dispatch;
    m_share.settings = options.share;
    if (options.metricsPort != 0) {
        m_metricsServer =
            std::make_unique<HttpResponderServer>(Address{settings.packets.ip, options.metricsPort}, [this](const HttpRequest &) { return metricsPage(); });
    }
    m_forwarder.dispatcher.random.state = randomSeed();
    m_forwarder.dispatcher.settings.dataCentre = settings.dataCentre;
    m_forwarder.self = m_peers.self();
    m_share.self = m_forwarder.self.instance;
    if (settings.firstStart && !settings.seeds.empty()) {
        const auto own = std::ranges::find(settings.seeds, settings.peers);
        const std::optional<std::size_t> position = own == settings.seeds.end() ? std::nullopt : std::optional<std::size_t>(own - settings.seeds.begin());
        m_share.settings.startWait = firstCallWait(m_share.settings, position, m_forwarder.dispatcher.random);
    }
    m_share.startedAt = monotonicNow();
    logEvent(m_log,
             "started",
             {{"data_centre", settings.dataCentre},
              {"packets", toString(settings.packets)},
              {"store", toString(settings.store)},
              {"seeds", seedText(settings.seeds)},
              {"first_start", static_cast<int>(settings.firstStart)}});
    onMembers();
    tickShare(m_share.startedAt);
    m_peers.tick(m_share.startedAt);
    m_shareTick.start(std::min(m_share.settings.startWait, startInterval));
    scheduleTick();
}

HttpResponse Edge::ready() const
{
    HttpResponse response;
    const bool isReady = m_stopAt == never && canPlace(m_forwarder);
    response.status = isReady ? statusOk : statusUnavailable;
    return response;
}

HttpResponse Edge::metricsPage()
{
    const Time now = monotonicNow();
    const TargetTable &table = m_forwarder.table;
    setGauge(m_metrics, "ready", ready().status == statusOk ? 1 : 0);
    setGauge(m_metrics, "config_version", static_cast<double>(table.configVersion));
    setGauge(m_metrics, "config_revision", static_cast<double>(table.configRevision));
    setGauge(m_metrics, "store_targets_revision", static_cast<double>(m_share.known.targets));
    setGauge(m_metrics, "store_confirmed_seconds", m_share.confirmedAt == 0 ? -1 : inSeconds(now - m_share.confirmedAt));
    setGauge(m_metrics, "store_following", m_share.following ? 1 : 0);
    setGauge(m_metrics, "members", static_cast<double>(m_forwarder.members.size()));
    setGauge(m_metrics, "flows", static_cast<double>(m_forwarder.flows.size()));
    setGauge(m_metrics, "flows_waiting", static_cast<double>(m_forwarder.dispatcher.waiting.size()));
    setGauge(m_metrics, "answer_wait_seconds", inSeconds(answerWait(m_forwarder)));
    setGauge(m_metrics, "targets", static_cast<double>(table.targets.size()));
    counter(m_metrics, "store_calls_total") = m_store.calls();
    counter(m_metrics, "packet_bytes_received_total") = static_cast<std::int64_t>(m_packets.bytesReceived());
    counter(m_metrics, "packet_bytes_sent_total") = static_cast<std::int64_t>(m_packets.bytesSent());
    counter(m_metrics, "packet_send_drops_total") = static_cast<std::int64_t>(m_packets.sendDrops());
    counter(m_metrics, "log_events_held_back_total") = m_budget.held;
    HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = renderMetrics(m_metrics);
    return response;
}

void Edge::onPacket(std::string_view bytes)
{
    const Time now = monotonicNow();
    m_packetAt = now;
    noteRunning(now);
    handle(bytes, now);
    scheduleTick();
}

void Edge::handle(std::string_view bytes, Time now)
{
    const std::optional<FlowPacket> packet = platform::decodePacket(bytes);
    if (!packet) {
        count(m_metrics, "packets_unreadable_total");
        return;
    }
    ForwardOutput out;
    handlePacket(m_forwarder, *packet, now, out);
    send(out, now);
}

void Edge::send(const ForwardOutput &out, Time now)
{
    for (const ForwardedPacket &it : out.packets) {
        m_packets.send(platform::encodeForwarded(it), it.to);
    }
    for (const FlowReset &it : out.resets) {
        m_packets.send(platform::encodeReset(it), {it.flow.caller.ip, m_settings.packets.port});
    }
    for (const RelayedOpening &it : out.openings) {
        wire::EdgeMessage message = newMessage(wire::EdgeKind::Place);
        message.__set_packet(it.bytes);
        message.__set_attempt(it.attempt);
        m_peers.send(message, it.dispatcher);
    }
    for (const HeldNotice &it : out.held) {
        sendNotice(wire::EdgeKind::Held, it.origin, it.flow, 0);
    }
    for (const SettledNotice &it : out.settled) {
        sendNotice(wire::EdgeKind::Settled, it.origin, it.flow, 0);
    }
    for (const FlowNotice &it : out.opened) {
        sendNotice(wire::EdgeKind::Opened, it.dispatcher, it.flow, it.target);
    }
    for (const FlowNotice &it : out.ended) {
        sendNotice(wire::EdgeKind::Ended, it.dispatcher, it.flow, it.target);
    }
    for (const ForwardNote &it : out.notes) {
        recordNote(m_log, m_budget, m_metrics, m_forwarder.table, it, now);
    }
}

void Edge::sendNotice(wire::EdgeKind::type kind, Id to, const FlowKey &flow, std::uint64_t target)
{
    if (to == 0) {
        return;
    }
    wire::EdgeMessage message = newMessage(kind);
    message.__set_flow(toWire(flow));
    message.__set_target(static_cast<std::int64_t>(target));
    m_peers.send(message, to);
}

void Edge::onTick()
{
    m_tickAt = never;
    const Time now = monotonicNow();
    noteRunning(now);
    ForwardOutput out;
    tickForwarder(m_forwarder, now, out);
    send(out, now);
    scheduleTick();
}

void Edge::scheduleTick()
{
    const Time due = nextTick(m_forwarder);
    if (due < m_tickAt) {
        m_tickAt = due;
        m_tick.start(std::max<Time>(due - monotonicNow(), 0));
    }
}

wire::EdgeMessage Edge::newMessage(wire::EdgeKind::type kind) const
{
    wire::EdgeMessage message;
    message.kind = kind;
    message.sender = m_share.self;
    return message;
}

void Edge::noteRunning(Time now)
{
    const Time pause = pimentofold::noteRunning(m_forwarder, now);
    if (pause > 0) {
        logEvent(m_log, "paused", {{"length_us", pause}});
    }
}

void Edge::onPeerMessage(const wire::EdgeMessage &message, const Address &from)
{
    const Time now = monotonicNow();
    noteRunning(now);
    switch (message.kind) {
    case wire::EdgeKind::Beat:
        onBeat(message, from, now);
        break;
    case wire::EdgeKind::Fetch:
        onFetch(message, from, now);
        break;
    case wire::EdgeKind::Changes:
        m_peers.passOn(message);
        if (message.large) {
            onLarge(from, now);
        }
        onChanges(message, now);
        break;
    case wire::EdgeKind::Place:
        onPlace(message, now);
        break;
    case wire::EdgeKind::Held:
    case wire::EdgeKind::Settled:
    case wire::EdgeKind::Opened:
    case wire::EdgeKind::Ended:
        onNotice(message, now);
        break;
    default:
        break;
    }
    scheduleTick();
}

void Edge::onNotice(const wire::EdgeMessage &message, Time now)
{
    if (!message.__isset.flow) {
        return;
    }
    const FlowKey flow = fromWire(message.flow);
    const auto target = static_cast<std::uint64_t>(message.target);
    if (message.kind == wire::EdgeKind::Held) {
        noteHeld(m_forwarder, flow, now);
    } else if (message.kind == wire::EdgeKind::Settled) {
        noteSettled(m_forwarder, flow);
    } else if (message.kind == wire::EdgeKind::Opened) {
        openForPeer(m_forwarder, flow, target, now);
    } else {
        ForwardOutput out;
        endForPeer(m_forwarder, flow, target, now, out);
        send(out, now);
    }
}

void Edge::onPlace(const wire::EdgeMessage &message, Time now)
{
    const std::optional<FlowPacket> packet = platform::decodePacket(message.packet);
    if (!packet || !packet->opens) {
        return;
    }
    OpeningFlow flow;
    flow.key = packet->flow;
    flow.opening = message.packet;
    flow.origin = message.sender;
    flow.attempt = std::max(message.attempt, 1);
    flow.openAge = packet->openAge;
    ForwardOutput out;
    placeForPeer(m_forwarder, flow, now, out);
    send(out, now);
}

void Edge::onMembers()
{
    m_forwarder.members = m_peers.members();
    updateDispatchers(m_forwarder, monotonicNow());
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
    if (!canPlace(m_forwarder)) {
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
    if (follow && m_share.contact == StoreContact::Answering && canPlace(m_forwarder)) {
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
    if (!sent && seed != m_settings.peers) {
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
    if (canPlace(m_forwarder) && !m_forwarder.early.empty()) {
        for (const EarlyPacket &it : takeEarly(m_forwarder, now)) {
            handle(it.bytes, now);
        }
    }
    scheduleTick();
}

void Edge::reload(const EdgeSettings &settings)
{
    const bool movedAddress = settings.packets != m_settings.packets || settings.readiness != m_settings.readiness || settings.peers != m_settings.peers
        || settings.store != m_settings.store;
    logEvent(m_log, "reloaded", {{"seeds", seedText(settings.seeds)}, {"needs_restart", static_cast<int>(movedAddress)}});
    m_settings.seeds = settings.seeds;
    m_settings.stopLimit = settings.stopLimit;
    m_peers.contact(settings.seeds, monotonicNow());
}

void Edge::refuseReload(const std::string &problem)
{
    logEvent(m_log, "reload_refused", {{"problem", problem}});
}

void Edge::stop()
{
    m_stopAt = monotonicNow();
    logEvent(m_log, "stopping", {{"flows", m_forwarder.flows.size()}});
    m_peers.leave(m_stopAt);
    m_stopTimer.start(stopCheckInterval, stopCheckInterval);
}

void Edge::onStopTick()
{
    const Time now = monotonicNow();
    const bool quiet = now - m_stopAt >= leastStopTime && now - m_packetAt >= quietTime;
    if (quiet || now - m_stopAt >= m_settings.stopLimit - stopReserve) {
        logEvent(m_log, "stopped", {{"flows", m_forwarder.flows.size()}, {"quiet", static_cast<int>(quiet)}});
        stopLoop();
    }
}

} // namespace pimentofold
