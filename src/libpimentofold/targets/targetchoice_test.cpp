#include <pimentofold/targetchoice.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

/// @return a set of the targets 1 to @p count, all reachable
TargetSet makeSet(int count, int slots)
{
    TargetSet set;
    std::vector<TargetEntry> entries;
    for (int i = 1; i <= count; ++i) {
        entries.push_back({i, slots, true});
    }
    setTargets(set, entries, 0);
    for (const TargetEntry &it : entries) {
        setReachable(set, it.id, true, 0);
    }
    return set;
}

/// Opens flows on the chosen targets.
/// @return number of flows opened on each target
std::map<Id, int> openMany(TargetSet &set, int flows, Time now)
{
    std::map<Id, int> opened;
    Random random{5};
    for (int i = 0; i < flows; ++i) {
        const std::optional<Id> target = chooseForFlow(set, now, random);
        if (target) {
            flowOpened(set, *target, now);
            opened[*target] += 1;
        }
    }
    return opened;
}

/// Starts a request on target 1, which sheds it.
void shed(TargetSet &set, Time now)
{
    requestStarted(set, 1);
    requestEnded(set, 1, TargetOutcome::Shed, now);
}

} // namespace

// Guards against new work on a target that is leaving, has shed a request, lost its connection or reports that it is unhealthy.
TEST_CASE("targets that leave, shed or fail get no new work immediately")
{
    struct Row {
        const char *name;
        void (*event)(TargetSet &set);
        bool accepts;
    };
    const std::array<Row, 6> rows{{
        {"nothing", [](TargetSet &) {}, true},
        {"shed", [](TargetSet &set) { shed(set, second); }, false},
        {"draining outcome",
         [](TargetSet &set) {
             requestStarted(set, 1);
             requestEnded(set, 1, TargetOutcome::Draining, second);
         },
         false},
        {"draining report",
         [](TargetSet &set) {
             reportStatus(set, 1, {true, true, 0, 0, 0}, second);
         },
         false},
        {"unhealthy report",
         [](TargetSet &set) {
             reportStatus(set, 1, {false, false, 0, 0, 0}, second);
         },
         false},
        {"connection lost", [](TargetSet &set) { setReachable(set, 1, false, second); }, false},
    }};
    for (const Row &it : rows) {
        CAPTURE(it.name);
        TargetSet set = makeSet(4, 2);
        it.event(set);
        CHECK(acceptsNewWork(set, *findTarget(set, 1), second) == it.accepts);
        CHECK(openMany(set, 400, second).contains(1) == it.accepts);
    }
    TargetSet set = makeSet(2, 2);
    setTargets(set, std::array<TargetEntry, 2>{{{1, 2, false}, {2, 2, true}}}, second);
    CHECK(openMany(set, 100, second)[1] == 0);
    CHECK(mayStartOn(set, 1));
}

// Guards against false health reports that take most targets of a service out of use.
TEST_CASE("health reports are ignored when more than half of the targets report as unhealthy")
{
    TargetSet set = makeSet(4, 2);
    for (Id id = 1; id <= 2; ++id) {
        reportStatus(set, id, {false, false, 0, 0, 0}, 0);
    }
    CHECK(openMany(set, 100, 0).size() == 2);
    reportStatus(set, 3, {false, false, 0, 0, 0}, 0);
    CHECK(openMany(set, 100, 0).size() == 4);
}

// Guards against a slot share that stays reduced after a shed, or that is restored in one step.
TEST_CASE("the slot share of a target recovers after a shed")
{
    TargetSet set = makeSet(2, 4);
    shed(set, 0);
    CHECK(usableSlots(set, *findTarget(set, 1), 0) == 2);
    CHECK_FALSE(acceptsNewWork(set, *findTarget(set, 1), 0));
    CHECK(acceptsNewWork(set, *findTarget(set, 1), 100 * millisecond));
    CHECK(usableSlots(set, *findTarget(set, 1), 3 * second) == 4);
}

