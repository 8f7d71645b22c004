#pragma once

#include <cstdint>

#include <pimentofold/edgeconfig.h>

/// Largest values that the fields of a configuration may have. Nodes and the check of a configuration use the same ones.
namespace pimentofold::platform {

constexpr std::int64_t maxMilliseconds = 86'400'000; ///< one day
constexpr int maxUrgency = 1000;
constexpr double maxColdSeconds = static_cast<double>(maxColdTime / second);

} // namespace pimentofold::platform
