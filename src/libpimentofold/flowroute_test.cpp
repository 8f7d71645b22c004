#include <pimentofold/flowroute.h>

#include <map>

#include <doctest/doctest.h>

#include <libpimentofold/testviews.h>

using namespace pimentofold;
using namespace pimentofold::testviews;

namespace {

std::vector<Id> candidatesOf(const View &view, std::int64_t flow)
{
    std::vector<Id> order;
    Id after = 0;
    while (const auto it = nextCandidate(view, view.services[0], flow, after)) {
        after = view.targets[*it].id;
        order.push_back(after);
    }
    return order;
}

} // namespace

// Guards against flows that are lost because a target that joins or leaves changes the order of the others.
TEST_CASE("a target that joins or leaves doesn't change the order of the other candidates")
{
    wire::NodeView from = smallView();
    const View before = parseView(from);
    addTarget(from, 150, 11);
    const View joined = parseView(from);
    std::map<Id, int> firsts;
    for (std::int64_t flow = 0; flow < 3000; ++flow) {
        const std::vector<Id> order = candidatesOf(before, flow);
        REQUIRE(order.size() == 15);
        ++firsts[order[0]];
        std::vector<Id> without = candidatesOf(joined, flow);
        std::erase(without, 150);
        CHECK(without == order);
    }
    CHECK(firsts.size() == 15);
    for (const auto &[id, n] : firsts) {
        CHECK(n > 120);
        CHECK(n < 290);
    }
    // A candidate that has left is still a valid position in the order.
    const std::vector<Id> order = candidatesOf(before, 7);
    std::erase_if(from.targets, [&](const auto &it) { return it.id == order[2]; });
    const View left = parseView(from);
    CHECK(left.targets[nextCandidate(left, left.services[0], 7, order[2]).value()].id == candidatesOf(left, 7)[2]);
}

// Guards against a cache that grows without limit, returns the target of another flow, or keeps indexes of an old view.
TEST_CASE("the route cache is bounded, keeps recent routes and converts them to a new view")
{
    const View view = parseView(smallView());
    FlowCache cache;
    CHECK_FALSE(findRoute(cache, flowHash(11, 1)));
    for (std::int64_t flow = 0; flow < 200'000; ++flow) {
        storeRoute(cache, flowHash(11, flow), static_cast<std::size_t>(flow % 15));
    }
    CHECK(cache.hashes.size() == FlowCache::maxEntries);
    std::size_t kept = 0;
    for (std::int64_t flow = 0; flow < 200'000; ++flow) {
        const auto route = findRoute(cache, flowHash(11, flow));
        kept += route ? 1 : 0;
        CHECK((!route || *route == static_cast<std::size_t>(flow % 15)));
    }
    CHECK(kept <= FlowCache::maxEntries);
    CHECK(kept > FlowCache::maxEntries - FlowCache::maxEntries / 100); // only few of the sets receive fewer than four flows
    CHECK(findRoute(cache, flowHash(11, 199'999)));
    eraseRoute(cache, flowHash(11, 199'999));
    CHECK_FALSE(findRoute(cache, flowHash(11, 199'999)));
    wire::NodeView changed = smallView();
    changed.targets.erase(changed.targets.begin());
    const View after = parseView(changed);
    storeRoute(cache, 1, 0);
    storeRoute(cache, 2, 3);
    remapRoutes(cache, view, after);
    CHECK_FALSE(findRoute(cache, 1));
    CHECK(after.targets[findRoute(cache, 2).value()].id == view.targets[3].id);
}
