#pragma once

#include <functional>
#include <map>
#include <memory>

#include <libnet/framedconnection.h>

#include <pimentofold/codec.h>

#include "view_types.h"

/// Local connection between the balancer and the agent of the same instance. The agent connects to the balancer, sends
/// it views and receives its reports.
namespace pimentofold {

/// Listens for connections of the agent, passes received views on and sends reports.
class AgentPort
{
public:
    struct Callbacks {
        std::function<void(const wire::NodeView &view)> onView; ///< the agent has sent a view
        /// Returns the report to send. @c isFirst is true for the first report on a new connection.
        std::function<wire::LocalMessage(bool isFirst)> makeReport;
        /// A frame couldn't be decoded; its connection is closed after the call.
        std::function<void(const std::string &reason)> onMalformed;
    };

    /// Starts listening.
    /// @param local TCP address on which the agent connects
    /// @throws std::system_error when @p local can't be bound
    AgentPort(const Address &local, Callbacks callbacks);

    /// Sends a report to each connected agent. An agent that doesn't read its connection is skipped.
    void report();

private:
    void accept(int descriptor);
    void onFrame(std::uint64_t id, std::string_view payload);

    Callbacks m_callbacks;
    Codec m_codec;
    std::uint64_t m_lastConnectionId = 0;
    std::map<std::uint64_t, std::unique_ptr<FramedConnection>> m_connections; ///< by connection id
    Listener m_listener;
};

} // namespace pimentofold
