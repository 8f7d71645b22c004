#include <pimentofold/admission.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

constexpr Time runTime = 20 * millisecond;

/// One service under test with its clock.
struct Bench {
    Admission admission;
    TargetSet targets;
    Random random{1};
    Time now = 0;
    std::vector<AdmissionDecision> out;

    explicit Bench(std::vector<TargetEntry> entries, std::vector<WorkKindPolicy> policies = {}, int pipelineDepth = 0)
    {
        targets.settings.pipelineDepth = pipelineDepth;
        setPolicies(admission, policies);
        setTargets(targets, entries, now);
        for (const TargetEntry &it : entries) {
            setReachable(targets, it.id, true, now);
        }
    }

    AdmissionDecision offerOne(RequestId id, int kind, Time deadline, Id target = 0)
    {
        out.clear();
        offer(admission, targets, {id, kind, deadline, 100, target}, now, random, out);
        const auto it = std::find_if(out.begin(), out.end(), [id](const AdmissionDecision &decision) { return decision.id == id; });
        REQUIRE(it != out.end());
        return *it;
    }

    void finishOne(RequestId id, RequestOutcome outcome = RequestOutcome::Done)
    {
        out.clear();
        finish(admission, targets, id, outcome, now, random, out);
    }

    /// Runs requests one after the other, so that the run time is known.
    void learnRunTime(int requests = 40, Time run = runTime, int kind = 0)
    {
        for (int i = 0; i < requests; ++i) {
            const RequestId id = 1'000'000 + static_cast<RequestId>(i);
            offerOne(id, kind, now + 10 * second);
            now += run;
            finishOne(id);
        }
    }
};

const std::vector<TargetEntry> twoTargets{{11, 2, true}, {12, 2, true}};

} // namespace

// Guards against requests that wait in vain, and against reasons that mislead the caller.
TEST_CASE("a request is started, queued or refused with the right reason")
{
    struct Row {
        const char *name;
        int busySlots;
        Time deadlineIn;
        bool reachable;
        AdmissionAction action;
        Reason reason;
    };
    const std::array<Row, 6> rows{{
        {"idle service", 0, 1 * second, true, AdmissionAction::Start, Reason::None},
        {"busy service", 4, 1 * second, true, AdmissionAction::Queue, Reason::None},
        {"deadline passed", 0, 0, true, AdmissionAction::Refuse, Reason::TimedOut},
        {"deadline shorter than any run", 0, 1 * millisecond, true, AdmissionAction::Refuse, Reason::DeadlineTooShort},
        {"wait longer than the deadline", 12, 30 * millisecond, true, AdmissionAction::Refuse, Reason::Overload},
        {"no reachable target", 0, 1 * second, false, AdmissionAction::Refuse, Reason::NoTarget},
    }};
    for (const Row &it : rows) {
        CAPTURE(it.name);
        Bench bench(twoTargets);
        bench.learnRunTime();
        for (int i = 0; i < it.busySlots; ++i) {
            bench.offerOne(static_cast<RequestId>(i) + 1, 0, bench.now + 5 * second);
        }
        for (const TargetEntry &target : twoTargets) {
            setReachable(bench.targets, target.id, it.reachable, bench.now);
        }
        const AdmissionDecision decision = bench.offerOne(99, 0, bench.now + it.deadlineIn);
        CHECK(decision.action == it.action);
        CHECK(decision.reason == it.reason);
        const bool hint = decision.retryAfterMs >= 200 && decision.retryAfterMs <= 2000;
        CHECK(hint == (it.action == AdmissionAction::Refuse && it.reason != Reason::TimedOut));
    }
}

// Guards against a full queue that keeps requests which can't be answered in time any more.
TEST_CASE("a full queue drops the request with the least time left")
{
    Bench bench({{11, 1, true}});
    bench.learnRunTime();
    bench.offerOne(1, 0, bench.now + second);
    const std::size_t bound = 10; // 200 ms of work at 20 ms each
    for (RequestId id = 2; id < 2 + bound; ++id) {
        CHECK(bench.offerOne(id, 0, bench.now + (id == 5 ? 800 : 2000) * millisecond).action == AdmissionAction::Queue);
    }
    CHECK(bench.offerOne(50, 0, bench.now + 2 * second).action == AdmissionAction::Queue);
    REQUIRE(bench.out.size() == 2);
    CHECK(bench.out.front().id == 5);
    CHECK(bench.out.front().reason == Reason::Overload);
    CHECK(bench.offerOne(51, 0, bench.now + 700 * millisecond).action == AdmissionAction::Refuse);
}

