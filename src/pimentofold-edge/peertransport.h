#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <libnet/loop.h>
#include <libnet/udpsocket.h>
#include <pimentofold/balancing/traffic.h>
#include <pimentofold/codec.h>
#include <pimentofold/edgecodec.h>
#include <pimentofold/edgesettings.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/membership/membership.h>
#include <pimentofold/reachability/reachabilitystate.h>

#include "edge_types.h"

namespace pimentofold {

/// Sends and receives the datagrams between edge nodes, and runs the membership protocol over them.
class PeerTransport
{
public:
    /// Opens the socket and contacts the seeds.
    /// @param preferOwnDataCentre whether membership updates are sent mostly within the data centre, see MembershipOptions
    /// @param randomSeed of the random selection of peers
    /// @param onMessage called with each message of another node and the address that it came from
    /// @param onMembersChanged called when the state of a member has changed: it joined, leaves, is suspected or dead
    PeerTransport(const EdgeSettings &settings,
                  bool preferOwnDataCentre,
                  std::uint64_t randomSeed,
                  EventLog &log,
                  std::function<void(const wire::EdgeMessage &message, const Address &from)> onMessage,
                  std::function<void()> onMembersChanged);

    /// Sets a function that is called with the id of the sending node for each message of any kind.
    void setHeardHandler(std::function<void(Id)> onHeard);

    /// Sets a function that is called after the messages that had arrived have been handled.
    void setDrainedHandler(std::function<void()> handler);
    /// Handles the messages that have arrived, without waiting for the loop.
    void readArrived();

    /// Runs the timers of the membership protocol: probes, and time-outs of suspicions. To be called about every 50 ms.
    void tick(Time now);
    /// Announces this node's planned stop to the other members.
    void announceLeave(Time now);

    /// Sends to an address.
    void send(const wire::EdgeMessage &message, const Address &to);
    /// Sends to a live member.
    /// @return false when there is no live member with that id
    bool send(const wire::EdgeMessage &message, Id to);
    /// Sends to all other members that run, including those about to stop, since they still forward packets. In each data
    /// centre the message is relayed: another data centre receives it through one member, and within a data centre it is sent
    /// to relay groups.
    /// @param rotation selects the relays; messages with the same value use the same ones
    void broadcast(wire::EdgeMessage message, std::size_t rotation);
    /// Forwards a received broadcast to the members that it names, if any.
    void relayBroadcast(const wire::EdgeMessage &message);
    /// Sends to a random live member of the own data centre, or of any if it has no other.
    /// @return false when there is no other member
    bool sendToRandomPeer(const wire::EdgeMessage &message);
    /// Passes the request of a node that has just started on to a member of that node's data centre, with the node's address in
    /// `relayTo`, so that the response doesn't leave the data centre.
    /// @param from address of the node that sent the request
    /// @return false when the node is in this data centre, or when no member is known to have run there for some seconds
    bool relayToDataCentreOf(const Address &from, const wire::EdgeMessage &message);
    /// Asks a node for a sign of life. Has no effect on the membership.
    void ping(Id node);
    /// @return the other nodes that may be running, including those declared dead in the last minutes but none that has left
    std::unordered_map<Id, OtherNode> otherNodes() const;
    /// Adds nodes that may be running to the seeds and contacts all seeds.
    void contactNodes(const std::vector<Address> &nodes, Time now);
    /// @return addresses of the live members, including this node
    std::vector<Address> memberAddresses() const;

    /// @return this node's instance and incarnation
    InstanceKey self() const;
    /// @return the live members, including this node
    std::vector<InstanceKey> members() const;
    /// @return data centre of a member, whatever its state; empty for an unknown one
    std::string dataCentreOf(Id member) const;
    /// @return data centres of the live members, including this node
    std::unordered_map<Id, std::string> memberDataCentres() const;
    /// @param order sort key of a node
    /// @return number of live members whose sort key is lower than this node's
    int rankBy(const std::function<std::uint64_t(Id)> &order) const;
    /// @return bytes sent since the start
    const PeerTraffic &traffic() const;

private:
    /// Members of one data centre that run, other than this node.
    struct DataCentrePeers {
        std::vector<Address> alive;
        std::vector<Address> unreliable; ///< suspected or leaving
    };

    /// Sends a datagram and counts its bytes.
    void sendDatagram(TrafficPurpose purpose, std::string_view datagram, const Address &to);
    /// Sends to the other members of the own data centre, by relay groups.
    void sendToOwnDataCentre(wire::EdgeMessage message);
    void onDatagram(std::string_view bytes, const Address &from);
    void onMembership(std::string_view bytes, const Address &from, Time now);
    /// Sends the messages and reports the changes that the membership protocol returned.
    void applyOutput(MembershipOutput &&output);
    /// Derives the addresses of the peers from the membership.
    void updatePeers();

    EventLog &m_log;
    std::function<void(const wire::EdgeMessage &, const Address &)> m_onMessage;
    std::function<void()> m_onMembersChanged;
    std::function<void(Id)> m_onHeard = [](Id) {};
    Address m_address;
    Codec m_codec;
    MembershipState m_membership;
    std::map<Id, Address> m_peerAddresses; ///< of the other live members; leaving ones are not included
    std::map<std::string, DataCentrePeers> m_peersByDataCentre;
    std::map<Address, std::string> m_dataCentres; ///< of the other members, in whatever state
    PeerTraffic m_traffic;
    std::size_t m_rotation = 0; ///< selects the relays in the own data centre
    Random m_random;
    UdpSocket m_socket;
};

} // namespace pimentofold
