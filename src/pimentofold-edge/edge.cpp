#include <pimentofold-edge/edge.h>

#include <algorithm>
#include <random>
#include <utility>

#include <pimentofold-edge/edgelog.h>
#include <pimentofold-edge/queuemetrics.h>
#include <pimentofold/backlog/relayedopenings.h>
#include <pimentofold/balancing/loadwire.h>
#include <pimentofold/reachability/reachability.h>
#include <pimentofold/targetloss/targetloss.h>
#include <platform/packetcodec.h>

namespace pimentofold {

namespace {

// The fabric stops sending packets to a node after two failed readiness checks, 0.5 s apart.
constexpr Time minStopTime = 1200 * millisecond;
// After this time without a packet the fabric is assumed to send no more.
constexpr Time idleTime = 400 * millisecond;
// Members often change together, and each comparison of the flow locations takes all changes so far into account.
constexpr Time replicationDelay = 50 * millisecond;
constexpr Time stopCheckInterval = 100 * millisecond;
// The process ends this long before the platform's stop limit, so that the platform doesn't kill it.
constexpr Time stopReserve = second;

// A process that hasn't run for this long reads the other nodes' messages before it goes on. Nodes wait for an answer for 15 ms or longer.
constexpr Time missedMessagesGap = 10 * millisecond;

// So that the verdicts of one message fit into a datagram.
constexpr std::size_t maxVerdictsPerMessage = 30;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

double toSeconds(Time duration)
{
    return static_cast<double>(duration) / static_cast<double>(second);
}

std::string joinAddresses(const std::vector<Address> &addresses)
{
    std::string text;
    for (const Address &it : addresses) {
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
    , m_readiness(settings.readinessAddress, [this](const HttpRequest &) { return readinessResponse(); })
    , m_peers(
          settings,
          options.forward.localDispatch,
          randomSeed(),
          m_log,
          [this](const wire::EdgeMessage &message, const Address &from) { onPeerMessage(message, from); },
          [this] { onMembersChanged(); })
    , m_store(
          settings.storeAddress,
          m_forwarder.table,
          m_forwarder.dispatcher.random,
          m_log,
          [this] { onStoreAnswer(); },
          options.forward.earlyRoutes ? EarlyRoutes{[this] { return hasPacketsWithoutRoute(m_forwarder); }, [this] { releaseEarlyPackets(); }} : EarlyRoutes())
    , m_roster(settings.storeAddress, m_log, [this](const std::vector<Address> &nodes) { m_peers.contactNodes(nodes, monotonicNow()); })
    , m_forwardTimer([this] { onForwardTick(); })
    , m_replicationTimer([this] { onReplicationTick(); })
    , m_stopTimer([this] { onStopTick(); })
{
    m_log.node = settings.node;
    m_logBudget.perSecond = options.logEventsPerSecond;
    m_logBudget.burst = options.logBurst;
    m_forwarder.settings = options.forward;
    m_forwarder.dispatcher.settings = options.dispatch;
    applyBounds(settings);
    m_forwarder.dispatcher.queue.fair = options.fairQueueing;
    m_forwarder.balancing.settings = options.balancing;
    m_replication.settings = options.replication;
    m_forwarder.targetLoss.settings = options.targetLoss;
    m_forwarder.table.outliers.settings = options.outliers;
    if (options.metricsPort != 0) {
        m_metricsServer = std::make_unique<HttpResponderServer>(Address{settings.packetAddress.ip, options.metricsPort},
                                                                [this](const HttpRequest &) { return metricsResponse(); });
    }
    m_forwarder.dispatcher.random.state = randomSeed();
    m_forwarder.dispatcher.settings.dataCentre = settings.dataCentre;
    m_forwarder.table.slowStart.settings = slowStartSettings(settings);
    m_forwarder.self = m_peers.self();
    configureReplication();
    configureEvacuations();
    m_peers.setHeardHandler([this](Id node) { onHeard(node); });
    m_peers.setDrainedHandler([this] { onMessagesRead(); });
    configureReachability();
    logEvent(m_log,
             "started",
             {{"data_centre", settings.dataCentre},
              {"packets", toString(settings.packetAddress)},
              {"store", toString(settings.storeAddress)},
              {"seeds", joinAddresses(settings.seeds)},
              {"first_start", static_cast<int>(settings.firstStart)}});
    startReplication();
    scheduleForwardTick();
}

void Edge::applyBounds(const EdgeSettings &settings)
{
    m_forwarder.settings.retention.maxFlowAge = settings.maxFlowAge;
    if (settings.drainBound > 0) {
        m_forwarder.dispatcher.settings.placement.drainingUseTime = settings.drainBound / 2;
    }
}

HttpResponse Edge::readinessResponse() const
{
    HttpResponse response;
    const bool isReady = m_stopStartedAt == never && canPlaceFlows(m_forwarder) && isReadyForFlows(m_forwarder.table.reachability);
    response.status = isReady ? statusOk : statusUnavailable;
    return response;
}

HttpResponse Edge::metricsResponse()
{
    const Time now = monotonicNow();
    const TargetTable &table = m_forwarder.table;
    setGauge(m_metrics, "ready", readinessResponse().status == statusOk ? 1 : 0);
    setGauge(m_metrics, "config_version", static_cast<double>(table.configVersion));
    setGauge(m_metrics, "config_revision", static_cast<double>(table.configRevision.number));
    setGauge(m_metrics, "config_problems", static_cast<double>(m_store.configProblemCount()));
    setGauge(m_metrics, "store_targets_revision", static_cast<double>(m_replication.known.targets.number));
    setGauge(m_metrics, "store_era", static_cast<double>(eraOf(m_replication.known)));
    setGauge(m_metrics, "store_confirmed_seconds", m_replication.confirmedAt == 0 ? -1 : toSeconds(now - m_replication.confirmedAt));
    setGauge(m_metrics, "store_following", m_replication.leading ? 1 : 0);
    setGauge(m_metrics, "members", static_cast<double>(m_forwarder.members.size()));
    setGauge(m_metrics, "flows", static_cast<double>(m_forwarder.flows.size()));
    setGauge(m_metrics, "flow_locations", static_cast<double>(m_forwarder.locations.stored.size()));
    setGauge(m_metrics, "flow_retention_seconds", toSeconds(m_forwarder.flowRetention));
    setGauge(m_metrics, "flow_location_retention_seconds", toSeconds(m_forwarder.locations.settings.retention));
    counter(m_metrics, "flows_forgotten_total{reason=\"idle\"}") = m_forwarder.forgotten.idle;
    counter(m_metrics, "flows_forgotten_total{reason=\"ended\"}") = m_forwarder.forgotten.ended;
    counter(m_metrics, "flow_locations_passed_on_total") = m_forwarder.locations.passedOn;
    setGauge(m_metrics, "packets_held", static_cast<double>(m_forwarder.locations.heldPackets));
    setGauge(m_metrics, "flows_waiting", static_cast<double>(m_forwarder.dispatcher.queue.flows.size()));
    const FlowCounts counts = countFlows(table);
    setGauge(m_metrics, "target_flows_working", counts.working);
    setGauge(m_metrics, "target_flows_idle", counts.idle);
    setGauge(m_metrics, "targets_lost", static_cast<double>(m_forwarder.targetLoss.lost.size()));
    setGauge(m_metrics, "answer_wait_seconds", toSeconds(answerTimeout(m_forwarder)));
    setGauge(m_metrics, "store_evacuations_revision", static_cast<double>(table.evacuations.revision.number));
    setGauge(m_metrics, "evacuated_data_centres", static_cast<double>(table.evacuations.dataCentres.size()));
    setGauge(m_metrics, "unreachable_data_centres", static_cast<double>(table.reachability.unreachableCount));
    setGauge(m_metrics, "cold_targets", static_cast<double>(countColdTargets(table, now)));
    setGauge(m_metrics, "targets", static_cast<double>(table.targets.size()));
    counter(m_metrics, "cold_openings_total") = table.slowStart.openings;
    counter(m_metrics, "cold_limited_total") = table.slowStart.limited;
    counter(m_metrics, "store_earlier_era_responses_total") = m_store.droppedResponseCount();
    counter(m_metrics, "store_older_copies_total") = m_store.olderCopyCount();
    counter(m_metrics, "store_calls_total") = m_store.callCount();
    counter(m_metrics, "packet_bytes_received_total") = static_cast<std::int64_t>(m_packets.bytesReceived());
    counter(m_metrics, "packet_bytes_sent_total") = static_cast<std::int64_t>(m_packets.bytesSent());
    counter(m_metrics, "packet_send_drops_total") = static_cast<std::int64_t>(m_packets.sendDrops());
    counter(m_metrics, "log_events_held_back_total") = m_logBudget.held;
    exportOutlierMetrics(m_metrics, table.outliers);
    updateTrafficMetrics();
    updateBalancingMetrics();
    updateQueueMetrics(m_metrics, table, m_forwarder.dispatcher.queue);
    HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = renderMetrics(m_metrics);
    return response;
}

void Edge::updateTrafficMetrics()
{
    const auto setCounters = [&](const std::string &name, const ScopedBytes &bytes) {
        counter(m_metrics, name + "scope=\"same\"}") = bytes.sameDataCentre;
        counter(m_metrics, name + "scope=\"other\"}") = bytes.otherDataCentre;
    };
    for (std::size_t i = 0; i < trafficPurposes; ++i) {
        const std::string purpose(name(static_cast<TrafficPurpose>(i)));
        setCounters("peer_bytes_sent_total{purpose=\"" + purpose + "\",", m_peers.traffic().byPurpose[i]);
    }
    setCounters("packet_bytes_to_targets_total{", m_targetBytes);
}

void Edge::updateBalancingMetrics()
{
    constexpr std::string_view gauge = "leave_share{";
    std::erase_if(m_metrics.gauges, [&](const auto &it) { return it.first.starts_with(gauge); });
    for (const auto &[service, balance] : m_forwarder.balancing.services) {
        setGauge(m_metrics, std::string(gauge) + "service=\"" + service + "\"}", balance.decision.share);
    }
    counter(m_metrics, "flows_left_data_centre_total") = m_forwarder.balancing.flowsLeft;
}

void Edge::onPacket(std::string_view bytes)
{
    const Time now = monotonicNow();
    m_lastPacketAt = now;
    readMissedMessages(now);
    handlePacketBytes(bytes, 0, now);
    scheduleForwardTick();
}

void Edge::handlePacketBytes(std::string_view bytes, Time heldFor, Time now)
{
    std::optional<FlowPacket> packet = platform::decodePacket(bytes);
    if (!packet) {
        count(m_metrics, "packets_unreadable_total");
        return;
    }
    packet->heldFor = heldFor;
    ForwardOutput out;
    handlePacket(m_forwarder, *packet, now, out);
    send(out, now);
}

void Edge::send(const ForwardOutput &out, Time now)
{
    for (const ForwardedPacket &it : out.packets) {
        const std::string bytes = platform::encodeForwarded(it);
        const EdgeTarget *target = findTarget(m_forwarder.table, it.target);
        countBytes(m_targetBytes, target != nullptr && target->record.dataCentre == m_settings.dataCentre, bytes.size());
        m_packets.send(bytes, it.to);
    }
    for (const FlowReset &it : out.resets) {
        m_packets.send(platform::encodeReset(it), {it.flow.caller.ip, m_settings.packetAddress.port});
    }
    for (const RelayedOpening &it : out.relayedOpenings) {
        wire::EdgeMessage message = newMessage(wire::EdgeKind::Place);
        message.__set_packet(it.bytes);
        message.__set_attempt(it.attempt);
        message.__set_age(it.openingAge);
        if (it.originNode != 0) {
            // The dispatcher that gets the packet answers to the node that received it.
            message.sender = it.originNode;
        }
        m_peers.send(message, it.dispatcher);
    }
    for (const HeldNotice &it : out.heldNotices) {
        sendFlowNotice(wire::EdgeKind::Held, it.originNode, it.flow, 0);
    }
    for (const SettledNotice &it : out.settledNotices) {
        sendFlowNotice(wire::EdgeKind::Settled, it.originNode, it.flow, 0);
    }
    for (const RefusedNotice &it : out.refusedNotices) {
        if (it.originNode == 0) {
            ForwardOutput refused;
            handleRefusedNotice(m_forwarder, 0, it.flow, now, refused, it.reason);
            send(refused, now);
        } else {
            sendRefusedNotice(it);
        }
    }
    for (const FlowNotice &it : out.flowNotices) {
        sendFlowNotice(toWire(it.kind), it.dispatcher, it.flow, it.target);
    }
    for (const LocationMessage &it : out.locationMessages) {
        sendLocation(it);
    }
    sendLoadReports(out);
    for (const Id it : out.pings) {
        m_peers.ping(it);
    }
    for (const ForwardEventRecord &it : out.events) {
        recordForwardNote(m_log, m_logBudget, m_metrics, m_forwarder.table, it, now);
    }
    recordQueueWaits(m_metrics, m_forwarder.table, out.queueWaits);
    sendLossMessages(out);
    for (const LossEventRecord &it : out.lossEvents) {
        recordLossEvent(m_log, m_logBudget, m_metrics, m_forwarder.table, it, now);
    }
    for (const OutlierEvent &it : out.outlierEvents) {
        recordOutlierEvent(m_log, m_logBudget, m_forwarder.table, it, now);
    }
}

void Edge::sendLossMessages(const ForwardOutput &out)
{
    for (const EvidenceMessage &it : out.evidence) {
        wire::EdgeMessage message = newMessage(wire::EdgeKind::TargetSuspected);
        std::vector<wire::EdgeTargetEvidence> entries;
        for (const TargetEvidence &entry : it.evidence) {
            entries.push_back(toWire(entry));
        }
        message.__set_evidence(entries);
        m_peers.send(message, it.owner);
    }
    for (const wire::EdgeMessage &it : verdictMessages(out.lostTargets)) {
        // Another value than that of the previous broadcast, so that a repetition takes other relays.
        m_peers.broadcast(it, m_lossBroadcasts++);
    }
    for (const LostTargetMessage &it : out.lostTargetMessages) {
        for (const wire::EdgeMessage &message : verdictMessages(it.lost)) {
            m_peers.send(message, it.node);
        }
    }
}

std::vector<wire::EdgeMessage> Edge::verdictMessages(const std::vector<LostTarget> &lost) const
{
    std::vector<wire::EdgeMessage> messages;
    for (std::size_t begin = 0; begin < lost.size(); begin += maxVerdictsPerMessage) {
        wire::EdgeMessage message = newMessage(wire::EdgeKind::TargetLost);
        std::vector<wire::EdgeLostTarget> entries;
        for (std::size_t i = begin; i < std::min(begin + maxVerdictsPerMessage, lost.size()); ++i) {
            entries.push_back(toWire(lost[i]));
        }
        message.__set_lostTargets(entries);
        messages.push_back(std::move(message));
    }
    return messages;
}

void Edge::onTargetSuspected(const wire::EdgeMessage &message, Time now)
{
    std::vector<TargetEvidence> evidence;
    for (const wire::EdgeTargetEvidence &it : message.evidence) {
        evidence.push_back(fromWire(it));
    }
    ForwardOutput out;
    handleEvidence(m_forwarder, evidence, message.sender, m_peers.dataCentreOf(message.sender), now, out);
    send(out, now);
}

void Edge::onTargetLost(const wire::EdgeMessage &message, Time now)
{
    m_peers.relayBroadcast(message);
    std::vector<LostTarget> lost;
    for (const wire::EdgeLostTarget &it : message.lostTargets) {
        lost.push_back(fromWire(it));
    }
    ForwardOutput out;
    handleLostTargets(m_forwarder, lost, now, out);
    send(out, now);
}

void Edge::sendLoadReports(const ForwardOutput &out)
{
    for (const LoadReport &it : out.loadReports) {
        wire::EdgeMessage message = newMessage(wire::EdgeKind::DispatchLoad);
        message.__set_loads({toWire(it.load)});
        m_peers.send(message, it.to);
    }
    for (const LeaveShareChange &it : out.leaveShareChanges) {
        logEvent(m_log,
                 "leave_share_changed",
                 {{"service", it.service},
                  {"before", it.before},
                  {"share", it.share},
                  {"to", it.mainDestination.empty() ? "none" : it.mainDestination},
                  {"working", it.working},
                  {"waiting", it.waiting},
                  {"slots", it.slots}});
    }
}

void Edge::onDispatchLoads(const wire::EdgeMessage &message, Time now)
{
    ForwardOutput out;
    for (const wire::EdgeDispatchLoad &it : message.loads) {
        handleDispatchLoad(m_forwarder.balancing, message.sender, fromWire(it), now, out);
    }
    send(out, now);
}

void Edge::sendLocation(const LocationMessage &location)
{
    const bool asks = location.kind == LocationMessageKind::Question;
    wire::EdgeMessage message = newMessage(asks ? wire::EdgeKind::Locate : wire::EdgeKind::Located);
    setLocation(message, location);
    m_peers.send(message, location.to);
}

void Edge::sendFlowNotice(wire::EdgeKind::type kind, Id to, const FlowKey &flow, std::uint64_t target)
{
    if (to == 0) {
        return;
    }
    wire::EdgeMessage message = newMessage(kind);
    message.__set_flow(toWire(flow));
    message.__set_target(static_cast<std::int64_t>(target));
    m_peers.send(message, to);
}

void Edge::sendRefusedNotice(const RefusedNotice &notice)
{
    wire::EdgeMessage message = newMessage(wire::EdgeKind::Refused);
    message.__set_flow(toWire(notice.flow));
    message.__set_refusalReason(static_cast<std::int8_t>(notice.reason));
    m_peers.send(message, notice.originNode);
}

void Edge::onForwardTick()
{
    m_forwardTimerAt = never;
    if (readMissedMessages(monotonicNow())) {
        // A caller's packet that has arrived may be the answer whose absence the timer would act on.
        m_packets.readArrived();
    }
    const Time now = monotonicNow();
    ForwardOutput out;
    tickForwarder(m_forwarder, now, out);
    send(out, now);
    logSlowStart();
    logReachability(now);
    scheduleForwardTick();
}

void Edge::configureReachability()
{
    enableReachability(m_forwarder.table, usesReachability(m_settings));
}

void Edge::onHeard(Id node)
{
    Reachability &state = m_forwarder.table.reachability;
    recordHeardFromNode(state, node, monotonicNow());
    if (state.changed) {
        scheduleForwardTick();
    }
}

void Edge::logReachability(Time now)
{
    const Reachability &state = m_forwarder.table.reachability;
    std::vector<std::string> unreachable = unreachableDataCentres(state);
    if (unreachable != m_unreachableDataCentres) {
        for (const std::string &it : unreachable) {
            if (std::ranges::find(m_unreachableDataCentres, it) == m_unreachableDataCentres.end()) {
                logEvent(m_log, "data_centre_unreachable", {{"data_centre", it}, {"silent_us", now - state.dataCentres.at(it).lastHeardAt}});
            }
        }
        for (const std::string &it : m_unreachableDataCentres) {
            if (std::ranges::find(unreachable, it) == unreachable.end()) {
                logEvent(m_log, "data_centre_reachable", {{"data_centre", it}});
            }
        }
        m_unreachableDataCentres = std::move(unreachable);
    }
    if (isReadyForFlows(state) == m_reachabilityReady) {
        return;
    }
    m_reachabilityReady = isReadyForFlows(state);
    if (m_reachabilityReady) {
        logEvent(m_log, "ready", {{"reason", "targets_reachable"}});
    } else {
        logEvent(m_log, "not_ready", {{"reason", "no_target_reachable"}, {"openings", state.openingsAtDecision}, {"answers", state.answersAtDecision}});
    }
}

void Edge::logSlowStart()
{
    const SlowStart &slowStart = m_forwarder.table.slowStart;
    const bool paused = slowStart.settings.enabled && !slowStart.majority;
    if (paused != m_slowStartPaused) {
        m_slowStartPaused = paused;
        logEvent(m_log,
                 paused ? "slow_start_paused" : "slow_start_resumed",
                 {{"members", slowStart.members.size()}, {"members_seen", slowStart.membersSeen.size()}, {"owned_targets", slowStart.budgets.size()}});
    }
}

void Edge::scheduleForwardTick()
{
    const Time due = nextForwarderTick(m_forwarder);
    if (due < m_forwardTimerAt) {
        m_forwardTimerAt = due;
        m_forwardTimer.start(std::max<Time>(due - monotonicNow(), 0));
    }
}

wire::EdgeMessage Edge::newMessage(wire::EdgeKind::type kind) const
{
    wire::EdgeMessage message;
    message.kind = kind;
    message.sender = m_replication.self;
    return message;
}

void Edge::checkForPause(Time now)
{
    const Time pause = pimentofold::detectPause(m_forwarder, now);
    if (pause > 0) {
        logEvent(m_log, "paused", {{"length_us", pause}});
    }
}

bool Edge::readMissedMessages(Time now)
{
    const bool missed = now - m_forwarder.lastRunAt > missedMessagesGap;
    checkForPause(now);
    if (missed) {
        m_peers.readArrived();
    }
    return missed;
}

void Edge::onMessagesRead()
{
    const Time now = monotonicNow();
    ForwardOutput out;
    placeBacklog(m_forwarder, now, out);
    send(out, now);
    scheduleForwardTick();
}

void Edge::onPeerMessage(const wire::EdgeMessage &message, const Address &from)
{
    const Time now = monotonicNow();
    checkForPause(now);
    if (m_forwarder.targetLoss.settings.enabled) {
        recordContact(m_forwarder.targetLoss.verdicts, m_peers.dataCentreOf(message.sender), now);
    }
    switch (message.kind) {
    case wire::EdgeKind::Beat:
        onHeartbeat(message, from, now);
        break;
    case wire::EdgeKind::Fetch:
        onFetch(message, from, now);
        break;
    case wire::EdgeKind::Changes:
        m_peers.relayBroadcast(message);
        onEvacuations(message);
        if (message.large) {
            onChangesTooLarge(from, now);
        }
        onChanges(message, now);
        break;
    case wire::EdgeKind::Place:
        onPlaceRequest(message, now);
        break;
    case wire::EdgeKind::Held:
    case wire::EdgeKind::Settled:
    case wire::EdgeKind::Refused:
    case wire::EdgeKind::Opened:
    case wire::EdgeKind::WorkStarted:
    case wire::EdgeKind::WorkEnded:
    case wire::EdgeKind::Ended:
        onFlowNotice(message, now);
        break;
    case wire::EdgeKind::TargetSuspected:
        onTargetSuspected(message, now);
        break;
    case wire::EdgeKind::TargetLost:
        onTargetLost(message, now);
        break;
    case wire::EdgeKind::Locate:
    case wire::EdgeKind::Located:
        onLocationMessage(message, now);
        break;
    case wire::EdgeKind::DispatchLoad:
        onDispatchLoads(message, now);
        break;
    default:
        break;
    }
    if (isBacklogOverdue(m_forwarder, now)) {
        onMessagesRead();
    }
    scheduleForwardTick();
}

void Edge::onFlowNotice(const wire::EdgeMessage &message, Time now)
{
    if (!message.__isset.flow) {
        return;
    }
    const FlowKey flow = fromWire(message.flow);
    if (message.kind == wire::EdgeKind::Held) {
        handleHeldNotice(m_forwarder, message.sender, flow, now);
    } else if (message.kind == wire::EdgeKind::Settled) {
        handleSettledNotice(m_forwarder, message.sender, flow);
    } else if (message.kind == wire::EdgeKind::Refused) {
        ForwardOutput out;
        handleRefusedNotice(m_forwarder, message.sender, flow, now, out, refusalReasonFromNumber(message.refusalReason));
        send(out, now);
    } else if (const std::optional<FlowNoticeKind> kind = noticeKindFromWire(message.kind)) {
        const FlowNotice notice{*kind, 0, flow, static_cast<std::uint64_t>(message.target)};
        if (*kind != FlowNoticeKind::Ended) {
            recordFlowHolder(m_forwarder, notice.target, message.sender, now);
        }
        ForwardOutput out;
        receiveFlowNotice(m_forwarder, notice, now, out);
        send(out, now);
    }
}

void Edge::onLocationMessage(const wire::EdgeMessage &message, Time now)
{
    if (!message.__isset.flow) {
        return;
    }
    const FlowKey flow = fromWire(message.flow);
    ForwardOutput out;
    if (message.kind == wire::EdgeKind::Locate) {
        handleLocate(m_forwarder, message.sender, flow, locationFromWire(message), now, out);
    } else if (isLocationReport(message, isAsked(m_forwarder.locations, flow))) {
        handleLocationReport(m_forwarder, reportFromWire(message), now, out);
    } else {
        handleLocationAnswer(m_forwarder, message.sender, flow, static_cast<std::uint64_t>(message.target), now, out);
    }
    send(out, now);
}

void Edge::onPlaceRequest(const wire::EdgeMessage &message, Time now)
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
    flow.openingAge = std::clamp<Time>(message.age, packet->openingAge, std::max(openingTimeout, packet->openingAge));
    ForwardOutput out;
    receiveRelayedOpening(m_forwarder, flow, now, out);
    send(out, now);
}

void Edge::onMembersChanged()
{
    m_forwarder.members = m_peers.members();
    m_forwarder.memberDataCentres = m_peers.memberDataCentres();
    m_forwarder.memberDataCentresChanged = true;
    setNodes(m_forwarder.table.reachability, m_peers.otherNodes());
    scheduleReplication(m_forwarder.locations, monotonicNow() + replicationDelay);
    updateDispatchers(m_forwarder, monotonicNow());
    scheduleForwardTick();
}

void Edge::reload(const EdgeSettings &settings)
{
    if (const std::optional<RefusedSettings> refused = findRefusedChange(m_settings, settings)) {
        refuseReload(*refused);
        return;
    }
    const bool storeMoved = settings.storeAddress != m_settings.storeAddress;
    const bool firstStart = m_settings.firstStart;
    m_settings = settings;
    m_settings.firstStart = firstStart; // of this process's start, whatever the file says meanwhile
    logEvent(m_log,
             "reloaded",
             {{"seeds", joinAddresses(settings.seeds)}, {"store", toString(settings.storeAddress)}, {"store_moved", static_cast<int>(storeMoved)}});
    configureEvacuations();
    configureReachability();
    m_forwarder.table.slowStart.settings = slowStartSettings(settings);
    applyBounds(settings);
    updateDispatchers(m_forwarder, monotonicNow());
    if (storeMoved) {
        m_store.setAddress(settings.storeAddress);
        m_roster.setAddress(settings.storeAddress);
    }
    m_peers.contactNodes(settings.seeds, monotonicNow());
}

void Edge::refuseReload(const RefusedSettings &refused)
{
    logEvent(m_log, "reload_refused", {{"field", refused.field}, {"value", refused.value}, {"reason", refused.reason}});
}

void Edge::logUnexpectedError(const std::exception &error)
{
    count(m_metrics, "unexpected_errors_total");
    logEvent(m_log, "unexpected_error", {{"problem", error.what()}});
}

void Edge::stop()
{
    m_stopStartedAt = monotonicNow();
    logEvent(m_log, "stopping", {{"flows", m_forwarder.flows.size()}});
    m_peers.announceLeave(m_stopStartedAt);
    leaveForwarding(m_forwarder, m_stopStartedAt);
    scheduleForwardTick();
    m_stopTimer.start(stopCheckInterval, stopCheckInterval);
}

void Edge::onStopTick()
{
    const Time now = monotonicNow();
    const bool hasPassedOn = m_forwarder.locations.replicationDueAt == never;
    const bool idle = now - m_stopStartedAt >= minStopTime && now - m_lastPacketAt >= idleTime && hasPassedOn;
    if (idle || now - m_stopStartedAt >= m_settings.stopGracePeriod - stopReserve) {
        logEvent(m_log, "stopped", {{"flows", m_forwarder.flows.size()}, {"quiet", static_cast<int>(idle)}});
        stopLoop();
    }
}

} // namespace pimentofold
