#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <pimentofold/backlog/openingbacklog.h>
#include <pimentofold/balancing/balancing.h>
#include <pimentofold/balancing/dispatcherranking.h>
#include <pimentofold/dispatch.h>
#include <pimentofold/evacuation/evacuationstate.h>
#include <pimentofold/flowactivity.h>
#include <pimentofold/flowlocation/flowlocation.h>
#include <pimentofold/flowlocation/flowretention.h>
#include <pimentofold/flowlocation/locationreplicas.h>
#include <pimentofold/flowpacket.h>
#include <pimentofold/random.h>
#include <pimentofold/targetchoice.h>
#include <pimentofold/targetloss/lossstate.h>
#include <pimentofold/targettable.h>

/// Forwarding of callers' packets on an edge node. Targets answer callers directly and put their token into each answer.
/// Callers repeat the token in each later packet, so that any node can forward the packet without knowing the flow.
///
///     handlePacket(forwarder, packet, now, out);    // a caller's packet
///     placeForPeer(forwarder, flow, now, out);      // an opening packet that another node relays
///     tickForwarder(forwarder, now, out);           // at nextForwarderTick()
///
/// A node stores the flows whose packets it receives, so that it can offer a flow to another target when no sign of an
/// answer arrives in time. When two targets have answered, the flow stays on the one that the caller's next packet names.
/// No open flow breaks when this state is lost.
namespace pimentofold {

/// Settings of forwarding.
struct ForwardSettings {
    /// Bounds of answerTimeout(), the time after which a flow is offered to another target when the caller has sent no
    /// further packet. The timeout adapts to the measured answer times within these bounds.
    Time minAnswerTimeout = 15 * millisecond;
    Time maxAnswerTimeout = 150 * millisecond;
    Time initialAnswerTimeout = 60 * millisecond; ///< answer timeout before the first measurement
    Time heldRetryInterval = 200 * millisecond; ///< a dispatcher that holds a flow is asked again after this time
    int maxAttempts = 4; ///< placement attempts of one flow that timeouts cause; the caller's retransmissions may cause further ones
    /// A dispatcher is avoided for dispatcherAvoidTime after this many consecutive flows without an answer.
    int maxDispatcherMisses = 2;
    Time dispatcherAvoidTime = 2 * second;
    /// A process that hasn't run for this long was paused. The packets in its sockets are old then: opening packets that
    /// the process reads within backlogDropTime after the pause are dropped, since their callers have retransmitted them to
    /// other nodes or given up.
    Time pauseThreshold = 400 * millisecond;
    Time backlogDropTime = 20 * millisecond;
    FlowRetentionSettings retention;
    Time endedFlowRetention = 3 * second; ///< a flow that the caller has ended is removed from memory after this time
    Time earlyPacketRetention = 1200 * millisecond; ///< packets that arrive before their flows can be placed are stored for this long
    std::size_t maxEarlyPackets = 2'000; ///< further early packets are dropped
    std::size_t maxFlows = 50'000; ///< flows that are stored; further ones are forwarded without being stored
    /// A service has one dispatcher for each full or started group of this many slots. With this size a dispatcher knows the
    /// load of enough slots to balance well, and its flows take only a small part of a small instance's capacity.
    int slotsPerDispatcher = 64;
    /// Openings and targets of a data centre with enough slots are dispatched by its own nodes, see localdispatch.h.
    bool localDispatch = false;
    /// Routes of the first configuration are used as they arrive from the store, before the rest of it.
    bool earlyRoutes = false;
};

/// Stage of a flow as seen from the caller's packets.
enum class FlowStage {
    Opening, ///< no packet after the opening packet has arrived
    Open,
    Ended, ///< the caller has finished or reset the flow, or the flow was refused
};

/// A flow whose packets arrive at this node.
struct EdgeFlow {
    FlowStage stage = FlowStage::Opening;
    Id dispatcher = 0; ///< node that counts the flow as load of its target, at first the one that places it; 0: this node
    FlowActivity activity; ///< of the packets that this node has received
    bool countedAsWorking = true; ///< the dispatcher counts the flow as one with a request at work
    std::uint64_t target = 0; ///< id of the target that the caller's packets name; 0 before the flow is open
    bool relayed = false; ///< an opening packet was relayed to `dispatcher`
    bool leftDispatcher = false; ///< this node places the flow itself, after an earlier attempt was relayed to a dispatcher
    int attempts = 0; ///< placement attempts so far
    Time startedAt = 0; ///< time of the flow's first packet at this node
    std::uint32_t sequence = 0; ///< sequence number of that packet
    Time lastOfferAt = 0; ///< time of the last placement attempt
    Time lastPacketAt = 0; ///< time of the caller's last packet
    Time openingAge = 0; ///< openingAge of the last opening packet, see FlowPacket
    std::string openingPacket; ///< bytes of the opening packet; empty once the flow is open
    bool refused = false; ///< refused because no target may get it, or none has room in time; a retransmission of the opening packet counts as a new flow
    FlowProgress progress; ///< only with TargetLossSettings::enabled
    Time startAge = 0; ///< time since the caller had sent the first opening packet, at startedAt
    int openingCopies = 0; ///< opening packets that this node has received
    bool locationReported = false; ///< other nodes have a location of the flow, see flowlocation.h
};

/// @return whether the caller has probably sent an opening packet of the flow that this node hasn't received, if none was answered so far.
///         The flow may open through the node that has.
bool missesOpeningCopy(const EdgeFlow &flow, Time now);

/// A packet that arrived before this node could place its flow, see canPlaceFlow().
struct EarlyPacket {
    Address service; ///< address that the packet is for
    std::string bytes;
    Time receivedAt = 0;
};

/// An opening packet that was relayed to a dispatcher in another data centre.
struct RelayElsewhere {
    Id dispatcher = 0;
    Time relayedAt = 0;
};

/// Unanswered flows of one dispatcher.
struct DispatcherMisses {
    int misses = 0; ///< consecutive flows without an answer
    Time avoidUntil = 0; ///< no flow is relayed to the dispatcher before this time
};

/// What updateDispatchers() has based the dispatchers on.
struct DispatcherInputs {
    DispatcherRanking ranking;
    bool known = false; ///< the other fields are valid
    Id self = 0;
    std::string dataCentre;
    bool localDispatch = false;
    std::vector<InstanceKey> members;
    bool leavesOutNodes = false; ///< some members were not used because they didn't answer or are unreachable
    std::set<std::string, std::less<>> evacuated; ///< data centres
    bool slowStart = false; ///< enabled
    StoreRevision servicesRevision = 0; ///< of SlowStart
    bool coldDataCentres = false; ///< a data centre was cold because its evacuation had ended
    std::set<std::string> coldServices; ///< services with cold targets
    std::unordered_set<std::uint64_t> expiring; ///< ids of targets without an entry that may still accept flows
};

/// Number of flows that were removed from memory since the start, by reason.
struct ForgottenFlows {
    std::int64_t idle = 0; ///< no packet for EdgeForwarder::flowRetention
    std::int64_t ended = 0;
};

/// State of forwarding at one node.
struct EdgeForwarder {
    ForwardSettings settings;
    TargetTable table;
    Dispatcher dispatcher; ///< for the flows that this node places itself or on behalf of other nodes
    InstanceKey self;
    std::vector<InstanceKey> members; ///< live edge nodes of the region, including this one
    std::unordered_map<Id, std::string> memberDataCentres; ///< by member
    bool memberDataCentresChanged = false; ///< to be set when memberDataCentres has changed, unless `members` has changed too
    DispatcherInputs dispatcherInputs;
    /// By service, the dispatchers of the openings that arrive in this node's data centre.
    std::map<std::string, DispatcherTable, std::less<>> dispatchers;
    Balancing balancing; ///< of the services that this node dispatches for its data centre
    std::map<Id, DispatcherMisses> dispatcherMisses; ///< by dispatcher
    Time lastRunAt = 0; ///< last call of detectPause()
    Time dropOpeningsUntil = 0; ///< opening packets are dropped until then after a pause
    Time dispatcherRetryAt = 0; ///< when an avoided dispatcher is used again; `never` when none is avoided
    std::unordered_map<FlowKey, EdgeFlow> flows;
    OpeningBacklog backlog; ///< opening packets that other nodes have relayed to this node and that it hasn't placed yet
    std::unordered_map<FlowKey, RelayElsewhere> relayedElsewhere; ///< first attempts that this node has relayed to other data centres
    std::multimap<Time, FlowKey> answerChecks; ///< flows by the time at which their answer is due
    FlowLocations locations;
    Time flowRetention = 15 * second; ///< flows without packets are forgotten after this time, see flowretention.h
    ForgottenFlows forgotten;
    bool leaving = false; ///< this node is about to stop
    std::vector<EarlyPacket> earlyPackets;
    double meanAnswerTime = 0; ///< moving average of the time from an offer to the caller's next packet, in microseconds
    double answerTimeDeviation = 0; ///< moving average of the deviation from meanAnswerTime, in microseconds
    Time nextSweepAt = 0; ///< when flows and targets are next checked for removal
    EvacuationWait evacuationWait;
    TargetLoss targetLoss; ///< evidence and verdicts on targets that give no sign of life
};

/// Detects that this process was paused. Has to be called at each packet and timer event, before the event is handled.
/// @return length of the pause; 0 when there was none
Time detectPause(EdgeForwarder &forwarder, Time now);

/// Handles a packet of a caller: an opening packet is placed or relayed to a dispatcher, a later packet is forwarded to the
/// flow's target.
void handlePacket(EdgeForwarder &forwarder, const FlowPacket &packet, Time now, ForwardOutput &out);

/// Places a flow whose opening packet another node has relayed to this node as a dispatcher.
void placeForPeer(EdgeForwarder &forwarder, const OpeningFlow &flow, Time now, ForwardOutput &out);

/// Handles a dispatcher's notice that it holds a flow until a target has room. The answer timeout of the flow is extended to
/// heldRetryInterval.
/// @param dispatcher that sent the notice; 0: this node. A notice from another node is ignored once this node places the flow itself.
void handleHeldNotice(EdgeForwarder &forwarder, Id dispatcher, const FlowKey &flow, Time now);

/// Handles a dispatcher's notice that a flow must not be offered again.
/// @param dispatcher as for handleHeldNotice()
void handleSettledNotice(EdgeForwarder &forwarder, Id dispatcher, const FlowKey &flow);

/// Handles a dispatcher's notice that no target may get a flow, or that none has room in time: resets the flow if it hasn't opened.
/// @param dispatcher that sent the notice; 0: this node. A notice from a dispatcher that the flow no longer waits for is ignored.
/// @param reason for the event of the refusal
void handleRefusedNotice(
    EdgeForwarder &forwarder, Id dispatcher, const FlowKey &flow, Time now, ForwardOutput &out, RefusalReason reason = RefusalReason::NoTarget);

/// Answers another node's question for the target of a flow. A flow that isn't known here is recorded with the target that the
/// asking node uses then.
/// @param named target that the packet's token names, and the packet's sequence number
void handleLocate(EdgeForwarder &forwarder, Id sender, const FlowKey &flow, const FlowLocation &named, Time now, ForwardOutput &out);

/// Handles the answer to a question of this node. Answers after the one that has ended the question are ignored.
/// @param target id; 0: not known
void handleLocationAnswer(EdgeForwarder &forwarder, Id sender, const FlowKey &flow, std::uint64_t target, Time now, ForwardOutput &out);

/// Stores the location of a flow that another node reports, or forgets it if the flow has ended. Packets that are held for it are
/// forwarded.
void handleLocationReport(EdgeForwarder &forwarder, const LocationReport &report, Time now, ForwardOutput &out);

/// Starts the planned stop of this node: the locations that it keeps are passed on to other nodes.
void leaveForwarding(EdgeForwarder &forwarder, Time now);

/// Updates the dispatchers of all services and the targets that this node owns for what has changed since the last call. Has to
/// be called after each change of members, targets, evacuations or the configuration.
void updateDispatchers(EdgeForwarder &forwarder, Time now);

/// Offers flows without an answer again, and removes old flows and targets from memory.
void tickForwarder(EdgeForwarder &forwarder, Time now, ForwardOutput &out);

/// @return when tickForwarder() has to be called next
Time nextForwarderTick(const EdgeForwarder &forwarder);

/// @return whether a stored early packet has no route so far
bool hasPacketsWithoutRoute(const EdgeForwarder &forwarder);

/// Removes the stored early packets whose flows can be placed now, and those that are too old.
/// @return the packets whose flows can be placed and that are not older than earlyPacketRetention, to be passed to handlePacket() again
std::vector<EarlyPacket> takeEarlyPackets(EdgeForwarder &forwarder, Time now);

/// @return how long an answer may take before the flow is offered to another target: the mean answer time times two plus its
///         deviation times four, within the bounds of the settings
Time answerTimeout(const EdgeForwarder &forwarder);

/// @return whether the configuration and the complete list of targets are known
bool knowsTargets(const EdgeForwarder &forwarder);

/// @return whether flows can be placed: the configuration, the complete list of targets and the evacuations are known
bool canPlaceFlows(const EdgeForwarder &forwarder);

/// @param service address that the flow's packets are for
/// @return whether a flow can be placed: canPlaceFlows(), or the first configuration is being read, the flow's route has arrived, and
///     the complete list of targets and the evacuations are known
bool canPlaceFlow(const EdgeForwarder &forwarder, const Address &service);

} // namespace pimentofold
