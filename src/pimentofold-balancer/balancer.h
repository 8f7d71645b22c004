#pragma once

#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <libnet/httpserver.h>
#include <libnet/loop.h>

#include <pimentofold-balancer/agentport.h>
#include <pimentofold-balancer/balancersettings.h>
#include <pimentofold-balancer/callerports.h>
#include <pimentofold-balancer/inflight.h>
#include <pimentofold-balancer/peerport.h>
#include <pimentofold-balancer/serviceload.h>
#include <pimentofold-balancer/targetpool.h>

#include <pimentofold/callerpacket.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/flowroute.h>
#include <pimentofold/metrics.h>
#include <pimentofold/once/once.h>
#include <pimentofold/random.h>
#include <pimentofold/relay.h>
#include <pimentofold/retry.h>
#include <pimentofold/verdict.h>
#include <pimentofold/view.h>

/// The balancer program: receives callers' packets, forwards them to targets and sends the answers back. The decisions
/// are made by the modules of libpimentofold; the balancer owns the sockets and timers and applies the decisions.
///
/// A request is either repeatable or must run at most once. "Once" in the names below refers to at-most-once requests; see
/// pimentofold/once.h for the roles of home, witness and successor.
namespace pimentofold {

/// A caller's packet as received and checked, directly from the caller or relayed by another balancer.
struct IncomingPacket {
    const ViewService *service = nullptr;
    wire::CallerPacket packet; ///< the decoded datagram
    CheckedPacket checked; ///< result of the checks, with the token
    Address caller; ///< where the answer is sent
    std::string_view datagram; ///< the caller's datagram as received
    InstanceKey relayedBy; ///< the relaying balancer; valid if relayed
    bool relayed = false; ///< received from another balancer; must not be relayed again
};

/// A relayed packet that awaits its acknowledgement: a repeatable request or its cancellation on the way to a dispatcher,
/// or the cancellation of an at-most-once request on the way to its home.
struct UnacknowledgedRelay {
    wire::PeerMessage message; ///< the Relay message, for retransmission
    Id serviceId = 0;
    wire::CallerPacket packet;
    Address caller;
    InstanceKey recipient;
    int attempts = 0; ///< how often the message was sent
    Time nextSendAt = 0; ///< monotonic time of the next retransmission
};

/// The packet that is answered, and where the answer goes.
struct ReplyContext {
    Id serviceId = 0;
    Address caller;
    const wire::CallerPacket *packet = nullptr; ///< the caller's packet
};

/// An answer without content: the packet was refused, or its outcome is unknown.
struct Refusal {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    int retryAfterMs = 0; ///< how long the caller should wait before it retries; 0: no recommendation
    std::string token; ///< new token for the caller, or empty
};

/// Most bytes of an answer that the home of an at-most-once request fetches from the target. Requests for further ranges
/// of the answer are then served from the stored record, without running the request again.
constexpr std::size_t onceAnswerLimit = 1 << 20;

/// The balancer of one entry instance.
class Balancer
{
public:
    /// Opens all sockets except the services' ports, which are opened when the agent has sent a view.
    /// @throws std::system_error or std::runtime_error when an address can't be bound
    explicit Balancer(const BalancerSettings &settings);

    /// Starts the graceful stop: running requests finish and records of at-most-once requests are handed over to other
    /// balancers. The event loop ends when this is complete, at the latest after the drain limit.
    void stop();

    /// Logs and counts an exception that ended the handling of a message or timer.
    void logUnexpectedError(const std::exception &error);

private:
    // balancer.cpp: view, silent members, timers, reports, graceful stop

