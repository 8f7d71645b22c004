#pragma once

#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// Retries: a budget that keeps them a small share of the work, and back-off with full jitter.
namespace pimentofold {

/// Retries allowed for each request.
constexpr double retriesPerRequest = 0.1;
/// Retries allowed for each second, so that a service with few requests can retry at all.
constexpr double retriesPerSecond = 1.0;
/// Unused retries are kept for this long, so that a long quiet time doesn't allow a burst.
constexpr Time retryWindow = 10 * second;

/// Retry budget of one service.
struct RetryBudget {
    double credits = retriesPerSecond;
    double recentRequests = 0; ///< decayed count over about retryWindow; limits the credits
    Time updatedAt = 0;
};

/// Counts a first sending, which earns a share of a retry.
void recordRequest(RetryBudget &budget, Time now);

/// Takes one retry from the budget.
/// @return false when the budget is used up
bool consumeRetry(RetryBudget &budget, Time now);

/// Back-off with full jitter.
/// @param attempt 1 for the first wait
/// @param base upper bound of the first wait
/// @param most upper bound of every wait
/// @return a wait between 0 and the bound, which doubles with each attempt
Time backoffDelay(Random &random, int attempt, Time base, Time most);

} // namespace pimentofold
