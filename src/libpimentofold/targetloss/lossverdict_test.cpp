#include <doctest/doctest.h>

#include <libpimentofold/targetloss/losstestdata.h>

using namespace pimentofold;
using namespace pimentofold::losstest;

// Guards against verdicts on evidence that doesn't suffice, each row one condition of the verdict.
TEST_CASE("target loss: conditions of the verdict")
{
    struct Row {
        std::string pattern;
        std::vector<Report> reports;
        std::function<void(Owner &)> act; ///< after the reports, 20 ms before the first tick
        bool lost;
    };
    const auto nothing = [](Owner &) {};
    const std::vector<Report> enough{{makeEvidence(2, 1), 5, "dc1"}, {makeEvidence(1, 1), 6, "dc2"}};
    TargetEvidence earlierIncarnation = makeEvidence(2, 2);
    earlierIncarnation.startedAt = 0;
    TargetEvidence withProgress = makeEvidence(2, 2);
    withProgress.progressAge = 100 * millisecond;
    const Row rows[] = {
        {"enough evidence", enough, nothing, true},
        {"a second retransmission in place of a third flow", {{makeEvidence(1, 2), 5, "dc1"}, {makeEvidence(1, 1), 6, "dc2"}}, nothing, true},
        {"two flows with one retransmission each", {{makeEvidence(1, 1), 5, "dc1"}, {makeEvidence(1, 1), 6, "dc2"}}, nothing, false},
        {"an opening without an answer",
         {{makeEvidence(1, 1), 5, "dc1"}, {makeEvidence(1, 1), 6, "dc2"}},
         [](Owner &it) { it.target().unansweredOpenings = 1; },
         true},
        {"one node only", {{makeEvidence(5, 2), 5, "dc1"}}, nothing, false},
        {"two data centres, and contact with the target's", {{makeEvidence(2, 1), 5, "dc2"}, {makeEvidence(1, 1), 6, "dc3"}}, nothing, true},
        {"a single other data centre", {{makeEvidence(2, 1), 5, "dc2"}, {makeEvidence(1, 1), 6, "dc2"}}, nothing, false},
        {"no contact with the target's data centre",
         {{makeEvidence(2, 1), 5, "dc2"}, {makeEvidence(1, 1), 6, "dc3"}},
         [](Owner &it) { it.forwarder.targetLoss.verdicts.dataCentre = "dc2"; },
         false},
        {"progress elsewhere since", enough, [](Owner &it) { it.target().lastProgressAt = start - 100 * millisecond; }, false},
        {"progress after the evidence", enough, [](Owner &it) { it.target().lastProgressAt = start; }, false},
        {"progress that a reporting node has seen", {{makeEvidence(2, 1), 5, "dc1"}, {withProgress, 6, "dc2"}}, nothing, false},
        {"an earlier incarnation", {{earlierIncarnation, 5, "dc1"}, {earlierIncarnation, 6, "dc2"}}, nothing, false},
        {"a target that has restarted since",
         enough,
         [](Owner &it) {
             TargetRecord record = testdata::makeTarget(judged, 900);
             record.startedAt = 2;
             applyTarget(it.forwarder.table, record, start);
         },
         false},
        {"stalls from before a restart, reported with the new incarnation",
         {},
         [](Owner &it) {
             TargetRecord record = testdata::makeTarget(judged, 900);
             record.startedAt = 2;
             applyTarget(it.forwarder.table, record, start - 100 * millisecond);
             TargetEvidence evidence = makeEvidence(2, 2);
             evidence.startedAt = 2;
             it.report({evidence, 5, "dc1"}, start);
             it.report({evidence, 6, "dc2"}, start);
         },
         false},
        {"a draining target",
         enough,
         [](Owner &it) {
             TargetRecord record = testdata::makeTarget(judged, 900);
             record.state = TargetState::Draining;
             applyTarget(it.forwarder.table, record, start);
         },
         false},
        {"a new owner", enough, [](Owner &it) { it.forwarder.targetLoss.verdicts.ownedSince[judged] = start; }, false},
        {"no longer the owner", enough, [](Owner &it) { it.target().owner = 7; }, false},
        {"an owner that was paused", enough, [](Owner &it) { recordRun(it.forwarder, second, start); }, false},
        {"a target that hangs: most requests are overdue and don't stall",
         enough,
         [](Owner &it) {
             for (std::uint32_t caller = 5; caller <= 7; ++caller) {
                 it.addFlow(caller, judged, FlowLoad::Working, start - 500 * millisecond);
             }
         },
         false},
        {"requests of one caller only",
         enough,
         [](Owner &it) { it.removeFlows([](std::uint32_t caller, FlowLoad load) { return caller > 1 && load == FlowLoad::Working; }); },
         false},
        {"callers without answers from other targets",
         enough,
         [](Owner &it) { it.removeFlows([](std::uint32_t, FlowLoad load) { return load == FlowLoad::Idle; }); },
         false},
        {"a target that has recovered lately", enough, [](Owner &it) { it.target().noVerdictUntil = start + 2 * second; }, false},
        {"an entry that has just gone, on the evidence of one node",
         {{makeEvidence(5, 2), 5, "dc1"}},
         [](Owner &it) { removeTarget(it.forwarder.table, judged, 900, start - second); },
         false},
        {"an entry that is gone for long, on the evidence of one node",
         {{makeEvidence(5, 2), 5, "dc1"}},
         [](Owner &it) { removeTarget(it.forwarder.table, judged, 900, start - 6 * second); },
         true},
        {"an entry that has gone while the store failed",
         {{makeEvidence(5, 2), 5, "dc1"}},
         [](Owner &it) {
             removeTarget(it.forwarder.table, judged, 900, start - 6 * second);
             recordStoreContact(it.forwarder.targetLoss.verdicts, false, start - 6 * second, start - 3 * second);
             recordStoreContact(it.forwarder.targetLoss.verdicts, true, start, start - second);
         },
         false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        Owner owner;
        for (const Report &it : row.reports) {
            owner.report(it, start);
        }
        row.act(owner);
        owner.run(start + 20 * millisecond, start + 280 * millisecond);
        CHECK(owner.isLost() == row.lost);
    }
}

// Guards against verdicts from evidence that waited in the owner's socket during a pause too short to be detected: the progress
// that was reported meanwhile is read only after the timer has expired.
TEST_CASE("target loss: a short pause of the owner delays the verdict")
{
    Owner owner;
    owner.report({makeEvidence(2, 1), 5, "dc1"}, start);
    owner.report({makeEvidence(1, 1), 6, "dc2"}, start);
    owner.run(start + 20 * millisecond, start + 40 * millisecond);
    owner.run(start + 200 * millisecond, start + 200 * millisecond);
    CHECK_FALSE(owner.isLost());
    owner.run(start + 220 * millisecond, start + 300 * millisecond);
    CHECK(owner.isLost());
}

// Guards against idle flows that stay on a target that has left, and against resets while an entry is missing only because the
// store failed.
TEST_CASE("target loss: targets whose entries are gone")
{
    struct Row {
        std::string pattern;
        Time storeSince;
        Time confirmedAt; ///< relative to the removal
        Time progressAt; ///< relative to the removal
        std::uint64_t removed; ///< number of targets of the data centre that are gone
        bool lost;
    };
    const Row rows[] = {
        {"the store answers", -10 * second, 6 * second, -second, 1, true},
        {"the store has answered for too short a time", 2 * second, 6 * second, -second, 1, false},
        {"nothing was confirmed for long", -10 * second, 4 * second, -second, 1, false},
        {"progress since the removal", -10 * second, 6 * second, second, 1, false},
        {"most entries of the data centre", -10 * second, 6 * second, -second, 6, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        Owner owner;
        const Time removedAt = start - 6 * second;
        for (std::uint64_t id = judged; id < judged + row.removed; ++id) {
            removeTarget(owner.forwarder.table, id, 900, removedAt);
        }
        owner.target().openFlows = 1;
        owner.target().lastProgressAt = removedAt + row.progressAt;
        owner.forwarder.targetLoss.secondRequestAt[testdata::shopAddress] = start;
        owner.forwarder.targetLoss.verdicts.store = {removedAt + row.storeSince, removedAt + row.confirmedAt};
        owner.run(start, start);
        CHECK(owner.isLost() == row.lost);
    }
    // The entry comes back: the verdict is withdrawn.
    Owner owner;
    removeTarget(owner.forwarder.table, judged, 900, start - second);
    owner.target().lostSince = start;
    owner.forwarder.targetLoss.lost.insert(judged);
    applyTarget(owner.forwarder.table, testdata::makeTarget(judged, 901), start + second);
    owner.run(start + second, start + second);
    CHECK_FALSE(owner.isLost());
    CHECK(owner.forwarder.targetLoss.lost.empty());
}

// Guards against verdicts that stay in force although a node has seen progress after the stalls began.
TEST_CASE("target loss: verdicts are withdrawn on progress")
{
    struct Row {
        std::string pattern;
        Time progressAge; ///< before `start` + 200 ms; the stalls began at `start` - 250 ms
        bool lost;
    };
    const Row rows[] = {
        {"progress after the verdict", 20 * millisecond, false},
        {"progress between the stalls and the verdict", 300 * millisecond, false},
        {"progress before the stalls", 500 * millisecond, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        Owner owner;
        owner.report({makeEvidence(2, 1), 5, "dc1"}, start);
        owner.report({makeEvidence(1, 1), 6, "dc2"}, start);
        owner.run(start + 20 * millisecond, start + 180 * millisecond);
        REQUIRE(owner.isLost());
        TargetEvidence progress = makeEvidence(0, 0);
        progress.progressAge = row.progressAge;
        owner.report({progress, 6, "dc2"}, start + 200 * millisecond);
        owner.run(start + 200 * millisecond, start + 200 * millisecond);
        CHECK(owner.isLost() == row.lost);
        CHECK(owner.target().noVerdictUntil == (row.lost ? 0 : start + 2200 * millisecond));
    }
}

// Guards against a silent target that is never declared lost because its owner sees only one or two flows of each caller: no
// single caller has enough answers there to be credible, but all callers together have.
TEST_CASE("target loss: requests in progress that support the evidence")
{
    struct Row {
        std::string_view name;
        int stalledCallers; ///< callers with an overdue request on the target
        int stalledFlows; ///< of them in the evidence
        int answers; ///< of all callers
        int overdueElsewhere; ///< on a target without evidence against it
        bool answersToStalled; ///< the stalled callers themselves have got the answers
        bool expected;
    };
    const Row rows[] = {
        {"three callers, all others are answered", 3, 3, 40, 0, false, true},
        {"some requests elsewhere are overdue", 3, 3, 40, 10, false, true},
        {"too many requests elsewhere are overdue", 3, 3, 40, 11, false, false},
        {"nobody is answered", 3, 3, 0, 0, false, false},
        {"two callers", 2, 2, 40, 0, false, false},
        {"two credible callers", 2, 2, 8, 11, true, true},
        {"most overdue requests don't stall", 5, 2, 40, 0, false, false},
        {"half of the overdue requests stall", 6, 3, 40, 0, false, true},
        {"no overdue request", 0, 3, 40, 0, false, false},
    };
    constexpr std::uint64_t target = 1;
    constexpr std::uint64_t otherTarget = 2;
    for (const Row &row : rows) {
        CAPTURE(row.name);
        WorkSummary work;
        for (int n = 0; n < row.stalledCallers; ++n) {
            const auto ip = static_cast<std::uint32_t>(n + 1);
            work.callers[ip] = {row.answersToStalled ? row.answers / row.stalledCallers : 0, 1};
            work.overdue[target].push_back(ip);
        }
        constexpr std::uint32_t otherCaller = 100;
        if (!row.answersToStalled) {
            work.callers[otherCaller].answered = row.answers;
        }
        for (int n = 0; n < row.overdueElsewhere; ++n) {
            ++work.callers[otherCaller].overdue;
            work.overdue[otherTarget].push_back(otherCaller);
        }
        CHECK(isWorkConsistent(work, target, row.stalledFlows, [](std::uint64_t id) { return id == target; }) == row.expected);
    }
}
