#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/outlier/outlierstate.h>

/// Outlier detection: the owner of targets, the dispatcher that places their flows, compares each with the other targets of its
/// service. A target that takes longer than its peers gets fewer new flows. A target that leaves far more requests unanswered,
/// or takes several times as long, is ejected: it gets only trial requests until it answers these in the usual time.
///
///     recordRequestStarted(table, flow, target, now);    // on placements and notices of work
///     recordRequestAnswered(table, flow, target.record.id, now);
///     tickOutlierDetection(table, now, events);          // at nextOutlierTick()
///     isEjected(target, type, now), expectedSlowdown(target, now)    // in placement
///
/// Requests are compared with requests of the same route only, and targets with targets of the same service. Nothing is
/// exchanged between nodes, and the state is lost with the owner. After a pause of the process (maxRunGap), all requests at work
/// are dropped from measurement, because the times of their answers aren't known.
namespace pimentofold {

struct EdgeTarget;
struct TargetTable;

constexpr Time outlierTickInterval = 100 * millisecond;
/// Requests of this time are judged; if they are fewer than minSamples, the last minSamples within maxSampleAge.
constexpr Time sampleWindow = 2 * second;
constexpr Time maxSampleAge = 10 * second;
constexpr std::size_t minSamples = 5;
/// Samples that are kept of one target.
constexpr std::size_t maxSamples = 96;
/// Bounds of the factor on the expected work.
constexpr double minSlowdown = 0.5;
constexpr double maxSlowdown = 8;
/// A request is overdue at this multiple of the route's 95th percentile, but not before minOverdueTime.
constexpr double overdueFactor = 3;
constexpr Time minOverdueTime = 300 * millisecond;
/// Bound of the 95th percentile as multiple of the median. More than a twentieth of the requests hang while a service has many
/// bad targets, so the percentile itself would rise to the time that they hang. That of exponentially distributed times is 4.3.
constexpr double maxPercentileRatio = 4.5;
/// Limits for an ejection.
constexpr double ejectionShare = 0.25; ///< overdue share
constexpr double peerShareFactor = 3; ///< overdue share against that of the peers
constexpr int minOverdueRequests = 3; ///< single overdue requests occur under heavy load at healthy targets too
constexpr double ejectionSlowdown = 5; ///< relative time
constexpr Time minSlowTime = second; ///< for which the relative time is above the limit
/// An ejected target gets a trial with this interval, which doubles after each trial that fails.
constexpr Time minTrialInterval = 500 * millisecond;
constexpr Time maxTrialInterval = 4 * second;
constexpr int trialsToReturn = 3;
/// Requests that must not run twice are used as trials only when no other one has come within this time.
constexpr Time unsafeTrialDelay = 500 * millisecond;
/// After its return, the share of new flows that a target gets grows for this time.
constexpr Time returnTime = second;
/// An ejection within this time after the previous one doubles the pause before the first trial, up to maxEjectionPause.
constexpr Time ejectionMemory = 30 * second;
constexpr Time maxEjectionPause = 8 * second;
/// At most one of this many targets is ejected.
constexpr std::size_t ejectionDivisor = 3;
/// The slots of the targets that aren't ejected are at least this multiple of the requests at work on the service.
constexpr double minRoom = 1.25;
/// Room that is too small for this long ends ejections. Shorter bursts are waited out.
constexpr Time roomShortLimit = 500 * millisecond;
/// A gap of this length between two calls counts as a pause of the process.
constexpr Time maxRunGap = 250 * millisecond;

/// Starts the measurement of a request on a target that this node owns, after the request has been counted in
/// EdgeTarget::workingFlows. A request that is measured already on the flow is replaced.
void recordRequestStarted(TargetTable &table, const FlowKey &flow, EdgeTarget &target, Time now);

/// Records the first byte of an answer.
/// @param target id of the target that has answered; a request that was measured on another one is dropped
void recordRequestAnswered(TargetTable &table, const FlowKey &flow, std::uint64_t target, Time now);

/// Records the end of a flow. Its request counts like an answered one, because the caller may close the flow with the packet that
/// acknowledges the answer. If the caller has given up, the time says so.
/// @param target id; 0 if it isn't known or the flow was placed elsewhere: the request is dropped
void recordRequestEnded(TargetTable &table, const FlowKey &flow, std::uint64_t target, Time now);

/// Stops the measurement of the flow's request, if there is one, without a result.
void dropRequest(TargetTable &table, const FlowKey &flow);

/// Judges the targets, ejects outliers and lets targets return.
void tickOutlierDetection(TargetTable &table, Time now, std::vector<OutlierEvent> &events);

/// @return when tickOutlierDetection() has to be called next
Time nextOutlierTick(const TargetTable &table);

/// @return whether the target must not get a flow of this type because it is ejected. False when a trial is due.
bool isEjected(const EdgeTarget &target, RouteType type, Time now);

/// @return factor on the work that is expected at the target, for the comparison with other targets. 0 when a trial is due, so
///         that the target gets it.
double expectedSlowdown(const EdgeTarget &target, Time now);

/// @param work load of the target with a new flow, in flows
/// @param flowsPerSlot see hasRoom()
/// @return the load multiplied by expectedSlowdown(). A target with a free slot doesn't rank behind those without room, and a
///         target without room doesn't rank before others because it is fast.
double expectedWork(const EdgeTarget &target, double work, double flowsPerSlot, Time now);

/// @param relativeTime time of a target's requests, 1 is the median of its peers
/// @param samples number of requests that it was determined from
/// @return the factor on the expected work: 1 as long as the difference may be chance
double slowdownOf(double relativeTime, std::size_t samples);

} // namespace pimentofold
