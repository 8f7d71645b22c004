#include <pimentofold/edgeconfig.h>

#include <array>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 3> routeTypeNames{"safe", "unsafe", "download"};
constexpr std::array<std::string_view, 2> targetStateNames{"ready", "draining"};

} // namespace

std::string_view name(RouteType type)
{
    return routeTypeNames.at(static_cast<std::size_t>(type));
}

std::string_view name(TargetState state)
{
    return targetStateNames.at(static_cast<std::size_t>(state));
}

} // namespace pimentofold
