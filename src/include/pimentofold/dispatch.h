#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pimentofold/balancing/dispatchload.h>
#include <pimentofold/flowlocation/flowlocation.h>
#include <pimentofold/flowpacket.h>
#include <pimentofold/placement.h>
#include <pimentofold/queueing/admissionqueue.h>
#include <pimentofold/random.h>
#include <pimentofold/targetloss/lossmessages.h>
#include <pimentofold/targettable.h>

/// Placement of new flows on targets by the dispatchers of a service.
///
/// A dispatcher is an edge node that places the flows of a service's targets on behalf of all nodes. Each target is owned
/// by one dispatcher. The node that receives a caller's opening packet relays it to a dispatcher of the service, which
/// therefore sees all flows on its targets, learns early which of them don't answer, and holds one queue when they are
/// busy. A node that gets no answer through a dispatcher places the flow itself with the same functions, so the loss of a
/// dispatcher only delays a few flows for a short time.
///
/// To offer a flow to a target means to forward the flow's opening packet to the target. Targets answer callers directly,
/// so the only sign of an answer is a further packet of the caller.
namespace pimentofold {

/// Number of offers that are recorded for one flow. A recorded target is chosen again only when there is no other.
constexpr std::size_t maxOffersPerFlow = 4;

/// Settings of a dispatcher.
struct DispatchSettings {
    PlacementSettings placement;
    std::string dataCentre; ///< data centre of this node
    /// A target has room for a new flow while it has fewer flows with a request at work than this number times its slots, plus
    /// one. A further flow would wait longer in the target's queue than in the dispatcher's, where more urgent flows can
    /// overtake and the first target with room serves the flow.
    double flowsPerSlot = 2;
    Time maxWaitTime = 1300 * millisecond; ///< waiting flows are dropped after this time; callers give up shortly later
    std::size_t maxWaitingFlows = 500;
    Time workTimeout = 3 * second; ///< a request counts as answered after this time when no node reports an answer
    Time idleFlowTimeout = minute; ///< an idle flow counts as ended after this time, unless the configuration sets an idle timeout
    std::size_t maxFlows = 50'000; ///< placed flows that are remembered; further ones are placed without being counted
};

/// How a flow counts as load of its target.
enum class FlowLoad {
    None, ///< not at all
    Working, ///< a request is at work, or is expected right after the opening packet
    Idle, ///< open without a request
};

/// A flow that this node has placed on a target, or that another node has reported to it as the target's dispatcher.
struct PlacedFlow {
    std::array<std::uint64_t, maxOffersPerFlow> offeredTargets{}; ///< ids of the targets that the flow was offered to, in order
    std::size_t offerCount = 0; ///< number of valid elements of `offeredTargets`
    std::uint64_t target = 0; ///< id of the target of the last offer
    FlowLoad load = FlowLoad::None; ///< how the flow is counted at `target`
    double idleLoad = 0; ///< Idle: what the flow adds to the target's idleLoad
    bool answered = false; ///< the target has answered a request of the flow
    bool waitedLong = false; ///< waited so long for room that the caller may have given up before the offer
    bool openedElsewhere = false; ///< the caller has continued the flow through another node than the one that requested placement
    Time placedAt = 0; ///< time of the last offer, or of the first report
    Time answeredAt = 0; ///< when the last answer was reported; 0: never
    Time loadChangedAt = 0; ///< when `load` was last changed or confirmed
};

/// Events of packets and flows, for the log and the counters.
enum class ForwardEvent {
    Placed, ///< the flow was offered to a target for the first time
    OfferedAgain, ///< the flow was offered again because the target of the last offer gave no sign of an answer
    Relayed, ///< the opening packet was sent to a dispatcher of the service
    Waiting, ///< the flow waits because no target has room
    GivenUp, ///< the flow was dropped because no target had room within maxWaitTime
    Opened, ///< the caller has sent a further packet, so a target has answered
    Ended, ///< the caller has finished or reset the flow, or uses its port for a new flow
    Stale, ///< an opening packet was dropped because it waited in a socket while this process was paused
    Withdrawn, ///< a relayed opening packet was dropped because the flow had gone on elsewhere before it was read
    Early, ///< the packet is stored until the configuration and the targets are known
    NoRoute, ///< an opening packet was dropped because its service address has no route
    NoTarget, ///< the flow wasn't placed because no target accepts it
    UnknownToken, ///< a later packet was dropped because its token belongs to no known target
    Refused, ///< a reset was sent to the caller
    LocationAsked, ///< other nodes were asked for the target of an unknown flow
    Located, ///< another node knew the target of an unknown flow
    LocationUnknown, ///< no other node knew the target; the flow's packets are forwarded by their token
};

/// @return name of the event in the log and the counters, in lower case with underscores
std::string_view name(ForwardEvent event);

/// An event with its details.
struct ForwardEventRecord {
    ForwardEvent event = ForwardEvent::Placed;
    FlowKey flow;
    std::uint64_t target = 0; ///< id; 0 when the event concerns no target
    FlowToken token = 0;
    int attempts = 0; ///< placement attempts of the flow so far
    int load = 0; ///< flows on the target with a request at work, as known to this node
    Id node = 0; ///< Relayed: the dispatcher; Placed, OfferedAgain, Withdrawn: the node that received the opening packet, 0: this node
    Time elapsed = 0; ///< since the flow's first packet at this node; Placed, OfferedAgain: since the caller's first opening packet
    RefusalReason reason = RefusalReason::NoTarget; ///< Refused: why
};

/// A packet to be sent to a target.
struct ForwardedPacket {
    Address to; ///< address of the target
    std::uint64_t target = 0; ///< id of the target, sent with the packet
    FlowToken token = 0;
    std::string bytes; ///< the caller's packet as received
};

/// A reset (RST) to be sent to a caller.
struct FlowReset {
    FlowKey flow;
    std::uint32_t sequence = 0; ///< sequence number of the reset, close to the caller's last acknowledgement
};

/// An opening packet to be relayed to a dispatcher.
struct RelayedOpening {
    Id dispatcher = 0;
    int attempt = 1; ///< see OpeningFlow
    std::string bytes; ///< the opening packet as received
    Id originNode = 0; ///< node that received the opening packet from the caller; 0: this node
    Time openingAge = 0; ///< see OpeningFlow
};

/// Notifies the node that requested placement that the dispatcher holds the flow until a target has room.
struct HeldNotice {
    Id originNode = 0;
    FlowKey flow;
};

/// Notifies the node that requested placement that the flow must not be offered again.
struct SettledNotice {
    Id originNode = 0;
    FlowKey flow;
};

/// Notifies the node that requested placement that no target may get the flow, or none in time, so that it refuses the flow.
struct RefusedNotice {
    Id originNode = 0; ///< 0: this node, whose flow waited here; to be passed to handleRefusedNotice()
    FlowKey flow;
    RefusalReason reason = RefusalReason::NoTarget;
};

/// How long a flow waited in the admission queue until it was placed.
struct QueueWait {
    Address route;
    Time wait = 0;
};

/// What a node that receives a flow's packets reports to the flow's dispatcher.
enum class FlowNoticeKind {
    Opened, ///< the caller has continued the flow through another node than the one that requested placement
    WorkStarted, ///< the caller has sent a further request on the flow
    WorkEnded, ///< the caller has received the start of the answer
    Ended, ///< the flow has ended
};

/// Notifies the dispatcher of a flow.
struct FlowNotice {
    FlowNoticeKind kind = FlowNoticeKind::Ended;
    Id dispatcher = 0;
    FlowKey flow;
    std::uint64_t target = 0; ///< id; 0 when the sender doesn't know the flow's target
};

/// What a LocationMessage is.
enum class LocationMessageKind {
    Question, ///< its location is what the packet's token names
    Answer, ///< to a question; its target is 0 if the flow isn't known
    Report, ///< to be kept; its target is 0 if the flow has ended
};

/// A message about the location of a flow, see flowlocation.h.
struct LocationMessage {
    LocationMessageKind kind = LocationMessageKind::Question;
    Id to = 0;
    FlowKey flow;
    FlowLocation location;
    Time age = 0; ///< Report: time since the flow opened
};

/// Packets, notices and events that the functions below and those of edgeforward.h produce. The functions append to the
/// lists; their caller sends the packets and notices and logs the events.
struct ForwardOutput {
    std::vector<ForwardedPacket> packets;
    std::vector<FlowReset> resets;
    std::vector<RelayedOpening> relayedOpenings;
    std::vector<HeldNotice> heldNotices;
    std::vector<SettledNotice> settledNotices;
    std::vector<RefusedNotice> refusedNotices;
    std::vector<FlowNotice> flowNotices;
    std::vector<LocationMessage> locationMessages;
    std::vector<LoadReport> loadReports;
    std::vector<LeaveShareChange> leaveShareChanges;
    std::vector<Id> pings; ///< nodes to be pinged, see reachabilitystate.h
    std::vector<ForwardEventRecord> events;
    std::vector<EvidenceMessage> evidence; ///< for the owners of suspected targets
    std::vector<LostTarget> lostTargets; ///< to be broadcast to all nodes
    std::vector<LostTargetMessage> lostTargetMessages; ///< for the nodes that hold flows of lost targets
    std::vector<LossEventRecord> lossEvents;
    std::vector<OutlierEvent> outlierEvents;
    std::vector<QueueWait> queueWaits; ///< only with fair queueing
};

/// How much of the time the open flows of a route have a request at work. Flows that are open for the first request only
/// are left out, since a flow is opened to send it.
struct RouteActivity {
    /// A flow that waits for its next request adds this much to a target's load before any measurement.
    static constexpr double initialWorkingShare = 0.1;

