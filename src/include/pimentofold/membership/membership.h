#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/random.h>
#include <pimentofold/types.h>

#include "peer_types.h"

/// SWIM membership and failure detection for the agents of one data centre: direct and indirect probes, suspicion
/// before death, and updates piggybacked on the messages (section 6 of the design document). In addition, members
/// exchange digests of their member lists, which repair entries that piggybacked updates have missed.
///
/// The functions do no input or output: the caller passes received messages and the monotonic time in, and sends the
/// messages that the functions append to a MembershipOutput.
namespace pimentofold {

/// Entry for one member. If there are two entries for the same instance, the entry with the higher incarnation takes
/// precedence, then the one with the higher state version, then the one with the later state in the order Alive,
/// Suspect, Leaving, Dead.
struct Member {
    InstanceKey key;
    wire::MemberState::type state = wire::MemberState::Alive;
    std::string name;
    std::string address; ///< peer address of the agent, "ip:port"
    std::string balancerAddress; ///< peer address of the balancer, "ip:port"
    std::string dataCentre; ///< empty: not known, see MembershipOptions::severalDataCentres
    std::int64_t stateVersion = 0; ///< incremented by the member itself to refute a suspicion or a reported death
    Time stateSince = 0; ///< local time at which this node recorded the state
};

/// Protocol parameters. The defaults are those of the design document.
struct MembershipOptions {
    Time probeInterval = second;
    Time probeTimeout = 300 * millisecond; ///< time without an acknowledgement after which indirect probes are sent
    Time joinInterval = second; ///< interval at which a member without live peers pings seeds
    int indirectProbes = 3; ///< members that are asked to probe a target which has not acknowledged
    Time baseSuspicionTimeout = 3 * second; ///< multiplied by log10 of the number of members, see suspicionTimeout()
    std::size_t updatesPerMessage = 12;
    /// The members are in several data centres, so each entry names its own. Otherwise an entry without a data centre means that
    /// of the sender, which the receiver takes for its own.
    bool severalDataCentres = false;
    /// Sends updates and digests mostly within the data centre. Each update leaves it through carrierCount members only, and
    /// probes of other data centres are fewer. Otherwise an update crosses a boundary in most of its transmissions, whose
    /// number is about 3 n log n for n members.
    bool preferOwnDataCentre = false;
    /// Number of members of a data centre that carry an update to others, on average. Each member decides by a hash, so that
    /// with 6 no member carries an update in one of 400 cases; a digest repairs that.
    std::size_t carrierCount = 6;
    /// With preferOwnDataCentre, one of this many digests to fetch missing entries goes to any data centre.
    std::size_t digestsPerCrossing = 8;
    /// Number of random members that receive a suspicion, refutation, leave or death immediately. With probes alone, a
    /// refutation needs several seconds to reach all members, which is as long as a suspicion lasts.
    std::size_t urgentFanout = 3;
    /// Each update is sent this many times the natural logarithm of the number of members. With log10, a few members
    /// in 30 missed a refutation at 10% packet loss.
    int retransmitFactor = 3;
    /// Rate limit in bytes per second for updates, digests and all messages other than probes and acknowledgements,
    /// which use about 220 B/s. Together with updateBurstBytes, the average over any minute stays below half of the
    /// 2 KB/s that a node may use.
    std::int64_t updateBytesPerSecond = 400;
    /// Burst allowance in bytes. It holds the entries of 400 members, so that the members of a data centre whose
    /// agents all start at the same time agree within seconds.
    std::int64_t updateBurstBytes = 24'000;
    Time digestInterval = 5 * second; ///< interval at which a probe carries a digest
    Time catchUpInterval = 200 * millisecond; ///< interval of digests while the member lists of peers differ
    Time catchUpRetry = second; ///< interval of digests while lists differ but the last digest brought no update or was lost
    Time reconnectInterval = 5 * second; ///< interval at which a dead member or a seed is pinged, so that partitions heal
    Time deadRetention = 60 * minute; ///< time after which the entry of a dead member is removed
    Time leavingTimeout = 30 * second; ///< time after which a leaving member is declared dead
    /// If two ticks are further apart than this, the process was paused: the probe in progress is dropped and the
    /// timeouts of all suspicions restart, because refutations may still wait unread in the socket.
    Time pauseThreshold = 1500 * millisecond;
    /// A member that has received no message for this time assumes that it is itself isolated and suspects nobody. The
    /// assumption ends after isolationTimeout, so that a real failure of all other members is detected too.
    Time isolationThreshold = 2500 * millisecond;
    Time isolationTimeout = 15 * second;
};

/// Datagram to be sent to another agent. Its size including the authenticator is at most maxDatagramBytes.
struct MemberMessage {
    std::string address; ///< "ip:port"
    wire::PeerMessage message;
};

/// Change of the recorded state of a member.
struct MemberChange {
    Member member; ///< the entry after the change
    std::optional<wire::MemberState::type> before; ///< previous state; none for a new member
};

/// Messages to be sent and state changes to be handled by the caller. The functions below append to it.
struct MembershipOutput {
    std::vector<MemberMessage> messages;
    std::vector<MemberChange> changes;
};

/// The probe of the current probe interval.
struct Probe {
    Id target = 0; ///< instance; 0 if no probe is in progress
    std::int64_t sequence = 0;
    Time sentAt = 0;
    bool indirect = false; ///< true after the indirect probes have been sent
};

/// A probe sent on behalf of another member.
struct ForwardedProbe {
    std::string requester; ///< address that receives the acknowledgement
    std::int64_t requesterSequence = 0;
    Id target = 0;
    Time expiresAt = 0;
};

/// Counters for metrics and measurements.
struct MembershipCounts {
    std::int64_t probes = 0;
    std::int64_t suspicions = 0; ///< suspicions raised by this member's own probes
    std::int64_t refuted = 0; ///< suspicions and deaths of this member that it refuted
    std::int64_t deaths = 0; ///< members declared dead after their suspicion or leave timed out
    std::int64_t pauses = 0; ///< detected pauses of this process
    std::int64_t digestsSent = 0;
    std::int64_t digestsDiffering = 0; ///< received digests that differed from the own member list
};

/// Membership state of one agent.
struct MembershipState {
    MembershipOptions options;
    Member self;
    Random random;
    std::map<Id, Member> members; ///< all known members, including this one and dead ones
    std::vector<std::string> seeds; ///< addresses, "ip:port"
    std::size_t ownDataCentreCount = 0; ///< live members of the own data centre, as of the last round of probes; 0: not known yet
    std::vector<Id> probeOrder; ///< members still to be probed in the current round
    Probe probe;
    Time nextProbeAt = 0;
    Time nextDigestAt = 0;
    Time nextReconnectAt = 0;
    Time nextExpiryCheckAt = 0; ///< earliest time at which a suspicion, a leave or the retention of a dead member may end
    Time lastTickAt = -1;
    Time lastHeardAt = 0; ///< last message from any member
    bool urgentPending = false; ///< urgent updates are sent at the next tick
    std::int64_t digestSequence = 0; ///< sequence number of the last probe with a digest
    bool catchingUp = true; ///< no digest has matched since the last one that differed, so digests are sent more often
    std::int64_t sequence = 0;
    std::map<std::int64_t, ForwardedProbe> forwardedProbes; ///< by own sequence number
    std::map<Id, int> pendingUpdates; ///< members whose state is still disseminated, with the number of transmissions
    double updateBudget = 0; ///< bytes that may be sent now
    Time budgetUpdatedAt = 0;
    bool leaving = false;
    MembershipCounts counts;
};

/// Starts the membership protocol for this instance.
/// @param state with its options set
/// @param self key, name, addresses and data centre of this member
/// @param seeds addresses of agents in the same data centre; the own address is skipped
/// @param randomSeed must differ between members, so that their probes don't all target the same member
/// @param now monotonic time
void startMembership(MembershipState &state, const Member &self, const std::vector<std::string> &seeds, std::uint64_t randomSeed, Time now);

/// Adds the address of an agent to contact, for example from the platform's instance list. Known addresses are ignored.
void addSeed(MembershipState &state, const std::string &address);

/// Immediately pings all seeds whose address belongs to no known member. Without this call, tickMembership() pings one
/// random seed or dead member per MembershipOptions::reconnectInterval.
void contactSeeds(MembershipState &state, Time now, MembershipOutput &out);

/// Pings a known member, also one that is recorded as dead. The ping carries no updates, and a missing acknowledgement has no effect
/// on the member's state. Unknown members are ignored.
void pingMember(MembershipState &state, Id instance, MembershipOutput &out);

/// Sets the incarnation of this instance after its balancer has restarted. Lower values are ignored.
void setIncarnation(MembershipState &state, std::int64_t incarnation, Time now);

/// Handles messages of kind Ping, PingRequest, Ack and Leave; other kinds are ignored.
/// @param message from an authenticated datagram
/// @param from source address of the datagram, to which the reply is sent
void handleMembership(MembershipState &state, const wire::PeerMessage &message, const std::string &from, Time now, MembershipOutput &out);

/// Sends probes and digests, expires suspicions and leaves, and removes old entries of dead members. To be called about
/// every 100 ms.
void tickMembership(MembershipState &state, Time now, MembershipOutput &out);

/// Announces the planned stop of this instance. The agent continues to tick and to reply until its process ends.
void leaveMembership(MembershipState &state, Time now, MembershipOutput &out);

/// @return members that may be given work, ordered by instance: those alive or suspect, including this one unless it
///     is leaving
std::vector<Member> liveMembers(const MembershipState &state);

/// @return the number of members that liveMembers() returns
std::size_t liveCount(const MembershipState &state);

/// @param members number of live members
/// @return time after which a suspected member is declared dead unless it refutes the suspicion
Time suspicionTimeout(const MembershipOptions &options, std::size_t members);

/// Ranks instances by rendezvous hashing. All nodes with the same members compute the same order, and a member that
/// joins or leaves doesn't change the relative order of the others.
/// @param members in any order
/// @param purpose key of the ranking, for example "watcher" or the name of a service; different keys give independent
///     orders
/// @param count maximum number of results
/// @return the highest-ranked instances, first-ranked first
std::vector<InstanceKey> rankInstances(std::span<const InstanceKey> members, std::string_view purpose, std::size_t count);

/// @overload
/// Ranks the live members.
std::vector<InstanceKey> rankInstances(const MembershipState &state, std::string_view purpose, std::size_t count);

} // namespace pimentofold
