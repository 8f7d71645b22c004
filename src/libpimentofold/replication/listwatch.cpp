#include <pimentofold/replication/listwatch.h>

#include <algorithm>

#include <pimentofold/retry.h>

namespace pimentofold {

namespace {

void restartList(ListWatch &listWatch)
{
    listWatch.listing = true;
    listWatch.startAfter.clear();
    listWatch.listRevision = {};
    listWatch.listedIds.clear();
}

bool finishPage(ListWatch &listWatch, const StoreCallResult &result)
{
    if (listWatch.listRevision == 0) {
        listWatch.listRevision = result.revision;
    }
    if (result.hasMore && !result.lastName.empty()) {
        listWatch.startAfter = result.lastName;
        return false;
    }
    listWatch.listing = false;
    listWatch.revision = std::max(listWatch.revision, listWatch.listRevision);
    listWatch.startAfter.clear();
    return true;
}

} // namespace

Time nextCallTime(const ListWatch &listWatch)
{
    return listWatch.listing ? std::max(listWatch.nextCallAt, listWatch.listNotBefore) : listWatch.nextCallAt;
}

std::optional<StoreCall> nextCall(ListWatch &listWatch, Time now)
{
    if (listWatch.callInFlight || now < nextCallTime(listWatch)) {
        return std::nullopt;
    }
    listWatch.callInFlight = true;
    listWatch.callStartedAt = now;
    listWatch.callEra = listWatch.era;
    ++listWatch.callCount;
    StoreCall call;
    call.watch = !listWatch.listing;
    call.startAfter = listWatch.startAfter;
    call.revision = listWatch.revision;
    call.watchTimeout = call.watch && !listWatch.probe ? listWatch.settings.watchTimeout : 0;
    call.timeout = call.watchTimeout + (listWatch.settings.responseTimeout << std::min(listWatch.consecutiveFailures, listWatch.settings.maxTimeoutDoublings));
    return call;
}

bool finishCall(ListWatch &listWatch, const StoreCallResult &result, Time now, Random &random)
{
    listWatch.callInFlight = false;
    if (result.outcome == StoreCallOutcome::EarlierEra) {
        listWatch.nextCallAt = now;
        return false;
    }
    if (result.outcome == StoreCallOutcome::HistoryGone) {
        restartList(listWatch);
        listWatch.nextCallAt = now;
        return false;
    }
    if (result.outcome == StoreCallOutcome::Failed) {
        ++listWatch.consecutiveFailures;
        listWatch.probe = true;
        listWatch.nextCallAt = now + backoffDelay(random, listWatch.consecutiveFailures, listWatch.settings.initialBackoff, listWatch.settings.maxBackoff);
        return false;
    }
    listWatch.consecutiveFailures = 0;
    listWatch.probe = false;
    if (listWatch.listing) {
        const bool complete = finishPage(listWatch, result);
        listWatch.nextCallAt = now;
        if (complete) {
            listWatch.confirmedAt = std::max(listWatch.confirmedAt, listWatch.callStartedAt);
        }
        return complete;
    }
    listWatch.revision = std::max(listWatch.revision, result.revision);
    // A watch that ends without changes shows that nothing has changed up to its end.
    listWatch.confirmedAt = std::max(listWatch.confirmedAt, now);
    const bool delayed = result.changeCount > 0 && result.changeCount < listWatch.settings.backlogThreshold;
    listWatch.nextCallAt = delayed ? now + listWatch.settings.batchDelay : now;
    return false;
}

bool beginEra(ListWatch &listWatch, std::int64_t era, Time listAt)
{
    if (era <= listWatch.era) {
        return false;
    }
    listWatch.era = era;
    if (listWatch.revision == 0 && listWatch.startAfter.empty()) {
        return false;
    }
    restartList(listWatch);
    listWatch.listNotBefore = listAt;
    return true;
}

bool isOfKnownEra(const ListWatch &listWatch, std::int64_t era)
{
    const bool isFirstPage = listWatch.revision == 0 && listWatch.startAfter.empty();
    return era == listWatch.era && (listWatch.callEra == era || isFirstPage);
}

void restartCalls(ListWatch &listWatch, Time now)
{
    if (listWatch.listing) {
        restartList(listWatch);
    }
    listWatch.callInFlight = false;
    listWatch.consecutiveFailures = 0;
    listWatch.probe = true;
    listWatch.nextCallAt = now;
}

void advanceTo(ListWatch &listWatch, const StoreRevision &revision, Time confirmedAt)
{
    listWatch.confirmedAt = std::max(listWatch.confirmedAt, confirmedAt);
    if (revision > listWatch.revision && revision.era >= listWatch.era) {
        listWatch.revision = revision;
        listWatch.era = revision.era;
        if (listWatch.listing) {
            listWatch.listing = false;
        }
    }
}

} // namespace pimentofold