    double workingShare = initialWorkingShare; ///< moving average, 0 to 1
    int working = 0; ///< flows with a request at work in the current sample
    int open = 0; ///< all flows in the current sample
};

/// State of flow placement at one node.
struct Dispatcher {
    DispatchSettings settings;
    Random random;
    std::unordered_map<FlowKey, PlacedFlow> placedFlows;
    AdmissionQueue queue; ///< flows that wait for room
    std::map<Address, RouteActivity> routeActivity; ///< by service address
    double meanServiceTime = 0; ///< moving average of the time from placement to the first answer of flows, in microseconds
    Time nextSweepAt = 0; ///< when tickDispatcher() next checks waiting flows
    Time nextPlacedSweepAt = 0; ///< when tickDispatcher() next checks placed flows
    Time placementHeldSince = never; ///< waiting flows are placed only by resumePlacement(); `never`: at once
    bool placementDue = false; ///< waiting flows may have got room while their placement was held
};

/// Result of a placement request.
enum class PlaceResult {
    Placed,
    Waiting, ///< no target has room; the flow waits
    Settled, ///< the flow must not be offered again: it is open, or its caller has probably given up while the flow waited
    NoRoute,
    NoTarget, ///< no target accepts new flows, or too many flows are waiting
    Evacuated, ///< only targets in evacuated data centres would accept the flow; it has to be refused
    Unreachable, ///< only targets in unreachable data centres would accept the flow; see refusesUnreachable()
    Refused, ///< the admission queue doesn't take the flow; it has to be refused, for the reason in AdmissionQueue::refusals
};

/// Offers a flow to a target, or lets the flow wait when no target has room. A flow that was offered before is offered to
/// another target if there is one, and the target of the last offer is recorded as not answering.
PlaceResult placeFlow(Dispatcher &dispatcher, TargetTable &table, const OpeningFlow &flow, Time now, ForwardOutput &out);

/// Handles a notice about a flow, from this or another node. Places waiting flows when the flow's target gets room. A flow
/// that isn't known, because this node has become the target's dispatcher only now, is recorded.
void handleFlowNotice(Dispatcher &dispatcher, TargetTable &table, const FlowNotice &notice, Time now, ForwardOutput &out);

/// Counts requests and flows without further notices as answered or ended after their timeouts, drops flows that have waited
/// longer than maxWaitTime, and places waiting flows for which a target has room. With fair queueing, refuses flows that can't be
/// placed in time.
void tickDispatcher(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out);

/// Places the waiting flows for which targets have got room since Dispatcher::placementHeldSince was set, and resets it.
void resumePlacement(Dispatcher &dispatcher, TargetTable &table, Time now, ForwardOutput &out);

/// @return when tickDispatcher() has to be called next
Time nextDispatcherTick(const Dispatcher &dispatcher);

/// Appends an event to @p out.
/// @param target target that the event concerns, or nullptr
/// @param attempts placement attempts of the flow so far
/// @param elapsed time since the flow's first packet at this node
void appendEvent(ForwardOutput &out, ForwardEvent event, const FlowKey &key, const EdgeTarget *target, int attempts, Time elapsed);

} // namespace pimentofold
