#include <pimentofold/edgeconfig.h>

#include <array>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 3> workKindNames{"safe", "unsafe", "download"};
constexpr std::array<std::string_view, 2> targetStateNames{"ready", "draining"};

} // namespace

std::string_view name(RouteType kind)
{
    return workKindNames.at(static_cast<std::size_t>(kind));
}

std::string_view name(TargetState state)
{
    return targetStateNames.at(static_cast<std::size_t>(state));
}

} // namespace pimentofold