// Guards against queued requests that outlive their deadline or their caller.
TEST_CASE("queued requests end by expiry and by cancellation")
{
    Bench bench({{11, 1, true}});
    bench.learnRunTime();
    bench.offerOne(1, 0, bench.now + second);
    CHECK(bench.offerOne(2, 0, bench.now + 100 * millisecond).action == AdmissionAction::Queue);
    CHECK(bench.offerOne(3, 0, bench.now + 300 * millisecond).action == AdmissionAction::Queue);
    bench.out.clear();
    cancel(bench.admission, bench.targets, 3, bench.now, bench.random, bench.out);
    REQUIRE(bench.out.size() == 1);
    CHECK(bench.out[0].reason == Reason::Cancelled);
    bench.out.clear();
    expire(bench.admission, bench.targets, bench.now + 95 * millisecond, bench.random, bench.out);
    REQUIRE(bench.out.size() == 1);
    CHECK(bench.out[0].id == 2);
    CHECK(bench.out[0].reason == Reason::Overload);
    CHECK(bench.admission.queued == 0);
    bench.finishOne(1);
    CHECK(bench.out.empty());
}

// Guards against a limit that ignores sheds or waits at the targets, and against one that never grows back.
TEST_CASE("the limit shrinks on sheds and on waits and grows back")
{
    for (const LimitAlgorithm law : {LimitAlgorithm::Aimd, LimitAlgorithm::Gradient}) {
        for (const bool sheds : {true, false}) {
            CAPTURE(static_cast<int>(law));
            CAPTURE(sheds);
            Bench bench({{11, 20, true}, {12, 20, true}});
            bench.admission.settings.limitAlgorithm = law;
            RequestId id = 1;
            const auto runRound = [&](RequestOutcome outcome, Time run) {
                bench.now += 100 * millisecond; // longer than the pause after a shed
                expire(bench.admission, bench.targets, bench.now, bench.random, bench.out);
                for (int i = 0; i < 40; ++i) {
                    bench.offerOne(id++, 0, bench.now + 10 * second);
                }
                while (!bench.admission.running.empty()) {
                    bench.now += run;
                    const auto running = bench.admission.running;
                    for (const auto &it : running) {
                        bench.finishOne(it.first, outcome);
                    }
                }
            };
            for (int i = 0; i < 10; ++i) {
                runRound(RequestOutcome::Done, 100 * millisecond);
            }
            const double before = bench.admission.limit.limit;
            CHECK(before == 40);
            for (int i = 0; i < 10; ++i) {
                runRound(sheds ? RequestOutcome::Shed : RequestOutcome::Done, 400 * millisecond);
            }
            CHECK(bench.admission.limit.limit < 0.7 * before);
            for (int i = 0; i < 400; ++i) {
                runRound(RequestOutcome::Done, 100 * millisecond);
            }
            CHECK(bench.admission.limit.limit > 0.9 * before);
        }
    }
}

// Guards against callers that were refused at the same moment and come back at the same moment.
TEST_CASE("hints of simultaneous refusals are spread over their range")
{
    Bench bench(twoTargets);
    std::array<int, 20> bins{};
    for (int i = 0; i < 10000; ++i) {
        const int hint = retryHintMs(bench.admission, bench.random);
        REQUIRE(hint >= 200);
        REQUIRE(hint <= 2000);
        bins.at(static_cast<std::size_t>(std::min(hint, 1999) / 100)) += 1;
    }
    CHECK(*std::max_element(bins.begin(), bins.end()) < 10000.0 / 18 * 1.3);
}

// Guards against a kind of work that takes all slots although its ceiling is lower.
TEST_CASE("a kind stays below its ceiling")
{
    Bench bench({{11, 10, true}}, {{0, 0, 1}, {1, 0, 0.3}});
    int started = 0;
    for (RequestId id = 1; id <= 10; ++id) {
        started += bench.offerOne(id, 1, bench.now + second).action == AdmissionAction::Start ? 1 : 0;
    }
    CHECK(started == 3);
}

