#pragma once

#include <functional>
#include <memory>
#include <string>

#include <libnet/framedconnection.h>
#include <libnet/loop.h>

#include <pimentofold/codec.h>
#include <pimentofold/platformwatch.h>
#include <pimentofold/random.h>

#include "view_types.h"

/// Connection from the agent to the balancer on the same instance. It is reopened whenever it closes.
namespace pimentofold {

class BalancerLink
{
public:
    struct Callbacks {
        std::function<void(const wire::BalancerReport &report)> onReport;
        std::function<void()> onLeave; ///< the balancer announced a planned stop
        std::function<void()> onLost; ///< the connection closed, couldn't be opened or delivered an invalid message
    };

    /// Starts to connect from the event loop.
    /// @param address the balancer's view address, "ip:port"
    /// @param randomSeed seed of the random reconnect delays
    BalancerLink(const std::string &address, std::uint64_t randomSeed, Callbacks callbacks);

    bool isConnected() const;

    /// Sends a view to the balancer. Without a connection, the view is dropped.
    void send(const wire::NodeView &view);

private:
    void connect();
    void receive(std::string_view payload);
    void scheduleReconnect();

    Address m_address;
    Callbacks m_callbacks;
    Codec m_codec;
    Random m_random;
    int m_failures = 0;
    std::unique_ptr<FramedConnection> m_connection;
    Timer m_reconnectTimer;
};

} // namespace pimentofold
