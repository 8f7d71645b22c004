#include <pimentofold-balancer/balancer.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pimentofold {

namespace {

// Relays of both kinds are acknowledged by sequence number, so that their numbers must differ.
constexpr std::int64_t firstOnceRelay = std::int64_t{1} << 48;

constexpr Time fastInterval = 10 * millisecond;
constexpr Time slowInterval = 100 * millisecond;
constexpr Time reportInterval = 1 * second;
// A stopping balancer waits until callers have been sending to others for this long.
constexpr Time quietBeforeExit = 300 * millisecond;
// Running requests that may not be repeated may take this share of the drain limit; the rest is for handing over
// their records.
constexpr double requestsShareOfStop = 0.7;

std::int64_t wallMicroseconds()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace

Balancer::Balancer(const BalancerSettings &settings)
    : m_settings(settings)
    , m_own{idOf(settings.node), wallMicroseconds()}
    , m_log{settings.node + "/balancer", {}}
    , m_random{mix(static_cast<std::uint64_t>(m_own.instance), static_cast<std::uint64_t>(m_own.incarnation))}
    , m_inFlight(monotonicNow())
    , m_packets(counter(m_metrics, "packets_total"))
    , m_requests(counter(m_metrics, "requests_total"))
    , m_refused(counter(m_metrics, "refused_total"))
    , m_pool({[this](std::uint64_t id, const wire::TargetFrame &frame, PooledTarget &target) { onAnswer(id, frame, target); },
              [this](std::uint64_t id, PooledTarget &) { onLost(id); },
              [this](PooledTarget &target) { onTargetStatus(target); },
              [this](PooledTarget &target, const std::string &what) { onTargetChange(target, what); }},
             m_metrics,
             m_random)
    , m_ports(settings.ip,
              {[this](Id service, std::string_view bytes, const Address &from) { onDatagram(service, bytes, from); },
               [this](const std::string &reason) {
                   logEvent(m_log, "bind_failed", {{"reason", reason}});
               }})
    , m_peers(settings.peerAddress,
              m_own,
              settings.peerSecrets,
              m_log,
              m_metrics,
              [this](const wire::PeerMessage &message, const Address &from) { onPeerMessage(message, from); })
    , m_agent(settings.viewAddress,
              {[this](const wire::NodeView &view) { applyView(view); },
               [this](bool first) { return makeReport(first); },
               [this](const std::string &reason) {
                   logEvent(m_log, "agent_frame_malformed", {{"reason", reason}});
               }})
    , m_metricsServer(serveMetrics(settings.metricsAddress, [this] { return renderAll(); }))
    , m_fastTimer([this] { fastTick(); })
    , m_slowTimer([this] { slowTick(); })
    , m_reportTimer([this] {
        updateRates();
        m_agent.report();
    })
{
    m_once.self = m_own;
    m_onceRelays.self = m_own;
    m_onceRelays.sequence = firstOnceRelay;
    m_fastTimer.start(fastInterval, fastInterval);
    m_slowTimer.start(slowInterval, slowInterval);
    m_reportTimer.start(reportInterval, reportInterval);
    logEvent(m_log, "started", {{"incarnation", m_own.incarnation}, {"peer", toString(settings.peerAddress)}, {"view", toString(settings.viewAddress)}});
}

void Balancer::enterLocalState()
{
    m_view.members = m_received.members;
    m_view.memberIndex = m_received.memberIndex;
    const ViewMember::State state = m_stopping ? ViewMember::State::Leaving : ViewMember::State::Alive;
    setOwnMember(m_view, {m_own, state, toString(m_settings.peerAddress), m_settings.dataCentre});
    hideSilentMembers(m_view, m_silent);
    updateLoads();
}

void Balancer::noteSilent(const InstanceKey &member)
{
    if (!m_silent.until.emplace(member, m_now + silentMemberTime).second || !isServing(m_view, member)) {
        return;
    }
    logEvent(m_log, "member_silent", {{"member", toString(member)}});
    enterLocalState();
}

void Balancer::noteHeard(const InstanceKey &member)
{
    if (!m_silent.until.empty() && m_silent.until.erase(member) > 0) {
        enterLocalState();
    }
}

void Balancer::retrySilentMembers()
{
    if (std::erase_if(m_silent.until, [this](const auto &it) { return m_now >= it.second; }) > 0) {
        enterLocalState();
    }
}

void Balancer::applyView(const wire::NodeView &from)
{
    View view;
    try {
        view = parseView(from);
    } catch (const ViewError &error) {
        logEvent(m_log, "view_refused", {{"generation", from.generation}, {"reason", error.what()}});
        count(m_metrics, "views_refused_total");
        return;
    }
    remapRoutes(m_routes, m_view, view);
    view.dataCentre = m_settings.dataCentre;
    m_received = view;
    std::swap(m_view, view);
    m_objects = from.objects;
    m_pool.apply(m_view);
    enterLocalState();
    m_ports.apply(m_view);
    logEvent(m_log,
             "view_applied",
             {{"generation", m_view.generation}, {"members", m_view.members.size()}, {"services", m_view.services.size()}, {"targets", m_view.targets.size()}});
    m_agent.report();
}

void Balancer::onTargetStatus(PooledTarget &target)
{
    m_now = target.link.heardAt;
    noteStatus(target);
    tickAdmission();
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
    noteTarget(target);
    if (target.link.draining) {
        noteStatus(target);
    }
    m_agent.report();
}

const TargetLoad *Balancer::loadOf(const PooledTarget &target) const
{
    const auto load = m_load.find(target.link.serviceId);
    return load == m_load.end() ? nullptr : findTarget(load->second.main.targets, target.link.targetId);
}

wire::LocalMessage Balancer::makeReport(bool first)
{
    wire::LocalMessage message;
    message.leave = m_stopping;
    wire::BalancerReport report;
    report.generationInForce = m_view.generation;
    report.stopping = m_stopping;
    report.requests = m_requests;
    report.refused = m_refused;
    report.instance.instance = m_own.instance;
    report.instance.incarnation = m_own.incarnation;
    report.__isset.instance = true;
    if (first && !m_objects.empty()) {
        report.__set_objects(m_objects);
    }
    const Time now = monotonicNow();
    double flows = 0;
    for (const auto &[id, target] : m_pool.targets()) {
        wire::TargetObservation observation;
        observation.id = id;
        observation.reachable = target->link.state == LinkState::Ready && !target->link.silenced && now - target->link.heardAt < linkSilence;
        observation.draining = target->link.draining;
        observation.inUse = static_cast<std::int32_t>(target->link.inFlight);
        observation.answered = target->answered;
        observation.shed = target->shed;
        const TargetLoad *load = loadOf(*target);
        flows += load == nullptr ? 0 : load->openFlows;
        report.targets.push_back(observation);
    }
    report.flowsOpen = static_cast<std::int64_t>(flows);
    message.__set_report(report);
    return message;
}

std::string Balancer::renderAll()
{
    setGauge(m_metrics, "view_generation", static_cast<double>(m_view.generation));
    const auto ready =
        std::count_if(m_pool.targets().begin(), m_pool.targets().end(), [](const auto &it) { return it.second->link.state == LinkState::Ready; });
    setGauge(m_metrics, "targets_ready", static_cast<double>(ready));
    setGauge(m_metrics, "view_members", static_cast<double>(m_view.members.size()));
    setGauge(m_metrics, "in_flight", static_cast<double>(m_inFlight.size()));
    for (const ViewService &it : m_view.services) {
        const ServiceLoad &load = m_load[it.id];
        const std::string label = "{service=\"" + it.serviceName + "\"}";
        setGauge(m_metrics, "queued" + label, static_cast<double>(load.main.admission.queued + load.direct.admission.queued));
        setGauge(m_metrics, "limit" + label, load.main.admission.limit.limit);
    }
    for (const IngressService &it : m_gate.services) {
        const ViewService *service = findService(m_view, it.policy.service);
        if (service != nullptr) {
            m_metrics.counters["ingress_dropped_total{service=\"" + service->serviceName + "\"}"] = it.dropped;
        }
    }
    setGauge(m_metrics, "stopping", m_stopping ? 1 : 0);
    m_metrics.counters["dropped_total{reason=\"oversized\"}"] = static_cast<std::int64_t>(m_ports.oversized());
    m_metrics.counters["peer_dropped_total{reason=\"oversized\"}"] = static_cast<std::int64_t>(m_peers.socket().oversized());
    m_metrics.counters["send_drops_total"] = static_cast<std::int64_t>(m_ports.sendDrops() + m_peers.socket().sendDrops());
    m_metrics.counters["peer_bytes_sent_total"] = static_cast<std::int64_t>(m_peers.socket().bytesSent());
    m_metrics.counters["peer_bytes_received_total"] = static_cast<std::int64_t>(m_peers.socket().bytesReceived());
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
    tickRelays();
    tickOnceRelays();
    tickAdmission();
    OnceOutput out;
    tickOnce(m_once, onceNow(), out);
    carryOut(std::move(out));
    if (m_stopping) {
        checkStopped();
    }
}

void Balancer::slowTick()
{
    m_pool.tick();
    for (const auto &[id, target] : m_pool.targets()) {
        noteTarget(*target);
    }
    m_ports.apply(m_view);
    retrySilentMembers();
}

void Balancer::stop()
{
    const Time now = monotonicNow();
    m_stopping = true;
    m_stopAt = now + m_settings.drainLimit;
    m_lastDatagram = now;
    enterLocalState();
    beginOnceStop(m_once, now + static_cast<Time>(static_cast<double>(m_settings.drainLimit) * requestsShareOfStop), servingMembers(m_view));
    logEvent(m_log, "stopping", {{"in_flight", m_inFlight.size()}, {"limit_ms", m_settings.drainLimit / millisecond}});
    m_agent.report();
}

void Balancer::checkStopped()
{
    const Time now = monotonicNow();
    updateSuccessorCandidates(m_once, servingMembers(m_view));
    const bool idle =
        m_inFlight.size() == 0 && m_relays.empty() && m_onceRelays.pending.empty() && isOnceStopComplete(m_once) && now - m_lastDatagram >= quietBeforeExit;
    if (!idle && now < m_stopAt) {
        return;
    }
    logEvent(m_log, "stopped", {{"in_flight", m_inFlight.size()}, {"relays", m_relays.size() + m_onceRelays.pending.size()}});
    stopLoop();
}

} // namespace pimentofold
