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

enum class Act { Lose, Duplicate, Delay, Crash, Pause, Restart, Stop };

/// What happens when a message of a kind is sent.
struct Rule {
    int kind;
    int nth; ///< 1 is the first; 0: all
    Act act;
    int node = home; ///< that crashes, pauses, restarts or stops
    Time time = 0; ///< delay or length of the pause
};

struct Row {
    std::string name;
    int via;
    std::vector<Rule> rules;
    Verdict verdict;
    int runs;
};

void act(World &world, const Rule &rule, Fate &fate)
{
    FakeBalancer &node = world.balancers.at(rule.node);
    switch (rule.act) {
    case Act::Lose:
        fate.lose = true;
        return;
    case Act::Duplicate:
        fate.copies = 3;
        return;
    case Act::Delay:
        fate.extraDelay = rule.time;
        return;
    case Act::Crash:
        return schedule(world.queue, world.queue.now, [&] { crashBalancer(world, node); });
    case Act::Pause:
        return schedule(world.queue, world.queue.now, [&, time = rule.time] { pauseBalancer(world, node, time); });
    case Act::Restart:
        return schedule(world.queue, world.queue.now, [&] {
            crashBalancer(world, node);
            startBalancer(world, node);
        });
    case Act::Stop:
        return schedule(world.queue, world.queue.now, [&] { stopBalancer(world, node); });
    }
}

struct Result {
    std::optional<OnceOutcome> outcome;
    int runs = 0;
};

/// Sends one request under the pair of balancers 0 and 1 and runs until all is quiet.
Result runScript(const Row &row)
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
                act(world, it, fate);
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
constexpr int ackKind = wire::PeerKind::RelayAck;
constexpr int storeKind = wire::PeerKind::IntentStore;
constexpr int storedKind = wire::PeerKind::IntentStored;
constexpr int reportKind = wire::PeerKind::Outcome;
constexpr int handoverAckKind = wire::PeerKind::HandoverAck;

} // namespace

