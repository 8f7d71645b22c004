#include <pimentofold-balancer/balancer.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pimentofold {

namespace {

// A RelayAck names only the sequence number of the relay. Relays of at-most-once requests start at this number, so that
// their numbers differ from those of other relays.
constexpr std::int64_t firstOnceRelaySequence = std::int64_t{1} << 48;

constexpr Time fastTickInterval = 10 * millisecond;
constexpr Time slowTickInterval = 100 * millisecond;
constexpr Time reportInterval = 1 * second;
// Until the drain limit has passed, a stopping balancer exits only when no datagram from callers has arrived for this time:
// the callers have then moved to other balancers.
constexpr Time quietTimeBeforeExit = 300 * millisecond;
// Share of the drain limit that running at-most-once requests may take; the rest is reserved for handing over their
// records.
constexpr double runningRequestsShareOfDrain = 0.7;

std::int64_t wallTimeMicroseconds()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace

Balancer::Balancer(const BalancerSettings &settings)
    : m_settings(settings)
    , m_self{idOf(settings.node), wallTimeMicroseconds()}
    , m_log{settings.node + "/balancer", {}}
    , m_random{mix(static_cast<std::uint64_t>(m_self.instance), static_cast<std::uint64_t>(m_self.incarnation))}
    , m_inFlight(monotonicNow())
    , m_packetsTotal(counter(m_metrics, "packets_total"))
    , m_requestsTotal(counter(m_metrics, "requests_total"))
    , m_refusedTotal(counter(m_metrics, "refused_total"))
    , m_targetPool({[this](std::uint64_t id, const wire::TargetFrame &frame, PooledTarget &target) { onAnswer(id, frame, target); },
                    [this](std::uint64_t id, PooledTarget &) { onLost(id); },
                    [this](PooledTarget &target) { onTargetStatus(target); },
                    [this](PooledTarget &target, const std::string &what) { onTargetChange(target, what); }},
                   m_metrics,
                   m_random)
    , m_callerPorts(settings.ip,
                    {[this](Id service, std::string_view bytes, const Address &from) { onDatagram(service, bytes, from); },
                     [this](const std::string &reason) {
                         logEvent(m_log, "bind_failed", {{"reason", reason}});
                     }})
    , m_peerPort(settings.peerAddress,
                 m_self,
                 settings.peerSecrets,
                 m_log,
                 m_metrics,
                 [this](const wire::PeerMessage &message, const Address &from) { onPeerMessage(message, from); })
    , m_agentPort(settings.viewAddress,
                  {[this](const wire::NodeView &view) { applyView(view); },
                   [this](bool isFirst) { return makeReport(isFirst); },
                   [this](const std::string &reason) {
                       logEvent(m_log, "agent_frame_malformed", {{"reason", reason}});
                   }})
    , m_metricsServer(serveMetrics(settings.metricsAddress, [this] { return renderAllMetrics(); }))
    , m_fastTimer([this] { fastTick(); })
    , m_slowTimer([this] { slowTick(); })
    , m_reportTimer([this] {
        updateRates();
        m_agentPort.report();
    })
{
    m_onceState.self = m_self;
    m_onceRelays.self = m_self;
    m_onceRelays.sequence = firstOnceRelaySequence;
    m_fastTimer.start(fastTickInterval, fastTickInterval);
    m_slowTimer.start(slowTickInterval, slowTickInterval);
    m_reportTimer.start(reportInterval, reportInterval);
    logEvent(m_log, "started", {{"incarnation", m_self.incarnation}, {"peer", toString(settings.peerAddress)}, {"view", toString(settings.viewAddress)}});
}

void Balancer::applyLocalState()
{
    m_view.members = m_agentView.members;
    m_view.memberIndex = m_agentView.memberIndex;
    const ViewMember::State state = m_stopping ? ViewMember::State::Leaving : ViewMember::State::Alive;
    setOwnMember(m_view, {m_self, state, toString(m_settings.peerAddress), m_settings.dataCentre});
    hideSilentMembers(m_view, m_silentMembers);
    updateLoads();
}

void Balancer::markSilent(const InstanceKey &member)
{
    if (!m_silentMembers.until.emplace(member, m_now + silentMemberTime).second || !isServing(m_view, member)) {
        return;
    }
    logEvent(m_log, "member_silent", {{"member", toString(member)}});
    applyLocalState();
}

void Balancer::clearSilent(const InstanceKey &member)
{
    if (!m_silentMembers.until.empty() && m_silentMembers.until.erase(member) > 0) {
        applyLocalState();
    }
}

void Balancer::expireSilentMembers()
{
    if (std::erase_if(m_silentMembers.until, [this](const auto &it) { return m_now >= it.second; }) > 0) {
        applyLocalState();
    }
}

void Balancer::applyView(const wire::NodeView &received)
{
    View view;
    try {
        view = parseView(received);
    } catch (const ViewError &error) {
        logEvent(m_log, "view_refused", {{"generation", received.generation}, {"reason", error.what()}});
        count(m_metrics, "views_refused_total");
        return;
    }
    remapRoutes(m_routeCache, m_view, view);
    view.dataCentre = m_settings.dataCentre;
    m_agentView = view;
    std::swap(m_view, view);
    m_viewObjects = received.objects;
    m_targetPool.apply(m_view);
    applyLocalState();
    m_callerPorts.apply(m_view);
    logEvent(m_log,
             "view_applied",
             {{"generation", m_view.generation}, {"members", m_view.members.size()}, {"services", m_view.services.size()}, {"targets", m_view.targets.size()}});
    m_agentPort.report();
}

void Balancer::onTargetStatus(PooledTarget &target)
{
    m_now = target.link.lastFrameAt;
    updateTargetStatus(target);
    processQueues();
}

void Balancer::onTargetChange(PooledTarget &target, const std::string &what)
{
    logEvent(m_log,
             "target_changed",
             {{"service", target.link.serviceName},
              {"target", target.link.instance},
              {"ready", target.link.state == LinkState::Ready ? 1 : 0},
              {"draining", target.link.draining ? 1 : 0},
              {"reason", what}});
    updateReachability(target);
    if (target.link.draining) {
        updateTargetStatus(target);
    }
    m_agentPort.report();
}

const TargetLoad *Balancer::targetLoadOf(const PooledTarget &target) const
{
    const auto load = m_serviceLoads.find(target.link.serviceId);
    return load == m_serviceLoads.end() ? nullptr : findTarget(load->second.primary.targets, target.link.targetId);
}

wire::LocalMessage Balancer::makeReport(bool isFirst)
{
    wire::LocalMessage message;
    message.leave = m_stopping;
    wire::BalancerReport report;
    report.generationInForce = m_view.generation;
    report.stopping = m_stopping;
    report.requests = m_requestsTotal;
    report.refused = m_refusedTotal;
    report.instance.instance = m_self.instance;
    report.instance.incarnation = m_self.incarnation;
    report.__isset.instance = true;
    if (isFirst && !m_viewObjects.empty()) {
        report.__set_objects(m_viewObjects);
    }
    const Time now = monotonicNow();
    double flows = 0;
    for (const auto &[id, target] : m_targetPool.targets()) {
        wire::TargetObservation observation;
        observation.id = id;
        observation.reachable = target->link.state == LinkState::Ready && !target->link.wasSilent && now - target->link.lastFrameAt < linkSilenceTimeout;
        observation.draining = target->link.draining;
        observation.inUse = static_cast<std::int32_t>(target->link.inFlight);
        observation.answered = target->answered;
        observation.shed = target->shed;
        const TargetLoad *load = targetLoadOf(*target);
        flows += load == nullptr ? 0 : load->openFlows;
        report.targets.push_back(observation);
    }
    report.flowsOpen = static_cast<std::int64_t>(flows);
    message.__set_report(report);
    return message;
}

std::string Balancer::renderAllMetrics()
{
    setGauge(m_metrics, "view_generation", static_cast<double>(m_view.generation));
    const auto ready =
        std::count_if(m_targetPool.targets().begin(), m_targetPool.targets().end(), [](const auto &it) { return it.second->link.state == LinkState::Ready; });
    setGauge(m_metrics, "targets_ready", static_cast<double>(ready));
    setGauge(m_metrics, "view_members", static_cast<double>(m_view.members.size()));
    setGauge(m_metrics, "in_flight", static_cast<double>(m_inFlight.size()));
    for (const ViewService &it : m_view.services) {
        const ServiceLoad &load = m_serviceLoads[it.id];
        const std::string label = "{service=\"" + it.serviceName + "\"}";
        setGauge(m_metrics, "queued" + label, static_cast<double>(load.primary.admission.queued + load.bypass.admission.queued));
        setGauge(m_metrics, "limit" + label, load.primary.admission.limit.limit);
    }
    for (const IngressService &it : m_ingress.services) {
        const ViewService *service = findService(m_view, it.policy.service);
        if (service != nullptr) {
            m_metrics.counters["ingress_dropped_total{service=\"" + service->serviceName + "\"}"] = it.dropped;
        }
    }
    setGauge(m_metrics, "stopping", m_stopping ? 1 : 0);
    m_metrics.counters["dropped_total{reason=\"oversized\"}"] = static_cast<std::int64_t>(m_callerPorts.oversized());
    m_metrics.counters["peer_dropped_total{reason=\"oversized\"}"] = static_cast<std::int64_t>(m_peerPort.socket().oversized());
    m_metrics.counters["send_drops_total"] = static_cast<std::int64_t>(m_callerPorts.sendDrops() + m_peerPort.socket().sendDrops());
    m_metrics.counters["peer_bytes_sent_total"] = static_cast<std::int64_t>(m_peerPort.socket().bytesSent());
    m_metrics.counters["peer_bytes_received_total"] = static_cast<std::int64_t>(m_peerPort.socket().bytesReceived());
    return renderMetrics(m_metrics);
}

void Balancer::fastTick()
{
    std::vector<InFlightId> overdue;
    m_now = monotonicNow();
    m_inFlight.takeOverdue(m_now, overdue);
    for (const InFlightId it : overdue) {
        onOverdue(it);
    }
    retryRelays();
    retryOnceRelays();
    processQueues();
    OnceOutput out;
    tickOnce(m_onceState, readClocks(), out);
    applyOnceOutput(std::move(out));
    if (m_stopping) {
        exitWhenStopped();
    }
}

void Balancer::slowTick()
{
    m_targetPool.tick();
    for (const auto &[id, target] : m_targetPool.targets()) {
        updateReachability(*target);
    }
    m_callerPorts.apply(m_view);
    expireSilentMembers();
}

void Balancer::logUnexpectedError(const std::exception &error)
{
    count(m_metrics, "unexpected_errors_total");
    logEvent(m_log, "unexpected_error", {{"problem", error.what()}});
}

void Balancer::stop()
{
    const Time now = monotonicNow();
    m_stopping = true;
    m_stopDeadline = now + m_settings.drainLimit;
    m_lastDatagramAt = now;
    applyLocalState();
    beginOnceStop(m_onceState, now + static_cast<Time>(static_cast<double>(m_settings.drainLimit) * runningRequestsShareOfDrain), servingMembers(m_view));
    logEvent(m_log, "stopping", {{"in_flight", m_inFlight.size()}, {"limit_ms", m_settings.drainLimit / millisecond}});
    m_agentPort.report();
}

void Balancer::exitWhenStopped()
{
    const Time now = monotonicNow();
    updateSuccessorCandidates(m_onceState, servingMembers(m_view));
    const bool idle = m_inFlight.size() == 0 && m_unacknowledgedRelays.empty() && m_onceRelays.pending.empty() && isOnceStopComplete(m_onceState)
        && now - m_lastDatagramAt >= quietTimeBeforeExit;
    if (!idle && now < m_stopDeadline) {
        return;
    }
    logEvent(m_log, "stopped", {{"in_flight", m_inFlight.size()}, {"relays", m_unacknowledgedRelays.size() + m_onceRelays.pending.size()}});
    stopLoop();
}

} // namespace pimentofold
