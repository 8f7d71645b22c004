#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <vector>

#include <pimentofold/admission/admission.h>
#include <pimentofold/types.h>

/// A small queueing simulation on virtual time, shared by the measurements of load.
namespace pimentofold {

/// An event; events of the same time happen in the order in which they were added.
struct SimEvent {
    Time at = 0;
    std::uint64_t order = 0;
    std::function<void()> act;
};

struct LaterEvent {
    bool operator()(const SimEvent &a, const SimEvent &b) const
    {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

/// Virtual time and what happens on it.
struct Simulation {
    Time now = 0;
    std::uint64_t added = 0;
    std::priority_queue<SimEvent, std::vector<SimEvent>, LaterEvent> events;
};

/// Adds an event @p delay from now.
void after(Simulation &sim, Time delay, std::function<void()> act);

/// Runs all events up to @p until.
void runUntil(Simulation &sim, Time until);

/// A piece of work on a simulated target.
struct SimJob {
    Time runFor = 0;
    Time deadline = never; ///< dropped as Expired when it hasn't started by then
    std::function<void()> began;
    std::function<void(RequestOutcome)> ended;
};

/// A target with slots and a queue of its own.
struct SimTarget {
    int slots = 1;
    std::size_t queueMost = SIZE_MAX; ///< further work is shed
    int inUse = 0;
    std::deque<SimJob> queue;
    double busyTime = 0; ///< slot time used, in microseconds
};

/// Gives a job to a target.
void submit(Simulation &sim, SimTarget &target, SimJob job);

/// @param fraction for example 0.99
/// @param values are sorted
/// @return the percentile; 0 for no values
double percentile(std::vector<Time> &values, double fraction);

/// @return max over mean of the targets' use per slot
double imbalanceOf(const std::vector<SimTarget> &targets);

} // namespace pimentofold
