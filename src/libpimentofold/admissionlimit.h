#pragma once

#include <pimentofold/admission.h>

/// The adaptive limit on requests in flight; part of admission.
namespace pimentofold {

/// Takes one answer into the averages of its kind.
/// @param run time from start to answer
void recordRunTime(Admission &admission, WorkKindState &kind, Time run);

/// Adapts the limit once an interval has passed.
/// @param slots slots of the reachable targets, which the limit doesn't exceed
void adaptLimit(Admission &admission, int slots, Time now);

} // namespace pimentofold
