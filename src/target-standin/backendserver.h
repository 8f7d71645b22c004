#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include <libnet/framedconnection.h>
#include <libnet/loop.h>

#include <pimentofold/codec.h>

#include <target-standin/backend.h>

namespace pimentofold {

/// A backend server on its listening socket.
class BackendServer
{
public:
    /// @param settings address, size and times
    /// @param faults that are on from the start
    /// @throws std::system_error when the address can't be bound
    BackendServer(const BackendSettings &settings, const BackendFaults &faults);

    const Backend &state() const;
    void setDraining(bool draining);
    void setFaults(const BackendFaults &faults);
    /// Breaks all connections; balancers may connect again.
    void dropConnections();

private:
    void accept(int descriptor);
    void onFrame(ConnectionId connection, std::string_view payload);
    void onClosed(ConnectionId connection);
    void run();
    void deliver();

    Backend m_backend;
    Codec m_codec;
    std::vector<Outgoing> m_out;
    std::map<ConnectionId, std::unique_ptr<FramedConnection>> m_connections;
    ConnectionId m_lastConnection = 0;
    Timer m_timer;
    Listener m_listener;
};

} // namespace pimentofold
