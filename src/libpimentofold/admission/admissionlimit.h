#pragma once

#include <pimentofold/admission/admission.h>

/// The adaptive concurrency limit of admission control.
namespace pimentofold {

/// Adds the run time of one answered request to the averages of its kind.
/// @param run time from start to answer
void recordRunTime(Admission &admission, WorkKindState &kind, Time run);

/// Adapts the limit once AdmissionSettings::adaptInterval has passed.
/// @param slots slots of the reachable targets, with their pipeline depth; the limit doesn't exceed them
void adaptLimit(Admission &admission, int slots, Time now);

} // namespace pimentofold
