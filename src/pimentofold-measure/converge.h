#pragma once

#include <pimentofold-measure/measurements.h>

/// How fast configuration changes reach all agents, on virtual time.
namespace pimentofold {

/// Runs fleets of 15 members, of 400 in one data centre and of 14,000 over 36 data centres against a platform that
/// is healthy, slow, and away and back. With a size only the fleet of that many members runs.
/// @return 1 when a version reverted or a change was lost
int measureConverge(const MeasureOptions &options);

} // namespace pimentofold
