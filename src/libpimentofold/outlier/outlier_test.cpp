#include <doctest/doctest.h>

#include <set>

#include <pimentofold/outlier/judgement.h>
#include <pimentofold/outlier/outlier.h>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

/// A node that owns 6 targets, with requests that are started and answered directly.
struct Fixture {
    EdgeForwarder node = makeForwarder(6, 0);
    Time now = second;
    std::uint16_t port = 0;
    std::vector<OutlierEvent> events;

    Fixture()
    {
        node.table.outliers.settings.enabled = true;
    }

    EdgeTarget &target(std::uint64_t id = 1)
    {
        return *findTarget(node.table, id);
    }

    FlowKey start(std::uint64_t id)
    {
        FlowKey flow = makeKey(++port);
        flow.caller.ip += port % 7;
        recordRequestStarted(node.table, flow, target(id), now);
        return flow;
    }

    void advance(Time time)
    {
        for (const Time end = now + time; now < end;) {
            now += std::min<Time>(50 * millisecond, end - now);
            tickOutlierDetection(node.table, now, events);
        }
    }

    /// Lets each target answer @p count requests within 50 ms, but for those that hang.
    void answerAll(int count, const std::set<std::uint64_t> &hanging)
    {
        for (int n = 0; n < count; ++n) {
            std::map<std::uint64_t, FlowKey> flows;
            for (std::uint64_t id = 1; id <= 6; ++id) {
                flows[id] = start(id);
            }
            advance(50 * millisecond);
            for (const auto &[id, flow] : flows) {
                if (!hanging.contains(id)) {
                    recordRequestAnswered(node.table, flow, id, now);
                }
            }
        }
    }

    void ejectFirst()
    {
        answerAll(12, {1});
        REQUIRE(target().performance.ejected);
    }

    /// Makes one trial request on the first target once it is due.
    /// @return the wait before it
    Time trial(bool passes)
    {
        const Time from = now;
        while (isEjected(target(), RouteType::Safe, now)) {
            answerAll(1, {});
        }
        CHECK(expectedSlowdown(target(), now) == 0);
        const FlowKey flow = start(1);
        CHECK(isEjected(target(), RouteType::Safe, now));
        const Time wait = now - from;
        if (passes) {
            advance(50 * millisecond);
            recordRequestAnswered(node.table, flow, 1, now);
        } else {
            advance(400 * millisecond);
        }
        return wait;
    }
};

} // namespace

// Guards against ejected targets that lose many trial requests, never return, or get their whole share of flows at once.
TEST_CASE("outlier detection: trials of an ejected target and its return")
{
    Fixture it;
    it.ejectFirst();
    REQUIRE(it.events.size() == 1);
    CHECK(it.events.front().ejected);
    CHECK(it.events.front().reason == EjectionReason::Unanswered);
    CHECK(it.node.table.outliers.ejectedCount == 1);
    it.trial(false);
    for (const Time interval : {1, 2, 4, 4}) {
        const Time wait = it.trial(false);
        CHECK(wait > interval * second - 300 * millisecond);
        CHECK(wait < interval * second + 150 * millisecond);
    }
    it.trial(true);
    CHECK(it.trial(true) < 600 * millisecond);
    it.trial(true);
    it.advance(100 * millisecond);
    CHECK_FALSE(it.target().performance.ejected);
    CHECK(it.events.back().byTrials);
    CHECK(expectedSlowdown(it.target(), it.now) > 4);
    CHECK(expectedSlowdown(it.target(), it.now + returnTime / 2) < 3);
    CHECK(expectedSlowdown(it.target(), it.now + returnTime) == 1);
}

// Guards against requests that must not run twice being lost as trials although others come.
TEST_CASE("outlier detection: unsafe requests are used as trials later")
{
    Fixture it;
    it.ejectFirst();
    const Time due = it.target().performance.nextTrialAt;
    CHECK_FALSE(isEjected(it.target(), RouteType::Safe, due));
    CHECK(isEjected(it.target(), RouteType::Unsafe, due));
    CHECK_FALSE(isEjected(it.target(), RouteType::Upload, due + unsafeTrialDelay));
}