// Guards against a second run or a false verdict after a fault at each step of the protocol.
TEST_CASE("each failure of a message or a balancer gives its verdict")
{
    const Time late = 700 * millisecond;
    const Row rows[] = {
        {"no fault at the home", home, {}, Verdict::Ran, 1},
        {"no fault through another balancer", other, {}, Verdict::Ran, 1},
        {"no fault through the witness", witness, {}, Verdict::Ran, 1},
        {"relay lost", other, {{relayKind, 1, Act::Lose}}, Verdict::Ran, 1},
        {"relay duplicated", other, {{relayKind, 0, Act::Duplicate}}, Verdict::Ran, 1},
        {"relays late, the witness closes first",
         other,
         {{relayKind, 1, Act::Delay, 0, late}, {relayKind, 2, Act::Lose}, {relayKind, 3, Act::Lose}, {callerKind, 2, Act::Lose}, {callerKind, 3, Act::Lose}},
         Verdict::NotRun,
         0},
        {"acknowledgements lost", other, {{ackKind, 0, Act::Lose}}, Verdict::Ran, 1},
        {"intent lost", home, {{storeKind, 1, Act::Lose}}, Verdict::Ran, 1},
        {"all intents lost", home, {{storeKind, 0, Act::Lose}}, Verdict::NotRun, 0},
        {"intent duplicated", home, {{storeKind, 0, Act::Duplicate}}, Verdict::Ran, 1},
        {"intents late", home, {{storeKind, 0, Act::Delay, 0, late}}, Verdict::NotRun, 0},
        {"intent stored is lost", home, {{storedKind, 1, Act::Lose}}, Verdict::Ran, 1},
        {"each intent stored is lost", home, {{storedKind, 0, Act::Lose}}, Verdict::NotRun, 0},
        {"intent stored is duplicated", home, {{storedKind, 0, Act::Duplicate}}, Verdict::Ran, 1},
        {"intent stored is late", home, {{storedKind, 0, Act::Delay, 0, late}}, Verdict::NotRun, 0},
        {"outcome to the witness lost", home, {{reportKind, 0, Act::Lose}}, Verdict::Ran, 1},
        {"answer lost", other, {{answerKind, 1, Act::Lose}}, Verdict::Ran, 1},
        {"answer duplicated", other, {{answerKind, 0, Act::Duplicate}}, Verdict::Ran, 1},
        {"request duplicated", other, {{callerKind, 0, Act::Duplicate}}, Verdict::Ran, 1},
        {"home crashes before the intent", other, {{relayKind, 1, Act::Crash}}, Verdict::NotRun, 0},
        {"home crashes after the intent", other, {{storedKind, 1, Act::Crash}}, Verdict::MayHaveRun, 0},
        {"home crashes after the dispatch", other, {{dispatchKind, 1, Act::Crash}}, Verdict::MayHaveRun, 1},
        {"home crashes after the outcome", other, {{answerKind, 1, Act::Crash}, {answerKind, 1, Act::Lose}}, Verdict::Ran, 1},
        {"outcome lost and home crashes", other, {{reportKind, 0, Act::Lose}, {answerKind, 1, Act::Crash}, {answerKind, 1, Act::Lose}}, Verdict::MayHaveRun, 1},
        {"witness crashes before the intent", other, {{relayKind, 1, Act::Crash, witness}}, Verdict::NotRun, 0},
        {"witness crashes after the intent", other, {{dispatchKind, 1, Act::Crash, witness}}, Verdict::Ran, 1},
        {"home pauses before the intent", other, {{relayKind, 1, Act::Pause, home, 2 * second}}, Verdict::NotRun, 0},
        {"home pauses after the intent", other, {{storedKind, 1, Act::Pause, home, 2 * second}}, Verdict::MayHaveRun, 1},
        {"witness pauses", home, {{storeKind, 1, Act::Pause, witness, 2 * second}}, Verdict::NotRun, 0},
        {"both crash", other, {{dispatchKind, 1, Act::Crash}, {dispatchKind, 1, Act::Crash, witness}}, Verdict::MayHaveRun, 1},
        {"both crash before the request", other, {{callerKind, 1, Act::Crash}, {callerKind, 1, Act::Crash, witness}}, Verdict::MayHaveRun, 0},
        {"home restarts", other, {{relayKind, 1, Act::Restart}}, Verdict::NotRun, 0},
        {"home and witness restart", other, {{callerKind, 1, Act::Restart}, {callerKind, 1, Act::Restart, witness}}, Verdict::MayHaveRun, 0},
        {"home stops before the request", other, {{callerKind, 1, Act::Stop}}, Verdict::NotRun, 0},
        {"home stops after the dispatch", other, {{dispatchKind, 1, Act::Stop}}, Verdict::Ran, 1},
        {"home has stopped, answers lost", other, {{dispatchKind, 1, Act::Stop}, {answerKind, 1, Act::Lose}, {reportKind, 0, Act::Lose}}, Verdict::Ran, 1},
        {"witness stops after the dispatch", other, {{dispatchKind, 1, Act::Stop, witness}}, Verdict::Ran, 1},
        {"home and then witness stop, answer lost",
         other,
         {{dispatchKind, 1, Act::Stop}, {answerKind, 1, Act::Lose}, {handoverAckKind, 1, Act::Stop, witness}},
         Verdict::Ran,
         1},
        {"home and witness stop before the request",
         other,
         {{callerKind, 1, Act::Stop}, {callerKind, 1, Act::Stop, witness}, {callerKind, 0, Act::Delay, 0, 2 * second}},
         Verdict::NotRun,
         0},
        {"witness stops before the intent", other, {{relayKind, 1, Act::Stop, witness}}, Verdict::NotRun, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const Result result = runScript(row);
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

/// Carries a request to its dispatch; both clocks may differ.
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

// Guards against runs and refusals after the end of the pair, whatever the two clocks show.
TEST_CASE("expiry by the holder's own clock")
{
    struct ExpiryRow {
        std::string name;
        WallTime homeWall;
        WallTime witnessWall;
        bool dispatched;
        Verdict laterAtWitness; ///< to a request that the witness hasn't seen
    };
    const ExpiryRow rows[] = {
        {"before the end", expiry - 1, expiry - 1, true, Verdict::NotRun},
        {"home is past the end", expiry + 1, expiry - 1, false, Verdict::NotRun},
        {"witness is past the end", expiry - 1, expiry + 1, false, Verdict::MayHaveRun},
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

// Guards against a dropped record that is taken for one that never existed, also when the clock steps back.
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

// Guards against a refused request whose duplicate runs later, also when the refusal found no room in the table.
TEST_CASE("a refusal stays")
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

// Guards against messages of strangers and of other incarnations that open or end records.
TEST_CASE("only the balancers of the pair are heard")
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

// Guards against a stop that drops the records of a balancer which knows no live successor yet: with many stops in a row
// (measure soak, seed 771424) a request that nobody had run got MayHaveRun.
TEST_CASE("a stopping balancer with records waits for a successor until its limit")
{
    const InstanceKey successorKey{3, 30};
    struct Row {
        const char *name;
        bool hasRecord;
        Time knownAt; ///< when a successor becomes known
        Time beginsAt; ///< expected begin of the handover
    };
    const Row rows[] = {
        {"nothing to hand over", false, never, 0},
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

// Guards against a successor that answers from records that aren't complete, or for pairs that it knows nothing of.
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
