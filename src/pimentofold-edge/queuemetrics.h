#pragma once

#include <vector>

#include <pimentofold/dispatch.h>
#include <pimentofold/metrics.h>

/// Metrics of the admission queue.
namespace pimentofold {

/// Sets the gauges of waiting flows by route and data centre, and the counter of deferred flows.
void updateQueueMetrics(Metrics &metrics, const TargetTable &table, const AdmissionQueue &queue);

/// Records by route how long flows waited until they were placed.
void recordQueueWaits(Metrics &metrics, const TargetTable &table, const std::vector<QueueWait> &waits);

} // namespace pimentofold
