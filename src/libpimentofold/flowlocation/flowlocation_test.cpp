#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include <libpimentofold/flowlocation/locationfleet.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

Id holderOf(Id node, std::uint16_t port, std::size_t index)
{
    std::vector<Id> ids;
    for (Id it = 1; it <= nodeCount; ++it) {
        ids.push_back(it);
    }
    return locationHolders(ids, node, makeKey(port), locationHolderCount).at(index);
}

FlowPacket withBytes(FlowPacket packet, std::string_view bytes)
{
    packet.bytes = bytes;
    return packet;
}

} // namespace

// Guards against the reset of an open flow by a target that isn't its own: the late answer of the first target gives the caller the
// wrong token, and the node that receives the caller's next packet doesn't know the flow.
TEST_CASE("a flow with two offers stays on its target when its packets go through another node")
{
    for (Id lostHolder = -1; lostHolder < static_cast<Id>(locationHolderCount); ++lostHolder) {
        for (Id other = 2; other <= nodeCount; ++other) {
            CAPTURE(lostHolder);
            CAPTURE(other);
            Fleet fleet;
            const auto [wrong, right] = openAtSecondTarget(fleet, 1, 7, 0);
            fleet.restart(1);
            if (lostHolder >= 0) {
                fleet.restart(holderOf(1, 7, static_cast<std::size_t>(lostHolder)));
            }
            const std::size_t before = fleet.packets.size();
            fleet.receive(other, makeData(7, tokenOf(wrong)), 2 * second);
            REQUIRE(fleet.packets.size() == before + 1);
            CHECK(fleet.lastTarget() == right);
            CHECK(fleet.packets.back().token == tokenOf(right));
            fleet.receive(other, makeData(7, tokenOf(wrong)), 3 * second);
            CHECK(fleet.lastTarget() == right);
        }
    }
}

// Guards against the same reset when the node that offered the flow twice doesn't see it open: the router has chosen another node for
// the caller's first packet after the opening one. That node restarts next.
TEST_CASE("a flow that opens through another node than its opening packet stays on its target")
{
    for (Id other = 3; other <= nodeCount; ++other) {
        CAPTURE(other);
        Fleet fleet;
        fleet.receive(1, makeOpening(7), 0);
        const std::uint64_t right = fleet.lastTarget();
        fleet.receive(2, makeData(7, tokenOf(right)), 20 * millisecond);
        CHECK(fleet.lastTarget() == right);
        fleet.restart(1);
        fleet.restart(2);
        const std::uint64_t wrong = right % 4 + 1;
        fleet.receive(other, makeData(7, tokenOf(wrong)), 2 * second);
        CHECK(fleet.lastTarget() == right);
    }
}

// Guards against messages for flows that need none, and against packets of moved flows that wait for the time limit.
TEST_CASE("a flow with one offer costs one question when it moves, and its packet goes on with the last answer")
{
    Fleet fleet;
    fleet.receive(1, makeOpening(7), 0);
    const std::uint64_t target = fleet.lastTarget();
    fleet.receive(1, makeData(7, tokenOf(target)), millisecond);
    CHECK(fleet.messages == 0);
    fleet.receive(2, makeData(7, tokenOf(target)), second);
    CHECK(fleet.lastTarget() == target);
    CHECK(fleet.packets.size() == 3);
    constexpr int questionAndAnswer = 2;
    CHECK(fleet.messages == questionAndAnswer * static_cast<int>(locationQuestionCount));
    fleet.receive(2, makeData(7, tokenOf(target)), 2 * second);
    CHECK(fleet.messages == questionAndAnswer * static_cast<int>(locationQuestionCount));
}

// Guards against packets that are lost, reordered or held too long when the nodes that are asked don't answer.
TEST_CASE("held packets are forwarded by their token, in order, when no answer arrives")
{
    Fleet fleet;
    for (Id id = 1; id <= nodeCount; ++id) {
        fleet.silent.insert(id);
    }
    EdgeForwarder &node = fleet.nodes[2];
    const FlowLocationSettings &settings = node.locations.settings;
    const std::vector<std::string> sent{"one", "two", "three"};
    for (const std::string &it : sent) {
        fleet.receive(2, withBytes(makeData(7, tokenOf(3)), it), 0);
    }
    CHECK(fleet.packets.empty());
    CHECK(nextForwarderTick(node) <= settings.answerTimeout);
    fleet.tick(2, settings.answerTimeout - 1);
    CHECK(fleet.packets.empty());
    fleet.tick(2, settings.answerTimeout);
    REQUIRE(fleet.packets.size() == sent.size());
    for (std::size_t n = 0; n < sent.size(); ++n) {
        CHECK(fleet.packets[n].bytes == sent[n]);
        CHECK(fleet.packets[n].target == 3);
    }
    CHECK(node.locations.heldPackets == 0);
    CHECK(node.locations.questions.empty());
}

