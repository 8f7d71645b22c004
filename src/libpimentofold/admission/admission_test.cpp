#include <pimentofold/admission/admission.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

constexpr Time runTime = 20 * millisecond;

/// Admission control and targets of one service, with a simulated clock.
struct TestService {
    Admission admission;
    TargetSet targets;
    Random random{1};
    Time now = 0;
    std::vector<AdmissionDecision> out;

    explicit TestService(std::vector<TargetEntry> entries, std::vector<WorkKindPolicy> policies = {}, int pipelineDepth = 0)
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

    /// Runs requests one after the other, so that the mean and minimum run times are known.
    void recordRunTimes(int requests = 40, Time run = runTime, int kind = 0)
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

// Guards against requests that are queued although they can't be served in time, and against refusals with a wrong reason.
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
        TestService service(twoTargets);
        service.recordRunTimes();
        for (int i = 0; i < it.busySlots; ++i) {
            service.offerOne(static_cast<RequestId>(i) + 1, 0, service.now + 5 * second);
        }
        for (const TargetEntry &target : twoTargets) {
            setReachable(service.targets, target.id, it.reachable, service.now);
        }
        const AdmissionDecision decision = service.offerOne(99, 0, service.now + it.deadlineIn);
        CHECK(decision.action == it.action);
        CHECK(decision.reason == it.reason);
        const bool hint = decision.retryAfterMs >= 200 && decision.retryAfterMs <= 2000;
        CHECK(hint == (it.action == AdmissionAction::Refuse && it.reason != Reason::TimedOut));
    }
}

// Guards against a full queue that keeps requests which can no longer be answered in time and refuses others.
TEST_CASE("a full queue refuses the request with the earliest deadline")
{
    TestService service({{11, 1, true}});
    service.recordRunTimes();
    service.offerOne(1, 0, service.now + second);
    const std::size_t bound = 10; // 200 ms of work at 20 ms each
    for (RequestId id = 2; id < 2 + bound; ++id) {
        CHECK(service.offerOne(id, 0, service.now + (id == 5 ? 800 : 2000) * millisecond).action == AdmissionAction::Queue);
    }
    CHECK(service.offerOne(50, 0, service.now + 2 * second).action == AdmissionAction::Queue);
    REQUIRE(service.out.size() == 2);
    CHECK(service.out.front().id == 5);
    CHECK(service.out.front().reason == Reason::Overload);
    CHECK(service.offerOne(51, 0, service.now + 700 * millisecond).action == AdmissionAction::Refuse);
}

// Guards against queued requests that start after their deadline has passed or their caller has cancelled them.
TEST_CASE("queued requests are refused on expiry and on cancellation")
{
    TestService service({{11, 1, true}});
    service.recordRunTimes();
    service.offerOne(1, 0, service.now + second);
    CHECK(service.offerOne(2, 0, service.now + 100 * millisecond).action == AdmissionAction::Queue);
    CHECK(service.offerOne(3, 0, service.now + 300 * millisecond).action == AdmissionAction::Queue);
    service.out.clear();
    cancel(service.admission, service.targets, 3, service.now, service.random, service.out);
    REQUIRE(service.out.size() == 1);
    CHECK(service.out[0].reason == Reason::Cancelled);
    service.out.clear();
    expire(service.admission, service.targets, service.now + 95 * millisecond, service.random, service.out);
    REQUIRE(service.out.size() == 1);
    CHECK(service.out[0].id == 2);
    CHECK(service.out[0].reason == Reason::Overload);
    CHECK(service.admission.queued == 0);
    service.finishOne(1);
    CHECK(service.out.empty());
}

// Guards against a concurrency limit that ignores sheds or waits at the targets, and against one that never recovers.
TEST_CASE("the limit decreases on sheds and on waits and recovers")
{
    for (const LimitAlgorithm algorithm : {LimitAlgorithm::Aimd, LimitAlgorithm::Gradient}) {
        for (const bool sheds : {true, false}) {
            CAPTURE(static_cast<int>(algorithm));
            CAPTURE(sheds);
            TestService service({{11, 20, true}, {12, 20, true}});
            service.admission.settings.limitAlgorithm = algorithm;
            RequestId id = 1;
            const auto runRound = [&](RequestOutcome outcome, Time run) {
                service.now += 100 * millisecond; // longer than the pause after a shed
                expire(service.admission, service.targets, service.now, service.random, service.out);
                for (int i = 0; i < 40; ++i) {
                    service.offerOne(id++, 0, service.now + 10 * second);
                }
                while (!service.admission.running.empty()) {
                    service.now += run;
                    const auto running = service.admission.running;
                    for (const auto &it : running) {
                        service.finishOne(it.first, outcome);
                    }
                }
            };
            for (int i = 0; i < 10; ++i) {
                runRound(RequestOutcome::Done, 100 * millisecond);
            }
            const double before = service.admission.limit.limit;
            CHECK(before == 40);
            for (int i = 0; i < 10; ++i) {
                runRound(sheds ? RequestOutcome::Shed : RequestOutcome::Done, 400 * millisecond);
            }
            CHECK(service.admission.limit.limit < 0.7 * before);
            for (int i = 0; i < 400; ++i) {
                runRound(RequestOutcome::Done, 100 * millisecond);
            }
            CHECK(service.admission.limit.limit > 0.9 * before);
        }
    }
}

