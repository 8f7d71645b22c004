#pragma once

#include <cstdint>
#include <vector>

#include <pimentofold/configstore.h>
#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// When to call the platform: long polls of a watcher, and back-off with full jitter after errors.
namespace pimentofold {

/// Longest wait of one long poll, in seconds.
constexpr int watchWaitSeconds = 25;
/// An answer that has not come by then after the start of a long poll counts as an error.
constexpr Time watchTimeout = (watchWaitSeconds + 5) * second;
/// A connection to the platform that isn't open by then counts as an error. Long polls open a connection each, since
/// a kept one may have died in a partition without notice.
constexpr Time platformConnectTimeout = 2 * second;
/// Polls of one watcher start at least this far apart, so that a burst of changes costs few calls.
constexpr Time minWatchInterval = 500 * millisecond;

/// Range of the back-off after errors.
constexpr Time minBackOff = 200 * millisecond;
constexpr Time maxBackOff = 10 * second;

/// @param failures in a row, at least 1
/// @return a random delay up to leastBackOff doubled for each further failure, at most mostBackOff
Time backOffDelay(int failures, Random &random);

/// A long poll to be sent: GET /v1/objects?since=REVISION&wait=SECONDS.
struct WatchRequest {
    std::int64_t since = 0;
    int waitSeconds = watchWaitSeconds;
};

/// The platform's answer to a long poll, or its failure.
struct WatchResponse {
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<ConfigObjectPointer> objects;
};

/// The long polls of one agent.
struct PlatformWatch {
    bool polling = false;
    bool reachable = false; ///< the last call succeeded
    Time startedAt = 0;
    Time nextAt = 0;
    int failures = 0; ///< in a row
    std::int64_t revision = 0; ///< platform's revision up to which all objects are held; only grows
    std::int64_t polls = 0;
    std::int64_t staleResponses = 0; ///< answers with a revision older than one seen
};

/// @return whether a poll should start now
bool isPollDue(const PlatformWatch &watch, Time now);

/// Marks a poll as started.
/// @return the poll
WatchRequest startPoll(PlatformWatch &watch, Time now);

/// Takes the end of a poll.
/// @return whether the answer may be used: it succeeded and its revision isn't older than one seen
bool finishPoll(PlatformWatch &watch, const WatchResponse &response, Time now, Random &random);

/// Ends the back-off early, because an object came by another path and the platform is likely to be back.
void shortenBackOff(PlatformWatch &watch, Time now, Random &random);

} // namespace pimentofold
