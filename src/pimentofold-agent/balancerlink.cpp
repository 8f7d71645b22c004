#include <pimentofold-agent/balancerlink.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

// Upper limit of the back-off. It is short because the balancer runs on the same instance and needs its view soon after
// a restart.
constexpr Time maxReconnectDelay = 500 * millisecond;

} // namespace

BalancerLink::BalancerLink(const std::string &address, std::uint64_t randomSeed, Callbacks callbacks)
    : m_address(parseAddress(address))
    , m_callbacks(std::move(callbacks))
    , m_random{randomSeed}
    , m_reconnectTimer([this] { connect(); })
{
    m_reconnectTimer.start(0);
}

bool BalancerLink::isConnected() const
{
    return m_connection && m_connection->isConnected();
}

void BalancerLink::send(const wire::NodeView &view)
{
    if (!isConnected()) {
        return;
    }
    wire::LocalMessage message;
    message.__set_view(view);
    m_connection->send(m_codec.encode(message));
}

void BalancerLink::connect()
{
    m_connection = std::make_unique<FramedConnection>(m_address,
                                                      FramedConnection::Callbacks{[this] { m_failures = 0; },
                                                                                  [this](std::string_view payload) { receive(payload); },
                                                                                  [this](const std::string &) { scheduleReconnect(); }});
}

void BalancerLink::receive(std::string_view payload)
{
    wire::LocalMessage message;
    try {
        m_codec.decode(payload, message);
    } catch (const DecodeError &) {
        m_connection->close();
        scheduleReconnect();
        return;
    }
    if (message.__isset.report) {
        m_callbacks.onReport(message.report);
    }
    if (message.leave) {
        m_callbacks.onLeave();
    }
}

void BalancerLink::scheduleReconnect()
{
    m_callbacks.onLost();
    m_reconnectTimer.start(std::min(backOffDelay(++m_failures, m_random), maxReconnectDelay));
}

} // namespace pimentofold
