#include <pimentofold-agent/balancerlink.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

// The balancer is on the same instance; a restarted one should get its view soon.
constexpr Time mostReconnectDelay = 500 * millisecond;

} // namespace

BalancerLink::BalancerLink(const std::string &address, std::uint64_t randomSeed, Callbacks callbacks)
    : m_address(parseAddress(address))
    , m_callbacks(std::move(callbacks))
    , m_random{randomSeed}
    , m_retry([this] { connect(); })
{
    m_retry.start(0);
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
                                                                                  [this](const std::string &) { reconnectLater(); }});
}

void BalancerLink::receive(std::string_view payload)
{
    wire::LocalMessage message;
    try {
        m_codec.decode(payload, message);
    } catch (const DecodeError &) {
        m_connection->close();
        reconnectLater();
        return;
    }
    if (message.__isset.report) {
        m_callbacks.onReport(message.report);
    }
    if (message.leave) {
        m_callbacks.onLeave();
    }
}

void BalancerLink::reconnectLater()
{
    m_callbacks.onLost();
    m_retry.start(std::min(backOffDelay(++m_failures, m_random), mostReconnectDelay));
}

} // namespace pimentofold
