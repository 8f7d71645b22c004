#include <testsupport/oncerun.h>

#include <algorithm>

namespace pimentofold::testsupport {

namespace {

constexpr Time callerDeadline = 5 * second;
constexpr int maxResends = 4;
constexpr Time lastRequests = 3 * second;
/// Answers of this size and up need several datagrams to the witness.
constexpr std::size_t longAnswerBytes = 3'000;

FakeBalancer &anyBalancer(World &world)
{
    return world.balancers.at(below(world.random, world.balancers.size()));
}

void sendAttempt(World &world, FakeCaller &caller)
{
    ++caller.attempt;
    const auto left = static_cast<std::int32_t>((caller.deadline - world.queue.now) / millisecond);
    const std::string packet = encodeRequest(world, {caller.grant, caller.request, caller.attempt, caller.work, caller.node, left});
    const int to = caller.via >= 0 ? caller.via : anyBalancer(world).node;
    transmit(world.net, caller.node, to, callerKind, [&world, to, packet] {
        if (world.queue.now > world.options.duration + world.options.quiet - lastRequests) {
            return; // late copies would still be open at the end of the run
        }
        deliver(world, to, [&world, to, packet] { receiveRequest(world, world.balancers.at(to), packet); });
    });
}

void endWork(World &world, FakeCaller &caller)
{
    caller.waiting = false;
    const Time pause = 20 * millisecond + static_cast<Time>(exponential(world.random, 200.0 * millisecond));
    if (world.faultsOn) {
        schedule(world.queue, world.queue.now + pause, [&world, &caller] { nextWork(world, caller); });
    }
}

void scheduleRetransmission(World &world, FakeCaller &caller)
{
    const Time wait = 100 * millisecond + static_cast<Time>(below(world.random, 300 * millisecond));
    schedule(world.queue, world.queue.now + wait, [&world, &caller, request = caller.request, flow = caller.grant.flow] {
        if (!caller.waiting || caller.request != request || caller.grant.flow != flow) {
            return;
        }
        if (world.queue.now >= caller.deadline) {
            ++world.counts.unanswered;
            checkInvariant(world, !world.plannedOnly, "PlannedStopCutsNothing", caller.work + " got no verdict before its deadline");
            endWork(world, caller);
            return;
        }
        sendAttempt(world, caller);
        scheduleRetransmission(world, caller);
    });
}

void sendRequest(World &world, FakeCaller &caller)
{
    ++caller.request;
    ++world.counts.requests;
    caller.attempt = 0;
    sendAttempt(world, caller);
    scheduleRetransmission(world, caller);
}

void takeRan(World &world, FakeCaller &caller, const OnceKey &key, const OnceOutcome &outcome)
{
    ++world.counts.ran;
    checkInvariant(world, world.runs.contains(key), "OwnAnswerWhole", "an answer came to a request that didn't run");
    if (!hasCompleteAnswer(outcome)) {
        ++world.counts.ranWithoutAnswer;
        checkInvariant(world, !world.plannedOnly, "PlannedStopCutsNothing", "the answer to " + caller.work + " is lost");
        return;
    }
    checkInvariant(world, outcome.answer == expectedAnswer(caller.work), "OwnAnswerWhole", caller.work + " got the answer of another request");
}

} // namespace

std::string expectedAnswer(const std::string &work)
{
    std::string answer = "answer to " + work;
    if (mix(std::hash<std::string>{}(work), 1) % 8 == 0) {
        while (answer.size() < longAnswerBytes) {
            answer += " and " + work;
        }
    }
    return answer;
}

void nextWork(World &world, FakeCaller &caller)
{
    if (!world.faultsOn) {
        return;
    }
    FakeBalancer &balancer = anyBalancer(world);
    if (!balancer.up || balancer.paused || balancer.once.stopping) {
        endWork(world, caller);
        return;
    }
    if (!caller.open || clockOf(world, balancer).wall + world.options.pairLifeMs / 2 > caller.grant.pairExpiry) {
        const auto flow = caller.open ? caller.grant.flow : static_cast<std::int64_t>(next(world.random) >> 2);
        caller.open = true;
        caller.grant = mint(world, balancer, flow, firstTarget + static_cast<int>(flow % world.options.targets));
    }
    beginWork(world, caller, maxResends);
}

void beginWork(World &world, FakeCaller &caller, int resends)
{
    caller.work = "c" + std::to_string(caller.node) + "w" + std::to_string(++caller.works);
    caller.waiting = true;
    caller.resends = resends;
    caller.deadline = world.queue.now + callerDeadline;
    sendRequest(world, caller);
}

void receiveAnswer(World &world, FakeCaller &caller, const OnceKey &key, const OnceOutcome &outcome, const Grant &fresh)
{
    const bool own = caller.waiting && key.flow == caller.grant.flow && key.request == caller.request && key.pairExpiry == caller.grant.pairExpiry;
    const bool taken = own || (world.options.defect == Defect::UnmatchedAnswers && caller.waiting);
    if (!taken) {
        return;
    }
    note(world, "c" + std::to_string(caller.node) + " takes " + std::string(name(outcome.verdict)) + " for " + caller.work);
    if (world.onVerdict) {
        world.onVerdict(caller, outcome);
    }
    if (outcome.verdict == Verdict::Ran) {
        takeRan(world, caller, key, outcome);
    } else if (outcome.verdict == Verdict::MayHaveRun) {
        ++world.counts.mayHaveRun;
        checkInvariant(world, !world.plannedOnly, "PlannedStopCutsNothing", caller.work + " may have run, though only planned stops happen");
    } else {
        ++world.counts.notRun;
        if (--caller.resends >= 0 && world.queue.now < caller.deadline) {
            caller.grant = fresh;
            sendRequest(world, caller);
            return;
        }
    }
    endWork(world, caller);
}

} // namespace pimentofold::testsupport
