#pragma once

#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// Retries: a budget that limits them to a small share of the requests, and exponential back-off with full jitter.
namespace pimentofold {

/// Retries that each request adds to the budget.
constexpr double retriesPerRequest = 0.1;
/// Retries that each second adds to the budget, so that a service with few requests can retry at all.
constexpr double retriesPerSecond = 1.0;
/// Unused retries accumulate over at most this time, so that a long idle period doesn't allow a burst of retries.
constexpr Time retryWindow = 10 * second;

/// Retry budget of one service.
struct RetryBudget {
    double credits = retriesPerSecond; ///< retries that are allowed now
    double recentRequests = 0; ///< number of requests, decayed with the time constant retryWindow; bounds the credits
    Time updatedAt = 0;
};

/// Counts the first transmission of a request, which adds retriesPerRequest to the budget.
void recordRequest(RetryBudget &budget, Time now);

/// Consumes one retry from the budget.
/// @return false when the budget is exhausted; the request must not be retried then
bool consumeRetry(RetryBudget &budget, Time now);

/// Computes the delay before a retry by exponential back-off with full jitter.
/// @param attempt 1 for the first delay
/// @param base upper bound of the first delay
/// @param maxDelay upper bound of every delay
/// @return a random delay between 0 and a bound that doubles with each attempt, up to @p maxDelay
Time backoffDelay(Random &random, int attempt, Time base, Time maxDelay);

} // namespace pimentofold
