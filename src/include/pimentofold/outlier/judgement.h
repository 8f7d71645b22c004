#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <pimentofold/outlier/outlierstate.h>

/// Comparison of the targets of one service. Internal to outlier detection.
namespace pimentofold {

struct EdgeTarget;

/// The recent requests of one target.
struct Judgement {
    EdgeTarget *target = nullptr;
    TargetHistory *history = nullptr;
    std::size_t samples = 0; ///< requests that have ended
    int requests = 0; ///< `samples` and the overdue ones without an answer
    int overdue = 0;
    // Without the requests of the caller that has the most overdue or slow ones, so that no single caller decides.
    double othersOverdueShare = 0; ///< 0 also with too few requests of others, or when overdueShare() is below the limit anyway
    double othersTime = 0; ///< as relativeTime; 0: too few requests of others, or relativeTime is far below the limit anyway
    /// Median of the requests' times against their routes' medians, after compareTargets() divided by the median of the targets;
    /// 0: too few requests, or no peers.
    double relativeTime = 0;

    double overdueShare() const
    {
        return requests == 0 ? 0 : static_cast<double>(overdue) / requests;
    }
};

/// IP addresses of the callers of a target's overdue requests at work, one for each request.
using OverdueCallers = std::vector<std::uint32_t>;

/// Judges one target by itself.
/// @param overdue its overdue requests at work; nullptr: none
Judgement judgeTarget(const OutlierDetection &detection, EdgeTarget &target, TargetHistory &history, const OverdueCallers *overdue, Time now);

/// Divides the relative times by the median of the targets, and stores the results in the targets' histories and performance.
void compareTargets(std::vector<Judgement> &judged, Time now);

/// A target that is to be ejected.
struct EjectionCandidate {
    Judgement *judged = nullptr;
    EjectionReason reason = EjectionReason::Unanswered;
    double severity = 0; ///< overdue share or relative time divided by its limit, at least 1
};

/// @param judged targets of one service that aren't ejected, after compareTargets()
/// @return the outliers, worst first
std::vector<EjectionCandidate> findOutliers(std::vector<Judgement> &judged, Time now);

} // namespace pimentofold