// Guards against callers that are refused at the same time and then retry at the same time.
TEST_CASE("retry hints of simultaneous refusals are spread over their range")
{
    TestService service(twoTargets);
    std::array<int, 20> bins{};
    for (int i = 0; i < 10000; ++i) {
        const int hint = retryHintMs(service.admission, service.random);
        REQUIRE(hint >= 200);
        REQUIRE(hint <= 2000);
        bins.at(static_cast<std::size_t>(std::min(hint, 1999) / 100)) += 1;
    }
    CHECK(*std::max_element(bins.begin(), bins.end()) < 10000.0 / 18 * 1.3);
}

// Guards against a kind of work that occupies more slots than its ceiling.
TEST_CASE("a kind stays below its ceiling")
{
    TestService service({{11, 10, true}}, {{0, 0, 1}, {1, 0, 0.3}});
    int started = 0;
    for (RequestId id = 1; id <= 10; ++id) {
        started += service.offerOne(id, 1, service.now + second).action == AdmissionAction::Start ? 1 : 0;
    }
    CHECK(started == 3);
}

// Guards against head-of-line blocking: a request that waits for one busy target delays requests for other targets.
TEST_CASE("a request bound to a busy target doesn't block requests for others")
{
    TestService service(twoTargets);
    for (RequestId id = 1; id <= 2; ++id) {
        CHECK(service.offerOne(id, 0, service.now + second, 11).target == 11);
    }
    CHECK(service.offerOne(3, 0, service.now + second, 11).action == AdmissionAction::Queue);
    service.offerOne(4, 0, service.now + second, 12);
    CHECK(service.out.back().action == AdmissionAction::Start);
    CHECK(service.out.back().target == 12);
    service.finishOne(1);
    REQUIRE(service.out.size() == 1);
    CHECK(service.out[0].id == 3);
    CHECK(service.out[0].target == 11);
}

// Guards against memory use that grows with the number of offered requests.
TEST_CASE("the queues stay within their bound under a flood of requests")
{
    TestService service({{11, 64, true}}, {{0, 0.2, 1}, {1, 0.2, 1}, {2, 0.2, 1}});
    for (int kind = 0; kind < 3; ++kind) {
        service.recordRunTimes(30, 100 * microsecond, kind);
    }
    for (RequestId id = 1; id <= 20000; ++id) {
        service.out.clear();
        offer(service.admission, service.targets, {id, static_cast<int>(id % 3), service.now + second, 100, 0}, service.now, service.random, service.out);
        REQUIRE(service.admission.queued <= service.admission.settings.maxQueueLength);
        REQUIRE(service.admission.running.size() <= 64);
    }
    for (const WorkKindState &it : service.admission.kinds) {
        CHECK(it.queue.size() > 200);
    }
}

// Guards against a dispatcher that spends its time on relayed requests which it can only refuse.
TEST_CASE("an overloaded kind limits the rate of requests relayed to it")
{
    TestService service(twoTargets);
    service.recordRunTimes();
    CHECK(relayAllowance(service.admission, service.targets, 0, 15, service.now) == 0);
    for (RequestId id = 1; id <= 1000; ++id) {
        service.offerOne(id, 0, service.now + second);
    }
    // Four slots of 20 ms each finish 200 requests a second.
    CHECK(relayAllowance(service.admission, service.targets, 0, 10, service.now) == doctest::Approx(40).epsilon(0.05));
}

