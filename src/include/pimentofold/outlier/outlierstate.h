#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pimentofold/address.h>
#include <pimentofold/flowpacket.h>
#include <pimentofold/types.h>

/// State of outlier detection; see outlier.h.
namespace pimentofold {

/// Settings of outlier detection.
struct OutlierSettings {
    bool enabled = false;
    int suspectThreshold = 2; ///< as PlacementSettings::suspectThreshold
    Time requestTimeout = 3 * second; ///< a request without a notice counts as unanswered after this time, see DispatchSettings::workTimeout
    std::size_t maxRequests = 8192; ///< requests at work that are measured; further ones aren't
};

/// Why a target was ejected.
enum class EjectionReason {
    Unanswered, ///< many of its requests are overdue
    Slow, ///< its requests take several times as long as those of its peers
};

constexpr std::size_t ejectionReasonCount = 2;

/// @return "unanswered" or "slow"
std::string_view name(EjectionReason reason);

/// Part of EdgeTarget: what placement has to know. Only changed at the node that owns the target.
struct TargetPerformance {
    double slowdown = 1; ///< factor on the expected time of its requests, against the median of its peers
    bool ejected = false;
    Time nextTrialAt = 0; ///< ejected: no trial request before this time
    Time returnedAt = never; ///< end of the last ejection; its share of new flows grows from then on; `never`: none, or long ago
};

/// A request at work.
struct MeasuredRequest {
    std::uint64_t target = 0; ///< id
    Time startedAt = 0;
    double queuePlace = 1; ///< requests at work on the target for each of its slots at the start, at least 1
    bool trial = false; ///< started on an ejected target
};

/// A request that has ended.
struct RequestSample {
    Time endedAt = 0;
    Time duration = 0; ///< until the first byte of the answer, divided by MeasuredRequest::queuePlace
    Address service; ///< address of its route
    std::uint32_t caller = 0; ///< IP address
};

/// Recent requests and ejections of one target.
struct TargetHistory {
    std::int64_t startedAt = 0; ///< incarnation of the target that the rest belongs to
    std::vector<RequestSample> samples; ///< oldest first
    Time evidenceSince = 0; ///< requests that started earlier aren't held against the target
    Time lastSampleAt = 0;
    Time slowSince = never; ///< `never`: its relative time is below the limit
    EjectionReason reason = EjectionReason::Unanswered; ///< of the last ejection
    Time ejectedAt = never; ///< start of the last ejection; `never`: none
    int recentEjections = 0; ///< each within ejectionMemory of the one before
    Time trialInterval = 0;
    int trialsPassed = 0; ///< in a row
    // Of the last tick, for events.
    double relativeTime = 1; ///< against the median of its peers
    double overdueShare = 0;
};

/// Times of a route's answered requests on all targets that this node owns.
struct RouteTimes {
    struct Entry {
        Time at = 0;
        Time duration = 0; ///< see RequestSample
    };
    std::vector<Entry> entries; ///< ring
    std::size_t next = 0; ///< index of the oldest entry once the ring is full
    // Of the last tick. 0: too few requests.
    Time median = 0;
    Time usual = 0; ///< a request is answered in the usual time up to this duration
    Time overdue = 0; ///< a request is overdue above this duration
};

/// Load of a service on the targets that this node owns.
struct ServiceLoad {
    double working = 0; ///< moving average of the requests at work, without overdue ones
    Time roomShortSince = never; ///< since when too many targets are ejected for the load; `never`: they aren't
};

/// State of outlier detection at one node. Part of TargetTable.
struct OutlierDetection {
    OutlierSettings settings;
    std::unordered_map<FlowKey, MeasuredRequest> requests; ///< at most one for each flow
    std::map<Address, RouteTimes> routes; ///< by service address
    std::map<std::uint64_t, TargetHistory> targets; ///< by id; of the targets that this node owns
    std::map<std::string, ServiceLoad, std::less<>> services; ///< by name; those with targets in `targets`
    Time lastRunAt = 0; ///< last call of a function that records or judges
    Time measuredFrom = 0; ///< requests that start earlier aren't measured, see the pause in outlier.h
    Time nextTickAt = never;
    std::size_t ejectedCount = 0; ///< targets that are ejected now
    std::array<std::int64_t, ejectionReasonCount> ejections{}; ///< by EjectionReason
};

/// The start or end of an ejection, for the log.
struct OutlierEvent {
    bool ejected = false; ///< false: the target has returned
    bool byTrials = false; ///< returned after its trials, not because the others have too little room
    std::uint64_t target = 0; ///< id
    std::string service;
    EjectionReason reason = EjectionReason::Unanswered;
    double relativeTime = 1;
    double overdueShare = 0;
    std::size_t peers = 0; ///< other targets of the service that were judged
};

} // namespace pimentofold