// Guards against flapping targets that lose requests after each return.
TEST_CASE("outlier detection: the pause grows with each ejection")
{
    Fixture it;
    Time previous = 0;
    for (int n = 0; n < 3; ++n) {
        it.ejectFirst();
        const Time pause = it.target().performance.nextTrialAt - it.node.table.outliers.targets.at(1).ejectedAt;
        CHECK(pause == std::max(2 * previous, minTrialInterval));
        previous = pause;
        for (int passed = 0; passed < trialsToReturn; ++passed) {
            it.trial(true);
        }
        it.advance(100 * millisecond);
        REQUIRE_FALSE(it.target().performance.ejected);
    }
}

// Guards against ejections on evidence that doesn't count: of targets that can't be judged, from before a pause of the process,
// beyond the table of requests, by a single lost notice, and of a previous owner.
TEST_CASE("outlier detection: evidence that doesn't count")
{
    struct Row {
        std::string name;
        std::function<void(Fixture &)> prepare; ///< after which the first target's requests hang
        bool ejected;
    };
    const Row rows[] = {
        {"usual", [](Fixture &) {}, true},
        {"off", [](Fixture &it) { it.node.table.outliers.settings.enabled = false; }, false},
        {"draining",
         [](Fixture &it) {
             TargetRecord record = makeTarget(1, 1000);
             record.state = TargetState::Draining;
             applyTarget(it.node.table, record, it.now);
         },
         false},
        {"cold", [](Fixture &it) { it.target().warmupEndsAt = it.now + minute; }, false},
        {"suspected", [](Fixture &it) { it.target().unansweredOpenings = 2; }, false},
        {"lost", [](Fixture &it) { it.target().lostSince = it.now; }, false},
        {"owned elsewhere", [](Fixture &it) { it.target().owner = 7; }, false},
        {"table full", [](Fixture &it) { it.node.table.outliers.settings.maxRequests = 0; }, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Fixture it;
        it.answerAll(12, {});
        row.prepare(it);
        it.answerAll(12, {1});
        it.advance(second);
        CHECK(it.target().performance.ejected == row.ejected);
        CHECK(it.events.size() == (row.ejected ? 1 : 0));
    }
    Fixture it;
    it.answerAll(5, {});
    it.answerAll(1, {1}); // a lost notice
    it.answerAll(20, {});
    CHECK(it.events.empty());
}

// Guards against targets that are judged by what they seemed to do while this process was paused.
TEST_CASE("outlier detection: a pause of the process drops the requests at work")
{
    for (const bool paused : {false, true}) {
        Fixture it;
        it.answerAll(5, {});
        it.answerAll(4, {1});
        if (paused) {
            it.now += maxRunGap;
        }
        it.advance(300 * millisecond);
        CHECK(it.target().performance.ejected != paused);
    }
}

// Guards against requests that the evidence leaves out: the first of a flow, which starts with its offer, and further ones on the
// same flow. Without outlier detection nothing is recorded.
TEST_CASE("outlier detection: requests are measured from callers' packets")
{
    struct Step {
        Time at; ///< in milliseconds
        std::uint32_t sequence;
        std::uint16_t payloadBytes;
        std::uint32_t acknowledgement;
    };
    const Step steps[] = {{2, 1, 180, 900}, {30, 181, 0, 2100}, {100, 181, 180, 2100}, {150, 361, 0, 3300}};
    for (const bool enabled : {false, true}) {
        Fixture it;
        it.node.table.outliers.settings.enabled = enabled;
        ForwardOutput out;
        handlePacket(it.node, makeOpening(1), it.now, out);
        const ForwardedPacket opening = out.packets.front();
        for (const Step &step : steps) {
            FlowPacket packet = makeData(1, opening.token);
            packet.sequence = step.sequence;
            packet.payloadBytes = step.payloadBytes;
            packet.acknowledgement = step.acknowledgement;
            handlePacket(it.node, packet, it.now + step.at * millisecond, out);
        }
        CHECK(it.node.table.outliers.requests.empty());
        CHECK(it.node.table.outliers.targets.size() == (enabled ? 1 : 0));
        const Time later = it.now + 160 * millisecond;
        tickForwarder(it.node, later, out);
        CHECK((nextForwarderTick(it.node) <= later + outlierTickInterval) == enabled);
        if (enabled) {
            const std::vector<RequestSample> &samples = it.node.table.outliers.targets.at(opening.target).samples;
            REQUIRE(samples.size() == 2);
            CHECK(samples[0].duration == 30 * millisecond);
            CHECK(samples[1].duration == 50 * millisecond);
        }
    }
}

// Guards against state that stays when a target gets another owner or starts again.
TEST_CASE("outlier detection: another owner and another start of the target begin without state")
{
    for (const bool restarts : {false, true}) {
        Fixture it;
        it.ejectFirst();
        if (restarts) {
            TargetRecord record = makeTarget(1, 1000);
            record.startedAt = 2;
            applyTarget(it.node.table, record, it.now);
        } else {
            it.target().owner = 7;
            CHECK_FALSE(isEjected(it.target(), RouteType::Safe, it.now));
        }
        it.advance(100 * millisecond);
        CHECK_FALSE(it.target().performance.ejected);
        CHECK_FALSE(it.node.table.outliers.targets.contains(1));
        CHECK(it.node.table.outliers.ejectedCount == 0);
    }
}

// Guards against ejections that leave too few slots for the requests at work.
TEST_CASE("outlier detection: targets return when the others have too little room")
{
    Fixture it;
    it.ejectFirst();
    for (std::uint64_t id = 2; id <= 6; ++id) {
        it.target(id).workingFlows = 2;
    }
    it.answerAll(40, {1}); // its trials fail
    CHECK_FALSE(it.target().performance.ejected);
    CHECK_FALSE(it.events.back().byTrials);
    it.answerAll(12, {1});
    CHECK_FALSE(it.target().performance.ejected);
}

// Guards against ejections when most targets have the same fault, which is then not theirs.
TEST_CASE("outlier detection: targets with overdue requests are compared with all others when they are many")
{
    struct Row {
        int bad; ///< of 9, with half of their requests overdue
        std::size_t outliers;
    };
    for (const Row &row : {Row{0, 0}, Row{1, 1}, Row{3, 3}, Row{5, 0}, Row{9, 0}}) {
        CAPTURE(row.bad);
        TargetHistory history;
        std::vector<Judgement> judged(9);
        for (int n = 0; n < 9; ++n) {
            Judgement &it = judged[static_cast<std::size_t>(n)];
            it.history = &history;
            it.requests = 20;
            it.overdue = n < row.bad ? 10 : 0;
            it.othersOverdueShare = it.overdueShare();
        }
        CHECK(findOutliers(judged, second).size() == row.outliers);
    }
}

// Guards against targets with a queue that are taken for slow.
TEST_CASE("outlier detection: the time of a request is divided by its place in the queue")
{
    Fixture it;
    it.target().workingFlows = 6; // of 2 slots
    const FlowKey flow = it.start(1);
    it.advance(90 * millisecond);
    recordRequestAnswered(it.node.table, flow, 1, it.now);
    REQUIRE(it.node.table.outliers.targets.at(1).samples.size() == 1);
    CHECK(it.node.table.outliers.targets.at(1).samples.front().duration == 30 * millisecond);
}

// Guards against placement by differences that are chance.
TEST_CASE("outlier detection: factor on the expected work")
{
    struct Row {
        double relativeTime;
        std::size_t samples;
        double slowdown;
    };
    const Row rows[] = {{1, 50, 1}, {1.4, 50, 1}, {0.7, 50, 1}, {3, 50, 3}, {6, 4, 1}, {2.5, 5, 1}, {20, 50, maxSlowdown}, {0.1, 50, minSlowdown}, {0, 50, 1}};
    for (const Row &row : rows) {
        CHECK(slowdownOf(row.relativeTime, row.samples) == doctest::Approx(row.slowdown));
    }
}

// Guards against flows that wait for a target without room while another one has room.
TEST_CASE("outlier detection: a slow target with a free slot ranks before one without room")
{
    Fixture it;
    it.target(1).performance.slowdown = maxSlowdown;
    it.target(2).performance.slowdown = minSlowdown;
    it.target(2).workingFlows = 5;
    constexpr double flowsPerSlot = 2;
    CHECK_FALSE(hasRoom(it.target(2), flowsPerSlot));
    CHECK(expectedWork(it.target(1), 1, flowsPerSlot, it.now) < expectedWork(it.target(2), 6, flowsPerSlot, it.now));
}
