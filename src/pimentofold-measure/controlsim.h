#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <libstandin/platformstore.h>

#include <pimentofold/codec.h>
#include <pimentofold/configreplication/configreplication.h>
#include <pimentofold/membership/membership.h>
#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// Many agents and a platform in memory on virtual time, with faults. It checks the invariant ConfigNeverReverts.
namespace pimentofold {

/// Time within which an accepted change has to be in force on every reachable node.
constexpr Time convergenceLimit = 7 * second;

struct ControlSimOptions {
    std::uint64_t seed = 1;
    std::size_t dataCentres = 3;
    std::size_t nodesPerDataCentre = 5;
    /// Runs membership on every node. Without it roles are fixed, which saves most of the messages of a large fleet.
    bool membership = true;
    double loss = 0; ///< probability that a datagram is lost
    Time tickInterval = 100 * millisecond;
    Time localDelay = 500; ///< longest one-way delay within a data centre, in microseconds
    Time remoteDelay = millisecond; ///< longest one-way delay between data centres
    Time platformDelay = 5 * millisecond; ///< one way
    bool acceptOlder = false; ///< deliberate defect: agents take over older versions
};

/// One accepted version of an object.
struct AcceptedChange {
    ObjectKey key;
    std::int64_t version = 0;
    Time at = 0;
    std::vector<std::size_t> reachable; ///< nodes that were reachable from acceptance until now, by number
};

/// One agent and what its balancer remembers.
struct SimNode {
    std::string name;
    std::string address;
    std::size_t dataCentre = 0;
    bool up = false;
    std::int64_t generation = 0; ///< counts restarts; answers and ticks of earlier runs are dropped
    Time upSince = 0;
    ConfigReplication spread;
    MembershipState membership;
    Time rolesAt = 0; ///< when roles are derived from membership again; 0 after a change
    std::map<ObjectKey, std::int64_t> inForce; ///< held by the balancer, also across restarts of the agent
    std::int64_t bytesSent = 0;
    std::int64_t bytesReceived = 0;
};

/// What went wrong, in words with the virtual time.
struct ControlFaults {
    std::vector<std::string> reverts;
    std::vector<std::string> late; ///< changes that weren't in force on a reachable node within the limit
};

class ControlSim
{
public:
    explicit ControlSim(const ControlSimOptions &options);

    /// Runs all events up to a time.
    void runUntil(Time end);
    /// Calls @p action at a time.
    void at(Time time, std::function<void()> action);
    Time now() const;

    /// Writes an object at the platform on the present version, as an operator does.
    /// @return false when the platform has an outage
    bool write(const ObjectKey &key, const std::string &value, bool deleted = false);

    void setFaults(const standin::Faults &faults);
    /// Cuts or heals the link between two data centres; equal numbers mean the link to the platform.
    void setLink(std::size_t a, std::size_t b, bool open);
    /// Ends an agent and starts it again later with empty memory. Its balancer keeps what is in force.
    void restart(std::size_t node, Time downFor);

    const std::vector<SimNode> &nodes() const;
    const ControlFaults &faults() const;
    const standin::PlatformStore &platform() const;
    /// @return seconds from acceptance until in force, for each change and node that it reached
    const std::vector<double> &latencies() const;

private:
    struct Event {
        Time at = 0;
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };
    struct LaterEvent {
        bool operator()(const Event &a, const Event &b) const;
    };
    struct OpenWatch {
        std::size_t node = 0;
        std::int64_t generation = 0;
        std::int64_t since = 0;
        Time until = 0;
    };

    void startNode(std::size_t number);
    void tick(std::size_t number, std::int64_t generation);
    void noteChanges(SimNode &node, const MembershipOutput &members);
    void setRoles(SimNode &node);
    void setFixedRoles();
    void perform(std::size_t number, std::vector<MemberMessage> &messages);
    void perform(std::size_t number, ConfigReplicationOutput &out);
    void deliver(std::size_t from, std::size_t to, const wire::PeerMessage &message);
    void noteApplied(std::size_t number, const ConfigObject &object);
    void startWatch(std::size_t number, const WatchRequest &request);
    void serveWatches();
    void answerWatch(const OpenWatch &watch);
    void returnAnswer(const OpenWatch &watch, const std::shared_ptr<WatchResponse> &answer);
    void finishWatch(std::size_t number, std::int64_t generation, const std::shared_ptr<WatchResponse> &answer);
    bool isOpen(std::size_t a, std::size_t b) const;
    std::vector<bool> connectedDataCentres() const;
    void dropUnreachable();
    void checkArrival(std::size_t change);

    ControlSimOptions m_options;
    Random m_random;
    Time m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> m_events;
    std::vector<SimNode> m_nodes;
    std::unordered_map<std::string, std::size_t> m_byAddress;
    standin::PlatformStore m_platform;
    std::vector<OpenWatch> m_watches;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    std::vector<AcceptedChange> m_changes;
    std::map<ObjectKey, std::map<std::int64_t, Time>> m_acceptedAt;
    std::vector<double> m_latencies;
    ControlFaults m_faults;
    Codec m_codec;
};

/// The check of the invariant: no version was replaced by an older one, and each accepted change was in force on
/// every reachable node within the limit.
/// @return the faults in words, empty when the invariant holds
std::vector<std::string> checkConfigNeverReverts(const ControlSim &sim);

/// Runs a random script of writes, platform faults, partitions and restarts, then heals everything and waits.
void runRandomFaults(ControlSim &sim, std::uint64_t seed, Time duration);

} // namespace pimentofold