// Guards against a cold target that gets its full load at once and answers slowly.
TEST_CASE("a joining target and a target that warms up have a slow start")
{
    TargetSet set = makeSet(3, 10);
    setTargets(set, std::array<TargetEntry, 4>{{{1, 10, true}, {2, 10, true}, {3, 10, true}, {4, 10, true}}}, 10 * second);
    setReachable(set, 4, true, 10 * second);
    CHECK(usableSlots(set, *findTarget(set, 4), 10 * second) == 1);
    CHECK(usableSlots(set, *findTarget(set, 4), 11 * second) == 5);
    CHECK(usableSlots(set, *findTarget(set, 4), 12 * second) == 10);
    reportStatus(set, 1, {true, false, 0, 0, 4 * second}, 20 * second);
    CHECK(usableSlots(set, *findTarget(set, 1), 22 * second) == 5);
    CHECK(usableSlots(set, *findTarget(set, 1), 24 * second) == 10);
}

// Guards against outdated and false load reports that distort the ranking of targets.
TEST_CASE("reported load decays and loses weight when it contradicts observations")
{
    TargetSet set = makeSet(2, 4);
    reportStatus(set, 1, {true, false, 2, 0, 0}, 0);
    CHECK(estimatedLoad(set, *findTarget(set, 1), 0) == doctest::Approx(2));
    CHECK(estimatedLoad(set, *findTarget(set, 1), second) == doctest::Approx(1));
    reportStatus(set, 1, {true, false, 100, 50, 0}, second);
    CHECK(estimatedLoad(set, *findTarget(set, 1), second) <= 4);
    for (int i = 0; i < 5; ++i) { // reports all slots in use by other processes, but completes the requests that it gets
        requestStarted(set, 1);
        requestEnded(set, 1, TargetOutcome::Done, second);
        reportStatus(set, 1, {true, false, 4, 0, 0}, second);
    }
    CHECK(findTarget(set, 1)->reportWeight < 0.1);
    requestStarted(set, 2);
    requestStarted(set, 2);
    for (int i = 0; i < 5; ++i) { // reports no load while two requests run on it
        reportStatus(set, 2, {true, false, 0, 0, 0}, second);
    }
    CHECK(findTarget(set, 2)->reportWeight < 0.1);
    CHECK(estimatedLoad(set, *findTarget(set, 2), second) == 2);
}

// Guards against a load report that causes single requests to overload a target or leave a slot idle.
TEST_CASE("single requests fill each slot once, whatever load is reported")
{
    TargetSet set = makeSet(3, 2);
    reportStatus(set, 1, {true, false, 2, 9, 0}, 0);
    Random random{1};
    const auto fill = [&set, &random](int requests) {
        for (int i = 0; i < requests; ++i) {
            const std::optional<Id> target = chooseForRequest(set, 0, random);
            REQUIRE(target);
            requestStarted(set, *target);
        }
    };
    const auto allHave = [&set](int requests) {
        return std::all_of(set.targets.begin(), set.targets.end(), [requests](const TargetLoad &it) { return it.inFlight == requests; });
    };
    fill(6);
    CHECK(allHave(2));
    fill(3 * set.settings.pipelineDepth);
    CHECK(allHave(2 + set.settings.pipelineDepth));
    CHECK_FALSE(chooseForRequest(set, 0, random));
}

// Guards against slots that idle for a round trip after each answer, which is a large part of a short run.
TEST_CASE("the pipeline depth is larger when run times are short")
{
    TargetSet set = makeSet(1, 2);
    CHECK(slotTotals(set, 0).pipeline == 1);
    recordRunTime(set, 5 * millisecond);
    CHECK(slotTotals(set, 0).pipeline == 1);
    for (int i = 0; i < 100; ++i) {
        recordRunTime(set, 5 * millisecond);
    }
    CHECK(slotTotals(set, 0).pipeline == 2);
    set.settings.pipelineDepth = 0;
    CHECK(slotTotals(set, 0).pipeline == 0);
}

// Guards against repeated sheds when requests are pipelined to a target that doesn't queue.
TEST_CASE("requests are not pipelined to a target for a while after it shed a pipelined request")
{
    TargetSet set = makeSet(1, 2);
    Random random{1};
    for (int i = 0; i < 3; ++i) {
        REQUIRE(chooseForRequest(set, 0, random));
        requestStarted(set, 1);
    }
    requestEnded(set, 1, TargetOutcome::Shed, 0);
    CHECK_FALSE(chooseForRequest(set, 30 * second, random));
    CHECK(chooseForRequest(set, 90 * second, random));
}

