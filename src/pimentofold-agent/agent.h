#pragma once

#include <memory>
#include <string>
#include <vector>

#include <libnet/httpserver.h>
#include <libnet/loop.h>
#include <libnet/udpsocket.h>

#include <pimentofold-agent/agentsettings.h>
#include <pimentofold-agent/balancerlink.h>
#include <pimentofold-agent/platformclient.h>

#include <pimentofold/agentcore.h>
#include <pimentofold/codec.h>
#include <pimentofold/datagramauth.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/metrics.h>

/// The process around AgentState: sockets, clocks, logs and metrics.
namespace pimentofold {

class Agent
{
public:
    /// Binds the sockets and starts.
    /// @throws std::exception when an address can't be bound
    explicit Agent(const AgentSettings &settings);

    /// Announces that the instance leaves and ends the loop shortly after.
    void stop();

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
    std::vector<MacKey> m_keys;
    Codec m_codec;
    AgentState m_agent;
    std::string m_problem; ///< last one that was logged
    bool m_platformReachable = false; ///< as last logged
    bool m_balancerConnected = false; ///< as last logged
    std::int64_t m_inForce = 0; ///< as last logged
    UdpSocket m_socket;
    PlatformClient m_platform;
    std::unique_ptr<HttpServer> m_http;
    Timer m_tick;
    Timer m_end;
    std::unique_ptr<BalancerLink> m_balancer;
};

} // namespace pimentofold
