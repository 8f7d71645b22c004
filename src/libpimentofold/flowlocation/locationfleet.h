#pragma once

#include <map>
#include <set>
#include <utility>

#include <doctest/doctest.h>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/flowlocation/locationreplicas.h>

/// Edge nodes for the tests of flow locations.
namespace pimentofold::testdata {

inline constexpr Id nodeCount = 6;

/// Several nodes that exchange messages about flow locations without delay.
struct Fleet {
    std::map<Id, EdgeForwarder> nodes;
    std::set<Id> silent; ///< nodes that receive no messages
    std::set<Id> down; ///< nodes that don't run
    std::map<Id, std::int64_t> incarnations;
    std::vector<ForwardedPacket> packets; ///< packets to targets
    int messages = 0;

    Fleet()
    {
        for (Id id = 1; id <= nodeCount; ++id) {
            restart(id);
        }
    }

    /// Replaces a node by one without memory, which the other nodes don't notice.
    void restart(Id id)
    {
        EdgeForwarder node = makeForwarder(4, 0);
        node.self = {id, 1};
        node.members = members();
        nodes[id] = std::move(node);
    }

    /// Starts a node again, as a member with another incarnation.
    void rejoin(Id id, Time now)
    {
        ++incarnations[id];
        down.erase(id);
        restart(id);
        updateMembers(now);
    }

    /// Ends a node.
    /// @param planned it passes its locations on before
    void end(Id id, bool planned, Time now)
    {
        if (planned) {
            leaveForwarding(nodes[id], now);
            tick(id, now);
        }
        down.insert(id);
        updateMembers(now);
    }

    /// Tells all nodes that run which ones do.
    void updateMembers(Time now)
    {
        for (Id id = 1; id <= nodeCount; ++id) {
            if (!down.contains(id)) {
                nodes[id].members = members();
                nodes[id].self = {id, incarnations[id]};
                scheduleReplication(nodes[id].locations, now);
            }
        }
        for (Id id = 1; id <= nodeCount; ++id) {
            if (!down.contains(id)) {
                tick(id, now);
            }
        }
    }

    std::vector<InstanceKey> members()
    {
        std::vector<InstanceKey> keys;
        for (Id id = 1; id <= nodeCount; ++id) {
            if (!down.contains(id)) {
                keys.push_back({id, incarnations[id]});
            }
        }
        return keys;
    }

    void deliver(Id from, ForwardOutput out, Time now)
    {
        packets.insert(packets.end(), out.packets.begin(), out.packets.end());
        for (const LocationMessage &it : out.locationMessages) {
            ++messages;
            if (silent.contains(it.to) || down.contains(it.to)) {
                continue;
            }
            ForwardOutput next;
            switch (it.kind) {
            case LocationMessageKind::Question:
                handleLocate(nodes[it.to], from, it.flow, it.location, now, next);
                break;
            case LocationMessageKind::Answer:
                handleLocationAnswer(nodes[it.to], from, it.flow, it.location.target, now, next);
                break;
            case LocationMessageKind::Report:
                handleLocationReport(nodes[it.to], {0, it.flow, it.location, it.age}, now, next);
                break;
            }
            deliver(it.to, std::move(next), now);
        }
    }

    void receive(Id id, const FlowPacket &packet, Time now)
    {
        ForwardOutput out;
        handlePacket(nodes[id], packet, now, out);
        deliver(id, std::move(out), now);
    }

    void tick(Id id, Time now)
    {
        ForwardOutput out;
        tickForwarder(nodes[id], now, out);
        deliver(id, std::move(out), now);
    }

    /// @return id of the target of the last packet that was forwarded
    std::uint64_t lastTarget() const
    {
        return packets.empty() ? 0 : packets.back().target;
    }
};

/// Opens a flow through a node at the second target to which it was offered.
/// @return ids of both targets
inline std::pair<std::uint64_t, std::uint64_t> openAtSecondTarget(Fleet &fleet, Id node, std::uint16_t port, Time now)
{
    EdgeForwarder &forwarder = fleet.nodes[node];
    fleet.receive(node, makeOpening(port), now);
    const std::uint64_t first = fleet.lastTarget();
    fleet.tick(node, now + answerTimeout(forwarder));
    const std::uint64_t other = fleet.lastTarget();
    REQUIRE(first != other);
    fleet.receive(node, makeData(port, tokenOf(other)), now + answerTimeout(forwarder) + millisecond);
    CHECK(fleet.lastTarget() == other);
    return {first, other};
}

} // namespace pimentofold::testdata
