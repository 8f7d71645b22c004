#include <pimentofold-measure/simulation.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentofold {

namespace {

void startJob(Simulation &sim, SimTarget &target, SimJob job);

void startNext(Simulation &sim, SimTarget &target)
{
    while (target.inUse < target.slots && !target.queue.empty()) {
        SimJob job = std::move(target.queue.front());
        target.queue.pop_front();
        if (job.deadline <= sim.now) {
            job.ended(RequestOutcome::Expired);
        } else {
            startJob(sim, target, std::move(job));
        }
    }
}

void startJob(Simulation &sim, SimTarget &target, SimJob job)
{
    target.inUse += 1;
    target.busyTime += static_cast<double>(job.runFor);
    job.began();
    after(sim, job.runFor, [&sim, &target, ended = std::move(job.ended)] {
        target.inUse -= 1;
        ended(RequestOutcome::Done);
        startNext(sim, target);
    });
}

} // namespace

void after(Simulation &sim, Time delay, std::function<void()> act)
{
    sim.events.push({sim.now + delay, ++sim.added, std::move(act)});
}

void runUntil(Simulation &sim, Time until)
{
    while (!sim.events.empty() && sim.events.top().at <= until) {
        // The top of a priority queue is constant; the event is removed right after it is moved from.
        SimEvent event = std::move(const_cast<SimEvent &>(sim.events.top()));
        sim.events.pop();
        sim.now = event.at;
        event.act();
    }
    sim.now = until;
}

void submit(Simulation &sim, SimTarget &target, SimJob job)
{
    if (target.inUse < target.slots) {
        startJob(sim, target, std::move(job));
    } else if (target.queue.size() < target.queueMost) {
        target.queue.push_back(std::move(job));
    } else {
        job.ended(RequestOutcome::Shed);
    }
}

double percentile(std::vector<Time> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::floor(fraction * static_cast<double>(values.size() - 1)));
    return static_cast<double>(values[index]);
}

double imbalanceOf(const std::vector<SimTarget> &targets)
{
    double sum = 0;
    double most = 0;
    for (const SimTarget &it : targets) {
        const double use = it.busyTime / it.slots;
        sum += use;
        most = std::max(most, use);
    }
    return sum > 0 ? most * static_cast<double>(targets.size()) / sum : 0;
}

} // namespace pimentofold
