#include <pimentofold/targetloss/worksummary.h>

#include <set>

namespace pimentofold {

namespace {

bool isCredible(const CallerWork &caller)
{
    return caller.answered > 0 && caller.answered >= answersPerOverdueRequest * caller.overdue;
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

bool isWorkConsistent(const WorkSummary &work, std::uint64_t target, int stalledFlows)
{
    constexpr std::size_t minCallers = 2;
    const auto overdue = work.overdue.find(target);
    if (overdue == work.overdue.end()) {
        return false;
    }
    std::set<std::uint32_t> credible;
    for (const std::uint32_t it : overdue->second) {
        if (isCredible(work.callers.at(it))) {
            credible.insert(it);
        }
    }
    return credible.size() >= minCallers && 2 * static_cast<std::size_t>(stalledFlows) >= overdue->second.size();
}

} // namespace pimentofold
