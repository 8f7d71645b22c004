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

/// Members of one data centre by SWIM: probes, indirect probes, suspicion, piggybacked updates (section 6 of the
/// design), and digests that repair what the updates have missed.
namespace pimentofold {

/// What is known of a member. Of two entries for one instance the one with the higher incarnation counts, then the
/// higher state version, then the later state in the order Alive, Suspect, Leaving, Dead.
struct Member {
    InstanceKey key;
    wire::MemberState::type state = wire::MemberState::Alive;
    std::string name;
    std::string address; ///< agent's peer address, "ip:port"
    std::string balancerAddress; ///< balancer's peer address, "ip:port"
    std::string dataCentre;
    std::int64_t stateVersion = 0; ///< raised by the member itself to refute a suspicion or a death
    Time stateSince = 0; ///< when this node learned the state
};

/// Parameters; the defaults are those of the design page.
struct MembershipOptions {
    Time probeInterval = second;
    Time probeTimeout = 300 * millisecond; ///< then the indirect probes start
    Time joinInterval = second; ///< a member without peers tries its seeds this often
    int indirectProbes = 3;
    Time baseSuspicionTimeout = 3 * second; ///< times log10 of the number of members; see suspicionTimeout()
    std::size_t updatesPerMessage = 12;
    /// News of a suspicion, a refutation, a leave or a death go to this many random members at once. By probes alone,
    /// a refutation needs several seconds to reach all members, which is as long as the suspicion lasts.
    std::size_t urgentFanout = 3;
    /// An update is sent this often, times the natural logarithm of the number of members. With log10, a few members
    /// in 30 missed a refutation under 10% loss.
    int retransmitFactor = 3;
    /// Bytes a second for updates, digests and messages besides the probes and their acknowledgements, which take
    /// about 220 B/s. Together with a burst the average over any minute stays below half of the 2 KB/s of a node; the
    /// burst holds the entries of 400 members, so that a data centre that starts at once agrees in seconds.
    std::int64_t updateBytesPerSecond = 400;
    std::int64_t updateBurstBytes = 24'000;
    Time digestInterval = 5 * second; ///< a probe carries a digest this often
    Time catchUpInterval = 200 * millisecond; ///< interval of digests while the members differ from those of the peers
    Time catchUpRetry = second; ///< the same when a digest brought nothing or was lost
    Time reconnectInterval = 5 * second; ///< a dead member or a seed is probed this often, so that partitions heal
    Time deadRetention = 60 * minute; ///< dead members are forgotten after this time
    Time leavingTimeout = 30 * second; ///< a leaving member counts as dead after this time
    /// A tick that comes later than this after the last one shows that this process was paused: the open probe is
    /// given up and suspicions start anew, since refutations may wait unread in the socket.
    Time pauseThreshold = 1500 * millisecond;
    /// A member that has heard from nobody for this time takes itself for the faulty one and suspects nobody, but
    /// only until isolationTimeout, so that the failure of all others is noticed too.
    Time isolationThreshold = 2500 * millisecond;
    Time isolationTimeout = 15 * second;
};

/// A datagram for another agent. Its size is at most maxDatagramBytes with the authenticator.
struct MemberMessage {
    std::string address;
    wire::PeerMessage message;
};

/// A change of the state of a member.
struct MemberChange {
    Member member;
    std::optional<wire::MemberState::type> before; ///< none for a member that was unknown
};

/// What a command asks of the program around it. Commands append.
struct MembershipOutput {
    std::vector<MemberMessage> messages;
    std::vector<MemberChange> changes;
};

/// The probe of the current interval.
struct Probe {
    Id target = 0; ///< 0: none is open
    std::int64_t sequence = 0;
    Time sentAt = 0;
    bool indirect = false; ///< the indirect probes are sent
};

/// A probe on behalf of another member.
struct ForwardedProbe {
    std::string requester; ///< address
    std::int64_t requesterSequence = 0;
    Id target = 0;
    Time expiresAt = 0;
};

/// Counts for metrics and measurements.
struct MembershipCounts {
    std::int64_t probes = 0;
    std::int64_t suspicions = 0; ///< suspicions raised by own probes
    std::int64_t refuted = 0; ///< suspicions or deaths of this member that it refuted
    std::int64_t deaths = 0; ///< members declared dead after a suspicion
    std::int64_t pauses = 0;
    std::int64_t digestsSent = 0;
    std::int64_t digestsDiffering = 0;
};

/// State of one agent.
struct MembershipState {
    MembershipOptions options;
    Member self;
    Random random;
    std::map<Id, Member> members; ///< all known, with this one and the dead ones
    std::vector<std::string> seeds; ///< addresses
    std::vector<Id> probeOrder; ///< members still to be probed in this round
    Probe probe;
    Time nextProbeAt = 0;
    Time nextDigestAt = 0;
    Time nextReconnectAt = 0;
    Time nextExpiryCheckAt = 0; ///< when the next suspicion, leave or death may be over
    Time lastTickAt = -1;
    Time lastHeardAt = 0;
    bool urgentPending = false; ///< news are to be sent at the next tick
    std::int64_t digestSequence = 0; ///< of the last probe with a digest
    bool catchingUp = true; ///< no digest has agreed since the last one that differed; digests are sent sooner
    std::int64_t sequence = 0;
    std::map<std::int64_t, ForwardedProbe> forwardedProbes;
    std::map<Id, int> pendingUpdates; ///< members whose state is still to be disseminated, with the number of sendings
    double updateBudget = 0; ///< bytes
    Time budgetUpdatedAt = 0;
    bool leaving = false;
    MembershipCounts counts;
};

/// Starts membership of this instance.
/// @param self key, name, addresses and data centre of this member
/// @param seeds agents' addresses in the same data centre; this member's own address is skipped
/// @param randomSeed differs between members, so that their probes don't fall on the same target at once
void startMembership(MembershipState &state, const Member &self, const std::vector<std::string> &seeds, std::uint64_t randomSeed, Time now);

/// Adds an address to contact, for example of the platform's instance list. Known ones are ignored.
void addSeed(MembershipState &state, const std::string &address);

/// Contacts all seeds that no live member has, at once; otherwise they are tried one after the other.
void contactSeeds(MembershipState &state, Time now, MembershipOutput &out);

/// Takes over the incarnation of a restarted balancer of this instance; lower ones are ignored.
void setIncarnation(MembershipState &state, std::int64_t incarnation, Time now);

/// Takes Ping, PingRequest, Ack and Leave; ignores other kinds.
/// @param message from an authenticated datagram
/// @param from address that the datagram came from; the answer goes there
void handleMembership(MembershipState &state, const wire::PeerMessage &message, const std::string &from, Time now, MembershipOutput &out);

/// Probes, ends suspicions and forgets the dead. To be called about every 100 ms.
void tickMembership(MembershipState &state, Time now, MembershipOutput &out);

/// Announces the planned stop of this instance. The agent continues to tick and to answer until its process ends.
void leaveMembership(MembershipState &state, Time now, MembershipOutput &out);

/// @return members that may be given work: alive or suspect, with this one unless it is leaving, by instance
std::vector<Member> liveMembers(const MembershipState &state);

/// @return the number of live members
std::size_t liveCount(const MembershipState &state);

/// @return how long a suspicion lasts among this number of members
Time suspicionTimeout(const MembershipOptions &options, std::size_t members);

/// Orders instances by rendezvous hash. All nodes with the same members get the same order, and a member that joins
/// or leaves doesn't change the order of the others.
/// @param members in any order
/// @param purpose for example "watcher", or the name of a service; keeps the orders for different uses independent
/// @param count most results
/// @return the instances, first-ranked first
std::vector<InstanceKey> rankInstances(std::span<const InstanceKey> members, std::string_view purpose, std::size_t count);

/// @overload
/// Ranks the live members.
std::vector<InstanceKey> rankInstances(const MembershipState &state, std::string_view purpose, std::size_t count);

} // namespace pimentofold
