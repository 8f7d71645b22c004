#include <pimentofold-balancer/agentport.h>

#include <utility>

namespace pimentofold {

namespace {

// Unsent bytes on a connection from which on no further reports are queued, so that an agent that doesn't read its
// connection can't exhaust the balancer's memory.
constexpr std::size_t maxPendingBytes = 1 << 20;

} // namespace

AgentPort::AgentPort(const Address &local, Callbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_listener(local, [this](int descriptor) { accept(descriptor); })
{
}

void AgentPort::accept(int descriptor)
{
    const std::uint64_t id = ++m_lastConnectionId;
    FramedConnection::Callbacks callbacks;
    callbacks.onFrame = [this, id](std::string_view payload) { onFrame(id, payload); };
    callbacks.onClosed = [this, id](const std::string &) { m_connections.erase(id); };
    const auto connection = m_connections.emplace(id, std::make_unique<FramedConnection>(descriptor, std::move(callbacks))).first;
    connection->second->send(m_codec.encode(m_callbacks.makeReport(true)));
}

void AgentPort::onFrame(std::uint64_t id, std::string_view payload)
{
    wire::LocalMessage message;
    try {
        m_codec.decode(payload, message);
    } catch (const DecodeError &error) {
        m_callbacks.onMalformed(error.what());
        m_connections.erase(id);
        return;
    }
    if (message.__isset.view) {
        m_callbacks.onView(message.view);
    }
}

void AgentPort::report()
{
    const std::string bytes(m_codec.encode(m_callbacks.makeReport(false)));
    for (const auto &[id, connection] : m_connections) {
        if (connection->pendingBytes() < maxPendingBytes) {
            connection->send(bytes);
        }
    }
}

} // namespace pimentofold
