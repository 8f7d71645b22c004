#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/configspread.h>
#include <pimentofold/membership.h>
#include <pimentofold/statusboard.h>
#include <pimentofold/viewpublisher.h>

/// The control plane of one entry instance without its sockets: membership, configuration, the balancer's view and
/// the duties of the first-ranked member.
namespace pimentofold {

/// The first-ranked member reads the platform's instance list this often. Together with the lag of the list it
/// decides how soon a leaving target is known where its own signals don't arrive.
constexpr Time listInterval = second;
/// A list without more than half of the targets known before is believed only when it stays so for this long.
constexpr Time shrunkListHold = 10 * second;
/// Membership starts without a balancer when none has reported for this long after the start.
constexpr Time balancerWait = 2 * second;
/// Without a connection to its balancer for this long the instance announces that it leaves.
constexpr Time balancerLostLimit = 2 * second;
/// A restarted agent waits this long for the lists of instances and entries that its balancer has had in force. The
/// platform's objects it waits for without limit; the makers of the lists may be gone with their data centre.
constexpr Time listsWait = minute;

/// What an agent is and where its balancer can be reached.
struct AgentIdentity {
    std::string node;
    std::string dataCentre;
    std::string team;
    std::string peerAddress;
    std::string balancerPeerAddress;
    std::vector<std::string> seeds;
    std::vector<std::string> remoteSeeds;
};

/// Reading of the instance list by the first-ranked member.
struct InstanceLister {
    bool busy = false;
    Time nextAt = 0;
    int failures = 0;
    Time shrunkSince = never; ///< when a list without most targets was first seen
};

/// State of one agent.
struct AgentState {
    AgentIdentity identity;
    Random random;
    MembershipState membership;
    bool membershipStarted = false;
    ConfigSpread spread;
    ViewPublisher viewPublisher;
    StatusBoard board;
    StatusWriter writer;
    InForceReporter reporter;
    InstanceLister lister;
    std::deque<ObjectKey> recent; ///< objects that changed last, newest first
    Time startedAt = 0;
    Time balancerLostAt = 0; ///< never while connected
    bool balancerLeaving = false; ///< the balancer stops, or is gone
    bool first = false; ///< ranks first for the duties of the data centre
    Id firstMember = 0;
    Time rolesAt = 0; ///< when roles are derived from membership again; 0 after a change
    Time viewCheckAt = 0; ///< when the view is built again; 0 after a change
};

/// A status object to be written.
struct StatusWrite {
    std::string name;
    std::string value;
    std::int64_t version = 0;
    std::string changeId;
};

/// What a command asks of the program around it. Commands append.
struct AgentOutput {
    std::vector<MemberMessage> messages;
    std::vector<MemberChange> changes;
    std::vector<ConfigObjectPointer> applied;
    std::optional<WatchRequest> watch;
    std::optional<StatusWrite> statusWrite;
    bool listInstances = false; ///< read the instance list of the own data centre
    bool sendView = false; ///< send publisher.view to the balancer
};

/// Starts an agent with empty memory.
/// @param randomSeed differs between agents
void startAgent(AgentState &agent, const AgentIdentity &identity, std::uint64_t randomSeed, Time now);

/// To be called about every 100 ms.
/// @param wall time
void tickAgent(AgentState &agent, Time now, WallTime wall, AgentOutput &out);

/// Takes a message of another agent.
/// @param message from an authenticated datagram
/// @param from address that the datagram came from
void handlePeer(AgentState &agent, const wire::PeerMessage &message, const std::string &from, Time now, AgentOutput &out);

/// Takes a report of the own balancer.
void handleBalancerReport(AgentState &agent, const wire::BalancerReport &report, Time now, AgentOutput &out);

/// Takes the balancer's notice that it stops as planned and announces it at once.
void handleBalancerLeave(AgentState &agent, Time now, AgentOutput &out);

/// Takes the end of the connection to the balancer.
void handleBalancerLost(AgentState &agent, Time now);

/// Takes the end of a long poll.
void handleAgentWatch(AgentState &agent, const WatchAnswer &answer, Time now, AgentOutput &out);

/// Takes the platform's instance list, or nothing when the call failed.
void handleInstanceList(AgentState &agent, const std::optional<std::vector<PlatformInstance>> &instances, Time now, WallTime wall, AgentOutput &out);

/// Announces that this instance leaves; the agent ends soon.
void stopAgent(AgentState &agent, Time now, AgentOutput &out);

/// @return all members but the dead ones
std::vector<Member> presentMembers(const MembershipState &membership);

} // namespace pimentofold
