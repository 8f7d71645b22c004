#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include <pimentofold/targetloss/lossmessages.h>
#include <pimentofold/types.h>

/// The nodes that hold flows of the targets of this node, as far as they have reported work or evidence on them. Verdicts go to
/// these nodes only, since the others have nothing to reset.
namespace pimentofold {

/// Settings that determine who gets a verdict.
struct HolderSettings {
    /// A node that has reported nothing on a target for this long isn't a holder. Longer than EdgeForwarder::flowRetention, after
    /// which nodes forget idle flows.
    Time memory = minute;
    /// Limit of the holders that are recorded for one target, which bounds memory. With more of them, a verdict goes to all nodes.
    std::size_t maxNodes = 64;
    /// A node that has owned a target for a shorter time may not know all holders, so its verdicts go to all nodes. Equal to
    /// EdgeForwarder::flowRetention: by then each flow has been reported again or forgotten.
    Time minOwnership = 15 * second;
    /// A node that reports stalls on a lost target within this time gets the verdict again. Later, the target may have recovered
    /// without the owner knowing of it.
    Time answerTime = 3 * second;
};

/// Nodes that hold flows of one target.
struct TargetHolders {
    std::unordered_map<Id, Time> reportedAt; ///< by node
    Time overflowedAt = never; ///< when a node was last left out; never: none was
};

/// Holders of the flows of the targets that a node owns.
struct FlowHolders {
    HolderSettings settings;
    std::unordered_map<std::uint64_t, TargetHolders> targets; ///< by id
};

/// Recipients of verdicts.
struct VerdictRecipients {
    std::vector<LostTargetMessage> messages; ///< one for each node
    std::vector<LostTarget> all; ///< to be broadcast
};

/// Records that a node has reported work or evidence on a target. Beyond HolderSettings::maxNodes the node is left out, and verdicts
/// on the target go to all nodes.
void recordHolder(FlowHolders &holders, std::uint64_t target, Id node, Time now);

/// Forgets the holders of targets that this node doesn't own any more.
/// @param ownedSince by target; see LossVerdicts
void removeHolders(FlowHolders &holders, const std::unordered_map<std::uint64_t, Time> &ownedSince);

/// Determines who gets verdicts. Those on targets whose holders aren't all known go to all nodes, and so do all verdicts when that
/// takes fewer messages.
/// @param ownedSince by target; see LossVerdicts
/// @param nodes number of live nodes, including this one
VerdictRecipients recipientsOf(
    const FlowHolders &holders, std::span<const LostTarget> verdicts, const std::unordered_map<std::uint64_t, Time> &ownedSince, std::size_t nodes, Time now);

} // namespace pimentofold
