#include <pimentofold/queueing/waitinglist.h>

#include <algorithm>

namespace pimentofold {

namespace {

bool hasPrecedence(const WaitingFlow &a, const WaitingFlow &b, Time now, Time serviceTime)
{
    const auto isLateFlow = [&](const WaitingFlow &it) {
        return it.responseTimeGoal > 0 && it.flow.openingAge + (now - it.waitingSince) + serviceTime > it.responseTimeGoal;
    };
    const bool lateA = isLateFlow(a);
    const bool lateB = isLateFlow(b);
    if (lateA != lateB) {
        return lateB;
    }
    if (!lateA && a.urgency != b.urgency) {
        return a.urgency < b.urgency;
    }
    if (lateA && a.flow.openingAge != b.flow.openingAge) {
        return a.flow.openingAge < b.flow.openingAge;
    }
    return a.waitingSince < b.waitingSince;
}

} // namespace

std::optional<FlowKey> nextWaiting(const AdmissionQueue &queue, std::span<const Address> skippedRoutes, Time now)
{
    auto best = queue.flows.end();
    for (auto it = queue.flows.begin(); it != queue.flows.end(); ++it) {
        if (std::ranges::find(skippedRoutes, it->first.service) != skippedRoutes.end()) {
            continue;
        }
        if (best == queue.flows.end() || hasPrecedence(it->second, best->second, now, queue.serviceTime)) {
            best = it;
        }
    }
    return best == queue.flows.end() ? std::nullopt : std::optional(best->first);
}

} // namespace pimentofold