namespace {

/// Defects that are injected on purpose; each one must make a check fail.
enum class InjectedDefect { None, NoFloors, ExtraSlot, StartAfterRefusal };

/// A random flood of requests of three kinds of work, with a model of the targets that is independent of the library's counters.
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

/// Records the start of a request and checks the bounds on refusals and on requests in flight.
void recordStart(Flood &flood, const AdmissionDecision &decision, int kind, Time now)
{
    if (flood.refused.contains(decision.id)) {
        flood.violation = "a refused request was started";
    }
    const TargetChoiceSettings settings;
    const int depth = flood.shortRuns ? settings.shortRunPipelineDepth : settings.pipelineDepth;
    if (++flood.inFlight[decision.target] > flood.realSlots[decision.target] + depth && flood.violation.empty()) {
        flood.violation = "a target has more requests than slots and pipeline depth";
    }
    flood.running[decision.id] = {decision.target, kind, now};
    const double meanRunTime = flood.shortRuns ? (kind + 1) * 4.0 : (kind + 2) * 10.0;
    flood.ends.emplace(now + 1 + static_cast<Time>(exponential(flood.random, meanRunTime * millisecond)), decision.id);
}

void recordDecisions(Flood &flood, const std::vector<AdmissionDecision> &out, InjectedDefect defect, Time now)
{
    for (AdmissionDecision it : out) {
        const int kind = static_cast<int>(it.id % 3);
        if (it.action == AdmissionAction::Start) {
            recordStart(flood, it, kind, now);
        } else if (it.action == AdmissionAction::Refuse) {
            flood.refused.insert(it.id);
            if (defect == InjectedDefect::StartAfterRefusal && it.id % 1000 == 1) {
                it.target = flood.realSlots.begin()->first;
                recordStart(flood, it, kind, now);
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

/// @return description of a kind that got less slot time than its floor; empty when there is none
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

/// Offers the flood to admission control until floodLength has passed.
/// @return the first violation; empty when there is none
std::string runFlood(std::uint64_t seed, InjectedDefect defect)
{
    Flood flood = makeFlood(seed);
    TestService service({}, {}, TargetChoiceSettings().pipelineDepth);
    std::vector<TargetEntry> entries;
    for (const auto &[id, slots] : flood.realSlots) {
        entries.push_back({id, slots + (defect == InjectedDefect::ExtraSlot ? 1 : 0), true});
    }
    std::vector<WorkKindPolicy> policies = flood.policies;
    for (WorkKindPolicy &it : policies) {
        it.floorShare = defect == InjectedDefect::NoFloors ? 0 : it.floorShare;
    }
    setPolicies(service.admission, policies);
    setTargets(service.targets, entries, 0);
    for (const TargetEntry &it : entries) {
        setReachable(service.targets, it.id, true, 0);
    }
    RequestId id = 1;
    while (service.now < floodLength && flood.violation.empty()) {
        service.out.clear();
        if (!flood.ends.empty() && flood.ends.begin()->first <= service.now) {
            const RequestId ended = flood.ends.begin()->second;
            flood.ends.erase(flood.ends.begin());
            endRequest(flood, ended, service.now);
            finish(service.admission, service.targets, ended, RequestOutcome::Done, service.now, service.random, service.out);
        } else if (id % 50 == 0) {
            expire(service.admission, service.targets, service.now, service.random, service.out);
            ++id;
        } else {
            const Time deadline = service.now + static_cast<Time>(exponential(flood.random, 1.0 * second));
            offer(service.admission, service.targets, {id, static_cast<int>(id % 3), deadline, 100, 0}, service.now, service.random, service.out);
            ++id;
            service.now += static_cast<Time>(exponential(flood.random, 100.0));
        }
        recordDecisions(flood, service.out, defect, service.now);
    }
    return flood.violation.empty() ? checkFloors(flood) : flood.violation;
}

} // namespace

// Guards against a flood of requests in which a kind gets less than its floor, a target gets more requests than allowed or a
// refused request runs.
TEST_CASE("floors, slot limits and refusals hold under a flood of all kinds")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        CHECK(runFlood(seed, InjectedDefect::None) == "");
    }
}

// Guards against checks that can't fail: each injected defect has to be detected.
TEST_CASE("the checks of the flood detect injected defects")
{
    struct Row {
        InjectedDefect defect;
        std::string expected;
    };
    for (const Row &it : {Row{InjectedDefect::NoFloors, "floor"},
                          Row{InjectedDefect::ExtraSlot, "more requests than slots"},
                          Row{InjectedDefect::StartAfterRefusal, "refused request"}}) {
        CAPTURE(it.expected);
        const std::string violation = runFlood(1, it.defect);
        CAPTURE(violation);
        CHECK(violation.find(it.expected) != std::string::npos);
    }
}
