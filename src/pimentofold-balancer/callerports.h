#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <libnet/udpsocket.h>

#include <pimentofold/view.h>

/// One UDP socket for each service port of the view, on the instance's IP number.
namespace pimentofold {

class CallerPorts
{
public:
    struct Callbacks {
        std::function<void(Id serviceId, std::string_view bytes, const Address &from)> onDatagram;
        std::function<void(const std::string &reason)> onBindError;
    };

    /// @param ip number on which all ports are bound
    CallerPorts(std::string ip, Callbacks callbacks);

    /// Opens the ports of new services and closes those of services that are gone. A port that can't be bound is
    /// tried again by the next call.
    void apply(const View &view);

    /// Sends a datagram from a service's port; dropped when the service has no open port.
    void send(Id serviceId, std::string_view bytes, const Address &to);

    /// @return datagrams that were longer than maxDatagramBytes, over all ports ever open
    std::uint64_t oversized() const;
    /// @return datagrams that the system refused to send
    std::uint64_t sendDrops() const;

private:
    struct Port {
        std::uint16_t number = 0;
        std::unique_ptr<UdpSocket> socket;
    };

    void close(const Port &port);

    std::string m_ip;
    Callbacks m_callbacks;
    std::map<Id, Port> m_ports; ///< by service id
    std::uint64_t m_closedOversized = 0;
    std::uint64_t m_closedSendDrops = 0;
};

} // namespace pimentofold
