#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <pimentofold/flowpacket.h>
#include <pimentofold/placement.h>
#include <pimentofold/random.h>
#include <pimentofold/targettable.h>

/// Forwarding of callers' packets on an edge node. Targets answer callers directly; the token that a target and its
/// caller repeat in each packet names the target, so that any node can forward any later packet.
///
/// A node remembers the flows that it has opened, for three reasons: it sends the opening packet to another target when
/// no answer shows in time, it counts the flows on each target, and it keeps a flow on the target that the caller chose
/// when two have answered. Losing this memory breaks no flow.
namespace pimentofold {

/// Constants of forwarding.
struct ForwardSettings {
    PlacementSettings placement;
    std::string dataCentre; ///< of this node
    /// An opening packet goes to a further target when the caller hasn't gone on after this time, which follows the
    /// answering times that were seen within these bounds.
    Time leastAnswerWait = 15 * millisecond;
    Time mostAnswerWait = 150 * millisecond;
    Time firstAnswerWait = 60 * millisecond; ///< before any answer was seen
    Time idleLimit = 15 * second; ///< a flow without packets for this long is forgotten
    Time silentLimit = 3 * second; ///< a flow without packets for this long doesn't count as load
    Time endedRetention = 3 * second; ///< a flow that the caller has ended is forgotten after this time
    Time heldLimit = 1200 * millisecond; ///< packets that came before the configuration are kept for this long
    std::size_t mostHeld = 2'000; ///< such packets
    std::size_t mostFlows = 50'000; ///< further flows are forwarded without being remembered
};

/// Targets that one flow is offered to at most, besides those for the caller's own copies.
constexpr std::size_t mostOffers = 4;

/// How far a flow is.
enum class FlowStage {
    Opening, ///< no packet after the opening one has come
    Open,
    Ended, ///< the caller has sent its last data
};

/// A flow that this node has opened or carries.
struct EdgeFlow {
    std::array<std::uint64_t, mostOffers> offered{}; ///< targets, in order
    std::size_t offers = 0;
    std::uint64_t target = 0; ///< last offered, or chosen by the caller
    FlowStage stage = FlowStage::Opening;
    bool counted = false; ///< as load of `target`
    Time startedAt = 0;
    Time offeredAt = 0; ///< last offer
    Time packetAt = 0; ///< last packet of the caller
    std::string opening; ///< the opening packet, until the flow is open
};

/// A packet that came before the configuration or its targets were known.
struct HeldPacket {
    std::string bytes;
    Time at = 0;
};

/// What happened to a packet, for the log and the counters.
enum class ForwardEvent {
    Placed, ///< a new flow was offered to a target
    OfferedAgain, ///< the flow was offered to another target since the first one gave no sign
    Opened, ///< the caller goes on with the flow
    Ended,
    Held,
    NoRoute,
    NoTarget,
    UnknownToken,
    Refused, ///< reset to the caller
};

/// @return name in lower case with underscores
std::string_view name(ForwardEvent event);

/// One event with what decided it.
struct ForwardNote {
    ForwardEvent event = ForwardEvent::Placed;
    FlowKey flow;
    std::uint64_t target = 0;
    FlowToken token = 0;
    int offers = 0;
    int load = 0; ///< flows on the target, as far as this node knows
    Time elapsed = 0; ///< since the flow's first packet here
};

/// A packet to a target.
struct ForwardedPacket {
    Address to;
    std::uint64_t target = 0; ///< the target that is meant
    FlowToken token = 0;
    std::string bytes;
};

/// A reset to a caller.
struct FlowReset {
    FlowKey flow;
    std::uint32_t sequence = 0; ///< near the caller's last acknowledgement
};

/// What a command asks of the program around it. Commands append.
struct ForwardOutput {
    std::vector<ForwardedPacket> packets;
    std::vector<FlowReset> resets;
    std::vector<ForwardNote> notes;
};

/// State of one node.
struct EdgeForwarder {
    ForwardSettings settings;
    TargetTable table;
    Random random;
    std::unordered_map<FlowKey, EdgeFlow> flows;
    std::multimap<Time, FlowKey> checks; ///< when an offered flow needs a look
    std::vector<HeldPacket> held;
    double answerTime = 0; ///< smoothed time from an offer to the caller's next packet, in microseconds
    double answerDeviation = 0;
    Time nextSweepAt = 0;
};

/// Takes a caller's packet.
void handlePacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out);

/// Offers flows again and forgets old ones.
void tickForwarder(EdgeForwarder &forwarder, Time now, ForwardOutput &out);

/// @return when tickForwarder() has something to do next
Time nextTick(const EdgeForwarder &forwarder);

/// @return packets that were held, which the caller passes to handlePacket() again once the configuration is known
std::vector<HeldPacket> takeHeld(EdgeForwarder &forwarder, Time now);

/// @return how long an answer may take before the flow is offered to another target
Time answerWait(const EdgeForwarder &forwarder);

/// @return whether new flows can be placed: configuration and targets are known
bool canPlace(const EdgeForwarder &forwarder);

} // namespace pimentofold
