#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <libnet/udpsocket.h>

#include <pimentofold/codec.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/metrics.h>
#include <pimentofold/peerguard.h>
#include <pimentofold/peerseal.h>
#include <pimentofold/view.h>

#include "peer_types.h"

/// Authenticated messages between balancers over UDP.
namespace pimentofold {

/// Signs outgoing messages and verifies incoming ones. Forged, malformed, replayed and stale messages, and messages for
/// another incarnation of this instance, are dropped and counted in the metric peer_dropped_total.
class PeerPort
{
public:
    /// Called for each accepted message.
    /// @param from address of the sender
    using Handler = std::function<void(const wire::PeerMessage &message, const Address &from)>;

    /// Binds the socket and starts receiving.
    /// @param local UDP address to bind
    /// @param self key of this instance, set as the sender of each message
    /// @param secrets secrets shared by all balancers; the first one signs, all are accepted for verification
    /// @param log its hybrid logical clock timestamps outgoing messages and is updated by incoming ones
    /// @param metrics receives the counts of dropped messages
    /// @param handler called for each accepted message
    /// @throws std::system_error when @p local can't be bound
    PeerPort(const Address &local, const InstanceKey &self, const std::vector<std::string> &secrets, EventLog &log, Metrics &metrics, Handler handler);

    /// Sends a message to another balancer. The message is dropped and counted when the view doesn't list the recipient.
    /// @param view gives the recipient's address
    /// @param to recipient; another incarnation of the same instance drops the message
    /// @param message its sender, recipient and clock are set by this function
    void send(const View &view, const InstanceKey &to, wire::PeerMessage &message);
    /// Sends a message to an address.
    /// @param message its sender and clock are set by this function
    void reply(const Address &to, wire::PeerMessage &message);

    /// @return the socket, for its counters
    const UdpSocket &socket() const;

private:
    void receive(std::string_view bytes, const Address &from);

    InstanceKey m_self;
    std::vector<SealKey> m_keys; ///< derived from the secrets, in the same order
    EventLog &m_log;
    Metrics &m_metrics;
    Handler m_handler;
    PeerGuard m_guard;
    Codec m_codec;
    UdpSocket m_socket;
};

} // namespace pimentofold
