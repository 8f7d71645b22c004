#include <algorithm>

#include <doctest/doctest.h>

#include <optional>

#include <testsupport/oncerun.h>

using namespace pimentofold;
using namespace pimentofold::testsupport;

namespace {

constexpr int home = 0;
constexpr int witness = 1;
constexpr int other = 2;

enum class FaultKind { Lose, Duplicate, Delay, Crash, Pause, Restart, Stop };

/// Fault to inject when a message of a kind is sent.
struct Rule {
    int kind; ///< kind of message
    int nth; ///< which message of the kind, from 1; 0 for all
    FaultKind fault;
    int node = home; ///< balancer that crashes, pauses, restarts or stops
    Time time = 0; ///< delay of the message or length of the pause
};

struct Row {
    std::string name;
    int via; ///< balancer to which the caller sends the request
    std::vector<Rule> rules;
    Verdict verdict; ///< expected verdict
    int runs; ///< expected number of runs at targets
};

void injectFault(World &world, const Rule &rule, Fate &fate)
{
    FakeBalancer &node = world.balancers.at(rule.node);
    switch (rule.fault) {
    case FaultKind::Lose:
        fate.lose = true;
        return;
    case FaultKind::Duplicate:
        fate.copies = 3;
        return;
    case FaultKind::Delay:
        fate.extraDelay = rule.time;
        return;
    case FaultKind::Crash:
        return schedule(world.queue, world.queue.now, [&] { crashBalancer(world, node); });
    case FaultKind::Pause:
        return schedule(world.queue, world.queue.now, [&, time = rule.time] { pauseBalancer(world, node, time); });
    case FaultKind::Restart:
        return schedule(world.queue, world.queue.now, [&] {
            crashBalancer(world, node);
            startBalancer(world, node);
        });
    case FaultKind::Stop:
        return schedule(world.queue, world.queue.now, [&] { stopBalancer(world, node); });
    }
}

struct Result {
    std::optional<OnceOutcome> outcome;
    int runs = 0;
};

/// Sends one request with a token that names balancers 0 and 1, and runs until no activity is left.
Result runScenario(const Row &row)
{
    World world;
    RunOptions options;
    options.balancers = 4;
    options.callers = 1;
    options.pairLifeMs = 120'000;
    setUp(world, options);
    world.plannedOnly = false;
    runUntil(world.queue, second);
    std::map<int, int> counts;
    world.net.script = [&](int, int, int kind) {
        const int n = ++counts[kind];
        Fate fate;
        for (const Rule &it : row.rules) {
            if (it.kind == kind && (it.nth == 0 || it.nth == n)) {
                injectFault(world, it, fate);
            }
        }
        return fate;
    };
    Result result;
    world.onVerdict = [&result](FakeCaller &, const OnceOutcome &outcome) { result.outcome = result.outcome.value_or(outcome); };
    world.faultsOn = false;
    FakeCaller &caller = world.callers.at(0);
    caller.via = row.via;
    caller.grant = {77, firstTarget, {world.balancers[home].key, world.balancers[witness].key}, startWall + options.pairLifeMs};
    beginWork(world, caller, 0);
    runUntil(world.queue, 20 * second);
    for (const auto &[key, runs] : world.runs) {
        result.runs += runs;
    }
    return result;
}

constexpr int relayKind = wire::PeerKind::Relay;
constexpr int relayAckKind = wire::PeerKind::RelayAck;
constexpr int intentStoreKind = wire::PeerKind::IntentStore;
constexpr int intentStoredKind = wire::PeerKind::IntentStored;
constexpr int outcomeMessageKind = wire::PeerKind::Outcome;
constexpr int handoverAckKind = wire::PeerKind::HandoverAck;

} // namespace

