#include <pimentofold-balancer/callerports.h>

#include <exception>
#include <utility>

namespace pimentofold {

CallerPorts::CallerPorts(std::string ip, Callbacks callbacks)
    : m_ip(std::move(ip))
    , m_callbacks(std::move(callbacks))
{
}

void CallerPorts::close(const Port &port)
{
    m_closedOversized += port.socket->oversized();
    m_closedSendDrops += port.socket->sendDrops();
}

void CallerPorts::apply(const View &view)
{
    // Ports are closed before others are opened, since a port number may have moved from one service to another.
    for (auto it = m_ports.begin(); it != m_ports.end();) {
        const ViewService *service = findService(view, it->first);
        if (service == nullptr || service->port != it->second.number) {
            close(it->second);
            it = m_ports.erase(it);
        } else {
            ++it;
        }
    }
    for (const ViewService &service : view.services) {
        if (m_ports.contains(service.id)) {
            continue;
        }
        const Id id = service.id;
        try {
            auto socket = std::make_unique<UdpSocket>(parseAddress(m_ip + ":" + std::to_string(service.port)),
                                                      [this, id](std::string_view bytes, const Address &from) { m_callbacks.onDatagram(id, bytes, from); });
            m_ports[id] = {service.port, std::move(socket)};
        } catch (const std::exception &error) {
            m_callbacks.onBindError(error.what());
        }
    }
}

void CallerPorts::send(Id serviceId, std::string_view bytes, const Address &to)
{
    const auto it = m_ports.find(serviceId);
    if (it != m_ports.end()) {
        it->second.socket->send(bytes, to);
    }
}

std::uint64_t CallerPorts::oversized() const
{
    std::uint64_t sum = m_closedOversized;
    for (const auto &[id, port] : m_ports) {
        sum += port.socket->oversized();
    }
    return sum;
}

std::uint64_t CallerPorts::sendDrops() const
{
    std::uint64_t sum = m_closedSendDrops;
    for (const auto &[id, port] : m_ports) {
        sum += port.socket->sendDrops();
    }
    return sum;
}

} // namespace pimentofold
