#include <pimentofold/verdict.h>

#include <array>
#include <cstddef>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 4> verdictNames{"unknown", "ran", "not_run", "may_have_run"};

constexpr std::array<std::string_view, 14> reasonNames{
    "none",
    "overload",
    "deadline_too_short",
    "unknown_flow",
    "target_lost",
    "pair_lost",
    "token_expired",
    "token_required",
    "stopping",
    "no_target",
    "shed",
    "cancelled",
    "budget_exhausted",
    "timed_out",
};

template<std::size_t size>
std::string_view lookUp(const std::array<std::string_view, size> &names, int value)
{
    return value >= 0 && value < static_cast<int>(size) ? names[static_cast<std::size_t>(value)] : "unknown";
}

} // namespace

std::string_view name(Verdict verdict)
{
    return lookUp(verdictNames, static_cast<int>(verdict));
}

std::string_view name(Reason reason)
{
    return lookUp(reasonNames, static_cast<int>(reason));
}

} // namespace pimentofold
