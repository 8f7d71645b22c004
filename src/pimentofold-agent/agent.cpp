#include <pimentofold-agent/agent.h>

#include <stdexcept>
#include <utility>

#include <pimentofold-agent/statuspage.h>

namespace pimentofold {

namespace {

constexpr Time tickInterval = 100 * millisecond;
// Delay between the leave announcement and the exit of the process, so that the announcement reaches the members.
constexpr Time exitDelay = 300 * millisecond;
constexpr std::size_t maxRequestBytes = 1024;

AgentIdentity makeIdentity(const AgentSettings &settings)
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

std::uint64_t makeRandomSeed(const AgentSettings &settings)
{
    return mix(static_cast<std::uint64_t>(idOf(settings.node)), static_cast<std::uint64_t>(wallNow()));
}

} // namespace

Agent::Agent(const AgentSettings &settings)
    : m_settings(settings)
    , m_log{settings.node + "/agent", {}}
    , m_peerKeys(peerKeys(settings.peerSecrets))
    , m_socket(parseAddress(settings.peerAddress), [this](std::string_view bytes, const Address &from) { receive(bytes, from); })
    , m_platform(settings.platform)
    , m_tickTimer([this] { tick(); })
    , m_exitTimer([] { stopLoop(); })
{
    startAgent(m_state, makeIdentity(settings), makeRandomSeed(settings), monotonicNow());
    m_http = std::make_unique<HttpServer>(
        parseAddress(settings.metricsAddress),
        [this](const HttpRequest &request, const HttpResponder &respond) {
            if (request.method == "GET" && request.path == "/metrics") {
                respond({200, "text/plain; version=0.0.4", {}, renderMetricsPage()});
            } else if (request.method == "GET" && request.path == "/status") {
                respond({200, "application/json", {}, renderStatusPage(m_state)});
            } else {
                respond({404, "text/plain", {}, "not found\n"});
            }
        },
        maxRequestBytes);
    m_balancer = std::make_unique<BalancerLink>(
        settings.balancerViewAddress,
        makeRandomSeed(settings) + 1,
        BalancerLink::Callbacks{[this](const wire::BalancerReport &report) { onReport(report); }, [this] { onBalancerLeave(); }, [this] { onBalancerLost(); }});
    m_tickTimer.start(tickInterval, tickInterval);
    logEvent(m_log, "start", {{"team", settings.team}, {"data_centre", settings.dataCentre}, {"peer_address", settings.peerAddress}});
}

void Agent::logUnexpectedError(const std::exception &error)
{
    count(m_metrics, "unexpected_errors_total");
    logEvent(m_log, "unexpected_error", {{"problem", error.what()}});
}

void Agent::stop()
{
    logEvent(m_log, "stop", {});
    AgentOutput out;
    stopAgent(m_state, monotonicNow(), out);
    perform(out);
    m_exitTimer.start(exitDelay);
}

void Agent::tick()
{
    AgentOutput out;
    tickAgent(m_state, monotonicNow(), wallNow(), out);
    perform(out);
    logState();
}

void Agent::receive(std::string_view datagram, const Address &from)
{
    std::string_view payload;
    if (!verifyDatagram(datagram, m_peerKeys, payload)) {
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
    handlePeer(m_state, message, toString(from), monotonicNow(), out);
    perform(out);
}

void Agent::onReport(const wire::BalancerReport &report)
{
    AgentOutput out;
    handleBalancerReport(m_state, report, monotonicNow(), out);
    perform(out);
}

void Agent::onBalancerLeave()
{
    AgentOutput out;
    handleBalancerLeave(m_state, monotonicNow(), out);
    perform(out);
    logEvent(m_log, "balancer_leaving", {});
}

void Agent::onBalancerLost()
{
    handleBalancerLost(m_state, monotonicNow());
}

void Agent::perform(const AgentOutput &out)
{
    logOutput(out);
    for (const MemberMessage &it : out.messages) {
        send(it);
    }
    if (out.sendView) {
        m_balancer->send(m_state.viewPublisher.view);
        logEvent(m_log,
                 "view_sent",
                 {{"generation", m_state.viewPublisher.view.generation},
                  {"members", m_state.viewPublisher.view.members.size()},
                  {"targets", m_state.viewPublisher.view.targets.size()}});
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
    const std::string datagram = signDatagram(m_codec.encode(stamped), m_peerKeys);
    if (datagram.size() > maxDatagramBytes) {
        count(m_metrics, "peer_oversized_total");
    }
    m_socket.send(datagram, parseAddress(message.address));
}

void Agent::startPoll(const WatchRequest &request)
{
    count(m_metrics, "platform_calls_total{call=\"watch\"}");
    m_platform.watch(request, [this](const WatchResponse &response) {
        AgentOutput out;
        handleAgentWatch(m_state, response, monotonicNow(), out);
        perform(out);
    });
}

void Agent::listInstances()
{
    count(m_metrics, "platform_calls_total{call=\"instances\"}");
    m_platform.listInstances(m_settings.dataCentre, [this](const std::optional<InstanceList> &list) {
        if (list && list->unreadable > 0) {
            logEvent(m_log, "instances_unreadable", {{"unreadable", list->unreadable}, {"readable", list->instances.size()}});
            counter(m_metrics, "instances_unreadable_total") += static_cast<std::int64_t>(list->unreadable);
        }
        AgentOutput out;
        handleInstanceList(m_state, list ? std::optional(list->instances) : std::nullopt, monotonicNow(), wallNow(), out);
        perform(out);
    });
}

void Agent::writeStatus(const StatusWrite &write)
{
    count(m_metrics, "platform_calls_total{call=\"status\"}");
    m_platform.writeStatus(write.name, write.value, write.version, write.changeId, [this](const StatusWriteResult &result) {
        finishStatusWrite(m_state.writer, result, monotonicNow(), m_state.random);
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
    const ViewPublisher &publisher = m_state.viewPublisher;
    if (m_loggedProblem != publisher.problem) {
        m_loggedProblem = publisher.problem;
        logEvent(m_log, m_loggedProblem.empty() ? "config_usable" : "config_unusable", {{"problem", m_loggedProblem}});
    }
    if (m_loggedGenerationInForce != publisher.inForce) {
        m_loggedGenerationInForce = publisher.inForce;
        logEvent(m_log, "view_in_force", {{"generation", m_loggedGenerationInForce}});
    }
    if (m_loggedBalancerConnected != publisher.reported) {
        m_loggedBalancerConnected = publisher.reported;
        logEvent(m_log, m_loggedBalancerConnected ? "balancer_connected" : "balancer_lost", {});
    }
    if (m_loggedPlatformReachable != m_state.spread.watch.reachable) {
        m_loggedPlatformReachable = m_state.spread.watch.reachable;
        logEvent(m_log, m_loggedPlatformReachable ? "platform_reachable" : "platform_unreachable", {});
    }
}

std::string Agent::renderMetricsPage()
{
    const ConfigReplicationCounts &counts = m_state.spread.counts;
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
        {"platform_untrusted_total", m_state.spread.watch.staleResponses},
        {"member_suspicions_total", m_state.membership.counts.suspicions},
        {"member_deaths_total", m_state.membership.counts.deaths},
        {"member_refuted_total", m_state.membership.counts.refuted},
        {"peer_bytes_sent_total", static_cast<std::int64_t>(m_socket.bytesSent())},
        {"peer_bytes_received_total", static_cast<std::int64_t>(m_socket.bytesReceived())},
    };
    for (const auto &[key, value] : values) {
        counter(m_metrics, key) = value;
    }
    setGauge(m_metrics, "members", static_cast<double>(presentMembers(m_state.membership).size()));
    setGauge(m_metrics, "view_generation", static_cast<double>(m_state.viewPublisher.inForce));
    setGauge(m_metrics, "platform_revision", static_cast<double>(m_state.spread.watch.revision));
    setGauge(m_metrics, "platform_reachable", m_state.spread.watch.reachable ? 1 : 0);
    setGauge(m_metrics, "is_watcher", m_state.spread.peers.watcher ? 1 : 0);
    return renderMetrics(m_metrics);
}

} // namespace pimentofold
