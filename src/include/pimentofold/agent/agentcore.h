#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/agent/viewpublisher.h>
#include <pimentofold/configreplication/configreplication.h>
#include <pimentofold/membership/membership.h>
#include <pimentofold/statusobject.h>

/// The control plane of one entry instance, without sockets: membership, distribution of configuration, the balancer's
/// view and the tasks that only the first-ranked member of a data centre performs.
///
/// The program calls the functions for received messages and, in short intervals, tickAgent(). Each function appends
/// what the program has to send, log or call to an AgentOutput.
namespace pimentofold {

/// Interval at which the first-ranked member reads the platform's instance list. Together with the lag of the list, the
/// interval determines how soon an agent learns that a target is leaving if the target's own messages don't arrive.
constexpr Time listInterval = second;
/// An instance list that lacks more than half of the known targets is used only after all lists for this time lacked them,
/// so that a temporarily wrong list doesn't remove most targets at once.
constexpr Time shrunkListDelay = 10 * second;
/// When no balancer has reported for this time after the start, the agent joins the membership without a balancer.
constexpr Time balancerReportTimeout = 2 * second;
/// When the connection to the balancer has been lost for this time, the instance announces that it is leaving.
constexpr Time balancerLostTimeout = 2 * second;
/// Maximum time for which a restarted agent waits, before it sends a view, for the versions of the instances and entries
/// objects that its balancer has had in force. For objects from the platform it waits without limit. The wait for the
/// others is limited because the agents that publish them may have failed together with their data centre.
constexpr Time agentObjectsTimeout = minute;

/// Name and addresses of an agent and its balancer. All addresses have the form "ip:port".
struct AgentIdentity {
    std::string node; ///< name of the entry instance
    std::string dataCentre;
    std::string team;
    std::string peerAddress; ///< address for messages between agents
    std::string balancerPeerAddress; ///< address for messages between balancers
    std::vector<std::string> seeds; ///< addresses of agents in the own data centre to contact first
    std::vector<std::string> remoteSeeds; ///< addresses of agents in other data centres to contact first
};

/// State of the calls with which the first-ranked member reads the instance list.
struct InstanceLister {
    bool busy = false; ///< a call is in progress
    Time nextAt = 0; ///< earliest start of the next call
    int failures = 0; ///< number of calls that have failed since the last successful one
    Time shrunkSince = never; ///< when the first of a series of lists without most targets arrived; never: no such series
};

/// State of one agent.
struct AgentState {
    AgentIdentity identity;
    Random random;
    MembershipState membership;
    bool membershipStarted = false; ///< false until the balancer has reported or balancerReportTimeout has passed
    ConfigReplication spread;
    ViewPublisher viewPublisher;
    StatusReports board;
    StatusWriter writer;
    InForceReporter reporter;
    InstanceLister lister;
    std::deque<ObjectKey> recentlyChanged; ///< the objects that changed last, most recent change first
    Time startedAt = 0;
    Time balancerLostAt = 0; ///< when the connection to the balancer was lost; never while connected
    bool balancerLeaving = false; ///< the instance has announced that it is leaving: its balancer stops or is unreachable
    bool isFirst = false; ///< this agent performs the tasks of the data centre's first-ranked member
    Id firstMember = 0; ///< instance of the first-ranked member; 0: not known
    Time rolesAt = 0; ///< when the roles are derived from membership again; set to 0 by a change
    Time viewCheckAt = 0; ///< when the view is built again; set to 0 by a change
};

/// A status object that the program has to write to the platform.
struct StatusWrite {
    std::string name;
    std::string value; ///< JSON
    std::int64_t version = 0; ///< version that the write replaces; the platform refuses the write when it isn't the current one
    std::string changeId; ///< unique for this write
};

/// Actions that the program has to carry out for the agent. The functions append to it and never clear it.
struct AgentOutput {
    std::vector<MemberMessage> messages; ///< to be sent to other agents
    std::vector<MemberChange> changes; ///< changes of membership, to be logged
    std::vector<ConfigObjectPointer> applied; ///< objects that were stored in a new version, to be logged
    std::optional<WatchRequest> watch; ///< long poll to be started
    std::optional<StatusWrite> statusWrite;
    bool listInstances = false; ///< read the instance list of the own data centre
    bool sendView = false; ///< send AgentState::viewPublisher.view to the balancer
};

/// Starts an agent that has no members and no objects yet.
/// @param randomSeed seed of the agent's random numbers; must differ between agents
/// @param now present time, as in all functions of this file
void startAgent(AgentState &agent, const AgentIdentity &identity, std::uint64_t randomSeed, Time now);

/// Performs everything that depends on time. To be called about every 100 ms.
/// @param wall wall-clock time
void tickAgent(AgentState &agent, Time now, WallTime wall, AgentOutput &out);

/// Handles a message from another agent.
/// @param message content of a datagram whose authenticity has been verified
/// @param from source address of the datagram, "ip:port"
void handlePeer(AgentState &agent, const wire::PeerMessage &message, const std::string &from, Time now, AgentOutput &out);

/// Handles a report of the own balancer.
void handleBalancerReport(AgentState &agent, const wire::BalancerReport &report, Time now, AgentOutput &out);

/// Handles the balancer's notice of a planned stop and announces at once that the instance is leaving.
void handleBalancerLeave(AgentState &agent, Time now, AgentOutput &out);

/// Handles the loss of the connection to the balancer.
void handleBalancerLost(AgentState &agent, Time now);

/// Handles the answer to a long poll of the platform, or its failure.
void handleAgentWatch(AgentState &agent, const WatchResponse &answer, Time now, AgentOutput &out);

/// Handles the result of reading the platform's instance list.
/// @param instances the list, or nothing when the call failed
/// @param wall wall-clock time
void handleInstanceList(AgentState &agent, const std::optional<std::vector<PlatformInstance>> &instances, Time now, WallTime wall, AgentOutput &out);

/// Announces that this instance is leaving. To be called before the agent exits.
void stopAgent(AgentState &agent, Time now, AgentOutput &out);

/// @return all members except those in state Dead
std::vector<Member> presentMembers(const MembershipState &membership);

} // namespace pimentofold
