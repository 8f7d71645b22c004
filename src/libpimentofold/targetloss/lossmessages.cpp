#include <pimentofold/targetloss/lossmessages.h>

#include <array>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 5> eventNames{"target_suspected", "target_lost", "target_unreachable", "target_recovered", "flow_reset"};
constexpr std::array<std::string_view, 3> reasonNames{"working", "idle", "request"};

} // namespace

std::string_view name(LossEvent event)
{
    return eventNames.at(static_cast<std::size_t>(event));
}

std::string_view name(ResetReason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

} // namespace pimentofold