// Guards against flows that accumulate on some targets or are placed without regard to the slots.
TEST_CASE("open flows are spread in proportion to slots")
{
    TargetSet set;
    std::vector<TargetEntry> entries;
    for (int i = 1; i <= 15; ++i) {
        entries.push_back({i, 2 + i % 3, true});
    }
    setTargets(set, entries, 0);
    for (const TargetEntry &it : entries) {
        setReachable(set, it.id, true, 0);
    }
    const std::map<Id, int> opened = openMany(set, 4500, 0);
    for (const TargetEntry &it : entries) {
        CHECK(opened.at(it.id) == doctest::Approx(100 * it.slots).epsilon(0.1));
    }
}

// Guards against a target that is removed while a request is in flight, so that the late answer frees a slot of another target.
TEST_CASE("a target that is no longer listed stays until its requests have ended")
{
    TargetSet set = makeSet(2, 2);
    requestStarted(set, 1);
    setTargets(set, std::array<TargetEntry, 1>{{{2, 2, true}}}, 0);
    REQUIRE(findTarget(set, 1) != nullptr);
    CHECK_FALSE(acceptsNewWork(set, *findTarget(set, 1), 0));
    requestEnded(set, 1, TargetOutcome::Done, 0);
    CHECK(findTarget(set, 1) == nullptr);
}

// Guards against balancers that compute different dispatchers, and against targets that change their owner needlessly.
TEST_CASE("dispatchers partition the targets and reassign few of them")
{
    std::vector<InstanceKey> members;
    members.reserve(15);
    for (int i = 0; i < 15; ++i) {
        members.push_back({idOf("e" + std::to_string(i)), 1});
    }
    std::vector<TargetEntry> targets;
    targets.reserve(400);
    for (int i = 0; i < 400; ++i) {
        targets.push_back({idOf("t" + std::to_string(i)), 2, true});
    }
    const Id service = idOf("foundation", "lookup");
    std::vector<InstanceKey> reversed(members.rbegin(), members.rend());
    CHECK(rankForService(service, members) == rankForService(service, reversed));
    const DispatcherTable two = makeDispatcherTable(service, targets, members, 2);
    const DispatcherTable four = makeDispatcherTable(service, targets, reversed, 4);
    std::size_t owned = 0;
    for (const InstanceKey &it : four.dispatchers) {
        const std::size_t part = ownedTargets(four, targets, it).size();
        CHECK(part == doctest::Approx(100).epsilon(0.3));
        owned += part;
    }
    CHECK(owned == targets.size());
    for (const TargetEntry &it : targets) {
        const auto owner = ownerOfTarget(it.id, four.dispatchers);
        const auto before = ownerOfTarget(it.id, two.dispatchers);
        const bool newOwner = owner == four.dispatchers[2] || owner == four.dispatchers[3];
        CHECK((owner == before || newOwner));
    }
    std::map<std::int64_t, int> drawn;
    for (std::uint64_t i = 0; i < 8000; ++i) {
        drawn[dispatcherFor(four, mix(i, 7))->instance] += 1;
    }
    for (const InstanceKey &it : four.dispatchers) {
        CHECK(drawn[it.instance] == doctest::Approx(20.0 * static_cast<double>(ownedTargets(four, targets, it).size())).epsilon(0.1));
    }
}

// Guards against a number of dispatchers that follows each fluctuation of the load, since each change reassigns targets.
TEST_CASE("the number of dispatchers grows immediately and shrinks with hysteresis")
{
    struct Row {
        double rate;
        int current;
        int members;
        int targets;
        int count;
    };
    const std::array<Row, 7> rows{{
        {0, 0, 15, 15, 1},
        {9'999, 1, 15, 15, 1},
        {10'001, 1, 15, 15, 2},
        {9'000, 2, 15, 15, 2},
        {5'000, 2, 15, 15, 1},
        {1'000'000, 1, 15, 8, 8},
        {1'000'000, 1, 3, 15, 3},
    }};
    for (const Row &it : rows) {
        CAPTURE(it.rate);
        CHECK(dispatcherCount(it.rate, it.current, it.members, it.targets) == it.count);
    }
}
