#pragma once

#include <caller-standin/callersettings.h>

namespace pimentofold {

/// Runs the callers until a signal. At SIGTERM they close their flows and the process ends when all are closed,
/// or after a few seconds.
void serveCallers(const CallerSettings &settings);

} // namespace pimentofold
