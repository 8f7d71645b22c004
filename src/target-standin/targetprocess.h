#pragma once

#include <target-standin/targetsettings.h>

namespace pimentofold {

/// Runs the servers until a signal. At SIGTERM they drain and the process ends when all flows and requests have
/// ended, or after the drain limit.
void serveTargets(const TargetSettings &settings);

} // namespace pimentofold
