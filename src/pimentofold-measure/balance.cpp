#include <pimentofold-measure/measurements.h>

#include <algorithm>
#include <climits>
#include <iostream>
#include <iterator>
#include <memory>
#include <span>
#include <string>

#include <nlohmann/json.hpp>

#include <pimentofold-measure/simulation.h>
#include <pimentofold/random.h>

namespace pimentofold {

namespace {

constexpr int balancers = 15;
constexpr int targetCount = 15;
constexpr int dataCentres = 3;
constexpr Time localHop = 100 * microsecond;
constexpr Time remoteHop = 500 * microsecond;
constexpr Time deadline = 2 * second;
constexpr Time reportEvery = 250 * millisecond;
constexpr Time staleAge = 5 * second;

enum class Policy { Omniscient, OmniscientOnPath, Dispatcher, DispatcherPerCentre, DispatchersOverlap, AloneTwoChoices, Random, RoundRobin };
enum class Reports { Honest, Stale, Liars };

/// A dispatcher.
struct Lane {
    int balancer = 0;
    Admission admission;
    TargetSet targets;
};

/// One way of placing requests, over one run of the same arrivals.
struct Fleet {
    Policy policy = Policy::Dispatcher;
    Reports reports = Reports::Honest;
    double meanRun = 0; ///< in microseconds
    Simulation sim;
    Random arrivals;
    Random choices;
    std::vector<SimTarget> targets;
    std::vector<TargetEntry> entries;
    std::deque<SimJob> central; ///< the omniscient queue
    std::vector<TargetSet> views; ///< of the balancers that place alone
    std::vector<Lane> lanes; ///< the dispatchers: one, or one for each data centre
    std::unordered_map<RequestId, SimJob> held; ///< requests that admission has queued
    std::vector<std::size_t> roundRobin;
    std::vector<std::deque<TargetReport>> history;
    std::vector<Time> waits;
    std::vector<Time> responses;
    std::int64_t offered = 0;
    std::int64_t refused = 0;
    std::int64_t relayed = 0;
    int mostOnTarget = INT_MIN; ///< most requests in flight to a target beyond its slots
};

Time hopTo(int from, int to)
{
    if (from == to) {
        return 0;
    }
    return from % dataCentres == to % dataCentres ? localHop : remoteHop;
}

/// Each data centre has targets of each size, 14 to 16 slots in all.
int centreOf(std::size_t target)
{
    return static_cast<int>((target + target / 3) % dataCentres);
}

Time targetHop(int from, std::size_t target)
{
    return from % dataCentres == centreOf(target) ? localHop : remoteHop;
}

std::size_t indexOf(Id target)
{
    return static_cast<std::size_t>(target) - 1;
}

void send(Fleet &fleet, int from, std::size_t target, SimJob job)
{
    after(fleet.sim, targetHop(from, target), [&fleet, target, job = std::move(job)]() mutable { submit(fleet.sim, fleet.targets[target], std::move(job)); });
}

void carryOut(Fleet &fleet, Lane &lane, const std::vector<AdmissionDecision> &out)
{
    for (const AdmissionDecision &it : out) {
        if (it.action == AdmissionAction::Start) {
            const TargetLoad &load = *findTarget(lane.targets, it.target);
            fleet.mostOnTarget = std::max(fleet.mostOnTarget, load.inFlight - load.slots);
            const auto job = fleet.held.find(it.id);
            send(fleet, lane.balancer, indexOf(it.target), std::move(job->second));
            fleet.held.erase(job);
        } else if (it.action == AdmissionAction::Refuse) {
            fleet.refused += 1;
            fleet.held.erase(it.id);
        }
    }
}

/// A dispatcher gets a request.
void dispatch(Fleet &fleet, Lane &lane, RequestId id, SimJob job)
{
    auto ended = std::move(job.ended);
    // The answer reaches the dispatcher after the hop of its target.
    job.ended = [&fleet, &lane, id, ended = std::move(ended)](RequestOutcome outcome) {
        const Id target = lane.admission.running.at(id).target;
        after(fleet.sim, targetHop(lane.balancer, indexOf(target)), [&fleet, &lane, id, outcome, ended] {
            std::vector<AdmissionDecision> out;
            ended(outcome);
            finish(lane.admission, lane.targets, id, outcome, fleet.sim.now, fleet.choices, out);
            carryOut(fleet, lane, out);
        });
    };
    fleet.held[id] = std::move(job);
    std::vector<AdmissionDecision> out;
    offer(lane.admission, lane.targets, {id, 0, fleet.sim.now + deadline, 100, 0}, fleet.sim.now, fleet.choices, out);
    carryOut(fleet, lane, out);
}

/// Starts requests of the central queue on free slots; the queue knows all slots without delay.
void startCentral(Fleet &fleet)
{
    while (!fleet.central.empty()) {
        const auto free = std::max_element(fleet.targets.begin(), fleet.targets.end(), [](const SimTarget &a, const SimTarget &b) {
            return (a.slots - a.inUse) * b.slots < (b.slots - b.inUse) * a.slots;
        });
        if (free->inUse >= free->slots) {
            return;
        }
        SimJob job = std::move(fleet.central.front());
        fleet.central.pop_front();
        submit(fleet.sim, *free, std::move(job));
    }
}

/// @param there time from the balancer to the target
/// @param back time of the answer; neither occupies the slot
void placeCentral(Fleet &fleet, Time there, Time back, SimJob job)
{
    auto ended = std::move(job.ended);
    job.ended = [&fleet, back, ended = std::move(ended)](RequestOutcome outcome) {
        after(fleet.sim, back, [ended, outcome] { ended(outcome); });
        after(fleet.sim, 0, [&fleet] { startCentral(fleet); });
    };
    after(fleet.sim, there, [&fleet, job = std::move(job)]() mutable {
        fleet.central.push_back(std::move(job));
        startCentral(fleet);
    });
}

/// Sends a request from a balancer that places it without a dispatcher.
void sendAlone(Fleet &fleet, int balancer, std::size_t target, SimJob job)
{
    const auto index = static_cast<std::size_t>(balancer);
    requestStarted(fleet.views[index], static_cast<Id>(target) + 1);
    auto ended = std::move(job.ended);
    job.ended = [&fleet, balancer, index, target, ended = std::move(ended)](RequestOutcome outcome) {
        after(fleet.sim, targetHop(balancer, target), [&fleet, index, target, outcome, ended] {
            ended(outcome);
            requestEnded(fleet.views[index], static_cast<Id>(target) + 1, TargetOutcome::Done, fleet.sim.now);
        });
    };
    send(fleet, balancer, target, std::move(job));
}

int slotCount(const Fleet &fleet)
{
    int slots = 0;
    for (const SimTarget &it : fleet.targets) {
        slots += it.slots;
    }
    return slots;
}

/// @param slot number of a slot over all targets; the next number is on the next target that has as many slots
std::size_t targetOfSlot(const Fleet &fleet, std::size_t slot)
{
    for (int round = 1;; ++round) {
        for (std::size_t target = 0; target < fleet.targets.size(); ++target) {
            if (fleet.targets[target].slots >= round && slot-- == 0) {
                return target;
            }
        }
    }
}

std::size_t drawBySlots(Fleet &fleet)
{
    return targetOfSlot(fleet, below(fleet.choices, static_cast<std::uint64_t>(slotCount(fleet))));
}

void place(Fleet &fleet, RequestId id, int balancer, SimJob job)
{
    const auto index = static_cast<std::size_t>(balancer);
    switch (fleet.policy) {
    case Policy::Omniscient:
        // As if each balancer were beside the target.
        placeCentral(fleet, localHop, localHop, std::move(job));
        break;
    case Policy::OmniscientOnPath: {
        const Time hop = targetHop(0, drawBySlots(fleet));
        placeCentral(fleet, hopTo(balancer, 0) + hop, hop, std::move(job));
        break;
    }
    case Policy::Dispatcher:
    case Policy::DispatcherPerCentre:
    case Policy::DispatchersOverlap: {
        Lane &lane = fleet.lanes[index % fleet.lanes.size()];
        fleet.relayed += balancer != lane.balancer ? 1 : 0;
        after(fleet.sim, hopTo(balancer, lane.balancer), [&fleet, &lane, id, job = std::move(job)]() mutable { dispatch(fleet, lane, id, std::move(job)); });
        break;
    }
    case Policy::AloneTwoChoices:
        sendAlone(fleet, balancer, indexOf(*chooseForFlow(fleet.views[index], fleet.sim.now, fleet.choices)), std::move(job));
        break;
    case Policy::Random:
        sendAlone(fleet, balancer, drawBySlots(fleet), std::move(job));
        break;
    case Policy::RoundRobin:
        sendAlone(fleet, balancer, targetOfSlot(fleet, fleet.roundRobin[index]++ % static_cast<std::size_t>(slotCount(fleet))), std::move(job));
        break;
    }
}

void arrive(Fleet &fleet, double gap, Time until)
{
    if (fleet.sim.now >= until) {
        return;
    }
    const auto id = static_cast<RequestId>(++fleet.offered);
    const auto balancer = static_cast<int>(below(fleet.arrivals, balancers));
    const Time began = fleet.sim.now;
    SimJob job;
    job.runFor = std::max<Time>(1, static_cast<Time>(exponential(fleet.arrivals, fleet.meanRun)));
    job.began = [&fleet, began] { fleet.waits.push_back(fleet.sim.now - began); };
    job.ended = [&fleet, began](RequestOutcome /*outcome*/) { fleet.responses.push_back(fleet.sim.now - began); };
    place(fleet, id, balancer, std::move(job));
    after(fleet.sim, static_cast<Time>(exponential(fleet.arrivals, gap)), [&fleet, gap, until] { arrive(fleet, gap, until); });
}

/// What a target says about itself; a liar says that it is idle, or that it is full.
TargetReport reportOf(Fleet &fleet, std::size_t target)
{
    const SimTarget &it = fleet.targets[target];
    const TargetReport honest{true, false, it.inUse, static_cast<int>(it.queue.size()), 0};
    std::deque<TargetReport> &past = fleet.history[target];
    past.push_back(honest);
    if (past.size() > static_cast<std::size_t>(staleAge / reportEvery)) {
        past.pop_front();
    }
    if (fleet.reports == Reports::Stale) {
        return past.front();
    }
    if (fleet.reports == Reports::Liars && target % 5 == 0) {
        return {true, false, target % 2 == 0 ? 0 : it.slots, 0, 0};
    }
    return honest;
}

void report(Fleet &fleet, Time until)
{
    if (fleet.sim.now >= until) {
        return;
    }
    for (std::size_t target = 0; target < fleet.targets.size(); ++target) {
        const TargetReport said = reportOf(fleet, target);
        for (TargetSet &it : fleet.views) {
            reportStatus(it, static_cast<Id>(target) + 1, said, fleet.sim.now);
        }
        for (Lane &it : fleet.lanes) {
            reportStatus(it.targets, static_cast<Id>(target) + 1, said, fleet.sim.now);
        }
    }
    after(fleet.sim, reportEvery, [&fleet, until] { report(fleet, until); });
}

void useTargets(TargetSet &set, const std::vector<TargetEntry> &entries)
{
    setTargets(set, entries, 0);
    for (const TargetEntry &it : entries) {
        setReachable(set, it.id, true, 0);
    }
}

void setUpLanes(Fleet &fleet)
{
    fleet.lanes.resize(fleet.policy == Policy::Dispatcher ? 1 : dataCentres);
    for (int i = 0; i < static_cast<int>(fleet.lanes.size()); ++i) {
        Lane &lane = fleet.lanes[static_cast<std::size_t>(i)];
        std::vector<TargetEntry> entries = fleet.entries;
        if (fleet.policy == Policy::DispatcherPerCentre) {
            std::erase_if(entries, [i](const TargetEntry &it) { return centreOf(indexOf(it.id)) != i; });
        }
        lane.balancer = i;
        setPolicies(lane.admission, {});
        useTargets(lane.targets, entries);
    }
}

void setUp(Fleet &fleet, std::uint64_t seed)
{
    fleet.arrivals.state = seed;
    fleet.choices.state = seed + 1'000'000;
    for (int i = 0; i < targetCount; ++i) {
        const int slots = 2 + i % 3;
        fleet.targets.push_back({slots, SIZE_MAX, 0, {}, 0});
        fleet.entries.push_back({i + 1, slots, true});
    }
    fleet.views.resize(balancers);
    for (TargetSet &it : fleet.views) {
        useTargets(it, fleet.entries);
    }
    setUpLanes(fleet);
    fleet.roundRobin.resize(balancers);
    for (std::size_t &it : fleet.roundRobin) {
        it = below(fleet.choices, static_cast<std::uint64_t>(slotCount(fleet)));
    }
    fleet.history.resize(targetCount);
}

struct BalanceResult {
    double imbalance = 0;
    double waitP99 = 0;
    double responseP99 = 0;
    double relaysPerRequest = 0;
    std::int64_t refused = 0;
    int mostOnTarget = 0;
};

/// What a run of the simulation is made of.
struct Scenario {
    double load = 0;
    double meanRun = 0; ///< in microseconds
    Time length = 0;
    std::uint64_t seed = 0;
};

BalanceResult runFleet(Policy policy, Reports reports, const Scenario &scenario)
{
    const auto fleet = std::make_unique<Fleet>();
    fleet->policy = policy;
    fleet->reports = reports;
    fleet->meanRun = scenario.meanRun;
    setUp(*fleet, scenario.seed);
    report(*fleet, scenario.length);
    arrive(*fleet, scenario.meanRun / (slotCount(*fleet) * scenario.load), scenario.length);
    runUntil(fleet->sim, scenario.length + 10 * second);
    const auto offered = static_cast<double>(fleet->offered);
    return {imbalanceOf(fleet->targets),
            percentile(fleet->waits, 0.99),
            percentile(fleet->responses, 0.99),
            static_cast<double>(fleet->relayed) / offered,
            fleet->refused,
            fleet->mostOnTarget};
}

nlohmann::json describe(const BalanceResult &result, const BalanceResult &limit)
{
    return {{"imbalance", result.imbalance},
            {"wait_p99_ms", result.waitP99 / millisecond},
            {"response_p99_ms", result.responseP99 / millisecond},
            {"wait_p99_ratio", result.waitP99 / limit.waitP99},
            {"response_p99_ratio", result.responseP99 / limit.responseP99},
            {"refused", result.refused}};
}

struct NamedPolicy {
    const char *name;
    Policy policy;
    Reports reports;
};

constexpr NamedPolicy policies[] = {
    {"dispatcher_honest", Policy::Dispatcher, Reports::Honest},
    {"omniscient_on_path", Policy::OmniscientOnPath, Reports::Honest},
    {"dispatcher_per_centre", Policy::DispatcherPerCentre, Reports::Honest},
    {"dispatchers_overlap", Policy::DispatchersOverlap, Reports::Honest},
    {"dispatcher_stale", Policy::Dispatcher, Reports::Stale},
    {"dispatcher_liars", Policy::Dispatcher, Reports::Liars},
    {"alone_honest", Policy::AloneTwoChoices, Reports::Honest},
    {"alone_stale", Policy::AloneTwoChoices, Reports::Stale},
    {"alone_liars", Policy::AloneTwoChoices, Reports::Liars},
    {"random", Policy::Random, Reports::Honest},
    {"round_robin", Policy::RoundRobin, Reports::Honest},
};

/// @param count how many of the placements are run beside the omniscient queue
/// @param mostOnTarget raised to the most requests in flight to a target beyond its slots
nlohmann::json compare(const Scenario &scenario, std::size_t count, int &mostOnTarget)
{
    const BalanceResult limit = runFleet(Policy::Omniscient, Reports::Honest, scenario);
    nlohmann::json row{{"omniscient", describe(limit, limit)}};
    for (const NamedPolicy &it : std::span(policies).first(count)) {
        const BalanceResult measured = runFleet(it.policy, it.reports, scenario);
        row[it.name] = describe(measured, limit);
        mostOnTarget = std::max(mostOnTarget, measured.mostOnTarget);
        if (measured.relaysPerRequest > 0) {
            row[it.name]["relays_per_request"] = measured.relaysPerRequest;
        }
    }
    return row;
}

} // namespace

int measureBalance(const MeasureOptions &options)
{
    const Time length = (options.size > 0 ? options.size : 60) * second;
    nlohmann::json result{{"measurement", "balance"}, {"seed", options.seed}, {"virtual_seconds", length / second}};
    int mostOnTarget = 0;
    for (const int runMs : {20, 5, 200}) {
        for (const int load : {70, 95}) {
            const Scenario scenario{load / 100.0, static_cast<double>(runMs * millisecond), length, options.seed};
            const std::string name = "run_" + std::to_string(runMs) + "ms_load_" + std::to_string(load);
            // The usual run time is compared with all placements, the others show how the dispatcher depends on it.
            result[name] = compare(scenario, runMs == 20 ? std::size(policies) : 2, mostOnTarget);
        }
    }
    result["most_beyond_slots"] = mostOnTarget;
    std::cout << result.dump() << '\n';
    return mostOnTarget > TargetChoiceSettings().shortRunPipelineDepth ? 1 : 0;
}

} // namespace pimentofold
