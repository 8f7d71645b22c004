#pragma once

#include <pimentofold/outlier/outlierstate.h>

/// Measurement of requests. Internal to outlier detection.
namespace pimentofold {

struct EdgeTarget;
struct TargetTable;

/// Drops the requests at work after a pause of this process, because the times of their answers aren't known. Has to be called
/// before anything is recorded or judged.
void checkForPause(OutlierDetection &detection, Time now);

/// @return whether the times of the target's requests tell something about the target now: it is owned by this node, accepts
///         new flows, and is neither cold nor suspected
bool isMeasured(const TargetTable &table, const EdgeTarget &target, Time now);

/// @return time since the start, divided by the request's place in the queue
Time durationOf(const MeasuredRequest &request, Time now);

/// Records the result of a trial request on an ejected target.
void endTrial(EdgeTarget &target, TargetHistory &history, bool passed, Time now);

/// Records that a request has got no answer within OutlierSettings::requestTimeout.
void endUnanswered(TargetTable &table, const FlowKey &flow, Time now);

} // namespace pimentofold
