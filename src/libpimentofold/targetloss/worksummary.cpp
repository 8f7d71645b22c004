#include <pimentofold/targetloss/worksummary.h>

#include <algorithm>
#include <set>

namespace pimentofold {

namespace {

bool isCredible(const CallerWork &caller)
{
    return caller.answered > 0 && caller.answered >= answersPerOverdueRequest * caller.overdue;
}

/// @return whether the callers' requests to targets without evidence against them are answered
bool areCallersCredible(const WorkSummary &work, const std::function<bool(std::uint64_t)> &isSuspected)
{
    std::size_t answered = 0;
    for (const auto &[ip, caller] : work.callers) {
        answered += static_cast<std::size_t>(caller.answered);
    }
    std::size_t overdue = 0;
    for (const auto &[target, callers] : work.overdue) {
        overdue += isSuspected(target) ? 0 : callers.size();
    }
    return answered > 0 && answered >= answersPerOverdueRequest * overdue;
}

} // namespace

WorkSummary summarizeWork(const Dispatcher &dispatcher, const std::function<bool(const Address &)> &keepsFlows, Time now)
{
    WorkSummary work;
    for (const auto &[key, flow] : dispatcher.placedFlows) {
        if (!keepsFlows(key.service)) {
            continue;
        }
        CallerWork &caller = work.callers[key.caller.ip];
        if (flow.load == FlowLoad::Working && now - flow.loadChangedAt >= overdueTime) {
            ++caller.overdue;
            work.overdue[flow.target].push_back(key.caller.ip);
        } else if (flow.answeredAt > 0 && now - flow.answeredAt <= answerWindow) {
            ++caller.answered;
        }
    }
    return work;
}

bool isWorkConsistent(const WorkSummary &work, std::uint64_t target, int stalledFlows, const std::function<bool(std::uint64_t target)> &isSuspected)
{
    constexpr std::size_t minCallers = 2;
    const auto overdue = work.overdue.find(target);
    if (overdue == work.overdue.end() || 2 * static_cast<std::size_t>(stalledFlows) < overdue->second.size()) {
        return false;
    }
    const std::set<std::uint32_t> callers(overdue->second.begin(), overdue->second.end());
    const auto credible = std::ranges::count_if(callers, [&](std::uint32_t it) { return isCredible(work.callers.at(it)); });
    return static_cast<std::size_t>(credible) >= minCallers || (callers.size() >= minJointCallers && areCallersCredible(work, isSuspected));
}

} // namespace pimentofold
