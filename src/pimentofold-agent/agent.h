#pragma once

#include <exception>
#include <memory>
#include <string>
#include <vector>

#include <libnet/httpserver.h>
#include <libnet/loop.h>
#include <libnet/udpsocket.h>

#include <pimentofold-agent/agentsettings.h>
#include <pimentofold-agent/balancerlink.h>
#include <pimentofold-agent/platformclient.h>

#include <pimentofold/agent/agentcore.h>
#include <pimentofold/codec.h>
#include <pimentofold/datagramauth.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/metrics.h>

/// Control plane of an entry instance. Agent owns the sockets, timers, log and metrics. It passes datagrams, responses and
/// the time to the functions on AgentState, which make the decisions, and performs the actions in their AgentOutput.
namespace pimentofold {

class Agent
{
public:
    /// Binds the peer socket and the HTTP server, and starts the timers and the connection to the balancer.
    /// @throws std::exception when an address can't be bound
    explicit Agent(const AgentSettings &settings);

    /// Announces to the other members that the instance leaves, and stops the event loop after a short delay in which
    /// the announcement is delivered.
    void stop();

    /// Logs and counts an exception that ended the handling of a message or timer.
    void logUnexpectedError(const std::exception &error);

private:
    void tick();
    void receive(std::string_view datagram, const Address &from);
    void onReport(const wire::BalancerReport &report);
    void onBalancerLeave();
    void onBalancerLost();
    void perform(const AgentOutput &out);
    void send(const MemberMessage &message);
    void startPoll(const WatchRequest &request);
    void listInstances();
    void writeStatus(const StatusWrite &write);
    void logOutput(const AgentOutput &out);
    void logState();
    std::string renderMetricsPage();

    AgentSettings m_settings;
    EventLog m_log;
    Metrics m_metrics;
    std::vector<MacKey> m_peerKeys;
    Codec m_codec;
    AgentState m_state;
    std::string m_loggedProblem; ///< configuration problem that was logged last; empty when the configuration was usable
    bool m_loggedPlatformReachable = false; ///< state that was logged last
    bool m_loggedBalancerConnected = false; ///< state that was logged last
    std::int64_t m_loggedGenerationInForce = 0; ///< generation of the balancer's view that was logged last
    UdpSocket m_socket;
    PlatformClient m_platform;
    std::unique_ptr<HttpServer> m_http;
    Timer m_tickTimer;
    Timer m_exitTimer;
    std::unique_ptr<BalancerLink> m_balancer;
};

} // namespace pimentofold
