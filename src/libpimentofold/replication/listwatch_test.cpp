#include <doctest/doctest.h>

#include <pimentofold/replication/listwatch.h>

using namespace pimentofold;

// Guards against changes that are missed between a list and the first watch, or after the store has dropped its history.
TEST_CASE("a kind is listed page by page and then watched")
{
    ListWatch listWatch;
    Random random{1};
    std::optional<StoreCall> call = nextCall(listWatch, 0);
    REQUIRE(call);
    CHECK_FALSE(call->watch);
    CHECK_FALSE(nextCall(listWatch, 0));
    CHECK_FALSE(finishCall(listWatch, {StoreCallOutcome::Answered, 100, true, "b", 0}, 1, random));
    call = nextCall(listWatch, 1);
    REQUIRE(call);
    CHECK(call->startAfter == "b");
    // The store has changed since the first page, so the watch starts at the first page's revision.
    CHECK(finishCall(listWatch, {StoreCallOutcome::Answered, 105, false, "z", 0}, 2, random));
    call = nextCall(listWatch, 2);
    REQUIRE(call);
    CHECK(call->watch);
    CHECK(call->revision == 100);
    CHECK(call->watchTimeout > 0);
    CHECK(call->timeout > call->watchTimeout);
    CHECK_FALSE(finishCall(listWatch, {StoreCallOutcome::Answered, 110, false, "", 1}, 3, random));
    CHECK(listWatch.revision == 110);
    call = nextCall(listWatch, 3);
    REQUIRE(call);
    finishCall(listWatch, {StoreCallOutcome::HistoryGone, 0, false, "", 0}, 4, random);
    call = nextCall(listWatch, 4);
    REQUIRE(call);
    CHECK_FALSE(call->watch);
    CHECK(call->startAfter.empty());
}

// Guards against a list whose pages come from two stores, and against a back-off for the old address that delays the first call to
// the new one.
TEST_CASE("after a change of the store's address a list starts again and a watch continues at once")
{
    ListWatch listWatch;
    Random random{1};
    REQUIRE(nextCall(listWatch, 0));
    finishCall(listWatch, {StoreCallOutcome::Answered, 100, true, "b", 0}, 1, random);
    listWatch.listedIds.insert(7);
    REQUIRE(nextCall(listWatch, 1));
    restartCalls(listWatch, 2);
    std::optional<StoreCall> call = nextCall(listWatch, 2);
    REQUIRE(call);
    CHECK_FALSE(call->watch);
    CHECK(call->startAfter.empty());
    CHECK(listWatch.listedIds.empty());
    CHECK(finishCall(listWatch, {StoreCallOutcome::Answered, 90, false, "z", 0}, 3, random));
    CHECK(listWatch.revision == 90);

    REQUIRE(nextCall(listWatch, 3));
    finishCall(listWatch, {}, 4, random);
    restartCalls(listWatch, 4);
    call = nextCall(listWatch, 4);
    REQUIRE(call);
    CHECK(call->watch);
    CHECK(call->revision == 90);
    CHECK(call->watchTimeout == 0);
}

TEST_CASE("the delay after failed calls grows up to a limit")
{
    ListWatch listWatch;
    Random random{1};
    Time now = 0;
    for (int n = 0; n < 50; ++n) {
        REQUIRE(nextCall(listWatch, now));
        finishCall(listWatch, {}, now, random);
        CHECK(listWatch.nextCallAt - now <= listWatch.settings.maxBackoff);
        now = std::max(listWatch.nextCallAt, now);
    }
    std::optional<StoreCall> call = nextCall(listWatch, now);
    REQUIRE(call);
    CHECK(call->timeout > listWatch.settings.responseTimeout);
    finishCall(listWatch, {StoreCallOutcome::Answered, 5, false, "", 0}, now, random);
    CHECK(listWatch.consecutiveFailures == 0);
}

// Guards against an unreachable store that each node detects only after a watch's time-out. When several nodes led one
// after the other, a change took 5.6 s to be in force.
TEST_CASE("the first watch and the one after a failure return at once")
{
    ListWatch listWatch;
    Random random{1};
    advanceTo(listWatch, 100, 0);
    std::optional<StoreCall> call = nextCall(listWatch, 0);
    REQUIRE(call);
    CHECK(call->watch);
    CHECK(call->watchTimeout == 0);
    finishCall(listWatch, {StoreCallOutcome::Answered, 100, false, "", 0}, 1, random);
    call = nextCall(listWatch, 1);
    REQUIRE(call);
    CHECK(call->watchTimeout == listWatch.settings.watchTimeout);
    finishCall(listWatch, {}, 2, random);
    call = nextCall(listWatch, listWatch.nextCallAt);
    REQUIRE(call);
    CHECK(call->watchTimeout == 0);
}

