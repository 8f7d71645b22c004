#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <libnet/loop.h>
#include <libnet/udpsocket.h>
#include <pimentofold/codec.h>
#include <pimentofold/edgecodec.h>
#include <pimentofold/edgesettings.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/membership.h>

#include "edge_types.h"

/// Datagrams between edge nodes and the membership that rests on them.
namespace pimentofold {

class PeerLink
{
public:
    /// @param onMessage called with each message of another node
    /// @param onMembers called when a node joins, leaves or is lost
    PeerLink(const EdgeSettings &settings,
             std::uint64_t randomSeed,
             EventLog &log,
             std::function<void(const wire::EdgeMessage &message, const Address &from)> onMessage,
             std::function<void()> onMembers);

    /// Sends probes and ends suspicions; to be called about every 50 ms.
    void tick(Time now);
    /// Announces the planned stop.
    void leave(Time now);

    void send(const wire::EdgeMessage &message, const Address &to);
    /// Sends to a live member.
    /// @return false when it isn't known
    bool send(const wire::EdgeMessage &message, Id to);
    /// Sends to all other members that run, also to those that are about to stop, since they still forward packets:
    /// directly in the own data centre, and through one member in the others.
    /// @param way chooses the member in each other data centre; messages with the same one take the same way
    void broadcast(wire::EdgeMessage message, std::size_t way);
    /// Passes a broadcast on to the other members of the own data centre.
    void forward(wire::EdgeMessage message, const Address &from);
    /// Contacts nodes that may be running.
    void contact(const std::vector<Address> &nodes, Time now);
    /// @return addresses of the live members with this one
    std::vector<Address> addresses() const;

    InstanceKey self() const;
    /// @return live members with this one
    std::vector<InstanceKey> members() const;
    /// @return number of live members that come before this one in an order
    int rankBy(const std::function<std::uint64_t(Id)> &order) const;

private:
    void onDatagram(std::string_view bytes, const Address &from);
    void onMembership(std::string_view bytes, const Address &from, Time now);
    void takeOutput(MembershipOutput &&output);
    void refresh();

    EventLog &m_log;
    std::function<void(const wire::EdgeMessage &, const Address &)> m_onMessage;
    std::function<void()> m_onMembers;
    Address m_address;
    Codec m_codec;
    MembershipState m_membership;
    std::map<Id, Address> m_addresses; ///< of other live members
    std::map<std::string, std::vector<Address>> m_running; ///< other members with those that are leaving, by data centre
    UdpSocket m_socket;
};

} // namespace pimentofold