// Guards against one busy target that holds up the flows of all others.
TEST_CASE("a request bound to a busy target doesn't block requests for others")
{
    Bench bench(twoTargets);
    for (RequestId id = 1; id <= 2; ++id) {
        CHECK(bench.offerOne(id, 0, bench.now + second, 11).target == 11);
    }
    CHECK(bench.offerOne(3, 0, bench.now + second, 11).action == AdmissionAction::Queue);
    bench.offerOne(4, 0, bench.now + second, 12);
    CHECK(bench.out.back().action == AdmissionAction::Start);
    CHECK(bench.out.back().target == 12);
    bench.finishOne(1);
    REQUIRE(bench.out.size() == 1);
    CHECK(bench.out[0].id == 3);
    CHECK(bench.out[0].target == 11);
}

// Guards against memory that grows with a flood.
TEST_CASE("a flood can't grow the queues beyond their bound")
{
    Bench bench({{11, 64, true}}, {{0, 0.2, 1}, {1, 0.2, 1}, {2, 0.2, 1}});
    for (int kind = 0; kind < 3; ++kind) {
        bench.learnRunTime(30, 100 * microsecond, kind);
    }
    for (RequestId id = 1; id <= 20000; ++id) {
        bench.out.clear();
        offer(bench.admission, bench.targets, {id, static_cast<int>(id % 3), bench.now + second, 100, 0}, bench.now, bench.random, bench.out);
        REQUIRE(bench.admission.queued <= bench.admission.settings.maxQueueLength);
        REQUIRE(bench.admission.running.size() <= 64);
    }
    for (const WorkKindState &it : bench.admission.kinds) {
        CHECK(it.queue.size() > 200);
    }
}

// Guards against a dispatcher that is buried under relayed requests which it can only refuse.
TEST_CASE("an overloaded kind limits what is relayed to it")
{
    Bench bench(twoTargets);
    bench.learnRunTime();
    CHECK(relayAllowance(bench.admission, bench.targets, 0, 15, bench.now) == 0);
    for (RequestId id = 1; id <= 1000; ++id) {
        bench.offerOne(id, 0, bench.now + second);
    }
    // Four slots of 20 ms each finish 200 requests a second.
    CHECK(relayAllowance(bench.admission, bench.targets, 0, 10, bench.now) == doctest::Approx(40).epsilon(0.05));
}

namespace {

/// Deliberate defects; each one makes its check fail.
enum class Defect { None, NoFloors, ExtraSlot, StartAfterRefusal };

/// A randomised flood of three kinds of work, with a model of the targets that doesn't rely on the library's counts.
struct Flood {
    struct Running {
        Id target;
        int kind;
        Time startedAt;
    };

