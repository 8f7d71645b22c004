#include <pimentofold/retry.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

namespace {

// Time is credited in steps, since the decay costs more than the rest of a request's accounting.
constexpr Time updateInterval = 10 * millisecond;

void advance(RetryBudget &budget, Time now)
{
    if (now - budget.updatedAt < updateInterval) {
        return;
    }
    const double seconds = static_cast<double>(now - budget.updatedAt) / static_cast<double>(second);
    const double window = static_cast<double>(retryWindow) / static_cast<double>(second);
    budget.recentRequests *= std::exp(-seconds / window);
    budget.credits += seconds * retriesPerSecond;
    budget.credits = std::min(budget.credits, retriesPerSecond * window + retriesPerRequest * budget.recentRequests);
    budget.updatedAt = now;
}

} // namespace

void recordRequest(RetryBudget &budget, Time now)
{
    advance(budget, now);
    budget.recentRequests += 1;
    budget.credits += retriesPerRequest;
}

bool consumeRetry(RetryBudget &budget, Time now)
{
    advance(budget, now);
    if (budget.credits < 1) {
        return false;
    }
    budget.credits -= 1;
    return true;
}

Time backoffDelay(Random &random, int attempt, Time base, Time most)
{
    Time bound = base;
    for (int i = 1; i < attempt && bound < most; ++i) {
        bound *= 2;
    }
    bound = std::min(bound, most);
    return static_cast<Time>(below(random, static_cast<std::uint64_t>(bound) + 1));
}

} // namespace pimentofold
