#pragma once

#include <string_view>

/// What a caller may conclude about a request.
namespace pimentofold {

/// Says whether a request may have run. Only NotRun permits sending the same work again.
enum class Verdict { Ran = 1, NotRun = 2, MayHaveRun = 3 };

/// Why a request was refused or its outcome is unknown. The values are those of the wire format.
enum class Reason {
    None = 0,
    Overload = 1, ///< no room within the request's deadline
    DeadlineTooShort = 2, ///< the deadline can't be met even without waiting
    UnknownFlow = 3, ///< no target holds the flow
    TargetLost = 4, ///< the connection to the target broke
    PairLost = 5, ///< home or witness can't be reached; open again for a fresh pair
    TokenExpired = 6,
    TokenRequired = 7, ///< the request may not be repeated and came without a token
    Stopping = 8, ///< the home is stopping; use the fresh token
    NoTarget = 9, ///< the service has no usable target
    Shed = 10, ///< the target refused for lack of room
    Cancelled = 11,
    BudgetExhausted = 12, ///< the retry budget is used up
    TimedOut = 13, ///< the deadline passed
};

/// @return the name as used in logs and metrics, for example "may_have_run"; "unknown" for other values
std::string_view name(Verdict verdict);

/// @overload
std::string_view name(Reason reason);

} // namespace pimentofold
