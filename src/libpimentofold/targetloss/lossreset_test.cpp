#include <doctest/doctest.h>

#include <libpimentofold/targetloss/losstestdata.h>

using namespace pimentofold;
using namespace pimentofold::losstest;

// Guards against resets by a verdict that no longer holds at this node, and against missing ones.
TEST_CASE("target loss: a verdict at a node that holds a flow")
{
    struct Row {
        std::string pattern;
        std::function<void(Holder &)> before;
        std::function<void(Holder &)> after;
        std::size_t resets;
    };
    const auto nothing = [](Holder &) {};
    const auto lost = [](Holder &it) { it.receiveVerdict(1, start); };
    const Row rows[] = {
        {"an idle flow", lost, nothing, 1},
        {"a request in progress",
         [](Holder &it) {
             it.send(361, 180, 3300, start - 100 * millisecond);
             it.receiveVerdict(1, start);
         },
         nothing,
         1},
        {"a request that starts before the reset", lost, [](Holder &it) { it.send(361, 180, 3300, start + 1); }, 1},
        {"another incarnation", [](Holder &it) { it.receiveVerdict(2, start); }, nothing, 0},
        {"the target has made progress lately",
         [](Holder &it) {
             it.target().lastProgressAt = start - 200 * millisecond;
             it.receiveVerdict(1, start);
         },
         nothing,
         0},
        {"the target makes progress before the reset", lost, [](Holder &it) { it.target().lastProgressAt = start + 1; }, 0},
        {"the flow has ended",
         lost,
         [](Holder &it) {
             FlowPacket end = makePacket(1, 361, 0, 3300);
             end.finishes = true;
             handlePacket(it.forwarder, end, start + 1, it.out);
         },
         0},
        {"the node was paused",
         [](Holder &it) {
             recordRun(it.forwarder, second, start - millisecond);
             it.receiveVerdict(1, start);
         },
         nothing,
         0},
        {"the node is paused before the reset", lost, [](Holder &it) { recordRun(it.forwarder, second, start + 1); }, 0},
        {"a flow of the route has had no second request",
         [](Holder &it) {
             it.forwarder.targetLoss.secondRequestAt.clear();
             it.receiveVerdict(1, start);
         },
         nothing,
         0},
        {"the part is off",
         [](Holder &it) {
             it.forwarder.targetLoss.settings.enabled = false;
             it.receiveVerdict(1, start);
         },
         nothing,
         0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        Holder holder;
        row.before(holder);
        row.after(holder);
        holder.run(start + 20 * millisecond, start + 400 * millisecond);
        REQUIRE(holder.out.resets.size() == row.resets);
        if (row.resets > 0) {
            CHECK(holder.out.resets.front().sequence == 3300);
        }
    }
}

// Guards against verdicts on targets that hang: they acknowledge requests and never answer.
TEST_CASE("target loss: data that isn't repeated when it is due is a sign of life")
{
    struct Row {
        std::string pattern;
        Time repeatedAfter; ///< 0: not
        Time pausedAfter; ///< 0: not
        bool alive;
    };
    const Row rows[] = {
        {"acknowledged", 0, 0, true},
        {"repeated", 200 * millisecond, 0, false},
        {"repeated early, since the first packet was late", 120 * millisecond, 0, false},
        {"paused since", 0, 100 * millisecond, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        Holder holder;
        holder.target().owner = 7;
        holder.send(361, 180, 3300, start);
        if (row.repeatedAfter > 0) {
            holder.send(361, 180, 3300, start + row.repeatedAfter);
        }
        if (row.pausedAfter > 0) {
            recordRun(holder.forwarder, second, start + row.pausedAfter);
        }
        holder.run(start + 260 * millisecond, start + 340 * millisecond);
        CHECK((holder.target().lastProgressAt == start) == row.alive);
        const bool reported = !holder.out.evidence.empty() && holder.out.evidence.front().evidence.front().stalledFlows == 0;
        CHECK(reported == row.alive);
    }
}
