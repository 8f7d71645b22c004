#include <doctest/doctest.h>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/targetloss/targetloss.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

// Guards against a verdict that misses nodes with flows of the target because the owner doesn't know all of them, and against a
// broadcast to all nodes when the owner does.
TEST_CASE("target loss: a verdict goes to the holders of the target's flows, or to all nodes")
{
    struct Row {
        std::string name;
        int reporters; ///< nodes that have reported work
        Time reportedAt;
        Time ownedSince;
        std::size_t nodes;
        std::size_t messages;
        bool all;
    };
    const Time now = 10 * minute;
    const Row rows[] = {
        {"few holders", 5, now - second, 0, 100, 5, false},
        {"no holder", 0, now, 0, 100, 0, false},
        {"nothing reported for a minute", 5, now - minute, 0, 100, 0, false},
        {"a new owner", 5, now - second, now - second, 100, 0, true},
        {"more holders than are recorded", 80, now - second, 0, 1'000, 0, true},
        {"nearly all nodes are holders", 9, now - second, 0, 10, 0, true},
        {"not the owner", 5, now - second, never, 100, 0, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        FlowHolders holders;
        std::unordered_map<std::uint64_t, Time> ownedSince;
        if (row.ownedSince != never) {
            ownedSince[1] = row.ownedSince;
        }
        for (int n = 1; n <= row.reporters; ++n) {
            recordHolder(holders, 1, n, row.reportedAt);
        }
        const VerdictRecipients found = recipientsOf(holders, std::vector<LostTarget>{{1, 1, ""}}, ownedSince, row.nodes, now);
        CHECK(found.messages.size() == row.messages);
        CHECK(found.all.size() == (row.all ? 1 : 0));
        removeHolders(holders, {});
        CHECK(holders.targets.empty());
    }
}

// Guards against flows that stay on a lost target because the verdict was lost, and against an old verdict that resets flows of a
// target that has recovered.
TEST_CASE("target loss: a node that reports stalls on a lost target gets the verdict")
{
    struct Row {
        std::string name;
        Time age; ///< of the verdict
        std::int64_t startedAt;
        int stalledFlows;
        Time progressAge;
        bool answered;
    };
    const Row rows[] = {
        {"lost just now", 500 * millisecond, 1, 1, -1, true},
        {"lost long ago", 4 * second, 1, 1, -1, false},
        {"another start of the target", 500 * millisecond, 2, 1, -1, false},
        {"no stall", 500 * millisecond, 1, 0, -1, false},
        {"progress since the verdict", 500 * millisecond, 1, 1, 100 * millisecond, false},
        {"progress before the verdict", 500 * millisecond, 1, 1, second, true},
    };
    const Time now = minute;
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EdgeForwarder forwarder = makeForwarder(2, 0);
        forwarder.targetLoss.settings.enabled = true;
        updateOwnership(forwarder, 0);
        findTarget(forwarder.table, 1)->lostSince = now - row.age;
        ForwardOutput out;
        const TargetEvidence evidence{1, row.startedAt, row.stalledFlows, 2, 300 * millisecond, row.progressAge};
        handleEvidence(forwarder, std::vector{evidence}, 7, "dc1", now, out);
        REQUIRE(out.lostTargetMessages.size() == (row.answered ? 1 : 0));
        if (row.answered) {
            CHECK(out.lostTargetMessages.front().node == 7);
            CHECK(out.lostTargetMessages.front().lost == std::vector<LostTarget>{{1, 1, ""}});
        }
    }
}