// Guards against a burst of questions and of held packets when a node restart moves many flows at once.
TEST_CASE("questions and held packets are bounded, and flows beyond the limits are forwarded at once")
{
    Fleet fleet;
    for (Id id = 1; id <= nodeCount; ++id) {
        fleet.silent.insert(id);
    }
    EdgeForwarder &node = fleet.nodes[2];
    FlowLocationSettings &settings = node.locations.settings;
    constexpr int flows = 3'000;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        fleet.receive(2, makeData(port, tokenOf(3)), port * microsecond);
    }
    CHECK(node.locations.questions.size() <= settings.maxQuestions);
    CHECK(node.locations.questions.size() >= settings.maxQuestions - 1);
    CHECK(fleet.packets.size() == flows - node.locations.questions.size());
    CHECK(fleet.messages == static_cast<int>(locationQuestionCount * node.locations.questions.size()));
    for (std::size_t n = 0; n < 2 * settings.maxPacketsPerFlow; ++n) {
        fleet.receive(2, makeData(1, tokenOf(3)), 4 * millisecond);
    }
    CHECK(node.locations.questions.at(makeKey(1)).packets.size() == settings.maxPacketsPerFlow);
    fleet.tick(2, second);
    CHECK(fleet.packets.size() == flows + settings.maxPacketsPerFlow - 1);
    CHECK(node.locations.heldPackets == 0);

    // The rate of questions is limited, too, while answers time out and make room for further ones.
    const int messagesBefore = fleet.messages;
    constexpr Time span = 100 * millisecond;
    for (std::uint16_t n = 0; n < flows; ++n) {
        const Time now = 2 * second + n * span / flows;
        fleet.receive(2, makeData(static_cast<std::uint16_t>(20'000 + n), tokenOf(3)), now);
        fleet.tick(2, now);
    }
    const double limit = settings.questionBurst + settings.questionsPerSecond * static_cast<double>(span) / static_cast<double>(second);
    CHECK(fleet.messages - messagesBefore <= static_cast<int>(limit) * static_cast<int>(locationQuestionCount));
    CHECK(fleet.messages - messagesBefore > static_cast<int>(settings.questionBurst) * static_cast<int>(locationQuestionCount));
}

// Guards against packets of a new flow that go to the target of an earlier flow with the same addresses.
TEST_CASE("a location is forgotten when the flow ends, when its retention has passed, and when a new flow opens")
{
    Fleet fleet;
    const auto [wrong, right] = openAtSecondTarget(fleet, 1, 7, 0);
    const FlowLocations &holder = fleet.nodes[holderOf(1, 7, 0)].locations;
    CHECK(findLocation(holder, makeKey(7), 0, second).target == right);
    CHECK(findLocation(holder, makeKey(7), 0, holder.settings.retention + second).target == 0);
    FlowPacket end = makeData(7, tokenOf(right));
    end.finishes = true;
    fleet.receive(1, end, second);
    for (const auto &[id, node] : fleet.nodes) {
        CHECK(node.locations.stored.empty());
    }

    openAtSecondTarget(fleet, 1, 8, second);
    const Id holderId = holderOf(1, 8, 0);
    CHECK_FALSE(fleet.nodes[holderId].locations.stored.empty());
    fleet.receive(holderId, makeOpening(8), 2 * second);
    CHECK(fleet.nodes[holderId].locations.stored.empty());
}

// Guards against questions that only a node with an unusual member list is asked, and against overloading single nodes.
TEST_CASE("holders are the same for all nodes with the same members, and spread over the nodes")
{
    std::vector<Id> members;
    for (Id it = 1; it <= 100; ++it) {
        members.push_back(it);
    }
    std::vector<Id> reversed(members.rbegin(), members.rend());
    std::map<Id, int> uses;
    for (std::uint16_t port = 1; port <= 1000; ++port) {
        const FlowKey key = makeKey(port);
        const std::vector<Id> holders = locationHolders(members, 1, key, locationHolderCount);
        REQUIRE(holders.size() == locationHolderCount);
        CHECK(holders == locationHolders(reversed, 1, key, locationHolderCount));
        const std::vector<Id> asked = locationHolders(members, 2, key, locationQuestionCount);
        for (const Id it : holders) {
            CHECK((it == 2 || std::ranges::find(asked, it) != asked.end()));
            ++uses[it];
        }
    }
    constexpr int mostUses = 60; // 20 on average
    for (const auto &[id, n] : uses) {
        CHECK(n < mostUses);
    }
    CHECK(locationHolders({1}, 1, makeKey(1), locationHolderCount).empty());
}
