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

/// The connection to the balancer of the same instance. It is opened again whenever it closes.
namespace pimentofold {

class BalancerLink
{
public:
    struct Callbacks {
        std::function<void(const wire::BalancerReport &report)> onReport;
        std::function<void()> onLeave; ///< the balancer has begun a planned stop
        std::function<void()> onLost; ///< the connection closed or couldn't be opened
    };

    /// @param address balancer's view address
    BalancerLink(const std::string &address, std::uint64_t randomSeed, Callbacks callbacks);

    bool isConnected() const;

    /// Sends a view; does nothing without a connection.
    void send(const wire::NodeView &view);

private:
    void connect();
    void receive(std::string_view payload);
    void reconnectLater();

    Address m_address;
    Callbacks m_callbacks;
    Codec m_codec;
    Random m_random;
    int m_failures = 0;
    std::unique_ptr<FramedConnection> m_connection;
    Timer m_retry;
};

} // namespace pimentofold