// Guards against a leader that falls behind because the store limits the number of changes per response. At 49 changes
// per second over some seconds, draining targets received flows for 5 s.
TEST_CASE("after a response with many changes the next call follows at once")
{
    struct Row {
        std::size_t changeCount;
        Time delay;
    };
    const Row rows[] = {{0, 0}, {1, second}, {19, second}, {20, 0}, {49, 0}};
    for (const Row &row : rows) {
        ListWatch listWatch;
        listWatch.settings.batchDelay = second;
        Random random{1};
        advanceTo(listWatch, 100, 0);
        REQUIRE(nextCall(listWatch, 0));
        finishCall(listWatch, {StoreCallOutcome::Answered, 150, false, "", row.changeCount}, 1, random);
        CHECK(listWatch.nextCallAt == 1 + row.delay);
    }
}

namespace {

/// A kind that is watched from revision 900 of the store's first era.
ListWatch makeWatch()
{
    ListWatch listWatch;
    listWatch.era = 1;
    advanceTo(listWatch, {1, 900}, 0);
    return listWatch;
}

} // namespace

// Guards against a watch that goes on after the store has come back from an older copy: it misses what was written again, and
// waits for revisions that were given out before.
TEST_CASE("a later era of the store is listed anew")
{
    struct Row {
        std::string name;
        std::int64_t callEra; ///< known when the call was made
        std::int64_t responseEra;
        bool isUsed;
        bool isListedAnew;
    };
    const Row rows[] = {
        {"a watch of the known era", 1, 1, true, false},
        {"a watch that still finds its revision", 1, 2, false, true},
        {"a late response of the era before", 2, 1, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ListWatch listWatch = makeWatch();
        listWatch.era = row.callEra;
        listWatch.revision.era = row.callEra;
        REQUIRE(nextCall(listWatch, 0));
        CHECK(beginEra(listWatch, row.responseEra, 2 * second) == row.isListedAnew);
        CHECK(isOfKnownEra(listWatch, row.responseEra) == row.isUsed);
        CHECK(listWatch.listing == row.isListedAnew);
    }
}

// Guards against a list that is read before the targets have written their entries again, so that they count as gone.
TEST_CASE("the list of a later era is read at the given time, whatever happens to calls before")
{
    for (const StoreCallOutcome outcome : {StoreCallOutcome::EarlierEra, StoreCallOutcome::Failed, StoreCallOutcome::HistoryGone}) {
        ListWatch listWatch = makeWatch();
        Random random{1};
        REQUIRE(nextCall(listWatch, 0));
        REQUIRE(beginEra(listWatch, 2, 3 * second));
        StoreCallResult result;
        result.outcome = outcome;
        CHECK_FALSE(finishCall(listWatch, result, 10, random));
        CHECK_FALSE(nextCall(listWatch, 3 * second - 1));
        const std::optional<StoreCall> call = nextCall(listWatch, 3 * second);
        REQUIRE(call);
        CHECK_FALSE(call->watch);
        CHECK(isOfKnownEra(listWatch, 2));
        CHECK(finishCall(listWatch, {StoreCallOutcome::Answered, {2, 40}, false, "z", 0}, 3 * second, random));
        CHECK(listWatch.revision == StoreRevision{2, 40});
    }
}

// Guards against a node that has just started and reads everything twice, and against one that continues from a peer's state of an
// earlier era.
TEST_CASE("the first era and states from peers")
{
    ListWatch listWatch;
    REQUIRE(nextCall(listWatch, 0));
    CHECK_FALSE(beginEra(listWatch, 4, second));
    CHECK(isOfKnownEra(listWatch, 4));
    CHECK(nextCallTime(listWatch) == 0);
    advanceTo(listWatch, {3, 900}, 0);
    CHECK(listWatch.listing);
    advanceTo(listWatch, {4, 40}, 0);
    CHECK_FALSE(listWatch.listing);
    CHECK(listWatch.revision == StoreRevision{4, 40});
}
