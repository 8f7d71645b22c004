#pragma once

#include <cstdint>

#include <pimentofold/edgeforward.h>
#include <pimentofold/settings.h>
#include <pimentofold/storereplication.h>

/// The product's own settings of an edge node: thresholds that hold on every installation. What differs between
/// installations comes from the platform; see edgesettings.h.
namespace pimentofold {

struct EdgeOptions {
    ForwardSettings forward;
    DispatchSettings dispatch;
    ShareSettings share;
    std::uint16_t metricsPort = 9464; ///< 0: no metrics
    double logEventsPerSecond = 200; ///< events of each name
    double logBurst = 400;
};

/// @param top the settings file; each field has a default and a range, which deploy/edge.json shows
/// @throws SettingsError with the field, its path and the allowed range
EdgeOptions parseEdgeOptions(SettingsObject top);

} // namespace pimentofold