    /// Puts a view from the agent into force. An invalid view is logged, counted and ignored.
    void applyView(const wire::NodeView &received);
    /// Rebuilds the members of m_view from the agent's view, this balancer's own state and m_silentMembers.
    void applyLocalState();
    /// Records that a balancer left a message unacknowledged. For silentMemberTime that balancer doesn't count as a serving
    /// member.
    void markSilent(const InstanceKey &member);
    /// Records that a message arrived from a balancer, which ends its time as a silent member.
    void clearSilent(const InstanceKey &member);
    /// Lets silent members count as serving again after silentMemberTime.
    void expireSilentMembers();
    void onTargetStatus(PooledTarget &target);
    void onTargetChange(PooledTarget &target, const std::string &what);
    /// @return the load of a target in ServiceLoad::primary, or nullptr when the target isn't listed there
    const TargetLoad *targetLoadOf(const PooledTarget &target) const;
    /// Builds the report for the agent.
    /// @param isFirst whether the report is the first one on its connection, which also lists the objects of the view
    wire::LocalMessage makeReport(bool isFirst);
    /// @return all metrics in the text format of the metrics server, after an update of the gauges
    std::string renderAllMetrics();
    /// Handles deadlines, retransmissions, admission queues and at-most-once records. Called every 10 ms.
    void fastTick();
    /// Maintains the connections to targets, the services' ports and the silent members. Called every 100 ms.
    void slowTick();
    /// Ends the event loop when the graceful stop is complete or its limit has passed.
    void exitWhenStopped();

    // flows.cpp: packets from callers, opening and closing flows

    /// Handles a datagram from a caller, unless the ingress limit drops it.
    void onDatagram(Id serviceId, std::string_view bytes, const Address &from);
    /// Counts a packet that failed its checks, by reason.
    void countDroppedPacket(const CheckedPacket &checked);
    void decodeAndHandle(const ViewService &service, std::string_view bytes, const Address &from);
    /// Handles a checked packet. A retransmission of a packet in flight only updates the entry in flight.
    void handlePacket(IncomingPacket &incoming);
    /// Refuses a repeatable packet in the final phase of a graceful stop. A retransmission is dropped without an answer,
    /// because an earlier transmission may still run. Not for at-most-once requests: only their records show whether an
    /// earlier transmission has run.
    void refuseWhileStopping(const IncomingPacket &incoming);
    void handleOpen(IncomingPacket &incoming);
    /// Opens a token flow on a target chosen by load.
    void openTokenFlow(InFlightId id);
    /// Sends a packet of a bare flow to its next candidate target.
    void askNextCandidate(InFlightId id);
    /// Ends a packet of a bare flow that no candidate accepted, or opens the flow if it was only searched for before.
    void onCandidatesExhausted(InFlightId id);
    /// Confirms to the caller that a target has opened, or already holds, the flow.
    void confirmOpen(InFlightId id, PooledTarget &target);
    void handleClose(IncomingPacket &incoming);
    void handleCancel(IncomingPacket &incoming);

    // requests.cpp: requests and the answers of targets

    /// Handles a Request or a Close.
    void handleRequest(IncomingPacket &incoming);
    /// Sends a packet of a token flow to the target that the token names, unless that target has restarted since.
    void sendToTokenTarget(InFlightId id);
    /// Sends a packet of a bare flow to the target in the route cache, or else to the first candidate.
    void sendToCachedTarget(InFlightId id);
    /// Adds a packet to the table of packets in flight. The content of @p incoming is moved into the entry.
    InFlightId addInFlight(IncomingPacket &incoming, Purpose purpose);
    /// @return false when the target isn't connected and nothing was sent
    bool sendToTarget(InFlightId id, PooledTarget &target);
    void onAnswer(InFlightId id, const wire::TargetFrame &frame, PooledTarget &target);
    /// Handles an answer by which a packet wasn't run: asks the next candidate of a bare flow, retries on another target, or
    /// refuses the packet.
    void onNotRun(InFlightId id, const CallVerdict &outcome);
    void onRan(InFlightId id, const wire::TargetFrame &frame, PooledTarget &target);
    /// Handles the loss of a connection under a call: retries a repeatable request of a service without sessions, and
    /// otherwise reports that the request may have run.
    void onLost(InFlightId id);
    /// Handles a packet whose deadline has passed.
    void onOverdue(InFlightId id);
    /// Answers a packet in flight with a refusal and removes it.
    void finishWithRefusal(InFlightId id, Refusal refusal);
    /// Removes a packet in flight without an answer; a later answer of the target is ignored.
    void abandon(InFlightId id);
    /// Sends the answer of a target to the caller, split into datagrams.
    void sendAnswerParts(const InFlight &entry, const wire::TargetFrame &frame);
    void sendRefusal(const ReplyContext &to, const Refusal &refusal);
    /// @return a random delay for Refusal::retryAfterMs
    int randomRetryAfterMs();

