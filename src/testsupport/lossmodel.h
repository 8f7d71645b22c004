#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/types.h>

/// Bounded model check of the verdict on lost targets: three nodes, one target and three flows of two callers. The first node
/// owns the target, the second one may become its owner.
///
/// Packets, messages and timers arrive in time unless a run deviates: each deviation loses, delays or repeats one of them, pauses a
/// node, moves a flow, hands the target over to the other owner, or silences or restarts the target. The check explores all runs with
/// at most a given number of deviations and merges runs that reach the same state at the same time. The nodes run the library's own
/// functions. They know no other members, so each verdict goes to all nodes, not only to the holders of flows.
namespace pimentofold::testsupport {

/// What has to hold in every run.
enum class LossProperty {
    LivingTargetKeepsFlows, ///< no flow whose target is alive is reset
    UnsafeRequestKeepsFlow, ///< no flow with an unsafe request in progress that has reached a node is reset
    SilentTargetIsLost, ///< a target that falls silent is declared lost by the end of the run
    OneVerdict, ///< an incarnation isn't declared lost again while a verdict on it is in force at an owner
    NoEarlierVerdict, ///< a verdict that a node has withdrawn, or that concerns an earlier incarnation, doesn't come into force there
};

/// @return name of the property, in lower case with underscores
std::string_view name(LossProperty property);

/// Deliberate defects; each one breaks one property.
enum class LossDefect {
    None,
    OneReport, ///< LivingTargetKeepsFlows: the owner takes each report for reports of two nodes, with one point as enough
    UnsafeAsSafe, ///< UnsafeRequestKeepsFlow: nodes take the unsafe route for a safe one
    ManyPoints, ///< SilentTargetIsLost: a verdict needs more evidence than there is
    ForgetsVerdict, ///< OneVerdict: the owner doesn't keep its verdict
    StaleVerdicts, ///< NoEarlierVerdict: nodes ignore the incarnation that a verdict names
};

/// Settings of one check.
struct LossModelOptions {
    std::string_view name;
    std::array<Time, 3> firstRequestAt{}; ///< by flow: start of its first request; the third flow's requests are unsafe
    Time serviceTime = 30 * millisecond; ///< never: the target acknowledges requests and doesn't answer
    bool silent = false; ///< the target is silent from the start
    bool movesFlows = false; ///< a run may move a flow's packets to another node
    int maxDeviations = 2;
    Time deviationTime = second; ///< runs deviate up to this time
    /// A fault lasts for 300 ms at most. The requests that are in progress then may give no evidence; they end after a second. The next
    /// ones start 250 ms later and are repeated for the second time after 600 ms, and a verdict follows within 150 ms.
    Time duration = 3300 * millisecond;
    std::size_t maxTransitions = 60'000'000; ///< the check ends without being complete after this many events
    LossDefect defect = LossDefect::None;
};

/// A property that doesn't hold, with the run that has shown it.
struct LossViolation {
    LossProperty property = LossProperty::LivingTargetKeepsFlows;
    int deviations = 0;
    std::string trace; ///< the deviations and what the nodes did, one in a line
};

struct LossModelResult {
    std::size_t runs = 0; ///< explored up to their end
    std::size_t states = 0; ///< distinct ones at the nodes' timers
    std::size_t transitions = 0; ///< events that were handled
    std::size_t verdicts = 0;
    std::size_t resets = 0;
    bool complete = true; ///< false: maxTransitions was reached
    std::vector<LossViolation> violations; ///< the one with the fewest deviations for each property
};

/// Explores all runs with at most LossModelOptions::maxDeviations deviations.
LossModelResult checkLossModel(const LossModelOptions &options);

} // namespace pimentofold::testsupport
