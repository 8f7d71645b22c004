#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include <pimentofold/replication/relaygroups.h>

using namespace pimentofold;

namespace {

std::vector<Address> makeAddresses(std::size_t count, std::uint32_t first)
{
    std::vector<Address> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back({static_cast<std::uint32_t>(first + i), 7000});
    }
    return result;
}

} // namespace

// Guards against receivers that are left out or served twice, and against nodes whose network link is saturated.
TEST_CASE("each receiver gets a message once and no node sends more than its limit")
{
    struct Case {
        std::size_t alive;
        std::size_t unreliable;
        std::size_t maxSent;
    };
    const Case cases[] = {{0, 0, 0}, {0, 3, 3}, {8, 0, 8}, {9, 0, 3}, {20, 2, 5}, {46, 0, 7}, {1, 30, 30}, {388, 10, 20}};
    for (const Case &it : cases) {
        CAPTURE(it.alive);
        CAPTURE(it.unreliable);
        const std::vector<Address> alive = makeAddresses(it.alive, 1);
        const std::vector<Address> unreliable = makeAddresses(it.unreliable, 10'000);
        for (std::size_t rotation = 0; rotation < 3; ++rotation) {
            const std::vector<RelayGroup> groups = makeRelayGroups(alive, unreliable, rotation);
            std::set<Address> reached;
            std::size_t sent = 0;
            CHECK(groups.size() <= it.maxSent);
            for (const RelayGroup &group : groups) {
                CHECK(group.relayTo.size() <= it.maxSent);
                reached.insert(group.relay);
                reached.insert(group.relayTo.begin(), group.relayTo.end());
                sent += 1 + group.relayTo.size();
                CHECK((group.relayTo.empty() || std::ranges::find(alive, group.relay) != alive.end()));
            }
            CHECK(sent == it.alive + it.unreliable);
            CHECK(reached.size() == sent);
        }
    }
}

// Guards against receivers that miss several messages in a row because their relay is lost.
TEST_CASE("consecutive messages use different relays")
{
    const std::vector<Address> alive = makeAddresses(46, 1);
    std::set<Address> relays;
    for (std::size_t rotation = 0; rotation < 6; ++rotation) {
        for (const RelayGroup &it : makeRelayGroups(alive, {}, rotation)) {
            CHECK(relays.insert(it.relay).second);
        }
    }
}
