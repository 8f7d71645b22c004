#pragma once

#include <cstdint>

/// Largest values that the fields of a configuration may have.
namespace pimentofold::platform {

constexpr std::int64_t maxMilliseconds = 86'400'000;
constexpr int maxUrgency = 1000;
constexpr double maxColdTime = 86'400; ///< seconds
constexpr double maxColdRate = 1e6; ///< openings per second

} // namespace pimentofold::platform