    // placement.cpp: admission and target choice

    static RequestOutcome outcomeOf(const wire::TargetFrame &frame);
    AdmissionLane &laneOf(const InFlight &entry);
    /// Submits a request for admission.
    /// @param target target of the request's flow; 0: any target
    void submitForAdmission(InFlightId id, Id target);
    /// Applies admission decisions in order, including those that follow from them.
    void applyDecisions(AdmissionLane &lane, std::vector<AdmissionDecision> decisions);
    /// Answers a request that admission refused, or drops it without an answer when NotRun might be untrue.
    void refuseAdmission(const AdmissionDecision &decision);
    /// Frees the slot of an admitted request or takes a queued request out of its queue. The packet stays in flight.
    void releaseAdmission(InFlightId id, RequestOutcome outcome);
    /// Submits a request of a service without sessions for admission on any target.
    /// @param bypassDispatcher whether to use ServiceLoad::bypass
    void placeOnAnyTarget(InFlightId id, bool bypassDispatcher);
    /// @return the target for a new token flow, or nothing when no target accepts new work
    std::optional<Id> chooseTarget(const ViewService &service);
    /// Updates the load state of all services and the ingress policies from m_view.
    void updateLoads();
    /// Updates the request rates of all services, then their load state. Called once a second.
    void updateRates();
    /// Reports to the target choice whether the connection to a target is usable.
    void updateReachability(PooledTarget &target);
    /// Reports the last status of a target to the target choice.
    void updateTargetStatus(PooledTarget &target);
    /// Refuses queued requests that can't meet their deadlines and starts others that can run now.
    void processQueues();

    // requests.cpp: tokens

    /// @return a new sealed token for a flow, or an empty string when the team has no key
    std::string issueToken(const ViewService &service, std::int64_t flow, Id target, std::int64_t targetIncarnation);
    /// @return a new sealed token that replaces @p token, or an empty string when @p token needn't be replaced yet
    std::string refreshedToken(const Token &token, const ViewService &service, std::int64_t flow);

    // relays.cpp: packets relayed between balancers

    void onPeerMessage(const wire::PeerMessage &message, const Address &from);
    void onRelay(const wire::PeerMessage &message, const Address &from);
    /// Relays a packet to another balancer. Unacknowledged packets are retransmitted by retryRelays().
    void relayPacket(const IncomingPacket &incoming, const InstanceKey &to, wire::RelayRole::type role);
    /// @return the dispatcher of a request, or an empty key when there is none
    InstanceKey dispatcherOf(const ViewService &service, const wire::CallerPacket &packet);
    /// Relays a request to its dispatcher. When the relay limit of the dispatcher is exceeded, the request is refused, or
    /// dropped without an answer if it is a retransmission.
    void relayToDispatcher(IncomingPacket &incoming);
    /// Acknowledges a relay. A dispatcher also sends its relay limit while the kind of work is overloaded.
    void acknowledgeRelay(const wire::PeerMessage &message, const IncomingPacket &incoming, const Address &from);
    void onRelayAck(const wire::PeerMessage &message);
    void sendRelay(UnacknowledgedRelay &relay);
    /// Retransmits unacknowledged relays and gives up those that were sent maxRelayAttempts times.
    void retryRelays();
    /// Places a request without its dispatcher, which didn't acknowledge the relay.
    void onRelayUnanswered(const UnacknowledgedRelay &relay);

