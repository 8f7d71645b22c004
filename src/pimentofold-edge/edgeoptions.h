#pragma once

#include <cstdint>

#include <pimentofold/edgeforward.h>
#include <pimentofold/replication/storereplication.h>
#include <pimentofold/settings.h>

namespace pimentofold {

/// Options of an edge node that are the same in every installation: thresholds, intervals and limits. Settings that differ
/// between installations come from the platform; see edgesettings.h.
struct EdgeOptions {
    ForwardSettings forward;
    DispatchSettings dispatch;
    BalancingSettings balancing;
    ReplicationSettings replication;
    TargetLossSettings targetLoss;
    OutlierSettings outliers;
    bool fairQueueing = false; ///< see AdmissionQueue::fair
    std::uint16_t metricsPort = 9464; ///< TCP port of the metrics page; 0: no metrics page
    double logEventsPerSecond = 200; ///< limit for the events of each name
    double logBurst = 400; ///< number of events of each name that may be logged at once
};

/// Reads the options from a settings file. A missing field keeps its default.
/// @param top the file's top-level object; deploy/edge.json shows all fields with their defaults and ranges
/// @throws SettingsError with the field, its path and the allowed range, also for an unknown field
EdgeOptions parseEdgeOptions(SettingsObject top);

} // namespace pimentofold
