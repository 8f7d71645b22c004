#include <pimentofold-measure/measurements.h>

#include <iostream>
#include <memory>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include <pimentofold-measure/simulation.h>
#include <pimentofold/random.h>

/// Compares the laws of the adaptive limit where it decides: on a session service, whose requests are bound to targets
/// that 15 balancers share without seeing each other.
namespace pimentofold {

namespace {

constexpr std::size_t balancers = 15;
constexpr int targetCount = 15;
constexpr int slots = 2;
constexpr std::size_t targetQueue = 4; // beyond it a target sheds
constexpr double meanRun = 20.0 * millisecond;
constexpr Time hop = 300 * microsecond;
constexpr Time deadline = 1 * second;
constexpr Time settle = 5 * second; // the limits adapt before anything is counted

struct LimitCase {
    const char *name;
    double load; ///< of what the targets can finish at full speed
    int slotsInUse; ///< slots that the targets really have
};

struct LimitFleet {
    Simulation sim;
    Random random;
    std::vector<SimTarget> targets;
    std::vector<Admission> admissions{balancers};
    std::vector<TargetSet> sets{balancers};
    std::unordered_map<RequestId, Time> created;
    std::vector<Time> responses;
    std::int64_t offered = 0;
    std::int64_t answered = 0; ///< within the deadline
    std::int64_t refused = 0;
    std::int64_t shed = 0;
    RequestId lastId = 0;
};

void carryOut(LimitFleet &fleet, std::size_t balancer, const std::vector<AdmissionDecision> &out);

void ended(LimitFleet &fleet, std::size_t balancer, RequestId id, RequestOutcome outcome)
{
    const Time took = fleet.sim.now - fleet.created[id];
    if (fleet.created[id] >= settle) {
        fleet.shed += outcome == RequestOutcome::Shed ? 1 : 0;
        if (outcome == RequestOutcome::Done) {
            fleet.responses.push_back(took);
            fleet.answered += took <= deadline ? 1 : 0;
        }
    }
    fleet.created.erase(id);
    std::vector<AdmissionDecision> out;
    finish(fleet.admissions[balancer], fleet.sets[balancer], id, outcome, fleet.sim.now, fleet.random, out);
    carryOut(fleet, balancer, out);
}

void carryOut(LimitFleet &fleet, std::size_t balancer, const std::vector<AdmissionDecision> &out)
{
    for (const AdmissionDecision &it : out) {
        if (it.action == AdmissionAction::Refuse) {
            fleet.refused += fleet.created[it.id] >= settle ? 1 : 0;
            fleet.created.erase(it.id);
        }
        if (it.action != AdmissionAction::Start) {
            continue;
        }
        SimJob job;
        job.runFor = 1 + static_cast<Time>(exponential(fleet.random, meanRun));
        job.deadline = fleet.created[it.id] + deadline;
        job.began = [] {};
        job.ended = [&fleet, balancer, id = it.id](RequestOutcome outcome) {
            after(fleet.sim, hop, [&fleet, balancer, id, outcome] { ended(fleet, balancer, id, outcome); });
        };
        after(fleet.sim, hop, [&fleet, target = static_cast<std::size_t>(it.target) - 1, job = std::move(job)]() mutable {
            submit(fleet.sim, fleet.targets[target], std::move(job));
        });
    }
}

void arrive(LimitFleet &fleet, double gap, Time until)
{
    if (fleet.sim.now >= until) {
        return;
    }
    const RequestId id = ++fleet.lastId;
    const std::size_t balancer = below(fleet.random, balancers);
    const auto target = static_cast<Id>(1 + below(fleet.random, targetCount));
    fleet.created[id] = fleet.sim.now;
    fleet.offered += fleet.sim.now >= settle ? 1 : 0;
    std::vector<AdmissionDecision> out;
    offer(fleet.admissions[balancer], fleet.sets[balancer], {id, 0, fleet.sim.now + deadline, 100, target}, fleet.sim.now, fleet.random, out);
    carryOut(fleet, balancer, out);
    after(fleet.sim, static_cast<Time>(exponential(fleet.random, gap)), [&fleet, gap, until] { arrive(fleet, gap, until); });
}

nlohmann::json runLaw(const LimitCase &scenario, LimitAlgorithm law, Time length, std::uint64_t seed)
{
    const auto fleet = std::make_unique<LimitFleet>();
    fleet->random.state = seed;
    std::vector<TargetEntry> entries;
    for (int i = 1; i <= targetCount; ++i) {
        fleet->targets.push_back({scenario.slotsInUse, targetQueue, 0, {}, 0});
        entries.push_back({i, slots, true});
    }
    for (std::size_t i = 0; i < balancers; ++i) {
        fleet->admissions[i].settings.limitAlgorithm = law;
        fleet->admissions[i].settings.minLimitShare = 1.0 / balancers;
        fleet->sets[i].settings.pipelineDepth = 0;
        setTargets(fleet->sets[i], entries, 0);
        for (const TargetEntry &it : entries) {
            setReachable(fleet->sets[i], it.id, true, 0);
        }
    }
    arrive(*fleet, meanRun / (targetCount * slots * scenario.load), settle + length);
    runUntil(fleet->sim, settle + length + 2 * deadline);
    const double possible = targetCount * scenario.slotsInUse * static_cast<double>(length) / meanRun;
    const auto offered = static_cast<double>(fleet->offered);
    return {{"answered", static_cast<double>(fleet->answered) / offered},
            {"goodput", static_cast<double>(fleet->answered) / possible},
            {"shed_per_request", static_cast<double>(fleet->shed) / offered},
            {"refused_per_request", static_cast<double>(fleet->refused) / offered},
            {"response_p99_ms", percentile(fleet->responses, 0.99) / millisecond}};
}

} // namespace

int measureLimits(const MeasureOptions &options)
{
    const Time length = (options.size > 0 ? options.size : 20) * second;
    constexpr LimitCase cases[] = {
        {"load_70", 0.7, slots},
        {"load_200", 2.0, slots},
        {"load_70_half_slots", 0.7, 1},
    };
    nlohmann::json result{{"measurement", "limits"}, {"seed", options.seed}};
    for (const LimitCase &it : cases) {
        result[it.name]["aimd"] = runLaw(it, LimitAlgorithm::Aimd, length, options.seed);
        result[it.name]["gradient"] = runLaw(it, LimitAlgorithm::Gradient, length, options.seed);
        result[it.name]["fixed"] = runLaw(it, LimitAlgorithm::Fixed, length, options.seed);
    }
    std::cout << result.dump() << '\n';
    return 0;
}

} // namespace pimentofold
