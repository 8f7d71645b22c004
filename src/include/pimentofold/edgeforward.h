#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <pimentofold/dispatch.h>
#include <pimentofold/flowpacket.h>
#include <pimentofold/random.h>
#include <pimentofold/targetchoice.h>
#include <pimentofold/targettable.h>

/// Forwarding of callers' packets on an edge node. Targets answer callers directly; the token that a target and its
/// caller repeat in each packet names the target, so that any node can forward any later packet.
///
///     handlePacket(forwarder, packet, now, out);    // a caller's packet
///     placeForPeer(forwarder, flow, now, out);      // an opening packet that another node relays
///     tickForwarder(forwarder, now, out);           // at nextTick()
///
/// A node remembers the flows that have opened through it: it asks for another target when no answer shows in time, and
/// keeps a flow on the target that the caller chose when two have answered. Losing this memory breaks no flow.
namespace pimentofold {

/// Constants of forwarding.
struct ForwardSettings {
    /// A flow is offered to a further target when the caller hasn't gone on after this time, which follows the
    /// answering times that were seen within these bounds.
    Time minAnswerTimeout = 15 * millisecond;
    Time maxAnswerTimeout = 150 * millisecond;
    Time initialAnswerTimeout = 60 * millisecond; ///< before any answer was seen
    Time heldRetryInterval = 200 * millisecond; ///< a dispatcher that keeps a flow is asked again after this time
    int maxAttempts = 4; ///< offers of one flow, besides those for the caller's own copies
    /// A dispatcher is avoided after as many flows in a row without an answer.
    int maxDispatcherMisses = 2;
    Time dispatcherAvoidTime = 2 * second;
    /// A process that hasn't run for this long was paused. What waited in its sockets is old: opening packets that it
    /// reads within backlogTime are dropped, since their callers have sent copies to other nodes or given up.
    Time pauseThreshold = 400 * millisecond;
    Time backlogDropTime = 20 * millisecond;
    Time idleTimeout = 15 * second; ///< a flow without packets for this long is forgotten
    Time endedFlowRetention = 3 * second; ///< a flow that the caller has ended is forgotten after this time
    Time earlyPacketRetention = 1200 * millisecond; ///< packets that came before the configuration are kept for this long
    std::size_t maxEarlyPackets = 2'000; ///< such packets
    std::size_t maxFlows = 50'000; ///< further flows are forwarded without being remembered
    /// One dispatcher for as many slots of a service. It sees enough of them to balance well and few enough flows to be
    /// a small part of a small instance's work.
    int slotsPerDispatcher = 64;
};

/// How far a flow is.
enum class FlowStage {
    Opening, ///< no packet after the opening one has come
    Open,
    Ended, ///< the caller has sent its last data
};

/// A flow that has opened through this node.
struct EdgeFlow {
    FlowStage stage = FlowStage::Opening;
    Id dispatcher = 0; ///< that placed it; 0: this node
    std::uint64_t target = 0; ///< that the caller chose
    int attempts = 0;
    Time startedAt = 0;
    Time lastOfferAt = 0; ///< last attempt
    Time lastPacketAt = 0; ///< last packet of the caller
    Time openingAge = 0; ///< of the opening packet
    std::string openingPacket; ///< the opening packet, until the flow is open
};

/// A packet that came before the configuration or its targets were known.
struct EarlyPacket {
    std::string bytes;
    Time receivedAt = 0;
};

/// A dispatcher that didn't answer.
struct DispatcherMisses {
    int misses = 0;
    Time avoidUntil = 0;
};

/// State of one node.
struct EdgeForwarder {
    ForwardSettings settings;
    TargetTable table;
    Dispatcher dispatcher;
    InstanceKey self;
    std::vector<InstanceKey> members; ///< live nodes of the region with this one
    std::map<std::string, DispatcherTable, std::less<>> dispatchers; ///< by service
    std::map<Id, DispatcherMisses> dispatcherMisses;
    Time lastRunAt = 0; ///< when this process ran last
    Time dropOpeningsUntil = 0; ///< opening packets are dropped before, after a pause
    Time dispatcherRetryAt = 0; ///< when an avoided dispatcher is used again
    std::unordered_map<FlowKey, EdgeFlow> flows;
    std::multimap<Time, FlowKey> answerChecks; ///< when an offered flow needs a look
    std::vector<EarlyPacket> earlyPackets;
    double meanAnswerTime = 0; ///< smoothed time from an offer to the caller's next packet, in microseconds
    double answerTimeDeviation = 0;
    Time nextSweepAt = 0;
};

/// Notes that this process runs; to be called with each packet and timer.
/// @return the length of the pause when it was paused, otherwise 0
Time detectPause(EdgeForwarder &forwarder, Time now);

/// Takes a caller's packet.
void handlePacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out);

/// Takes an opening packet that another node relays to this one as the dispatcher.
void placeForPeer(EdgeForwarder &forwarder, const OpeningFlow &flow, Time now, ForwardOutput &out);

/// Takes a dispatcher's notice that it keeps a flow until a target has room.
void handleHeldNotice(EdgeForwarder &forwarder, const FlowKey &flow, Time now);

/// Takes a dispatcher's notice that a flow needs no further offer.
void handleSettledNotice(EdgeForwarder &forwarder, const FlowKey &flow);

/// Takes another node's notice that a flow which this node placed has gone on through it.
void handleOpenedNotice(EdgeForwarder &forwarder, const FlowKey &flow, std::uint64_t target, Time now);

/// Takes another node's notice that a flow which this node placed has ended.
void handleEndedNotice(EdgeForwarder &forwarder, const FlowKey &flow, std::uint64_t target, Time now, ForwardOutput &out);

/// The nodes among which dispatchers are chosen: those that started well before the newest one, so that a node that has
/// just joined doesn't take over a service whose loads it doesn't know. When all have started together the oldest ones,
/// so that few changes of roles follow while the others join. Nodes with the same members get the same result.
std::vector<InstanceKey> dispatcherCandidates(const std::vector<InstanceKey> &members);

/// Derives dispatchers and owned targets again. To be called after each change of members or targets.
void updateDispatchers(EdgeForwarder &forwarder, Time now);

/// Offers flows again and forgets old ones.
void tickForwarder(EdgeForwarder &forwarder, Time now, ForwardOutput &out);

/// @return when tickForwarder() has something to do next
Time nextForwarderTick(const EdgeForwarder &forwarder);

/// @return packets that were kept, which the caller passes to handlePacket() again once the configuration is known
std::vector<EarlyPacket> takeEarlyPackets(EdgeForwarder &forwarder, Time now);

/// @return how long an answer may take before the flow is offered to another target
Time answerTimeout(const EdgeForwarder &forwarder);

/// @return whether new flows can be placed: the configuration and all pages of the targets are known
bool canPlaceFlows(const EdgeForwarder &forwarder);

} // namespace pimentofold
