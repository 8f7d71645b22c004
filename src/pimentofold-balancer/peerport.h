#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <libnet/udpsocket.h>

#include <pimentofold/codec.h>
#include <pimentofold/datagramauth.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/metrics.h>
#include <pimentofold/replayfilter.h>
#include <pimentofold/view.h>

#include "peer_types.h"

/// The socket for messages between balancers: seals and opens them, and refuses forged, replayed and stale ones.
namespace pimentofold {

class PeerPort
{
public:
    /// Called for each authentic message to this instance.
    using Handler = std::function<void(const wire::PeerMessage &message, const Address &from)>;

    /// @param own key of this instance, put in each message
    /// @param secrets of the fleet; the first signs, all verify
    /// @throws std::system_error when the address can't be bound
    PeerPort(const Address &local, const InstanceKey &own, const std::vector<std::string> &secrets, EventLog &log, Metrics &metrics, Handler handler);

    /// Sends a message to a member of the view; counted and dropped when its address isn't known.
    /// @param message sender and clock are set here
    void send(const View &view, const InstanceKey &to, wire::PeerMessage &message);
    /// Sends a message to an address.
    void reply(const Address &to, wire::PeerMessage &message);

    const UdpSocket &socket() const;

private:
    void receive(std::string_view bytes, const Address &from);

    InstanceKey m_own;
    std::vector<MacKey> m_keys;
    EventLog &m_log;
    Metrics &m_metrics;
    Handler m_handler;
    ReplayFilter m_guard;
    Codec m_codec;
    UdpSocket m_socket;
};

} // namespace pimentofold
