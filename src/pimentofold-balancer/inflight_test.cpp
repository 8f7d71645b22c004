#include <pimentofold-balancer/inflight.h>

#include <map>

#include <doctest/doctest.h>

#include <pimentofold/callerpacket.h>
#include <pimentofold/random.h>

using namespace pimentofold;

namespace {

InFlight makeEntry(std::int64_t flow, std::int64_t request, Time deadline)
{
    InFlight entry;
    entry.serviceId = 1;
    entry.packet.kind = wire::PacketKind::Request;
    entry.packet.flow = flow;
    entry.packet.request = request;
    entry.deadline = deadline;
    return entry;
}

} // namespace

// Guards against deadlines that are missed or reported too early. The latter happened when takeOverdue() was first called
// after the first entry had been added.
TEST_CASE("a deadline is reported once, after it has passed")
{
    constexpr Time start = 1000 * second;
    constexpr Time step = 7 * millisecond;
    Random random{5};
    InFlightTable table(start);
    std::map<InFlightId, Time> deadlines;
    for (int i = 0; i < 1000; ++i) {
        const Time deadline = start + static_cast<Time>(below(random, static_cast<std::uint64_t>(maxDeadline)));
        deadlines[table.add(makeEntry(i, 1, deadline))] = deadline;
    }
    for (Time now = start; now < start + maxDeadline + second; now += step) {
        std::vector<InFlightId> overdue;
        table.takeOverdue(now, overdue);
        for (const InFlightId it : overdue) {
            CHECK(deadlines.at(it) <= now);
            CHECK(now - deadlines.at(it) <= 20 * millisecond + step);
            deadlines.erase(it);
            table.remove(it);
        }
    }
    CHECK(deadlines.empty());
    CHECK(table.size() == 0);
}

// Guards against an answer that is matched to the wrong request after the table has grown or reused a position.
TEST_CASE("entries are found by id and by packet while others are added and removed")
{
    Random random{6};
    InFlightTable table(0);
    std::map<std::pair<std::int64_t, std::int64_t>, InFlightId> live;
    std::vector<InFlightId> ended;
    for (int i = 0; i < 20'000; ++i) {
        const std::int64_t flow = static_cast<std::int64_t>(below(random, 50));
        const std::int64_t request = static_cast<std::int64_t>(1 + below(random, 100));
        const InFlight entry = makeEntry(flow, request, second);
        const auto found = live.find({flow, request});
        CHECK(table.findDuplicate(1, entry.packet) == (found == live.end() ? 0 : found->second));
        if (found == live.end()) {
            live[{flow, request}] = table.add(entry);
        } else {
            ended.push_back(found->second);
            table.remove(found->second);
            live.erase(found);
        }
    }
    CHECK(table.size() == live.size());
    for (const auto &[key, id] : live) {
        REQUIRE(table.find(id) != nullptr);
        CHECK(table.find(id)->packet.request == key.second);
    }
    for (const InFlightId it : ended) {
        CHECK(table.find(it) == nullptr);
    }
}
