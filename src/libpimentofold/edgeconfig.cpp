#include <pimentofold/edgeconfig.h>

#include <algorithm>
#include <array>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 4> routeTypeNames{"safe", "unsafe", "download", "upload"};
constexpr std::array<std::string_view, 2> targetStateNames{"ready", "draining"};

} // namespace

std::string_view name(RouteType type)
{
    return routeTypeNames.at(static_cast<std::size_t>(type));
}

std::optional<RouteType> routeTypeFromName(std::string_view text)
{
    const auto it = std::ranges::find(routeTypeNames, text);
    return it == routeTypeNames.end() ? std::nullopt : std::optional(static_cast<RouteType>(it - routeTypeNames.begin()));
}

std::string_view name(TargetState state)
{
    return targetStateNames.at(static_cast<std::size_t>(state));
}

} // namespace pimentofold