    Random random;
    bool shortRuns = false;
    std::map<Id, int> realSlots;
    std::vector<WorkKindPolicy> policies;
    std::map<RequestId, Running> running;
    std::multimap<Time, RequestId> ends;
    std::set<RequestId> refused;
    std::map<Id, int> inFlight;
    std::vector<double> slotTime = std::vector<double>(3);
    std::string violation;
};

constexpr Time floodLength = 10 * second;

Flood makeFlood(std::uint64_t seed)
{
    Flood flood;
    flood.random.state = seed;
    flood.shortRuns = seed % 2 == 0;
    const auto count = 1 + below(flood.random, 6);
    for (std::uint64_t i = 0; i < count; ++i) {
        flood.realSlots[static_cast<Id>(100 + i)] = static_cast<int>(1 + below(flood.random, 4));
    }
    for (int kind = 0; kind < 3; ++kind) {
        flood.policies.push_back({kind, 0.05 + 0.25 * unit(flood.random), 1});
    }
    return flood;
}

void noteStart(Flood &flood, const AdmissionDecision &decision, int kind, Time now)
{
    if (flood.refused.contains(decision.id)) {
        flood.violation = "a refused request was started";
    }
    const TargetChoiceSettings settings;
    const int ahead = flood.shortRuns ? settings.shortRunPipelineDepth : settings.pipelineDepth;
    if (++flood.inFlight[decision.target] > flood.realSlots[decision.target] + ahead && flood.violation.empty()) {
        flood.violation = "a target has more requests than slots and those sent ahead";
    }
    flood.running[decision.id] = {decision.target, kind, now};
    const double meanRunTime = flood.shortRuns ? (kind + 1) * 4.0 : (kind + 2) * 10.0;
    flood.ends.emplace(now + 1 + static_cast<Time>(exponential(flood.random, meanRunTime * millisecond)), decision.id);
}

void note(Flood &flood, const std::vector<AdmissionDecision> &out, Defect defect, Time now)
{
    for (AdmissionDecision it : out) {
        const int kind = static_cast<int>(it.id % 3);
        if (it.action == AdmissionAction::Start) {
            noteStart(flood, it, kind, now);
        } else if (it.action == AdmissionAction::Refuse) {
            flood.refused.insert(it.id);
            if (defect == Defect::StartAfterRefusal && it.id % 1000 == 1) {
                it.target = flood.realSlots.begin()->first;
                noteStart(flood, it, kind, now);
            }
        }
    }
}

void endRequest(Flood &flood, RequestId id, Time now)
{
    const Flood::Running it = flood.running[id];
    flood.running.erase(id);
    flood.inFlight[it.target] -= 1;
    flood.slotTime[static_cast<std::size_t>(it.kind)] += static_cast<double>(now - it.startedAt);
}

std::string checkFloors(const Flood &flood)
{
    double slots = 0;
    for (const auto &it : flood.realSlots) {
        slots += it.second;
    }
    for (std::size_t i = 0; i < flood.policies.size(); ++i) {
        const double share = flood.slotTime[i] / (slots * static_cast<double>(floodLength));
        if (share < 0.9 * flood.policies[i].floorShare) {
            return "kind " + std::to_string(i) + " got " + std::to_string(share) + " of the slots, floor " + std::to_string(flood.policies[i].floorShare);
        }
    }
    return "";
}

/// @return the first violation, empty when there is none
std::string runFlood(std::uint64_t seed, Defect defect)
{
    Flood flood = makeFlood(seed);
    Bench bench({}, {}, TargetChoiceSettings().pipelineDepth);
    std::vector<TargetEntry> entries;
    for (const auto &[id, slots] : flood.realSlots) {
        entries.push_back({id, slots + (defect == Defect::ExtraSlot ? 1 : 0), true});
    }
    std::vector<WorkKindPolicy> policies = flood.policies;
    for (WorkKindPolicy &it : policies) {
        it.floorShare = defect == Defect::NoFloors ? 0 : it.floorShare;
    }
    setPolicies(bench.admission, policies);
    setTargets(bench.targets, entries, 0);
    for (const TargetEntry &it : entries) {
        setReachable(bench.targets, it.id, true, 0);
    }
    RequestId id = 1;
    while (bench.now < floodLength && flood.violation.empty()) {
        bench.out.clear();
        if (!flood.ends.empty() && flood.ends.begin()->first <= bench.now) {
            const RequestId ended = flood.ends.begin()->second;
            flood.ends.erase(flood.ends.begin());
            endRequest(flood, ended, bench.now);
            finish(bench.admission, bench.targets, ended, RequestOutcome::Done, bench.now, bench.random, bench.out);
        } else if (id % 50 == 0) {
            expire(bench.admission, bench.targets, bench.now, bench.random, bench.out);
            ++id;
        } else {
            const Time deadline = bench.now + static_cast<Time>(exponential(flood.random, 1.0 * second));
            offer(bench.admission, bench.targets, {id, static_cast<int>(id % 3), deadline, 100, 0}, bench.now, bench.random, bench.out);
            ++id;
            bench.now += static_cast<Time>(exponential(flood.random, 100.0));
        }
        note(flood, bench.out, defect, bench.now);
    }
    return flood.violation.empty() ? checkFloors(flood) : flood.violation;
}

} // namespace

// Guards against a flood that starves a kind of its floor, overfills a target or runs what was refused.
TEST_CASE("a flood of all kinds keeps floors, slots and refusals")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        CHECK(runFlood(seed, Defect::None) == "");
    }
}

// Guards against checks that can't fail: each deliberate defect has to be found.
TEST_CASE("the flood's checks find deliberate defects")
{
    struct Row {
        Defect defect;
        std::string expected;
    };
    for (const Row &it :
         {Row{Defect::NoFloors, "floor"}, Row{Defect::ExtraSlot, "more requests than slots"}, Row{Defect::StartAfterRefusal, "refused request"}}) {
        CAPTURE(it.expected);
        const std::string violation = runFlood(1, it.defect);
        CAPTURE(violation);
        CHECK(violation.find(it.expected) != std::string::npos);
    }
}
