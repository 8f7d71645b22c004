#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <pimentofold/configreplication/configstore.h>
#include <pimentofold/membership/membership.h>
#include <pimentofold/platformwatch.h>
#include <pimentofold/random.h>
#include <pimentofold/types.h>

#include "view_types.h"

/// The status object of a data centre: for each member, the configuration that its balancer has in force. Members send
/// InForce reports to the first-ranked member (the writer), which aggregates them and writes the object to the platform.
namespace pimentofold {

/// Minimum interval between the reports of a member whose configuration changes.
constexpr Time reportInterval = 2 * second;
/// Interval at which a member repeats an unchanged report, so that a restarted writer receives it.
constexpr Time reportRefreshInterval = 30 * second;
/// Minimum interval between writes of the status object.
constexpr Time statusInterval = 2 * second;
/// Minimum interval between writes if only load values (inUse and refused) have changed. It keeps the write rate of a
/// large fleet within what the platform accepts.
constexpr Time loadStatusInterval = 30 * second;
/// Maximum number of object heads in one report. The heads are those of the most recently changed objects.
constexpr std::size_t maxHeadsPerReport = 16;

/// Aggregated reports of one instance.
struct InstanceReport {
    std::int64_t generation = 0; ///< generation of the view in force; 0 if there is none
    std::uint64_t rootDigest = 0; ///< ConfigStore::rootDigest of the objects that the view was built from
    std::int64_t refused = 0;
    std::map<ObjectKey, std::int64_t> versions; ///< highest version of each object in the heads of all reports so far
};

/// Latest reports by instance.
struct StatusReports {
    std::map<Id, InstanceReport> instances;
};

/// @return "alive", "suspect", "leaving" or "dead"
std::string_view name(wire::MemberState::type state);

/// Records the report in an InForce message; other kinds are ignored.
void handleInForceReport(StatusReports &reports, const wire::PeerMessage &message);

/// Removes the reports of instances that are not in @p members.
void eraseDepartedInstances(StatusReports &reports, const std::vector<Member> &members);

/// Input for statusValue() besides the reports.
struct StatusInput {
    const ConfigStore *store = nullptr; ///< must not be null
    std::vector<Member> members; ///< all members that are not dead
    bool platformReachable = false;
    const wire::NodeView *view = nullptr; ///< names and services of the targets; without a view no target is listed
    std::map<Id, wire::TargetObservation> observations; ///< by target
};

/// @return the value of the status object without "writtenAt" and "revision"; changes of these two fields alone don't
///     require a write
nlohmann::json statusValue(const StatusReports &reports, const StatusInput &input);

/// Schedule of a member's reports to the writer.
struct InForceReporter {
    wire::InForceReport last; ///< report sent last
    Id writer = 0; ///< instance that the last report was sent to
    Time nextAt = 0; ///< earliest time of a changed report
    Time refreshAt = 0; ///< time of an unchanged report
};

/// @param writer instance of the current writer
/// @return whether a report is due: because it or the writer has changed, or because reportRefreshInterval has passed
bool isReportDue(const InForceReporter &reporter, const wire::InForceReport &report, Id writer, Time now);

/// Records that a report was sent and schedules the next one.
void recordSentReport(InForceReporter &reporter, const wire::InForceReport &report, Id writer, Time now);

/// State of the conditional writes of the status object.
struct StatusWriter {
    nlohmann::json written; ///< value written last, as returned by statusValue()
    nlohmann::json writing; ///< value of the write in progress
    bool busy = false; ///< a write is in progress
    std::int64_t version = 0; ///< last known version of the object, the condition of the next write
    std::string changeId; ///< change id of the last write
    Time nextAt = 0; ///< earliest time of the next write
    Time nextLoadAt = 0; ///< earliest time of a write that changes load values only
    int failures = 0; ///< consecutive failed writes, conflicts not included
};

/// Result of a write.
struct StatusWriteResult {
    int status = 0; ///< HTTP status; 0 without a response
    std::int64_t version = 0; ///< version of the object in the response
    std::string changeId; ///< change id of the object in the response
};

/// @return whether the value should be written now
bool isStatusWriteDue(const StatusWriter &writer, const nlohmann::json &value, Time now);

/// Records the start of a write.
/// @param changeId unique among all writes
void startStatusWrite(StatusWriter &writer, const nlohmann::json &value, const std::string &changeId, Time now);

/// Records the result of a write. A conflict (409) with an object that has the change id of this write means that the
/// write took effect but its response was lost. After any other conflict, the next write uses the version of the object
/// in the response. After a failure, the next write is delayed by backOffDelay().
void finishStatusWrite(StatusWriter &writer, const StatusWriteResult &result, Time now, Random &random);

} // namespace pimentofold
