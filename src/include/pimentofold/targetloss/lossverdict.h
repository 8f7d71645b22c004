#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <pimentofold/targetloss/lossmessages.h>
#include <pimentofold/targetloss/worksummary.h>
#include <pimentofold/targettable.h>

/// Verdict of a target's owner on evidence from all nodes.
///
/// The owner learns of progress at any node, since the nodes report the start of each answer to it. So it can tell a silent
/// target from lost packets: no flow at any node has made progress since the stalls began.
namespace pimentofold {

/// Thresholds of the verdict.
struct VerdictSettings {
    /// Each stalled flow adds one point, and so does a second retransmission of any flow, and an opening packet without an
    /// answer. Two flows with one lost packet each happen on lossy paths to a target whose requests are slow, so two points
    /// aren't enough.
    int minPoints = 3;
    /// The conditions have to hold for this long while the process runs, so that a retransmission that got through is
    /// answered, and progress that waits in this node's socket is read.
    Time settleTime = 100 * millisecond;
    Time maxRunGap = 60 * millisecond; ///< a process that hasn't run for longer starts settleTime again
    Time reportLifetime = 600 * millisecond; ///< a node's report is void after this time unless it is repeated
    /// Reports of stalls and of progress take different times to arrive. A stall counts only if it began this long after the
    /// last progress.
    Time reportSlack = 10 * millisecond;
    Time workInterval = 50 * millisecond; ///< the flows are counted at most once in this time, since there may be tens of thousands
    Time minOwnership = 300 * millisecond; ///< a new owner doesn't know the progress of requests that started before
    Time recoveryHold = 2 * second; ///< no verdict on a target for this long after it has recovered
    /// A data centre is in contact while its nodes are heard without longer gaps. Its nodes would have reported progress.
    Time contactAge = 250 * millisecond;
    /// An entry that was removed while the store answers comes back within 2 s if the target is alive. The node that follows
    /// the store notices a silent store up to 3 s later.
    Time removalProofTime = 5 * second;
    Time removalScanInterval = 500 * millisecond;
    Time verdictJoinTime = 50 * millisecond; ///< verdicts within this time share a broadcast
    /// Least time between two broadcasts. Verdicts that are due within this time are sent earlier, with those that are due now.
    Time broadcastInterval = 100 * millisecond;
    Time repeatTime = 300 * millisecond; ///< a broadcast is repeated once after this time
    Time contradictionWindow = second; ///< see isMostlyContradicted() in the source file
    Time lossWindow = 3 * second; ///< contradicted evidence raises the number of needed points for this long
};

/// Report of one node on one target.
struct LossReport {
    Id node = 0;
    std::string dataCentre; ///< of the node
    int stalledFlows = 0;
    int retransmissions = 0;
    Time since = 0; ///< when the oldest stall began, on this node's clock
    Time receivedAt = 0;
};

/// A target with evidence against it.
struct SuspectedTarget {
    std::int64_t startedAt = 0; ///< incarnation
    std::vector<LossReport> reports; ///< one of each node
    Time conditionsSince = never; ///< since when all conditions hold; never: they don't
    Time unreachableUntil = 0; ///< the verdict "unreachable" isn't repeated before this time
    Time contradictedAt = 0; ///< when progress has last contradicted evidence; 0: never
};

/// A verdict that is being broadcast.
struct PendingVerdict {
    LostTarget lost;
    Time dueAt = 0;
    bool repeated = false;
};

/// Messages from the nodes of one data centre.
struct DataCentreContact {
    Time heardAt = 0; ///< last message
    Time since = 0; ///< start of the period without gaps longer than contactAge
};

/// What this node knows of the store.
struct StoreContact {
    Time answeringSince = never; ///< never: the store doesn't answer
    Time confirmedAt = 0; ///< latest time at which the entries known here were the store's entries
};

/// State of the verdicts at one node as owner of targets.
struct LossVerdicts {
    VerdictSettings settings;
    std::string dataCentre; ///< of this node
    std::map<std::uint64_t, SuspectedTarget> suspected; ///< by target
    std::map<std::uint64_t, Time> lostStallsSince; ///< by lost target: since when its flows had stalled at the verdict
    std::unordered_map<std::uint64_t, Time> ownedSince; ///< by target; only those that this node owns
    std::map<std::string, DataCentreContact> contacts; ///< by data centre
    std::vector<PendingVerdict> pending;
    WorkSummary work; ///< as of workAt
    Time workAt = 0;
    Time nextBroadcastAt = 0; ///< no broadcast before this time
    StoreContact store;
    Time lastRunAt = 0;
    Time nextRemovalScanAt = 0;
};

/// What tickVerdicts() asks about the flows of this node.
struct VerdictQueries {
    std::function<bool(const std::string &service)> keepsFlows; ///< whether the flows of a service carry more than one request
    std::function<WorkSummary()> work; ///< requests in progress on the targets that this node owns
};

/// A new verdict with its evidence.
struct GivenVerdict {
    LostTarget lost;
    int stalledFlows = 0;
    int reportingNodes = 0; ///< 0: the verdict follows from the missing entry of the target
};

/// A decision of tickVerdicts().
struct VerdictOutput {
    std::vector<GivenVerdict> verdicts; ///< in force at this node now
    std::vector<LostTarget> broadcast; ///< new or repeated verdicts to be sent now; recipientsOf() determines the receivers
};

/// Records which targets this node owns, for minOwnership.
void recordOwnership(LossVerdicts &verdicts, const TargetTable &table, Time now);

/// Records that a node of a data centre has been heard.
void recordContact(LossVerdicts &verdicts, const std::string &dataCentre, Time now);

/// Records whether the store answers the node that follows it, as far as this node knows.
/// @param confirmedAt latest time at which the entries known here were the store's entries
void recordStoreContact(LossVerdicts &verdicts, bool answering, Time confirmedAt, Time now);

/// Records a node's evidence against a target that this node owns. Evidence on another incarnation is ignored.
/// @return whether the target is newly suspected
bool recordEvidence(LossVerdicts &verdicts, TargetTable &table, const TargetEvidence &evidence, Id node, const std::string &dataCentre, Time now);

/// Forgets all evidence and pending verdicts, since this process was paused.
void clearVerdicts(LossVerdicts &verdicts);

/// Decides on suspected targets and on those whose entries are gone.
VerdictOutput tickVerdicts(LossVerdicts &verdicts, TargetTable &table, const VerdictQueries &queries, Time now);

/// @return whether tickVerdicts() has to be called soon
bool hasOpenCases(const LossVerdicts &verdicts);

} // namespace pimentofold
