#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// When to list and when to watch one kind of object in the platform's store.
///
///     if (std::optional<StoreCall> call = nextCall(follow, now)) { ... send it ... }
///     finishCall(follow, outcome, now, random);
///
/// A list is read page by page; after it watches follow the changes. A gap in the store's history leads to a new list.
namespace pimentofold {

/// Times of the calls.
struct FollowSettings {
    /// Longest wait of a watch. A connection that has gone silent is noticed after it, so it is well below the time in
    /// which a change has to be in force.
    Time watchWait = second;
    /// An answer takes no longer than this beyond the wait; twice as long after each failure, for a store that is slow.
    Time answerLimit = 500 * millisecond;
    int mostDoublings = 2;
    Time pace = 0; ///< least time from an answer to the next call, so that several changes come with one call
    /// After as many changes in one answer the next call follows at once: the store may have more than it sends in one.
    std::size_t manyChanges = 20;
    Time leastBackOff = 100 * millisecond; ///< upper bound of the first wait after a failure
    Time mostBackOff = 800 * millisecond;
};

/// A call to be made.
struct StoreCall {
    bool watch = false; ///< false: list
    std::string after; ///< last name of the page before
    std::int64_t revision = 0; ///< to watch from
    Time wait = 0;
    Time timeout = 0;
};

/// How a call ended.
enum class CallOutcome {
    Answered,
    HistoryGone,
    Failed,
};

/// What a call brought.
struct CallResult {
    CallOutcome outcome = CallOutcome::Failed;
    std::int64_t revision = 0;
    bool hasMore = false;
    std::string last; ///< name of the last object of a page
    std::size_t changes = 0; ///< that a watch brought
};

/// Following of one kind.
struct StoreFollow {
    FollowSettings settings;
    bool busy = false;
    bool listing = true;
    std::string after;
    std::int64_t listRevision = 0; ///< of the store at the first page
    std::int64_t revision = 0; ///< all changes up to it are known
    std::set<std::uint64_t> seen; ///< ids on the pages so far
    int failures = 0; ///< in a row
    bool probe = true; ///< the next watch doesn't wait, so that it shows soon whether the store answers
    Time nextAt = 0;
    Time currentAt = 0; ///< when the last answer was asked for; what is known was complete then
    Time startedAt = 0;
    std::int64_t calls = 0;
};

/// @return the call to make now, if any; it counts as under way until finishCall()
std::optional<StoreCall> nextCall(StoreFollow &follow, Time now);

/// Takes the end of the call.
/// @return whether a list is complete now, so that what wasn't on its pages is gone
bool finishCall(StoreFollow &follow, const CallResult &result, Time now, Random &random);

/// Takes over what another node has learned from the store.
void skipTo(StoreFollow &follow, std::int64_t revision, Time currentAt);

} // namespace pimentofold
