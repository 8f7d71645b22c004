#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pimentofold/flowpacket.h>
#include <pimentofold/placement.h>
#include <pimentofold/random.h>
#include <pimentofold/targettable.h>

/// Placement of new flows by their service's dispatcher. All nodes send the opening packets of a service to the same
/// dispatcher, which thus sees all flows on each target, learns at once which targets don't answer, and keeps one
/// queue when all targets are busy. A node that gets no answer through a dispatcher places the flow itself with the same
/// functions, so that the loss of a dispatcher costs a few flows a short wait.
namespace pimentofold {

/// Targets that one flow is offered to at most.
constexpr std::size_t maxOffersPerFlow = 4;

/// Constants of dispatching.
struct DispatchSettings {
    PlacementSettings placement;
    std::string dataCentre; ///< of this node
    /// A target gets no more flows at a time than this many for each slot and one more. A further flow would wait longer in
    /// its queue than here, where a more urgent one can still go first and the first free target serves it.
    double flowsPerSlot = 2;
    Time maxWaitTime = 1300 * millisecond; ///< a caller gives up an opening flow soon after
    std::size_t maxWaitingFlows = 500;
    Time placedFlowTimeout = 3 * second; ///< a flow whose end isn't told is taken as ended after this time
    std::size_t maxFlows = 50'000;
};

/// A flow that this node has placed.
struct PlacedFlow {
    std::array<std::uint64_t, maxOffersPerFlow> offeredTargets{}; ///< targets, in order
    std::size_t offerCount = 0;
    std::uint64_t target = 0;
    bool countedAsLoad = false; ///< as load of `target`
    bool waitedLong = false; ///< for room
    bool openedElsewhere = false; ///< another node than the one that asked has told that the caller went on
    Time placedAt = 0;
};

/// An opening packet that is to be placed.
struct OpeningFlow {
    FlowKey key;
    std::string openingPacket; ///< the packet
    Id originNode = 0; ///< node that the caller's packets go to; 0: this one
    int attempt = 1; ///< above 1 when no answer came after the attempt before
    Time openingAge = 0; ///< since the caller sent its first opening packet
    bool preferOwned = true; ///< use only the targets that this node owns as a dispatcher, if there are any
};

/// An opening packet that waits for room at a target.
struct WaitingFlow {
    OpeningFlow flow;
    int urgency = 0;
    Time responseTimeGoal = 0;
    Time waitingSince = 0;
};

/// What happened to a packet, for the log and the counters.
enum class ForwardEvent {
    Placed, ///< a new flow was offered to a target
    OfferedAgain, ///< the flow was offered to another target since the first one gave no sign
    Relayed, ///< the opening packet went to the service's dispatcher
    Waiting, ///< all targets are busy
    GivenUp, ///< no target had room until the caller gave up
    Opened, ///< the caller goes on with the flow
    Ended,
    Stale, ///< an opening packet that waited while this process was paused
    Early, ///< the packet is kept until the configuration is known
    NoRoute,
    NoTarget,
    UnknownToken,
    Refused, ///< reset to the caller
};

/// @return name in lower case with underscores
std::string_view name(ForwardEvent event);

/// One event with what decided it.
struct ForwardEventRecord {
    ForwardEvent event = ForwardEvent::Placed;
    FlowKey flow;
    std::uint64_t target = 0;
    FlowToken token = 0;
    int attempts = 0;
    int load = 0; ///< flows on the target that this node has placed
    Id node = 0; ///< Relayed: the dispatcher
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

/// An opening packet for a dispatcher.
struct RelayedOpening {
    Id dispatcher = 0;
    int attempt = 1;
    std::string bytes;
};

/// Tells the node of the caller that a flow waits.
struct HeldNotice {
    Id originNode = 0;
    FlowKey flow;
};

/// Tells the node of the caller that a flow needs no further offer.
struct SettledNotice {
    Id originNode = 0;
    FlowKey flow;
};

/// Tells the dispatcher that a flow has ended, or has gone on through a node that didn't ask for it.
struct FlowNotice {
    Id dispatcher = 0;
    FlowKey flow;
    std::uint64_t target = 0;
};

/// What a command asks of the program around it. Commands append.
struct ForwardOutput {
    std::vector<ForwardedPacket> packets;
    std::vector<FlowReset> resets;
    std::vector<RelayedOpening> relayedOpenings;
    std::vector<HeldNotice> heldNotices;
    std::vector<SettledNotice> settledNotices;
    std::vector<FlowNotice> openedNotices;
    std::vector<FlowNotice> endedNotices;
    std::vector<ForwardEventRecord> events;
};

/// Placement at one node.
struct Dispatcher {
    DispatchSettings settings;
    Random random;
    std::unordered_map<FlowKey, PlacedFlow> placedFlows;
    std::unordered_map<FlowKey, WaitingFlow> waitingFlows;
    double meanServiceTime = 0; ///< smoothed time from placement to end, in microseconds
    Time nextSweepAt = 0;
};

/// What became of an opening flow.
enum class PlaceResult {
    Placed,
    Waiting,
    Settled, ///< the flow needs no further offer: it is open, or its caller has probably given up while it waited
    NoRoute,
    NoTarget,
};

/// Places a flow, again with a further target when it was placed before, or lets it wait.
PlaceResult placeFlow(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, Time now, ForwardOutput &out);

/// Takes that the caller of a flow went on with it through another node than the one that asked.
void markPlacedFlowOpened(Dispatcher &dispatcher, TargetTable &table, const FlowKey &key, std::uint64_t target, Time now);

/// Takes the end of a flow and gives the room to one that waits.
/// @param target where the flow was; 0 when that isn't known
void endPlacedFlow(Dispatcher &dispatcher, TargetTable &table, const FlowKey &key, std::uint64_t target, Time now, ForwardOutput &out);

/// Ends flows that nothing is heard of, gives up waiting ones and places those for which there is room.
void tickDispatcher(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out);

/// @return when tickDispatcher() has something to do next
Time nextDispatcherTick(const Dispatcher &dispatcher);

/// Appends an event.
void appendEvent(ForwardOutput &out, ForwardEvent event, const FlowKey &key, const EdgeTarget *target, int attempts, Time elapsed);

} // namespace pimentofold
