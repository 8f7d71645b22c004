#include <doctest/doctest.h>

#include <pimentofold/listwatch.h>

using namespace pimentofold;

// Guards against changes that are missed between a list and its watches, or when the store's history has a gap.
TEST_CASE("a kind is listed page by page and then watched")
{
    StoreFollow follow;
    Random random{1};
    std::optional<StoreCall> call = nextCall(follow, 0);
    REQUIRE(call);
    CHECK_FALSE(call->watch);
    CHECK_FALSE(nextCall(follow, 0));
    CHECK_FALSE(finishCall(follow, {CallOutcome::Answered, 100, true, "b", 0}, 1, random));
    call = nextCall(follow, 1);
    REQUIRE(call);
    CHECK(call->after == "b");
    // The store has moved on since the first page; the watch begins at the first page.
    CHECK(finishCall(follow, {CallOutcome::Answered, 105, false, "z", 0}, 2, random));
    call = nextCall(follow, 2);
    REQUIRE(call);
    CHECK(call->watch);
    CHECK(call->revision == 100);
    CHECK(call->wait > 0);
    CHECK(call->timeout > call->wait);
    CHECK_FALSE(finishCall(follow, {CallOutcome::Answered, 110, false, "", 1}, 3, random));
    CHECK(follow.revision == 110);
    call = nextCall(follow, 3);
    REQUIRE(call);
    finishCall(follow, {CallOutcome::HistoryGone, 0, false, "", 0}, 4, random);
    call = nextCall(follow, 4);
    REQUIRE(call);
    CHECK_FALSE(call->watch);
    CHECK(call->after.empty());
}

TEST_CASE("failed calls wait, longer each time, within bounds")
{
    StoreFollow follow;
    Random random{1};
    Time now = 0;
    for (int n = 0; n < 50; ++n) {
        REQUIRE(nextCall(follow, now));
        finishCall(follow, {}, now, random);
        CHECK(follow.nextAt - now <= follow.settings.mostBackOff);
        now = std::max(follow.nextAt, now);
    }
    std::optional<StoreCall> call = nextCall(follow, now);
    REQUIRE(call);
    CHECK(call->timeout > follow.settings.answerLimit);
    finishCall(follow, {CallOutcome::Answered, 5, false, "", 0}, now, random);
    CHECK(follow.failures == 0);
}

// Guards against a store that is cut off and noticed only after the wait of a watch, by several nodes one after the
// other: on lexipaig-edge-grown, fresh-cca3, a change took 5.6 s for that.
TEST_CASE("the first watch, and the one after a failure, doesn't wait")
{
    StoreFollow follow;
    Random random{1};
    skipTo(follow, 100, 0);
    std::optional<StoreCall> call = nextCall(follow, 0);
    REQUIRE(call);
    CHECK(call->watch);
    CHECK(call->wait == 0);
    finishCall(follow, {CallOutcome::Answered, 100, false, "", 0}, 1, random);
    call = nextCall(follow, 1);
    REQUIRE(call);
    CHECK(call->wait == follow.settings.watchWait);
    finishCall(follow, {}, 2, random);
    call = nextCall(follow, follow.nextAt);
    REQUIRE(call);
    CHECK(call->wait == 0);
}

// Guards against a follower that falls behind when the store sends only so many changes in one answer: on
// zbinden-grat-grown, with 49 changes a second for seconds, draining targets got flows for 5 s.
TEST_CASE("after an answer with many changes the next call follows at once")
{
    struct Row {
        std::size_t changes;
        Time wait;
    };
    const Row rows[] = {{0, 0}, {1, second}, {19, second}, {20, 0}, {49, 0}};
    for (const Row &row : rows) {
        StoreFollow follow;
        follow.settings.pace = second;
        Random random{1};
        skipTo(follow, 100, 0);
        REQUIRE(nextCall(follow, 0));
        finishCall(follow, {CallOutcome::Answered, 150, false, "", row.changes}, 1, random);
        CHECK(follow.nextAt == 1 + row.wait);
    }
}
