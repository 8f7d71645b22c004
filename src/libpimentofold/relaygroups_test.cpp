#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include <pimentofold/relaygroups.h>

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

TEST_CASE("each receiver gets a message once and no node sends to many")
{
    struct Case {
        std::size_t alive;
        std::size_t doubtful;
        std::size_t mostSent;
    };
    const Case cases[] = {{0, 0, 0}, {0, 3, 3}, {8, 0, 8}, {9, 0, 3}, {20, 2, 5}, {46, 0, 7}, {1, 30, 30}, {388, 10, 20}};
    for (const Case &it : cases) {
        CAPTURE(it.alive);
        CAPTURE(it.doubtful);
        const std::vector<Address> alive = makeAddresses(it.alive, 1);
        const std::vector<Address> doubtful = makeAddresses(it.doubtful, 10'000);
        for (std::size_t turn = 0; turn < 3; ++turn) {
            const std::vector<RelayGroup> groups = makeRelayGroups(alive, doubtful, turn);
            std::set<Address> reached;
            std::size_t sent = 0;
            CHECK(groups.size() <= it.mostSent);
            for (const RelayGroup &group : groups) {
                CHECK(group.others.size() <= it.mostSent);
                reached.insert(group.head);
                reached.insert(group.others.begin(), group.others.end());
                sent += 1 + group.others.size();
                CHECK((group.others.empty() || std::ranges::find(alive, group.head) != alive.end()));
            }
            CHECK(sent == it.alive + it.doubtful);
            CHECK(reached.size() == sent);
        }
    }
}

TEST_CASE("a receiver whose head is lost has another one with the next message")
{
    const std::vector<Address> alive = makeAddresses(46, 1);
    std::set<Address> heads;
    for (std::size_t turn = 0; turn < 6; ++turn) {
        for (const RelayGroup &it : makeRelayGroups(alive, {}, turn)) {
            CHECK(heads.insert(it.head).second);
        }
    }
}
