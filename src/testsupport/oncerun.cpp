#include <testsupport/oncerun.h>

#include <algorithm>

namespace pimentofold::testsupport {

namespace {

constexpr std::size_t traceLines = 400;
constexpr std::size_t shownLines = 40;

void sendOutcome(World &world, int home, std::uint64_t life, int target, const OnceKey &key, const OnceOutcome &outcome)
{
    transmitReliably(world.net, target, home, outcomeKind, [&world, home, life, key, outcome] {
        deliver(world, home, [&world, home, life, key, outcome] {
            FakeBalancer &balancer = world.balancers.at(home);
            if (balancer.life != life) {
                return; // the connection ended with the earlier process
            }
            OnceOutput out;
            handleOnceOutcome(balancer.once, key, outcome, clockOf(world, balancer), out);
            carryOut(world, balancer, out);
        });
    });
}

void run(World &world, int home, std::uint64_t life, int target, const OnceKey &key, const std::string &work)
{
    ++world.counts.runs;
    note(world, "t" + std::to_string(target) + " runs " + work + " as request " + std::to_string(key.request));
    checkInvariant(world, ++world.runs[key] == 1, "AtMostOnce", work + " runs again under the same request");
    checkInvariant(world, ++world.workRuns[work] == 1, "AtMostOnce", work + " runs again under a new request");
    checkInvariant(world, !world.refused.contains(key), "NotRunIsTrue", work + " runs after it was refused as not run");
    if (chance(world.random, world.options.faults.connectionLost)) {
        return sendOutcome(world, home, life, target, key, {Verdict::MayHaveRun, Reason::TargetLost, {}, 0, 0});
    }
    OnceOutcome outcome{Verdict::Ran, Reason::None, expectedAnswer(work), 0, 7};
    sendOutcome(world, home, life, target, key, outcome);
}

void every(World &world, Time mean, const std::function<void()> &action)
{
    if (mean <= 0) {
        return;
    }
    const Time wait = 1 + static_cast<Time>(exponential(world.random, static_cast<double>(mean)));
    schedule(world.queue, world.queue.now + wait, [&world, mean, action] {
        if (world.faultsOn) {
            action();
            every(world, mean, action);
        }
    });
}

FakeBalancer *anyRunning(World &world)
{
    FakeBalancer &balancer = world.balancers.at(below(world.random, world.balancers.size()));
    return balancer.up && !balancer.paused && !balancer.once.stopping ? &balancer : nullptr;
}

/// Planned stops alone must cut nothing as long as someone is there to take the records: half of the balancers stay.
bool mostRun(const World &world)
{
    const auto running = std::count_if(world.balancers.begin(), world.balancers.end(), [](const FakeBalancer &it) { return it.up && !it.once.stopping; });
    return 2 * running > static_cast<std::ptrdiff_t>(world.balancers.size());
}

Time upTo(World &world, Time limit)
{
    return static_cast<Time>(unit(world.random) * static_cast<double>(limit));
}

void crashForAWhile(World &world)
{
    if (FakeBalancer *balancer = anyRunning(world)) {
        crashBalancer(world, *balancer);
        schedule(world.queue, world.queue.now + 200 * millisecond + upTo(world, 3 * second), [&world, balancer] { startBalancer(world, *balancer); });
    }
}

/// Balancers and callers stay with their side for the length of the partition.
void partition(World &world)
{
    ++world.counts.partitions;
    note(world, "a partition begins");
    for (const FakeBalancer &it : world.balancers) {
        world.net.groups[it.node] = static_cast<int>(below(world.random, 2));
    }
    for (const FakeCaller &it : world.callers) {
        world.net.groups[it.node] = static_cast<int>(below(world.random, 2));
    }
    for (const FakeTarget &it : world.targets) {
        world.net.groups[it.node] = static_cast<int>(below(world.random, 2));
    }
    schedule(world.queue, world.queue.now + upTo(world, 4 * second), [&world] {
        note(world, "the partition ends");
        world.net.groups.clear();
    });
}

void checkEnd(World &world)
{
    for (const FakeCaller &it : world.callers) {
        checkInvariant(world, !it.waiting, "EveryRequestEnds", it.work + " still waits in the quiet time");
    }
    for (const FakeBalancer &it : world.balancers) {
        const bool idle = it.once.awaitingWitness.empty() && it.relay.pending.empty() && it.once.waitingCallers.empty();
        checkInvariant(world, !it.up || idle, "EveryRequestEnds", "b" + std::to_string(it.node) + " still has open requests in the quiet time");
    }
}

} // namespace

void note(World &world, const std::string &text)
{
    world.trace.push_back(std::to_string(world.queue.now / millisecond) + "ms " + text);
    if (world.trace.size() > traceLines) {
        world.trace.pop_front();
    }
}

void checkInvariant(World &world, bool holds, std::string_view invariant, const std::string &text)
{
    if (holds) {
        return;
    }
    std::string report = std::string(invariant) + ": " + text + " (seed " + std::to_string(world.options.seed) + ")";
    const std::size_t first = world.trace.size() > shownLines ? world.trace.size() - shownLines : 0;
    for (std::size_t n = first; n < world.trace.size(); ++n) {
        report += "\n  " + world.trace.at(n);
    }
    throw InvariantFailure(std::string(invariant), report);
}

void setUp(World &world, const RunOptions &options)
{
    world.options = options;
    world.random.state = options.seed;
    world.net.queue = &world.queue;
    world.net.random.state = mix(options.seed, 2);
    world.net.loss = options.faults.loss;
    world.net.duplicate = options.faults.duplicate;
    world.net.late = options.faults.late;
    world.net.lateLimit = options.faults.lateLimit;
    world.net.meanExtraDelay = options.faults.meanExtraDelay;
    const Faults &faults = options.faults;
    world.plannedOnly = faults.loss + faults.late + faults.refuse + faults.shed + faults.connectionLost <= 0 && faults.crashEvery == 0 && faults.pauseEvery == 0
        && faults.partitionEvery == 0 && faults.targetCrashEvery == 0;
    world.balancers.resize(options.balancers);
    world.targets.resize(options.targets);
    world.callers.resize(options.callers);
    for (int n = 0; n < options.balancers; ++n) {
        FakeBalancer &it = world.balancers.at(n);
        it.node = n;
        it.key.instance = idOf("b" + std::to_string(n));
        it.clockOffset = static_cast<WallTime>((2 * unit(world.random) - 1) * static_cast<double>(faults.clockSpreadMs));
    }
    for (int n = 0; n < options.targets; ++n) {
        world.targets.at(n).node = firstTarget + n;
    }
    for (int n = 0; n < options.callers; ++n) {
        world.callers.at(n).node = firstCaller + n;
    }
    for (FakeBalancer &it : world.balancers) {
        startBalancer(world, it);
    }
    for (FakeBalancer &it : world.balancers) {
        for (const FakeBalancer &peer : world.balancers) {
            if (peer.node != it.node) {
                it.peers[peer.node] = {peer.key, true};
            }
        }
    }
}

void receiveDispatch(World &world, int home, int target, const OnceKey &key, const std::string &work)
{
    FakeTarget &server = world.targets.at(target - firstTarget);
    const std::uint64_t life = world.balancers.at(home).life;
    if (!server.up) {
        return sendOutcome(world, home, life, target, key, {Verdict::MayHaveRun, Reason::TargetLost, {}, 0, 0});
    }
    if (chance(world.random, world.options.faults.shed)) {
        return sendOutcome(world, home, life, target, key, toOnceOutcome(wire::Outcome::Shed));
    }
    const Time service = 2 * millisecond + static_cast<Time>(exponential(world.random, 15.0 * millisecond));
    schedule(world.queue, world.queue.now + service, [&world, home, life, target, key, work, &server, targetLife = server.life] {
        if (server.life == targetLife) {
            run(world, home, life, target, key, work);
        } else {
            sendOutcome(world, home, life, target, key, {Verdict::MayHaveRun, Reason::TargetLost, {}, 0, 0});
        }
    });
}

void startFaults(World &world)
{
    const Faults &faults = world.options.faults;
    every(world, faults.crashEvery, [&world] { crashForAWhile(world); });
    every(world, faults.pauseEvery, [&world] {
        if (FakeBalancer *balancer = anyRunning(world)) {
            pauseBalancer(world, *balancer, 50 * millisecond + upTo(world, 3 * second));
        }
    });
    every(world, faults.partitionEvery, [&world] { partition(world); });
    every(world, faults.stopEvery, [&world] {
        FakeBalancer *balancer = anyRunning(world);
        if (balancer != nullptr && (!world.plannedOnly || mostRun(world))) {
            stopBalancer(world, *balancer);
        }
    });
    every(world, faults.clockStepEvery, [&world] {
        FakeBalancer &balancer = world.balancers.at(below(world.random, world.balancers.size()));
        const double spread = static_cast<double>(world.options.faults.clockSpreadMs);
        balancer.clockOffset = static_cast<WallTime>((2 * unit(world.random) - 1) * spread);
    });
    every(world, faults.targetCrashEvery, [&world] {
        FakeTarget &target = world.targets.at(below(world.random, world.targets.size()));
        target.up = false;
        ++target.life;
        schedule(world.queue, world.queue.now + upTo(world, 2 * second), [&target] { target.up = true; });
    });
}

RunCounts runOnceWorld(const RunOptions &options)
{
    World world;
    setUp(world, options);
    for (FakeCaller &it : world.callers) {
        schedule(world.queue, second + upTo(world, second), [&world, &it] { nextWork(world, it); });
    }
    startFaults(world);
    runUntil(world.queue, options.duration);
    world.faultsOn = false;
    world.net.groups.clear();
    runUntil(world.queue, options.duration + options.quiet);
    checkEnd(world);
    world.counts.messages = world.net.sent;
    return world.counts;
}

RunOptions randomOptions(std::uint64_t seed)
{
    Random random{mix(seed, 3)};
    const auto maybe = [&random](Time mean) { return chance(random, 0.6) ? mean : Time(0); };
    RunOptions options;
    options.seed = seed;
    options.balancers = 3 + static_cast<int>(below(random, 6));
    // Long runs reach the time at which records are dropped.
    options.duration = chance(random, 0.25) ? 130 * second : 40 * second;
    Faults &faults = options.faults;
    faults.loss = chance(random, 0.7) ? 0.15 * unit(random) : 0;
    faults.duplicate = chance(random, 0.7) ? 0.2 * unit(random) : 0;
    faults.late = chance(random, 0.5) ? 0.01 : 0;
    faults.lateLimit = 90 * second;
    faults.meanExtraDelay = static_cast<Time>(unit(random) * 30.0 * millisecond);
    faults.refuse = 0.03;
    faults.shed = 0.03;
    faults.connectionLost = 0.01;
    faults.crashEvery = maybe(4 * second);
    faults.pauseEvery = maybe(3 * second);
    faults.partitionEvery = maybe(8 * second);
    faults.stopEvery = maybe(6 * second);
    faults.clockStepEvery = maybe(10 * second);
    faults.targetCrashEvery = maybe(10 * second);
    faults.clockSpreadMs = chance(random, 0.5) ? static_cast<WallTime>(below(random, 20'000)) : 50;
    return options;
}

RunOptions plannedOptions(std::uint64_t seed)
{
    Random random{mix(seed, 4)};
    RunOptions options;
    options.seed = seed;
    options.balancers = 4 + static_cast<int>(below(random, 5));
    options.faults.duplicate = 0.1 * unit(random);
    options.faults.meanExtraDelay = static_cast<Time>(unit(random) * 5.0 * millisecond);
    options.faults.stopEvery = second + static_cast<Time>(below(random, 3 * second));
    options.faults.clockSpreadMs = 50;
    return options;
}

} // namespace pimentofold::testsupport
