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
          settings.packetAddress, [this](std::string_view bytes, const Address &) { onPacket(bytes); }, platform::maxPacketBytes + platform::targetPrefixBytes)
    , m_readiness(settings.readinessAddress, [this](const HttpRequest &) { return ready(); })
    , m_peers(
          settings,
          randomSeed(),
          m_log,
          [this](const wire::EdgeMessage &message, const Address &from) { onPeerMessage(message, from); },
          [this] { onMembers(); })
    , m_store(settings.storeAddress, m_forwarder.table, m_forwarder.dispatcher.random, m_log, [this] { onStoreChange(); })
    , m_roster(settings.storeAddress, m_log, [this](const std::vector<Address> &nodes) { m_peers.contact(nodes, monotonicNow()); })
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
        m_metricsServer = std::make_unique<HttpResponderServer>(Address{settings.packetAddress.ip, options.metricsPort},
                                                                [this](const HttpRequest &) { return metricsPage(); });
    }
    m_forwarder.dispatcher.random.state = randomSeed();
    m_forwarder.dispatcher.settings.dataCentre = settings.dataCentre;
    m_forwarder.self = m_peers.self();
    prepareSharing();
    logEvent(m_log,
             "started",
             {{"data_centre", settings.dataCentre},
              {"packets", toString(settings.packetAddress)},
              {"store", toString(settings.storeAddress)},
              {"seeds", seedText(settings.seeds)},
              {"first_start", static_cast<int>(settings.firstStart)}});
    startSharing();
    scheduleTick();
}

HttpResponse Edge::ready() const
{
    HttpResponse response;
    const bool isReady = m_stopAt == never && canPlaceFlows(m_forwarder);
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
    setGauge(m_metrics, "flows_waiting", static_cast<double>(m_forwarder.dispatcher.waitingFlows.size()));
    setGauge(m_metrics, "answer_wait_seconds", inSeconds(answerTimeout(m_forwarder)));
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
        m_packets.send(platform::encodeReset(it), {it.flow.caller.ip, m_settings.packetAddress.port});
    }
    for (const RelayedOpening &it : out.relayedOpenings) {
        wire::EdgeMessage message = newMessage(wire::EdgeKind::Place);
        message.__set_packet(it.bytes);
        message.__set_attempt(it.attempt);
        m_peers.send(message, it.dispatcher);
    }
    for (const HeldNotice &it : out.heldNotices) {
        sendNotice(wire::EdgeKind::Held, it.originNode, it.flow, 0);
    }
    for (const SettledNotice &it : out.settledNotices) {
        sendNotice(wire::EdgeKind::Settled, it.originNode, it.flow, 0);
    }
    for (const FlowNotice &it : out.openedNotices) {
        sendNotice(wire::EdgeKind::Opened, it.dispatcher, it.flow, it.target);
    }
    for (const FlowNotice &it : out.endedNotices) {
        sendNotice(wire::EdgeKind::Ended, it.dispatcher, it.flow, it.target);
    }
    for (const ForwardEventRecord &it : out.events) {
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
    const Time due = nextForwarderTick(m_forwarder);
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
    const Time pause = pimentofold::detectPause(m_forwarder, now);
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
        handleHeldNotice(m_forwarder, flow, now);
    } else if (message.kind == wire::EdgeKind::Settled) {
        handleSettledNotice(m_forwarder, flow);
    } else if (message.kind == wire::EdgeKind::Opened) {
        handleOpenedNotice(m_forwarder, flow, target, now);
    } else {
        ForwardOutput out;
        handleEndedNotice(m_forwarder, flow, target, now, out);
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
    flow.openingPacket = message.packet;
    flow.originNode = message.sender;
    flow.attempt = std::max(message.attempt, 1);
    flow.openingAge = packet->openingAge;
    ForwardOutput out;
    placeForPeer(m_forwarder, flow, now, out);
    send(out, now);
}

void Edge::onMembers()
{
    m_forwarder.members = m_peers.members();
    updateDispatchers(m_forwarder, monotonicNow());
}

void Edge::reload(const EdgeSettings &settings)
{
    const bool movedAddress = settings.packetAddress != m_settings.packetAddress || settings.readinessAddress != m_settings.readinessAddress
        || settings.peerAddress != m_settings.peerAddress || settings.storeAddress != m_settings.storeAddress;
    logEvent(m_log, "reloaded", {{"seeds", seedText(settings.seeds)}, {"needs_restart", static_cast<int>(movedAddress)}});
    m_settings.seeds = settings.seeds;
    m_settings.stopGracePeriod = settings.stopGracePeriod;
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
    if (quiet || now - m_stopAt >= m_settings.stopGracePeriod - stopReserve) {
        logEvent(m_log, "stopped", {{"flows", m_forwarder.flows.size()}, {"quiet", static_cast<int>(quiet)}});
        stopLoop();
    }
}

} // namespace pimentofold
