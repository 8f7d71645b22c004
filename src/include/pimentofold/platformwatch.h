#pragma once

#include <cstdint>
#include <vector>

#include <pimentofold/configreplication/configstore.h>
#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// Schedule of the calls to the platform: long polls of a watcher, and exponential back-off with full jitter after
/// failures.
namespace pimentofold {

/// Time in seconds for which the platform may hold one long poll open.
constexpr int watchWaitSeconds = 25;
/// A long poll without a response within this time after its start counts as failed.
constexpr Time watchTimeout = (watchWaitSeconds + 5) * second;
/// An attempt to connect to the platform fails after this time. Each long poll opens a new connection, because a
/// persistent connection may have been lost in a partition without notice.
constexpr Time platformConnectTimeout = 2 * second;
/// Minimum interval between the starts of two polls of a watcher, so that a burst of changes costs few calls.
constexpr Time minWatchInterval = 500 * millisecond;

/// Upper bound of the delay after the first failure, and after any number of failures.
constexpr Time minBackOff = 200 * millisecond;
constexpr Time maxBackOff = 10 * second;

/// @param failures consecutive failures, at least 1
/// @return a uniformly random delay of at most minBackOff doubled for each failure after the first, limited to maxBackOff
Time backOffDelay(int failures, Random &random);

/// Parameters of a long poll, GET /v1/objects?since=REVISION&wait=SECONDS.
struct WatchRequest {
    std::int64_t since = 0; ///< revision; the platform returns the objects changed after it
    int waitSeconds = watchWaitSeconds;
};

/// The platform's response to a long poll, or its failure.
struct WatchResponse {
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<ConfigObjectPointer> objects;
};

/// State of the long polls of one agent.
struct PlatformWatch {
    bool polling = false; ///< a poll is in progress
    bool reachable = false; ///< the last call succeeded
    Time startedAt = 0; ///< start of the last poll
    Time nextAt = 0; ///< earliest start of the next poll
    int failures = 0; ///< consecutive failures
    std::int64_t revision = 0; ///< platform revision up to which this agent holds all objects; never decreases
    std::int64_t polls = 0; ///< polls started
    std::int64_t staleResponses = 0; ///< responses that were rejected because their revision was older than a known one
};

/// @return whether a poll should be started now
bool isPollDue(const PlatformWatch &watch, Time now);

/// Records the start of a poll.
/// @return parameters of the poll
WatchRequest startPoll(PlatformWatch &watch, Time now);

/// Records the end of a poll. A failure or a stale response delays the next poll by backOffDelay().
/// @return whether the response may be used, i.e. the poll succeeded and the revision isn't older than a known one
bool finishPoll(PlatformWatch &watch, const WatchResponse &response, Time now, Random &random);

/// Shortens a back-off of several failures to that of one failure. To be called when a new object was received from a
/// peer, which indicates that the platform is reachable again.
void shortenBackOff(PlatformWatch &watch, Time now, Random &random);

} // namespace pimentofold
