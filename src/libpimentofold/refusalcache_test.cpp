#include <pimentofold/refusalcache.h>

#include <doctest/doctest.h>

using namespace pimentofold;

// Guards against a delayed copy of a request that runs after the request was refused, and against memory use that grows with
// the number of refusals.
TEST_CASE("refused retransmissions are recorded for a limited time and up to a maximum number")
{
    CHECK(mayRefuseWithoutRecord(1));
    CHECK_FALSE(mayRefuseWithoutRecord(2));
    RefusalCache cache;
    cache.maxEntries = 100;
    for (std::uint64_t request = 1; request <= 150; ++request) {
        recordRefusal(cache, request, 0);
        recordRefusal(cache, request, 0);
    }
    CHECK(cache.entries.size() == 100);
    CHECK(cache.requests.size() == 100);
    CHECK_FALSE(wasRefused(cache, 50));
    CHECK(wasRefused(cache, 51));
    recordRefusal(cache, 1000, cache.retention);
    CHECK(cache.entries.size() == 1);
    CHECK(wasRefused(cache, 1000));
}
