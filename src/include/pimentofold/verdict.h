#pragma once

#include <string_view>

/// Results of requests as reported to callers.
namespace pimentofold {

/// Whether a request ran at a target. Only after NotRun may the caller send the same work again as a new request. The values are
/// those of the wire format.
enum class Verdict { Ran = 1, NotRun = 2, MayHaveRun = 3 };

/// Why a request was refused or its outcome is unknown. The values are those of the wire format.
enum class Reason {
    None = 0,
    Overload = 1, ///< the service has no free capacity within the request's deadline
    DeadlineTooShort = 2, ///< the deadline can't be met even if the request starts at once
    UnknownFlow = 3, ///< no target has the flow
    TargetLost = 4, ///< the connection to the target was lost
    PairLost = 5, ///< the home or the witness can't be reached; the caller opens the flow again to get a new pair
    TokenExpired = 6, ///< the token no longer permits requests that may not be repeated
    TokenRequired = 7, ///< the request may not be repeated and has no token
    Stopping = 8, ///< the home is stopping; the caller continues with the new token in the reply
    NoTarget = 9, ///< the service has no usable target
    Shed = 10, ///< the target refused the request because it has no free capacity
    Cancelled = 11, ///< the caller cancelled the request
    BudgetExhausted = 12, ///< the retry budget of the balancer is used up
    TimedOut = 13, ///< the deadline passed
};

/// @return the name in logs and metrics, for example "may_have_run"; "unknown" for a value outside of the enumeration
std::string_view name(Verdict verdict);

/// @overload
std::string_view name(Reason reason);

} // namespace pimentofold
