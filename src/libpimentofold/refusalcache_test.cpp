#include <pimentofold/refusalcache.h>

#include <doctest/doctest.h>

using namespace pimentofold;

// Guards against a late copy that runs after its request was refused, and against memory that grows with a flood.
TEST_CASE("refused retransmissions are remembered for a while and within a bound")
{
    CHECK(mayRefuseWithoutRecord(1));
    CHECK_FALSE(mayRefuseWithoutRecord(2));
    RefusalCache memory;
    memory.maxEntries = 100;
    for (std::uint64_t request = 1; request <= 150; ++request) {
        recordRefusal(memory, request, 0);
        recordRefusal(memory, request, 0);
    }
    CHECK(memory.entries.size() == 100);
    CHECK(memory.requests.size() == 100);
    CHECK_FALSE(wasRefused(memory, 50));
    CHECK(wasRefused(memory, 51));
    recordRefusal(memory, 1000, memory.retention);
    CHECK(memory.entries.size() == 1);
    CHECK(wasRefused(memory, 1000));
}
