#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/codec.h>
#include <pimentofold/datagramauth.h>
#include <pimentofold/once/once.h>
#include <pimentofold/relay.h>

#include <testsupport/virtualnet.h>

/// A randomised or scripted run of the at-most-once records on virtual time: balancers with the library's
/// decisions, fake targets that record each run, and callers that retransmit through random balancers.
namespace pimentofold::testsupport {

/// An invariant of the design page is broken; the text has the seed and the end of the trace.
struct InvariantFailure : std::runtime_error {
    InvariantFailure(std::string name, const std::string &text)
        : std::runtime_error(text)
        , invariant(std::move(name))
    {
    }
    std::string invariant;
};

/// Deliberate defects; each one breaks one invariant.
enum class Defect {
    None,
    SecondDispatch, ///< AtMostOnce: a relaying balancer that can't reach the home dispatches itself
    ForgottenRefusal, ///< NotRunIsTrue: the witness forgets the records that it closes
    UnmatchedAnswers, ///< OwnAnswerWhole: callers take answers of other requests
    AbruptStop, ///< PlannedStopCutsNothing: a planned stop ends the process at once
};

/// Kinds of messages besides those of wire::PeerKind, for scripts.
constexpr int callerKind = 100;
constexpr int answerKind = 101;
constexpr int dispatchKind = 102;
constexpr int outcomeKind = 103;

/// Numbers of nodes: balancers count from 0.
constexpr int firstTarget = 100;
constexpr int firstCaller = 1000;

/// Rates of faults. An interval of 0 means never; others are means of exponential distributions.
struct Faults {
    double loss = 0;
    double duplicate = 0;
    double late = 0;
    Time lateLimit = 0;
    Time meanExtraDelay = 0;
    double refuse = 0; ///< share of new requests that admission refuses
    double shed = 0; ///< share of dispatches that targets shed
    double connectionLost = 0; ///< share of dispatches whose connection breaks before or after the run
    Time crashEvery = 0;
    Time pauseEvery = 0;
    Time partitionEvery = 0;
    Time stopEvery = 0;
    Time clockStepEvery = 0;
    Time targetCrashEvery = 0;
    WallTime clockSpreadMs = 0; ///< clocks differ by up to this in both directions
};

/// Parameters of a run.
struct RunOptions {
    std::uint64_t seed = 1;
    int balancers = 6;
    int targets = 4;
    int callers = 12;
    Time duration = 60 * second; ///< faults happen during this time; then a quiet time follows
    Time quiet = 8 * second;
    WallTime pairLifeMs = 8'000; ///< shorter than in the product, so that expiry is frequent
    OnceLimits limits;
    Faults faults;
    Defect defect = Defect::None;
};

/// What happened in a run.
struct RunCounts {
    std::int64_t requests = 0;
    std::int64_t runs = 0;
    std::int64_t ran = 0;
    std::int64_t notRun = 0;
    std::int64_t mayHaveRun = 0;
    std::int64_t unanswered = 0; ///< no verdict before the deadline
    std::int64_t ranWithoutAnswer = 0; ///< the verdict arrived, the answer had been lost
    std::int64_t crashes = 0;
    std::int64_t pauses = 0;
    std::int64_t partitions = 0;
    std::int64_t plannedStops = 0;
    std::int64_t messages = 0;
};

/// What a token says.
struct Grant {
    std::int64_t flow = 0;
    int target = 0;
    BalancerPair pair;
    WallTime pairExpiry = 0;
};

/// A caller's request.
struct CallerMessage {
    Grant grant;
    std::int64_t request = 0;
    std::int32_t attempt = 1;
    std::string work; ///< names the piece of work; a request that is sent again after NotRun keeps it
    int caller = 0;
    std::int32_t deadlineMs = 0;
};

/// What a balancer believes of another one.
struct PeerBelief {
    InstanceKey key;
    bool usable = true; ///< neither gone nor leaving
};

struct FakeBalancer {
    int node = 0;
    InstanceKey key;
    bool up = true;
    bool paused = false;
    std::uint64_t life = 0; ///< raised at each start, so that events of an earlier process are void
    WallTime clockOffset = 0;
    OnceState once;
    RelayState relay;
    std::map<int, PeerBelief> peers;
    std::vector<std::function<void()>> inbox; ///< while paused
};

struct FakeTarget {
    int node = 0;
    bool up = true;
    std::uint64_t life = 0;
};

struct FakeCaller {
    int node = 0;
    Grant grant;
    bool open = false;
    std::int64_t request = 0;
    std::int64_t works = 0;
    std::string work;
    bool waiting = false;
    std::int32_t attempt = 0;
    int resends = 0; ///< times that the work is sent again after NotRun
    int via = -1; ///< balancer that the caller's packets reach; -1: any
    Time deadline = 0;
};

/// Everything in a run.
struct World {
    RunOptions options;
    Random random;
    EventQueue queue;
    VirtualNet net;
    std::vector<FakeBalancer> balancers;
    std::vector<FakeTarget> targets;
    std::vector<FakeCaller> callers;
    std::map<OnceKey, int> runs;
    std::map<std::string, int> workRuns;
    std::set<OnceKey> refused; ///< requests that were answered NotRun
    bool faultsOn = true;
    bool plannedOnly = true; ///< no fault but planned stops happens in this run
    std::deque<std::string> trace;
    RunCounts counts;
    Codec codec;
    std::function<void(FakeCaller &, const OnceOutcome &)> onVerdict; ///< for scripts
};

/// Wall time at the start of a run.
constexpr WallTime startWall = 1'800'000'000'000;

/// @return the expected answer to a piece of work
std::string expectedAnswer(const std::string &work);

/// Adds a line to the trace.
void note(World &world, const std::string &text);

/// @throws InvariantFailure unless @p holds
void checkInvariant(World &world, bool holds, std::string_view invariant, const std::string &text);

/// Fills the world and starts the balancers.
void setUp(World &world, const RunOptions &options);

/// @return the clocks of a balancer
ClockReading clockOf(const World &world, const FakeBalancer &balancer);

/// Runs @p work in the balancer's process: at once, after its pause, or never when it is down.
void deliver(World &world, int node, std::function<void()> work);

/// @return the datagram of a request
std::string encodeRequest(World &world, const CallerMessage &message);
/// @return the request of a datagram
CallerMessage decodeRequest(World &world, const std::string &packet);

/// Takes a caller's request at a balancer.
void receiveRequest(World &world, FakeBalancer &balancer, const std::string &packet);
/// Starts the process of a balancer.
void startBalancer(World &world, FakeBalancer &balancer);
void crashBalancer(World &world, FakeBalancer &balancer);
void pauseBalancer(World &world, FakeBalancer &balancer, Time length);
void stopBalancer(World &world, FakeBalancer &balancer);
/// Mints the right to requests of a flow at a balancer.
Grant mint(World &world, FakeBalancer &balancer, std::int64_t flow, int target);

/// Carries out what the records of a balancer ask for.
void carryOut(World &world, FakeBalancer &balancer, const OnceOutput &out);

/// Takes a dispatched request at its target.
void receiveDispatch(World &world, int home, int target, const OnceKey &key, const std::string &work);

/// Sends a piece of work under the caller's grant and repeats it until a verdict or the deadline.
void beginWork(World &world, FakeCaller &caller, int resends);
/// Starts the next piece of work of a caller, with a fresh grant where the old one is due.
void nextWork(World &world, FakeCaller &caller);
/// Takes an answer at a caller.
void receiveAnswer(World &world, FakeCaller &caller, const OnceKey &key, const OnceOutcome &outcome, const Grant &fresh);

/// Schedules the faults of the options.
void startFaults(World &world);

/// Runs until all is quiet and checks the invariants.
/// @throws InvariantFailure
RunCounts runOnceWorld(const RunOptions &options);

/// @return options with all faults, drawn from the seed
RunOptions randomOptions(std::uint64_t seed);

/// @return options in which only planned stops happen
RunOptions plannedOptions(std::uint64_t seed);

} // namespace pimentofold::testsupport
