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
    /// Sends to all other members that run, also to those that are about to stop, since they still forward packets: through
    /// one member in each other data centre, and in groups whose heads pass the message on.
    /// @param turn chooses the members that pass it on; messages with the same one take the same way
    void broadcast(wire::EdgeMessage message, std::size_t turn);
    /// Passes a broadcast on to the members for which it asks this.
    void passOn(const wire::EdgeMessage &message);
    /// Sends to another member of the own data centre at random.
    /// @return false when there is none
    bool sendToNeighbour(const wire::EdgeMessage &message);
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
    /// Running members of one data centre, other than this node.
    struct Running {
        std::vector<Address> alive;
        std::vector<Address> doubtful; ///< suspected or leaving
    };

    void sendToOwn(wire::EdgeMessage message);
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
    std::map<std::string, Running> m_running; ///< by data centre
    std::size_t m_turn = 0; ///< of the groups in the own data centre
    Random m_random;
    UdpSocket m_socket;
};

} // namespace pimentofold
