#pragma once

#include <optional>
#include <span>

#include <pimentofold/queueing/admissionqueue.h>

/// Order of waiting flows without fair queueing: one list by lateness, urgency and age.
namespace pimentofold {

/// @param skippedRoutes addresses of routes whose flows are passed over
/// @return the waiting flow that is to be placed next: those that can still meet their response time goal first, the most urgent
///         and then the oldest ones before the others. Late flows follow, those with the fewest retransmissions first, since their
///         callers are the least likely to have given up. Nothing when there is none.
std::optional<FlowKey> nextWaiting(const AdmissionQueue &queue, std::span<const Address> skippedRoutes, Time now);

} // namespace pimentofold