// Guards against a second run or a false verdict after a fault at any step of the protocol.
TEST_CASE("faults of messages and balancers lead to the expected verdicts")
{
    const Time longDelay = 700 * millisecond;
    const Row rows[] = {
        {"no fault at the home", home, {}, Verdict::Ran, 1},
        {"no fault through another balancer", other, {}, Verdict::Ran, 1},
        {"no fault through the witness", witness, {}, Verdict::Ran, 1},
        {"relay lost", other, {{relayKind, 1, FaultKind::Lose}}, Verdict::Ran, 1},
        {"relay duplicated", other, {{relayKind, 0, FaultKind::Duplicate}}, Verdict::Ran, 1},
        {"relays late, the witness closes first",
         other,
         {{relayKind, 1, FaultKind::Delay, 0, longDelay},
          {relayKind, 2, FaultKind::Lose},
          {relayKind, 3, FaultKind::Lose},
          {callerKind, 2, FaultKind::Lose},
          {callerKind, 3, FaultKind::Lose}},
         Verdict::NotRun,
         0},
        {"acknowledgements lost", other, {{relayAckKind, 0, FaultKind::Lose}}, Verdict::Ran, 1},
        {"intent lost", home, {{intentStoreKind, 1, FaultKind::Lose}}, Verdict::Ran, 1},
        {"all intents lost", home, {{intentStoreKind, 0, FaultKind::Lose}}, Verdict::NotRun, 0},
        {"intent duplicated", home, {{intentStoreKind, 0, FaultKind::Duplicate}}, Verdict::Ran, 1},
        {"intents late", home, {{intentStoreKind, 0, FaultKind::Delay, 0, longDelay}}, Verdict::NotRun, 0},
        {"intent stored is lost", home, {{intentStoredKind, 1, FaultKind::Lose}}, Verdict::Ran, 1},
        {"each intent stored is lost", home, {{intentStoredKind, 0, FaultKind::Lose}}, Verdict::NotRun, 0},
        {"intent stored is duplicated", home, {{intentStoredKind, 0, FaultKind::Duplicate}}, Verdict::Ran, 1},
        {"intent stored is late", home, {{intentStoredKind, 0, FaultKind::Delay, 0, longDelay}}, Verdict::NotRun, 0},
        {"outcome to the witness lost", home, {{outcomeMessageKind, 0, FaultKind::Lose}}, Verdict::Ran, 1},
        {"answer lost", other, {{answerKind, 1, FaultKind::Lose}}, Verdict::Ran, 1},
        {"answer duplicated", other, {{answerKind, 0, FaultKind::Duplicate}}, Verdict::Ran, 1},
        {"request duplicated", other, {{callerKind, 0, FaultKind::Duplicate}}, Verdict::Ran, 1},
        {"home crashes before the intent", other, {{relayKind, 1, FaultKind::Crash}}, Verdict::NotRun, 0},
        {"home crashes after the intent", other, {{intentStoredKind, 1, FaultKind::Crash}}, Verdict::MayHaveRun, 0},
        {"home crashes after the dispatch", other, {{dispatchKind, 1, FaultKind::Crash}}, Verdict::MayHaveRun, 1},
        {"home crashes after the outcome", other, {{answerKind, 1, FaultKind::Crash}, {answerKind, 1, FaultKind::Lose}}, Verdict::Ran, 1},
        {"outcome lost and home crashes",
         other,
         {{outcomeMessageKind, 0, FaultKind::Lose}, {answerKind, 1, FaultKind::Crash}, {answerKind, 1, FaultKind::Lose}},
         Verdict::MayHaveRun,
         1},
        {"witness crashes before the intent", other, {{relayKind, 1, FaultKind::Crash, witness}}, Verdict::NotRun, 0},
        {"witness crashes after the intent", other, {{dispatchKind, 1, FaultKind::Crash, witness}}, Verdict::Ran, 1},
        {"home pauses before the intent", other, {{relayKind, 1, FaultKind::Pause, home, 2 * second}}, Verdict::NotRun, 0},
        {"home pauses after the intent", other, {{intentStoredKind, 1, FaultKind::Pause, home, 2 * second}}, Verdict::MayHaveRun, 1},
        {"witness pauses", home, {{intentStoreKind, 1, FaultKind::Pause, witness, 2 * second}}, Verdict::NotRun, 0},
        {"both crash", other, {{dispatchKind, 1, FaultKind::Crash}, {dispatchKind, 1, FaultKind::Crash, witness}}, Verdict::MayHaveRun, 1},
        {"both crash before the request", other, {{callerKind, 1, FaultKind::Crash}, {callerKind, 1, FaultKind::Crash, witness}}, Verdict::MayHaveRun, 0},
        {"home restarts", other, {{relayKind, 1, FaultKind::Restart}}, Verdict::NotRun, 0},
        {"home and witness restart", other, {{callerKind, 1, FaultKind::Restart}, {callerKind, 1, FaultKind::Restart, witness}}, Verdict::MayHaveRun, 0},
        {"home stops before the request", other, {{callerKind, 1, FaultKind::Stop}}, Verdict::NotRun, 0},
        {"home stops after the dispatch", other, {{dispatchKind, 1, FaultKind::Stop}}, Verdict::Ran, 1},
        {"home has stopped, answers lost",
         other,
         {{dispatchKind, 1, FaultKind::Stop}, {answerKind, 1, FaultKind::Lose}, {outcomeMessageKind, 0, FaultKind::Lose}},
         Verdict::Ran,
         1},
        {"witness stops after the dispatch", other, {{dispatchKind, 1, FaultKind::Stop, witness}}, Verdict::Ran, 1},
        {"home and then witness stop, answer lost",
         other,
         {{dispatchKind, 1, FaultKind::Stop}, {answerKind, 1, FaultKind::Lose}, {handoverAckKind, 1, FaultKind::Stop, witness}},
         Verdict::Ran,
         1},
        {"home and witness stop before the request",
         other,
         {{callerKind, 1, FaultKind::Stop}, {callerKind, 1, FaultKind::Stop, witness}, {callerKind, 0, FaultKind::Delay, 0, 2 * second}},
         Verdict::NotRun,
         0},
        {"witness stops before the intent", other, {{relayKind, 1, FaultKind::Stop, witness}}, Verdict::NotRun, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const Result result = runScenario(row);
        REQUIRE(result.outcome);
        CHECK(name(result.outcome->verdict) == name(row.verdict));
        CHECK(result.runs == row.runs);
    }
}

namespace {

const InstanceKey homeKey{1, 10};
const InstanceKey witnessKey{2, 20};
constexpr WallTime expiry = 1'000'000;

OnceRequest requestFor(std::int64_t number, WallTime pairExpiry = expiry)
{
    OnceRequest request;
    request.key = {5, 6, number, pairExpiry};
    request.pair = {homeKey, witnessKey};
    request.destination.caller = "caller";
    request.packet = "packet";
    return request;
}

OnceState stateOf(const InstanceKey &self)
{
    OnceState state;
    state.self = self;
    return state;
}

/// Passes a request from the home to the witness and back. The wall clocks of both may differ.
/// @return true when the home dispatches the request
bool dispatches(OnceState &atHome, OnceState &atWitness, const OnceRequest &request, WallTime homeWall, WallTime witnessWall)
{
    OnceOutput first;
    OnceOutput second;
    OnceOutput third;
    handleOnceRequest(atHome, request, OnceRole::Home, {0, homeWall}, first);
    for (const OnceMessage &it : first.messages) {
        handleOnceMessage(atWitness, it.message, {0, witnessWall}, second);
    }
    for (const OnceMessage &it : second.messages) {
        handleOnceMessage(atHome, it.message, {0, homeWall}, third);
    }
    return third.dispatches.size() == 1;
}

} // namespace

// Guards against runs and NotRun verdicts after the expiry of the pair when the clocks of home and witness differ.
TEST_CASE("each balancer applies the expiry by its own clock")
{
    struct ExpiryRow {
        std::string name;
        WallTime homeWall;
        WallTime witnessWall;
        bool dispatched;
        Verdict laterAtWitness; ///< expected for a request that the witness has no record of
    };
    const ExpiryRow rows[] = {
        {"before the expiry", expiry - 1, expiry - 1, true, Verdict::NotRun},
        {"home is past the expiry", expiry + 1, expiry - 1, false, Verdict::NotRun},
        {"witness is past the expiry", expiry - 1, expiry + 1, false, Verdict::MayHaveRun},
        {"witness has dropped its records", expiry - 1, expiry + onceRetentionMs + 2'000, false, Verdict::MayHaveRun},
    };
    for (const ExpiryRow &row : rows) {
        CAPTURE(row.name);
        OnceState atHome = stateOf(homeKey);
        OnceState atWitness = stateOf(witnessKey);
        CHECK(dispatches(atHome, atWitness, requestFor(1), row.homeWall, row.witnessWall) == row.dispatched);
        OnceOutput out;
        handleOnceRequest(atWitness, requestFor(2), OnceRole::Witness, {0, row.witnessWall}, out);
        REQUIRE(out.replies.size() == 1);
        CHECK(name(out.replies[0].outcome->verdict) == name(row.laterAtWitness));
    }
}

// Guards against NotRun for a request that ran and whose record was dropped, also after a step back of the clock.
TEST_CASE("a home that may have dropped a record answers MayHaveRun")
{
    OnceState atHome = stateOf(homeKey);
    OnceState atWitness = stateOf(witnessKey);
    REQUIRE(dispatches(atHome, atWitness, requestFor(1), expiry - 1, expiry - 1));
    OnceOutput out;
    handleOnceOutcome(atHome, requestFor(1).key, {Verdict::Ran, Reason::None, "done", 4, 1}, {0, expiry}, out);
    tickOnce(atHome, {0, expiry + onceRetentionMs + 2'000}, out);
    CHECK(atHome.home.records.empty());
    for (const WallTime wall : {expiry + onceRetentionMs + 2'000, expiry - 1}) {
        OnceOutput later;
        handleOnceRequest(atHome, requestFor(1), OnceRole::Home, {0, wall}, later);
        REQUIRE(later.replies.size() == 1);
        CHECK(later.replies[0].outcome->verdict == Verdict::MayHaveRun);
        CHECK(later.messages.empty());
    }
}

// Guards against a duplicate that runs after the request was refused, also when the refusal didn't fit in the table.
TEST_CASE("a duplicate of a refused request is refused")
{
    for (const std::size_t room : {std::size_t(10), std::size_t(0)}) {
        OnceState atHome = stateOf(homeKey);
        atHome.limits.refusals = room;
        OnceRequest request = requestFor(1);
        request.refusal = Reason::Overload;
        OnceOutput out;
        handleOnceRequest(atHome, request, OnceRole::Home, {0, 1}, out);
        request.refusal.reset();
        handleOnceRequest(atHome, request, OnceRole::Home, {second, 1000}, out);
        REQUIRE(out.replies.size() == 2);
        CHECK(out.replies[1].outcome->verdict == Verdict::NotRun);
        CHECK(out.messages.empty());
        OnceState atWitness = stateOf(witnessKey);
        CHECK(dispatches(atHome, atWitness, requestFor(2, expiry + 1), 1000, 1000));
    }
}

// Guards against tables and answers that grow without bound.
TEST_CASE("records and answers stay within their limits")
{
    OnceState atHome = stateOf(homeKey);
    atHome.limits = {20, 5, 50'000, 40'000, 2};
    OnceState atWitness = stateOf(witnessKey);
    int refused = 0;
    for (int n = 1; n <= 200; ++n) {
        if (!dispatches(atHome, atWitness, requestFor(n), 1, 1)) {
            ++refused;
            continue;
        }
        OnceOutput out;
        const std::size_t size = n % 2 == 0 ? 39'000 : 41'000;
        handleOnceOutcome(atHome, requestFor(n).key, {Verdict::Ran, Reason::None, std::string(size, 'a'), 0, 1}, {0, 1}, out);
        REQUIRE(out.replies.size() == 1);
        CHECK(hasCompleteAnswer(*out.replies[0].outcome));
        CHECK(atHome.home.answerBytes <= 50'000);
    }
    CHECK(refused == 180);
    CHECK(atHome.home.records.size() == 20);
    CHECK(atHome.home.refusals.size() == 5);
    OnceOutput out;
    handleOnceRequest(atHome, requestFor(1), OnceRole::Home, {0, 1}, out);
    REQUIRE(out.replies.size() == 1);
    CHECK(out.replies[0].outcome->verdict == Verdict::Ran);
    CHECK_FALSE(hasCompleteAnswer(*out.replies[0].outcome));
}

// Guards against messages from balancers outside of the pair and from other incarnations that create or finish records.
TEST_CASE("only messages from the balancers of the pair have an effect")
{
    OnceState atHome = stateOf(homeKey);
    OnceOutput out;
    handleOnceRequest(atHome, requestFor(1), OnceRole::Home, {0, 1}, out);
    REQUIRE(out.messages.size() == 1);
    wire::PeerMessage answer;
    answer.kind = wire::PeerKind::IntentStored;
    answer.__set_onceKey(toWire(requestFor(1).key));
    answer.__set_recipient(toWire(homeKey));
    answer.sender = toWire(InstanceKey{2, 21});
    handleOnceMessage(atHome, answer, {0, 1}, out);
    answer.sender = toWire(witnessKey);
    answer.__set_recipient(toWire(InstanceKey{1, 11}));
    handleOnceMessage(atHome, answer, {0, 1}, out);
    CHECK(out.dispatches.empty());
    answer.__set_recipient(toWire(homeKey));
    handleOnceMessage(atHome, answer, {0, 1}, out);
    CHECK(out.dispatches.size() == 1);
    OnceState restarted = stateOf({1, 11});
    OnceOutput ignored;
    handleOnceRequest(restarted, requestFor(1), OnceRole::Home, {0, 1}, ignored);
    CHECK(ignored.messages.empty());
    CHECK(ignored.replies.empty());
}

// Guards against a stop that drops the records of a balancer that doesn't know a live successor yet. With many stops in a row
// (pimentofold-measure soak, seed 771424) a request that hadn't run got MayHaveRun.
TEST_CASE("a stopping balancer with records waits for a successor until the stop limit")
{
    const InstanceKey successorKey{3, 30};
    struct Row {
        const char *name;
        bool hasRecord;
        Time knownAt; ///< time at which a successor becomes known
        Time beginsAt; ///< expected start of the handover
    };
    const Row rows[] = {
        {"no records to transfer", false, never, 0},
        {"a successor from the start", true, 0, 0},
        {"a successor later", true, 2 * second, 2 * second},
        {"no successor", true, never, minute},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        OnceState atHome = stateOf(homeKey);
        OnceState atWitness = stateOf(witnessKey);
        OnceOutput out;
        if (row.hasRecord) {
            REQUIRE(dispatches(atHome, atWitness, requestFor(1), 1, 1));
            handleOnceOutcome(atHome, requestFor(1).key, {Verdict::Ran, Reason::None, "a", 0, 1}, {0, 1}, out);
        }
        beginOnceStop(atHome, minute, {homeKey});
        Time begins = never;
        for (Time now = 0; now <= minute && begins == never; now += 100 * millisecond) {
            if (now >= row.knownAt) {
                updateSuccessorCandidates(atHome, {homeKey, successorKey});
            }
            tickOnce(atHome, {now, 1}, out);
            begins = atHome.handingOver ? now : never;
        }
        CHECK(begins == row.beginsAt);
        const bool toSuccessor = std::ranges::any_of(out.messages, [&](const OnceMessage &it) { return it.to == successorKey; });
        CHECK(toSuccessor == (row.hasRecord && row.knownAt != never));
    }
}

// Guards against a successor that answers from incomplete records, or for pairs whose records it doesn't have.
TEST_CASE("a successor answers only with the complete records of a stopped balancer")
{
    const InstanceKey successorKey{3, 30};
    OnceState atHome = stateOf(homeKey);
    OnceState atWitness = stateOf(witnessKey);
    OnceState atSuccessor = stateOf(successorKey);
    REQUIRE(dispatches(atHome, atWitness, requestFor(1), 1, 1));
    OnceOutput out;
    handleOnceOutcome(atHome, requestFor(1).key, {Verdict::Ran, Reason::None, std::string(3'000, 'a'), 0, 1}, {0, 1}, out);
    beginOnceStop(atHome, minute, {homeKey, successorKey});
    for (Time now = 0; now < second && !isOnceStopComplete(atHome); now += 10 * millisecond) {
        CHECK_FALSE(isSuccessorFor(atSuccessor, requestFor(1).pair));
        OnceOutput sent;
        OnceOutput answers;
        tickOnce(atHome, {now, 1}, sent);
        for (const OnceMessage &it : sent.messages) {
            handleOnceMessage(it.to == successorKey ? atSuccessor : atWitness, it.message, {now, 1}, answers);
        }
        for (const OnceMessage &it : answers.messages) {
            handleOnceMessage(atHome, it.message, {now, 1}, sent);
        }
    }
    REQUIRE(isOnceStopComplete(atHome));
    REQUIRE(isSuccessorFor(atSuccessor, requestFor(1).pair));
    OnceRequest foreign = requestFor(3);
    foreign.pair = {{8, 8}, {9, 9}};
    OnceOutput later;
    handleOnceRequest(atSuccessor, foreign, OnceRole::Witness, {minute, 1}, later);
    CHECK(later.replies.empty());
    handleOnceRequest(atSuccessor, requestFor(1), OnceRole::Witness, {minute, 1}, later);
    handleOnceRequest(atSuccessor, requestFor(2), OnceRole::Witness, {minute, 1}, later);
    handleOnceRequest(atSuccessor, requestFor(2), OnceRole::Witness, {minute, expiry + 1}, later);
    REQUIRE(later.replies.size() == 3);
    CHECK(later.replies[0].outcome->answer.size() == 3'000);
    CHECK(later.replies[1].outcome->verdict == Verdict::NotRun);
    CHECK(later.replies[2].outcome->verdict == Verdict::MayHaveRun);
    tickOnce(atSuccessor, {minute, expiry + successorRetentionMs + 1}, later);
    CHECK(atSuccessor.successorRecords.empty());
}
