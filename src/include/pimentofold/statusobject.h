#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <pimentofold/configstore.h>
#include <pimentofold/membership.h>
#include <pimentofold/platformwatch.h>
#include <pimentofold/random.h>
#include <pimentofold/types.h>

#include "view_types.h"

/// The status object of a data centre: what each member has in force, collected and written by the first-ranked
/// member.
namespace pimentofold {

/// Members report changes at most this often.
constexpr Time reportInterval = 2 * second;
/// Without a change a member repeats its report this often, for a writer that has restarted.
constexpr Time reportRefreshInterval = 30 * second;
/// The status object is written at most this often.
constexpr Time statusInterval = 2 * second;
/// Changes of load alone (inUse and refused) are written only this often, so that the writes of a large fleet stay
/// within what the platform accepts.
constexpr Time loadStatusInterval = 30 * second;
/// Heads in one report, at most: those of the objects that changed last.
constexpr std::size_t maxHeadsPerReport = 16;

/// What one member has reported.
struct InstanceReport {
    std::int64_t generation = 0;
    std::uint64_t rootDigest = 0;
    std::int64_t refused = 0;
    std::map<ObjectKey, std::int64_t> versions; ///< collected from the heads of its reports
};

/// Reports by instance.
struct StatusReports {
    std::map<Id, InstanceReport> instances;
};

/// @return "alive", "suspect", "leaving" or "dead"
std::string_view name(wire::MemberState::type state);

/// Takes an InForce message; ignores other kinds.
void handleInForceReport(StatusReports &reports, const wire::PeerMessage &message);

/// Forgets instances that aren't members any more.
void eraseDepartedInstances(StatusReports &reports, const std::vector<Member> &members);

/// What the status object is made from.
struct StatusInput {
    const ConfigStore *store = nullptr;
    std::vector<Member> members; ///< all but the dead ones
    bool platformReachable = false;
    const wire::NodeView *view = nullptr; ///< names the targets; null without one
    std::map<Id, wire::TargetObservation> observations;
};

/// @return the value of the status object without "writtenAt" and "revision", which change without need for a write
nlohmann::json statusValue(const StatusReports &reports, const StatusInput &input);

/// When this member reports to the writer.
struct InForceReporter {
    wire::InForceReport last;
    Id writer = 0;
    Time nextAt = 0;
    Time refreshAt = 0;
};

/// @return whether a report is due: it has changed or hasn't been sent for long
bool isReportDue(const InForceReporter &reporter, const wire::InForceReport &report, Id writer, Time now);

/// Notes that a report was sent.
void recordSentReport(InForceReporter &reporter, const wire::InForceReport &report, Id writer, Time now);

/// The conditional writes of one writer.
struct StatusWriter {
    nlohmann::json written; ///< as made by statusValue()
    nlohmann::json writing; ///< as long as a write is under way
    bool busy = false;
    std::int64_t version = 0; ///< of the object, as far as known
    std::string changeId; ///< of the last write
    Time nextAt = 0;
    Time nextLoadAt = 0;
    int failures = 0;
};

/// Result of a write: the HTTP status, 0 without an answer, and the object that the answer carried.
struct StatusWriteResult {
    int status = 0;
    std::int64_t version = 0;
    std::string changeId;
};

/// @return whether the value should be written now
bool isStatusWriteDue(const StatusWriter &writer, const nlohmann::json &value, Time now);

/// Marks a write as started.
/// @param changeId unique among all writes
void startStatusWrite(StatusWriter &writer, const nlohmann::json &value, const std::string &changeId, Time now);

/// Takes the end of a write. A conflict with an object that has the writer's own change id means that the write took
/// effect and its answer was lost; after another conflict the next write uses the version of the present object.
void finishStatusWrite(StatusWriter &writer, const StatusWriteResult &result, Time now, Random &random);

} // namespace pimentofold
