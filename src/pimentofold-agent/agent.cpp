#include <pimentofold-agent/agent.h>

#include <stdexcept>
#include <utility>

#include <pimentofold-agent/statuspage.h>

namespace pimentofold {

namespace {

constexpr Time tickInterval = 100 * millisecond;
// Time for the announcement to reach the members before the process ends.
constexpr Time endDelay = 300 * millisecond;
constexpr std::size_t maxRequestBytes = 1024;

AgentIdentity identityOf(const AgentSettings &settings)
{
    return {settings.node, settings.dataCentre, settings.team, settings.peerAddress, settings.balancerPeerAddress, settings.seeds, settings.remoteSeeds};
}

std::vector<MacKey> peerKeys(const std::vector<std::string> &secrets)
{
    std::vector<MacKey> keys;
    keys.reserve(secrets.size());
    for (const std::string &it : secrets) {
        keys.push_back(deriveKey(it, "peer"));
    }
    return keys;
}

std::uint64_t seedOf(const AgentSettings &settings)
{
    return mix(static_cast<std::uint64_t>(idOf(settings.node)), static_cast<std::uint64_t>(wallNow()));
}

} // namespace

Agent::Agent(const AgentSettings &settings)
    : m_settings(settings)
    , m_log{settings.node + "/agent", {}}
    , m_keys(peerKeys(settings.peerSecrets))
    , m_socket(parseAddress(settings.peerAddress), [this](std::string_view bytes, const Address &from) { receive(bytes, from); })
    , m_platform(settings.platform)
    , m_tick([this] { tick(); })
    , m_end([] { stopLoop(); })
{
    startAgent(m_agent, identityOf(settings), seedOf(settings), monotonicNow());
    m_http = std::make_unique<HttpServer>(
        parseAddress(settings.metricsAddress),
        [this](const HttpRequest &request, const HttpResponder &respond) {
            if (request.method == "GET" && request.path == "/metrics") {
                respond({200, "text/plain; version=0.0.4", {}, renderMetricsPage()});
            } else if (request.method == "GET" && request.path == "/status") {
                respond({200, "application/json", {}, statusPage(m_agent)});
            } else {
                respond({404, "text/plain", {}, "not found\n"});
            }
        },
        maxRequestBytes);
    m_balancer = std::make_unique<BalancerLink>(
        settings.balancerViewAddress,
        seedOf(settings) + 1,
        BalancerLink::Callbacks{[this](const wire::BalancerReport &report) { onReport(report); }, [this] { onBalancerLeave(); }, [this] { onBalancerLost(); }});
    m_tick.start(tickInterval, tickInterval);
    logEvent(m_log, "start", {{"team", settings.team}, {"data_centre", settings.dataCentre}, {"peer_address", settings.peerAddress}});
}

void Agent::stop()
{
    logEvent(m_log, "stop", {});
    AgentOutput out;
    stopAgent(m_agent, monotonicNow(), out);
    perform(out);
    m_end.start(endDelay);
}

void Agent::tick()
{
    AgentOutput out;
    tickAgent(m_agent, monotonicNow(), wallNow(), out);
    perform(out);
    logState();
}

void Agent::receive(std::string_view datagram, const Address &from)
{
    std::string_view payload;
    if (!verifyDatagram(datagram, m_keys, payload)) {
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
    observe(m_log.clock, message.clock, wallNow());
    AgentOutput out;
    handlePeer(m_agent, message, toString(from), monotonicNow(), out);
    perform(out);
}

void Agent::onReport(const wire::BalancerReport &report)
{
    AgentOutput out;
    handleBalancerReport(m_agent, report, monotonicNow(), out);
    perform(out);
}

void Agent::onBalancerLeave()
{
    AgentOutput out;
    handleBalancerLeave(m_agent, monotonicNow(), out);
    perform(out);
    logEvent(m_log, "balancer_leaving", {});
}

void Agent::onBalancerLost()
{
    handleBalancerLost(m_agent, monotonicNow());
}

void Agent::perform(const AgentOutput &out)
{
    logOutput(out);
    for (const MemberMessage &it : out.messages) {
        send(it);
    }
    if (out.sendView) {
        m_balancer->send(m_agent.viewPublisher.view);
        logEvent(m_log,
                 "view_sent",
                 {{"generation", m_agent.viewPublisher.view.generation},
                  {"members", m_agent.viewPublisher.view.members.size()},
                  {"targets", m_agent.viewPublisher.view.targets.size()}});
    }
    if (out.watch) {
        startPoll(*out.watch);
    }
    if (out.listInstances) {
        listInstances();
    }
    if (out.statusWrite) {
        writeStatus(*out.statusWrite);
    }
}

void Agent::send(const MemberMessage &message)
{
    wire::PeerMessage stamped = message.message;
    stamped.clock = pimentofold::tick(m_log.clock, wallNow());
    const std::string datagram = signDatagram(m_codec.encode(stamped), m_keys);
    if (datagram.size() > maxDatagramBytes) {
        count(m_metrics, "peer_oversized_total");
    }
    m_socket.send(datagram, parseAddress(message.address));
}

void Agent::startPoll(const WatchRequest &request)
{
    count(m_metrics, "platform_calls_total{call=\"watch\"}");
    m_platform.watch(request, [this](const WatchResponse &answer) {
        AgentOutput out;
        handleAgentWatch(m_agent, answer, monotonicNow(), out);
        perform(out);
    });
}

void Agent::listInstances()
{
    count(m_metrics, "platform_calls_total{call=\"instances\"}");
    m_platform.listInstances(m_settings.dataCentre, [this](const std::optional<std::vector<PlatformInstance>> &instances) {
        AgentOutput out;
        handleInstanceList(m_agent, instances, monotonicNow(), wallNow(), out);
        perform(out);
    });
}

void Agent::writeStatus(const StatusWrite &write)
{
    count(m_metrics, "platform_calls_total{call=\"status\"}");
    m_platform.writeStatus(write.name, write.value, write.version, write.changeId, [this](const StatusWriteResult &result) {
        finishStatusWrite(m_agent.writer, result, monotonicNow(), m_agent.random);
    });
}

void Agent::logOutput(const AgentOutput &out)
{
    for (const MemberChange &it : out.changes) {
        logEvent(m_log, "member_changed", {{"member", it.member.name}, {"state", name(it.member.state)}, {"before", it.before ? name(*it.before) : "unknown"}});
    }
    for (const ConfigObjectPointer &it : out.applied) {
        logEvent(m_log, "object_applied", {{"kind", it->key.kind}, {"name", it->key.name}, {"version", it->version}, {"change_id", it->changeId}});
    }
}

void Agent::logState()
{
    const ViewPublisher &publisher = m_agent.viewPublisher;
    if (m_problem != publisher.problem) {
        m_problem = publisher.problem;
        logEvent(m_log, m_problem.empty() ? "config_usable" : "config_unusable", {{"problem", m_problem}});
    }
    if (m_inForce != publisher.inForce) {
        m_inForce = publisher.inForce;
        logEvent(m_log, "view_in_force", {{"generation", m_inForce}});
    }
    if (m_balancerConnected != publisher.reported) {
        m_balancerConnected = publisher.reported;
        logEvent(m_log, m_balancerConnected ? "balancer_connected" : "balancer_lost", {});
    }
    if (m_platformReachable != m_agent.spread.watch.reachable) {
        m_platformReachable = m_agent.spread.watch.reachable;
        logEvent(m_log, m_platformReachable ? "platform_reachable" : "platform_unreachable", {});
    }
}

std::string Agent::renderMetricsPage()
{
    const ConfigReplicationCounts &counts = m_agent.spread.counts;
    const std::pair<const char *, std::int64_t> values[] = {
        {"config_pushes_total", counts.pushes},
        {"config_pushes_skipped_total", counts.pushesSkipped},
        {"config_digests_total", counts.digests},
        {"config_digests_differing_total", counts.digestsDiffering},
        {"config_pulls_total", counts.pulls},
        {"config_applied_total", counts.applied},
        {"config_older_total", counts.older},
        {"config_refused_total", counts.refused},
        {"config_ranges_served_total", counts.rangesServed},
        {"platform_untrusted_total", m_agent.spread.watch.staleResponses},
        {"member_suspicions_total", m_agent.membership.counts.suspicions},
        {"member_deaths_total", m_agent.membership.counts.deaths},
        {"member_refuted_total", m_agent.membership.counts.refuted},
        {"peer_bytes_sent_total", static_cast<std::int64_t>(m_socket.bytesSent())},
        {"peer_bytes_received_total", static_cast<std::int64_t>(m_socket.bytesReceived())},
    };
    for (const auto &[key, value] : values) {
        counter(m_metrics, key) = value;
    }
    setGauge(m_metrics, "members", static_cast<double>(presentMembers(m_agent.membership).size()));
    setGauge(m_metrics, "view_generation", static_cast<double>(m_agent.viewPublisher.inForce));
    setGauge(m_metrics, "platform_revision", static_cast<double>(m_agent.spread.watch.revision));
    setGauge(m_metrics, "platform_reachable", m_agent.spread.watch.reachable ? 1 : 0);
    setGauge(m_metrics, "is_watcher", m_agent.spread.peers.watcher ? 1 : 0);
    return renderMetrics(m_metrics);
}

} // namespace pimentofold
