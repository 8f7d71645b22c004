#pragma once

#include <functional>
#include <map>
#include <memory>

#include <libnet/framedconnection.h>

#include <pimentofold/codec.h>

#include "view_types.h"

/// The listener to which the agent of the same instance connects: it sends views and gets reports.
namespace pimentofold {

class AgentPort
{
public:
    struct Callbacks {
        std::function<void(const wire::NodeView &view)> onView;
        std::function<wire::LocalMessage(bool first)> makeReport; ///< first: of a connection
        std::function<void(const std::string &reason)> onMalformed;
    };

    /// @throws std::system_error when the address can't be bound
    AgentPort(const Address &local, Callbacks callbacks);

    /// Sends a report to each connected agent.
    void report();

private:
    void accept(int descriptor);
    void onFrame(std::uint64_t id, std::string_view payload);

    Callbacks m_callbacks;
    Codec m_codec;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, std::unique_ptr<FramedConnection>> m_connections;
    Listener m_listener;
};

} // namespace pimentofold
