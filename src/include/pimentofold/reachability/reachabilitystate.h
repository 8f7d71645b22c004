#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pimentofold/address.h>
#include <pimentofold/types.h>

/// Evidence of whether this node reaches the other data centres. An attempt is an opening packet offered to a target, one relayed
/// to a dispatcher, or a ping to a node. Anything heard from a target or node of a data centre clears its evidence.
///
///     recordAttempt(state, dataCentre, peer, now);
///     recordHeard(state, dataCentre, now);
///     updateEvidence(state, now, pings);    // at nextEvidenceUpdate()
namespace pimentofold {

/// A data centre counts as unreachable when nothing was heard from it for this long, and attempts of this time are unanswered.
constexpr Time unreachableSilence = 500 * millisecond;
/// A younger attempt may still be answered. Covers transit times, callers' reactions and delays of small instances.
constexpr Time attemptAnswerTime = 100 * millisecond;
/// Attempts without an answer that make a data centre unreachable, and the number of different targets or nodes among them.
constexpr std::size_t minAttempts = 8;
constexpr std::size_t minPeers = 3;
/// Nodes of a data centre that has been silent for this long are pinged if it leaves an attempt unanswered.
constexpr Time pingAfterSilence = 200 * millisecond;
/// With this interval a node with a single opening collects enough attempts before unreachableSilence has passed.
constexpr Time suspicionPingInterval = 25 * millisecond;
/// Interval of pings, and of single openings as probes, to an unreachable data centre.
constexpr Time unreachableProbeInterval = 200 * millisecond;
/// Attempts closer to the previous one aren't recorded, so that the recorded ones cover a sufficient time under any load.
constexpr Time attemptSpacing = 10 * millisecond;
/// Evidence is kept for at most this many data centres. The largest planned system has 36.
constexpr std::size_t maxDataCentres = 64;

/// An attempt to reach a target or node.
struct ReachabilityAttempt {
    std::uint64_t peer = 0; ///< id of the target or node
    Time at = 0;
};

/// Number of events within the last 0.5 to 1 s.
struct RecentCount {
    std::int64_t interval = 0; ///< number of the half second of `current`
    int current = 0;
    int previous = 0; ///< of the half second before
};

/// What this node knows of its way to one data centre.
struct DataCentreReachability {
    static constexpr std::size_t maxAttempts = 32;

    Time lastHeardAt = 0;
    Time firstAttemptAt = never; ///< of the unanswered attempts; never: none
    std::array<ReachabilityAttempt, maxAttempts> attempts; ///< the last unanswered ones, a ring
    std::size_t attemptCount = 0; ///< unanswered attempts recorded; the ring holds the last maxAttempts of them
    Time unreachableSince = never; ///< never: reachable
    Time nextPingAt = 0;
    Time nextOpeningProbeAt = 0; ///< when a target there may get an opening although it is unreachable
    std::vector<Id> nodes; ///< nodes there that may be pinged
    std::size_t nextNode = 0;
    RecentCount answers; ///< requests that targets there have answered on flows through this node
};

/// Openings of one route at this node.
struct RouteOpenings {
    RecentCount openings;
    Time lastAt = 0;
    bool stranded = false; ///< no target is left that is neither evacuated nor unreachable
};

/// Another node that may be running.
struct OtherNode {
    std::string dataCentre;
    bool live = true; ///< false: the membership has declared it dead, perhaps because it can't be reached
};

/// State of reachability at one node.
struct Reachability {
    bool enabled = false;
    std::map<std::string, DataCentreReachability, std::less<>> dataCentres;
    std::unordered_map<Id, OtherNode> otherNodes;
    std::map<Address, RouteOpenings> routes; ///< with openings within the last seconds, by service address
    std::size_t unreachableCount = 0; ///< number of unreachable data centres
    bool changed = false; ///< a data centre has become reachable or unreachable since the last tickReachability()
    Time notReadySince = never; ///< never: the node is ready as far as reachability goes
    int openingsAtDecision = 0; ///< openings per second without a target, when the node last became not ready
    int answersAtDecision = 0; ///< answered requests per second at that time
    Time nextEvaluationAt = never; ///< when the routes are examined again; never: not needed
    Time nextPruneAt = 0;
};

/// Counts an event.
void addEvent(RecentCount &count, Time now);
/// @return number of events within the last 0.5 to 1 s
int recentEvents(const RecentCount &count, Time now);

/// Records an attempt to reach a target or node of a data centre. No effect while reachability is off.
void recordAttempt(Reachability &state, std::string_view dataCentre, std::uint64_t peer, Time now);

/// Records a sign of life from a target or node of a data centre, which ends its being unreachable.
void recordHeard(Reachability &state, std::string_view dataCentre, Time now);

/// Records a message from a node. Unknown nodes are ignored.
void recordHeardFromNode(Reachability &state, Id node, Time now);

/// @return whether the data centre is unreachable
bool isUnreachable(const Reachability &state, std::string_view dataCentre);

/// @return whether the node is known and in an unreachable data centre
bool isUnreachableNode(const Reachability &state, Id node);

/// Replaces the other nodes. Those that aren't live are pinged only where a data centre has no live one.
void setNodes(Reachability &state, std::unordered_map<Id, OtherNode> nodes);

/// Discards the evidence of all data centres, because this process was paused and answers may wait unread in its sockets.
void restartEvidence(Reachability &state, Time now);

/// Decides which data centres have become unreachable, and appends the nodes to be pinged.
void updateEvidence(Reachability &state, Time now, std::vector<Id> &pings);

/// @return when updateEvidence() has to be called next
Time nextEvidenceUpdate(const Reachability &state);

/// @return names of the unreachable data centres
std::vector<std::string> unreachableDataCentres(const Reachability &state);

} // namespace pimentofold
