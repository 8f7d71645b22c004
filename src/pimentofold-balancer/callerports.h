#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <libnet/udpsocket.h>

#include <pimentofold/view.h>

/// UDP sockets on which the balancer receives packets from callers and answers them.
namespace pimentofold {

/// Keeps one UDP socket open for each service of the view, on the service's port and the IP address of the instance.
class CallerPorts
{
public:
    struct Callbacks {
        /// A datagram has arrived on the port of a service; @c bytes are valid during the call.
        std::function<void(Id serviceId, std::string_view bytes, const Address &from)> onDatagram;
        /// A service's port couldn't be bound.
        std::function<void(const std::string &reason)> onBindError;
    };

    /// @param ip IPv4 address on which all ports are bound
    CallerPorts(std::string ip, Callbacks callbacks);

    /// Opens the ports of services that are new in the view and closes the ports of services that were removed or have
    /// changed their port. A port that couldn't be bound is retried by the next call.
    void apply(const View &view);

    /// Sends a datagram from a service's port. The datagram is dropped when the service has no open port.
    void send(Id serviceId, std::string_view bytes, const Address &to);

    /// @return number of received datagrams longer than maxDatagramBytes, including those of ports closed since
    std::uint64_t oversized() const;
    /// @return number of datagrams that the operating system refused to send, including those of ports closed since
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
    std::uint64_t m_closedOversized = 0; ///< sum over closed ports
    std::uint64_t m_closedSendDrops = 0; ///< sum over closed ports
};

} // namespace pimentofold
