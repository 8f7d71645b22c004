#include <pimentofold/listwatch.h>

#include <algorithm>

#include <pimentofold/retry.h>

namespace pimentofold {

namespace {

void startList(StoreFollow &follow)
{
    follow.listing = true;
    follow.after.clear();
    follow.listRevision = 0;
    follow.seen.clear();
}

bool finishPage(StoreFollow &follow, const CallResult &result)
{
    if (follow.listRevision == 0) {
        follow.listRevision = result.revision;
    }
    if (result.hasMore && !result.last.empty()) {
        follow.after = result.last;
        return false;
    }
    follow.listing = false;
    follow.revision = std::max(follow.revision, follow.listRevision);
    follow.after.clear();
    return true;
}

} // namespace

std::optional<StoreCall> nextCall(StoreFollow &follow, Time now)
{
    if (follow.busy || now < follow.nextAt) {
        return std::nullopt;
    }
    follow.busy = true;
    follow.startedAt = now;
    ++follow.calls;
    StoreCall call;
    call.watch = !follow.listing;
    call.after = follow.after;
    call.revision = follow.revision;
    call.wait = call.watch && !follow.probe ? follow.settings.watchWait : 0;
    call.timeout = call.wait + (follow.settings.answerLimit << std::min(follow.failures, follow.settings.mostDoublings));
    return call;
}

bool finishCall(StoreFollow &follow, const CallResult &result, Time now, Random &random)
{
    follow.busy = false;
    if (result.outcome == CallOutcome::HistoryGone) {
        startList(follow);
        follow.nextAt = now;
        return false;
    }
    if (result.outcome == CallOutcome::Failed) {
        ++follow.failures;
        follow.probe = true;
        follow.nextAt = now + backOff(random, follow.failures, follow.settings.leastBackOff, follow.settings.mostBackOff);
        return false;
    }
    follow.failures = 0;
    follow.probe = false;
    if (follow.listing) {
        const bool complete = finishPage(follow, result);
        follow.nextAt = now;
        if (complete) {
            follow.currentAt = std::max(follow.currentAt, follow.startedAt);
        }
        return complete;
    }
    follow.revision = std::max(follow.revision, result.revision);
    // A watch that waited in vain shows that nothing had changed when it ended.
    follow.currentAt = std::max(follow.currentAt, now);
    const bool waits = result.changes > 0 && result.changes < follow.settings.manyChanges;
    follow.nextAt = waits ? now + follow.settings.pace : now;
    return false;
}

void skipTo(StoreFollow &follow, std::int64_t revision, Time currentAt)
{
    follow.currentAt = std::max(follow.currentAt, currentAt);
    if (revision > follow.revision) {
        follow.revision = revision;
        if (follow.listing) {
            follow.listing = false;
        }
    }
}

} // namespace pimentofold
