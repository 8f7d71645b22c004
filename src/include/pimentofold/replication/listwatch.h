#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <pimentofold/random.h>
#include <pimentofold/storerevision.h>
#include <pimentofold/types.h>

/// List-and-watch of one kind of object in the platform's store, as a state machine without sockets and clocks.
///
///     if (std::optional<StoreCall> call = nextCall(listWatch, now)) { ... send the request ... }
///     finishCall(listWatch, result, now, random); // when the response has arrived or the call has failed
///
/// A list is read page by page; watches then return the changes after the list's revision. When the store no longer has
/// the history after that revision, the kind is listed again. The same happens when the store has come back from an older copy,
/// which its next era tells: a watch would miss what was written again, even where the store still finds its revision.
namespace pimentofold {

/// Time-outs and delays of the calls.
struct ListWatchSettings {
    /// Longest time that the store may hold a watch open. A dead connection is only noticed after this time, so it has
    /// to be well below the time within which a change has to be in force.
    Time watchTimeout = second;
    /// Time allowed for a response, in addition to a watch's own time-out. Doubles with each consecutive failure, since
    /// the store may be slow.
    Time responseTimeout = 500 * millisecond;
    int maxTimeoutDoublings = 2;
    Time batchDelay = 0; ///< minimum time between a response with changes and the next call, so that one call returns several changes
    /// After a response with at least this many changes the next call follows at once: the store limits the number of
    /// changes per response, so more may be pending.
    std::size_t backlogThreshold = 20;
    Time initialBackoff = 100 * millisecond; ///< upper bound of the random delay after the first failure
    Time maxBackoff = 800 * millisecond; ///< upper bound of the random delay after any failure
};

/// A call to the store that is to be made now.
struct StoreCall {
    bool watch = false; ///< false: list
    std::string startAfter; ///< list: name of the last object of the previous page, empty for the first page
    StoreRevision revision = 0; ///< watch: the changes after this revision are wanted
    Time watchTimeout = 0; ///< watch: longest time that the store may hold the call open; 0: the store responds at once
    Time timeout = 0; ///< of the whole call
};

/// How a call ended.
enum class StoreCallOutcome {
    Answered,
    EarlierEra, ///< the response, or the call that it answers, is of an earlier era of the store than the known one
    HistoryGone, ///< the store no longer has the changes after the watch's revision
    Failed, ///< no response in time, or an unusable one
};

/// Result of a call.
struct StoreCallResult {
    StoreCallOutcome outcome = StoreCallOutcome::Failed;
    StoreRevision revision = 0; ///< of the store when it responded
    bool hasMore = false; ///< list: a further page follows
    std::string lastName; ///< list: name of the last object of the page
    std::size_t changeCount = 0; ///< number of objects in the response
};

/// State of the list-and-watch of one kind.
struct ListWatch {
    ListWatchSettings settings;
    bool callInFlight = false;
    bool listing = true; ///< false: watching
    std::string startAfter; ///< name of the last object of the previous page
    StoreRevision listRevision = 0; ///< revision of the store at the list's first page
    std::int64_t era = 0; ///< latest known era of the store
    std::int64_t callEra = 0; ///< the era when the call in flight was made
    StoreRevision revision = 0; ///< all changes up to this revision are known
    std::set<std::uint64_t> listedIds; ///< ids on the pages of the current list
    int consecutiveFailures = 0;
    bool probe = true; ///< the next watch returns at once instead of waiting for a change, to show whether the store answers
    Time nextCallAt = 0; ///< earliest time of the next call
    Time listNotBefore = 0; ///< no list is read before this time
    Time confirmedAt = 0; ///< the known state was the store's state at this time
    Time callStartedAt = 0;
    std::int64_t callCount = 0; ///< calls since the process started
};

/// @return earliest time of the next call
Time nextCallTime(const ListWatch &listWatch);

/// Starts the next call if one is due. The call counts as in flight until finishCall().
/// @return the call to make; nothing while another one is in flight or the delay before the next one has not passed
std::optional<StoreCall> nextCall(ListWatch &listWatch, Time now);

/// Records the result of the call in flight and schedules the next one.
/// @param random for the back-off after a failure
/// @return whether this call returned the last page of a list, so that objects whose ids are not in listedIds no longer exist
bool finishCall(ListWatch &listWatch, const StoreCallResult &result, Time now, Random &random);

/// Records that the store has a later era. Unless nothing of the kind is known yet, it is listed anew.
/// @param listAt the list is read at this time, when its objects are complete again
/// @return whether the kind has to be listed anew
bool beginEra(ListWatch &listWatch, std::int64_t era, Time listAt);

/// @param era of the store when it responded to the call in flight
/// @return whether the response is of the known era, as is the revision on which its call was based
bool isOfKnownEra(const ListWatch &listWatch, std::int64_t era);

/// Abandons the call in flight, whose response must not be passed to finishCall(), because the store is reached at another
/// address from now on. A list that is under way starts again, so that its pages come from one store. The next call is due at
/// once.
void restartCalls(ListWatch &listWatch, Time now);

/// Records that the store's state up to a revision was received from another node, so that a watch can continue from there.
/// A revision above the known one also ends a list that is under way.
/// @param confirmedAt time at which that state was the store's state; 0 when unknown
void advanceTo(ListWatch &listWatch, const StoreRevision &revision, Time confirmedAt);

} // namespace pimentofold
