#include <target-standin/backendserver.h>

#include <algorithm>
#include <chrono>

namespace pimentofold {

namespace {

std::int64_t wallMicroseconds()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

Backend makeBackend(const BackendSettings &settings, const BackendFaults &faults)
{
    Backend backend;
    backend.settings = settings;
    backend.faults = faults;
    backend.incarnation = wallMicroseconds();
    backend.startedAt = monotonicNow();
    backend.random.state = static_cast<std::uint64_t>(idOf(settings.team, settings.service, settings.instance));
    return backend;
}

} // namespace

BackendServer::BackendServer(const BackendSettings &settings, const BackendFaults &faults)
    : m_backend(makeBackend(settings, faults))
    , m_timer([this] { run(); })
    , m_listener(parseAddress(settings.address), [this](int descriptor) { accept(descriptor); })
{
}

const Backend &BackendServer::state() const
{
    return m_backend;
}

void BackendServer::setDraining(bool draining)
{
    pimentofold::setDraining(m_backend, draining, monotonicNow());
    run();
}

void BackendServer::setFaults(const BackendFaults &faults)
{
    m_backend.faults = faults;
    m_backend.statusChanged = true;
    run();
}

void BackendServer::dropConnections()
{
    for (const auto &it : m_connections) {
        connectionLost(m_backend, it.first);
    }
    m_connections.clear();
}

void BackendServer::accept(int descriptor)
{
    const ConnectionId id = ++m_lastConnection;
    FramedConnection::Callbacks callbacks;
    callbacks.onFrame = [this, id](std::string_view payload) { onFrame(id, payload); };
    callbacks.onClosed = [this, id](const std::string &) { onClosed(id); };
    m_connections.emplace(id, std::make_unique<FramedConnection>(descriptor, std::move(callbacks)));
}

void BackendServer::onFrame(ConnectionId connection, std::string_view payload)
{
    wire::TargetFrame frame;
    m_codec.decode(payload, frame); // a DecodeError ends the connection
    receive(m_backend, connection, frame, monotonicNow(), m_out);
    deliver();
}

void BackendServer::onClosed(ConnectionId connection)
{
    connectionLost(m_backend, connection);
    m_connections.erase(connection);
}

void BackendServer::run()
{
    advance(m_backend, monotonicNow(), m_out);
    deliver();
}

void BackendServer::deliver()
{
    for (const Outgoing &it : m_out) {
        const auto connection = m_connections.find(it.connection);
        if (connection != m_connections.end()) {
            connection->second->send(m_codec.encode(it.frame));
        }
    }
    m_out.clear();
    const Time due = nextDue(m_backend);
    if (due == never) {
        m_timer.stop();
    } else {
        m_timer.start(std::max<Time>(0, due - monotonicNow()));
    }
}

} // namespace pimentofold
