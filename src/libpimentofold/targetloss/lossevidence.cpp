#include <pimentofold/targetloss/lossevidence.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace pimentofold {

namespace {

/// Longer than any stall lasts, so that what a stall is compared with is still known.
constexpr Time observationRetention = 10 * second;
constexpr Time sweepInterval = second;

Time oldestStall(const TargetStalls &it)
{
    const auto oldest = std::ranges::min_element(it.stalls, {}, &FlowStall::since);
    return oldest == it.stalls.end() ? 0 : oldest->since;
}

/// @return whether this node's own path works since @p since, as far as it can be seen
bool isPathProven(const LossEvidence &evidence, Time since)
{
    const auto proven = std::ranges::count_if(evidence.provenAt, [&](const auto &it) { return it.second > since; });
    const auto stalled = std::ranges::count_if(evidence.stalled, [&](const auto &it) { return oldestStall(it.second) >= since; });
    return proven > 0 && proven >= stalled;
}

/// @return whether the caller's flows stall on several targets and make no progress elsewhere, so that its link may be at fault
bool isCallerSuspected(const LossEvidence &evidence, std::uint32_t callerIp)
{
    std::size_t targets = 0;
    Time oldest = never;
    for (const auto &[target, it] : evidence.stalled) {
        bool found = false;
        for (const FlowStall &stall : it.stalls) {
            if (stall.flow.caller.ip == callerIp) {
                found = true;
                oldest = std::min(oldest, stall.since);
            }
        }
        targets += found ? 1 : 0;
    }
    const auto progress = evidence.callerProgressAt.find(callerIp);
    return targets > 1 && (progress == evidence.callerProgressAt.end() || progress->second <= oldest);
}

bool isExpired(const FlowStall &stall, Time now)
{
    const Time next = std::min(2 * stall.interval, maxRetransmissionInterval);
    return now > stall.repeatedAt + next + stallSlack;
}

} // namespace

void recordStall(LossEvidence &evidence, std::uint64_t target, const FlowStall &stall)
{
    TargetStalls &it = evidence.stalled[target];
    it.changed = true;
    const auto known = std::ranges::find(it.stalls, stall.flow, &FlowStall::flow);
    if (known != it.stalls.end()) {
        known->since = std::min(known->since, stall.since);
        known->repeatedAt = stall.repeatedAt;
        known->interval = stall.interval;
        known->retransmissions = std::max(known->retransmissions, stall.retransmissions);
    } else if (it.stalls.size() < maxStallsPerTarget) {
        it.stalls.push_back(stall);
    }
}

void recordProgress(LossEvidence &evidence, std::uint64_t target, std::uint32_t callerIp, Time provenForwardAt, Time now)
{
    evidence.stalled.erase(target);
    evidence.callerProgressAt[callerIp] = now;
    if (provenForwardAt > 0) {
        Time &proven = evidence.provenAt[target];
        proven = std::max(proven, provenForwardAt);
    }
}

void expireStalls(LossEvidence &evidence, Time now)
{
    for (auto it = evidence.stalled.begin(); it != evidence.stalled.end();) {
        std::erase_if(it->second.stalls, [&](const FlowStall &stall) { return isExpired(stall, now); });
        it = it->second.stalls.empty() ? evidence.stalled.erase(it) : std::next(it);
    }
    if (now < evidence.nextSweepAt) {
        return;
    }
    evidence.nextSweepAt = now + sweepInterval;
    const auto isOld = [&](const auto &it) { return now - it.second > observationRetention; };
    std::erase_if(evidence.provenAt, isOld);
    std::erase_if(evidence.callerProgressAt, isOld);
    std::erase_if(evidence.nextReportAt, isOld);
}

void clearEvidence(LossEvidence &evidence)
{
    evidence.stalled.clear();
    evidence.acknowledgedAt.clear();
}

TargetEvidence countableStalls(const LossEvidence &evidence, std::uint64_t target, Time now)
{
    TargetEvidence result;
    result.target = target;
    const auto it = evidence.stalled.find(target);
    if (it == evidence.stalled.end()) {
        return result;
    }
    std::set<std::uint32_t> callers;
    for (const FlowStall &stall : it->second.stalls) {
        if (!isPathProven(evidence, stall.since) || isCallerSuspected(evidence, stall.flow.caller.ip)) {
            continue;
        }
        callers.insert(stall.flow.caller.ip);
        result.retransmissions = std::max(result.retransmissions, stall.retransmissions);
        result.stalledFor = std::max(result.stalledFor, now - stall.since);
    }
    result.stalledFlows = static_cast<int>(callers.size());
    return result;
}

} // namespace pimentofold