    // oncerequests.cpp: at-most-once requests

    /// @return the current time on both clocks
    static ClockReading readClocks();
    /// Serves an at-most-once request as its home, or relays it. A request without a token is refused with a new token.
    void routeOnceRequest(IncomingPacket &incoming);
    /// Relays a request to its home; if the home doesn't answer, to its witness, then to the successors, which may hold the
    /// records of stopped balancers.
    void relayOnceRequest(const IncomingPacket &incoming);
    void applyRelayOutput(RelayOutput out);
    /// Decodes and checks the packet of a request again, and stores its token for the answer.
    /// @param incoming receives the packet
    /// @return false when the service no longer exists or the packet no longer passes its checks
    bool parseOncePacket(const OnceKey &key, std::string_view packet, IncomingPacket &incoming);
    /// @return members that may hold the records of a pair of home and witness after both have stopped
    std::vector<InstanceKey> successorsOf(const BalancerPair &pair) const;
    void retryOnceRelays();
    /// @return whether this balancer can serve a relayed request in the role that the relay asks for
    bool canServeOnceRequest(const IncomingPacket &incoming, wire::RelayRole::type role);
    void serveOnceRequest(const IncomingPacket &incoming, OnceRole role);
    void onOncePeerMessage(const wire::PeerMessage &message);
    /// Records the outcome of a dispatched request and removes the packet in flight.
    void reportOnceOutcome(InFlightId id, OnceOutcome outcome);
    void applyOnceOutput(OnceOutput out);
    /// Sends a request to its target. The witness, if there is one, has stored the intent before.
    void dispatchOnceRequest(const OnceDispatch &dispatch);
    void sendOnceReply(const OnceReply &reply);

    BalancerSettings m_settings;
    InstanceKey m_self; ///< key of this run of the process
    EventLog m_log;
    Metrics m_metrics;
    Random m_random;
    Time m_now = 0; ///< monotonic time of the event being handled
    Codec m_codec;
    View m_agentView; ///< the view as received from the agent
    View m_view; ///< the view in force: m_agentView with this balancer's own state and without silent members
    SilentMembers m_silentMembers;
    std::vector<wire::ObjectHead> m_viewObjects; ///< objects and versions that the view was made from
    FlowCache m_routeCache; ///< targets of bare flows that aren't on their first candidate
    InFlightTable m_inFlight;
    std::unordered_map<Id, ServiceLoad> m_serviceLoads; ///< by service id
    IngressLimiter m_ingress;
    std::unordered_map<std::int64_t, UnacknowledgedRelay> m_unacknowledgedRelays; ///< by sequence number
    std::int64_t m_lastRelaySequence = 0; ///< sequence number of the last entry of m_unacknowledgedRelays
    OnceState m_onceState; ///< records of at-most-once requests
    RelayState m_onceRelays; ///< at-most-once requests being relayed to their home, witness or successor
    std::unordered_map<OnceKey, Token> m_onceTokens; ///< tokens of at-most-once requests that are still unanswered
    bool m_stopping = false;
    Time m_stopDeadline = never; ///< monotonic time at which a graceful stop ends at the latest
    Time m_lastDatagramAt = 0; ///< monotonic time of the last datagram from a caller
    std::int64_t &m_packetsTotal; ///< counter in m_metrics, like the next two
    std::int64_t &m_requestsTotal;
    std::int64_t &m_refusedTotal;
    TargetPool m_targetPool;
    CallerPorts m_callerPorts;
    PeerPort m_peerPort;
    AgentPort m_agentPort;
    std::unique_ptr<HttpServer> m_metricsServer;
    Timer m_fastTimer;
    Timer m_slowTimer;
    Timer m_reportTimer;
};

} // namespace pimentofold
