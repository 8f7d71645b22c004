#pragma once

#include <cstdint>
#include <map>
#include <set>

#include <pimentofold/targetloss/flowprogress.h>
#include <pimentofold/targetloss/lossevidence.h>
#include <pimentofold/targetloss/lossholders.h>
#include <pimentofold/targetloss/lossverdict.h>

/// State of one node for the detection of lost targets; see targetloss.h.
namespace pimentofold {

/// Settings of the detection of lost targets.
struct TargetLossSettings {
    bool enabled = false;
    /// A route's flows count as carrying several requests for this long after a flow of the route has started a second one.
    Time routeMemory = minute;
    Time resetSpread = 300 * millisecond; ///< idle flows of a lost target are reset at random times within this time
    /// A verdict on a target that has made progress at this node within this time is refused. The owner has seen no progress
    /// for longer than that.
    Time refusalAge = 300 * millisecond;
    /// A request that starts on an old flow of a lost target resets the flow within this time after the verdict. Later on,
    /// a recovery of the target that this node hasn't seen is likely.
    Time requestResetTime = 3 * second;
    /// A process that hasn't run for this long was paused: what it has observed proves nothing. The process's timers expire
    /// every 150 ms.
    Time pauseThreshold = 250 * millisecond;
    Time pauseBacklogTime = 50 * millisecond; ///< verdicts are ignored for this long after a pause, since they may be old
};

/// An idle flow that will be reset.
struct ScheduledReset {
    FlowKey flow;
    std::uint64_t target = 0; ///< id
};

/// A check whether data was repeated when its retransmission was due.
struct AcknowledgementCheck {
    FlowKey flow;
    std::uint64_t target = 0; ///< id
    std::uint32_t sequence = 0; ///< of the data
    Time sentAt = 0; ///< last transmission
};

/// State of the detection of lost targets at one node.
struct TargetLoss {
    TargetLossSettings settings;
    LossEvidence evidence;
    LossVerdicts verdicts;
    FlowHolders holders; ///< of the flows of the targets that this node owns
    std::map<Address, Time> secondRequestAt; ///< by service address of a route: when a flow has last started a further request
    std::set<std::uint64_t> lost; ///< targets that are lost at this node
    std::multimap<Time, ScheduledReset> resets; ///< by time
    std::multimap<Time, AcknowledgementCheck> acknowledgementChecks; ///< by time
    Time pausedUntil = 0; ///< end of the last pause
    Time nextTickAt = never;
};

} // namespace pimentofold
