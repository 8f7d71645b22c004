#pragma once

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
#include <pimentofold/once.h>
#include <pimentofold/random.h>
#include <pimentofold/relay.h>
#include <pimentofold/retry.h>
#include <pimentofold/verdict.h>
#include <pimentofold/view.h>

/// The balancer: carries out the library's decisions with sockets and timers.
namespace pimentofold {

/// A caller's packet on its way through the balancer.
struct Arrival {
    const ViewService *service = nullptr;
    wire::CallerPacket packet;
    CheckedPacket checked;
    Address caller;
    std::string_view bytes; ///< the datagram as received
    InstanceKey relayedBy; ///< the balancer that relayed it
    bool relayed = false; ///< it came from another balancer and must not be relayed again
};

/// A packet that was relayed to a dispatcher, or a cancellation to a home, and not yet acknowledged.
struct UnacknowledgedRelay {
    wire::PeerMessage message;
    Id serviceId = 0;
    wire::CallerPacket packet;
    Address caller;
    InstanceKey to;
    int tries = 0;
    Time nextAt = 0;
};

/// An answer to a caller apart from its content.
struct ReplyTo {
    Id serviceId = 0;
    Address caller;
    const wire::CallerPacket *packet = nullptr; ///< the packet that is answered
};

/// A refusal or failure as a caller sees it.
struct Refusal {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    int retryAfterMs = 0;
    std::string token; ///< fresh token, or empty
};

/// Bytes of an answer that the home of a request fetches, so that it can answer further ranges from the record.
constexpr std::size_t onceAnswerLimit = 1 << 20;

class Balancer
{
public:
    /// Opens all sockets but those of the services, which come with the first view.
    /// @throws std::system_error or std::runtime_error when an address can't be bound
    explicit Balancer(const BalancerSettings &settings);

    /// Starts the graceful stop; the loop ends when it is complete, at the latest after the drain limit.
    void stop();

private:
    // balancer.cpp: set-up, view, timers, reports
    void applyView(const wire::NodeView &from);
    void enterLocalState();
    void noteSilent(const InstanceKey &member);
    void noteHeard(const InstanceKey &member);
    void retrySilentMembers();
    void onTargetStatus(PooledTarget &target);
    void onTargetChange(PooledTarget &target, const std::string &what);
    const TargetLoad *loadOf(const PooledTarget &target) const;
    wire::LocalMessage makeReport(bool first);
    std::string renderAll();
    void fastTick();
    void slowTick();
    void checkStopped();

    // flows.cpp: packets of callers, opening and closing flows
    void onDatagram(Id serviceId, std::string_view bytes, const Address &from);
    void countFault(const CheckedPacket &checked);
    void decodeAndHandle(const ViewService &service, std::string_view bytes, const Address &from);
    void handle(Arrival &arrival);
    void refuseWhenEnding(const Arrival &arrival);
    void open(Arrival &arrival);
    void openWithToken(InFlightId id);
    void askCandidate(InFlightId id);
    void candidatesExhausted(InFlightId id);
    void opened(InFlightId id, PooledTarget &target);
    void close(Arrival &arrival);
    void cancel(Arrival &arrival);

    // requests.cpp: requests and the answers of targets
    void request(Arrival &arrival);
    void sendToTokenTarget(InFlightId id);
    void sendToCachedRoute(InFlightId id);
    InFlightId addInFlight(Arrival &arrival, Purpose purpose);
    bool sendToTarget(InFlightId id, PooledTarget &target);
    void onAnswer(InFlightId id, const wire::TargetFrame &frame, PooledTarget &target);
    void onNotRun(InFlightId id, const CallOutcome &outcome);
    void onRan(InFlightId id, const wire::TargetFrame &frame, PooledTarget &target);
    void onLost(InFlightId id);
    void onOverdue(InFlightId id);
    void finish(InFlightId id, Refusal refusal);
    void forget(InFlightId id);
    void sendParts(const InFlight &entry, const wire::TargetFrame &frame);
    void refuse(const ReplyTo &to, const Refusal &refusal);
    int retryHint();

    // placement.cpp: admission and target choice
    static WorkOutcome outcomeOf(const wire::TargetFrame &frame);
    Lane &laneOf(const InFlight &entry);
    void offerRequest(InFlightId id, Id target);
    void carryOut(Lane &lane, std::vector<AdmissionDecision> decisions);
    void refuseAdmission(const AdmissionDecision &decision);
    void release(InFlightId id, WorkOutcome outcome);
    void place(InFlightId id, bool direct);
    std::optional<Id> chooseTarget(const ViewService &service);
    void updateLoads();
    void updateRates();
    void noteTarget(PooledTarget &target);
    void noteStatus(PooledTarget &target);
    void tickAdmission();

    // tokens
    std::string mint(const ViewService &service, std::int64_t flow, Id target, std::int64_t targetIncarnation);
    std::string refreshed(const Token &token, const ViewService &service, std::int64_t flow);

    // relays.cpp: packets between balancers
    void onPeerMessage(const wire::PeerMessage &message, const Address &from);
    void onRelay(const wire::PeerMessage &message, const Address &from);
    void relay(const Arrival &arrival, const InstanceKey &to, wire::RelayRole::type role);
    InstanceKey dispatcherOf(const ViewService &service, const wire::CallerPacket &packet);
    void relayToDispatcher(Arrival &arrival);
    void acknowledge(const wire::PeerMessage &message, const Arrival &arrival, const Address &from);
    void onRelayAck(const wire::PeerMessage &message);
    void sendRelay(UnacknowledgedRelay &relay);
    void tickRelays();
    void relayUnanswered(const UnacknowledgedRelay &relay);

    // oncepath.cpp: requests that may not be repeated
    static ClockReading onceNow();
    void requestOnce(Arrival &arrival);
    void relayOnce(const Arrival &arrival);
    void carryOutRelays(RelayOutput out);
    bool openOnce(const OnceKey &key, std::string_view packet, Arrival &arrival);
    std::vector<InstanceKey> successorsOf(const BalancerPair &pair) const;
    void tickOnceRelays();
    bool takesOnce(const Arrival &arrival, wire::RelayRole::type role);
    void takeOnce(const Arrival &arrival, OnceRole role);
    void onOncePeer(const wire::PeerMessage &message);
    void finishOnce(InFlightId id, OnceOutcome outcome);
    void carryOut(OnceOutput out);
    void dispatchOnce(const OnceDispatch &dispatch);
    void sendOnceReply(const OnceReply &reply);

    BalancerSettings m_settings;
    InstanceKey m_own;
    EventLog m_log;
    Metrics m_metrics;
    Random m_random;
    Time m_now = 0; ///< monotonic time of the event that is being handled
    Codec m_codec;
    View m_received; ///< as the agent sent it
    View m_view; ///< with what this balancer knows itself
    SilentMembers m_silent;
    std::vector<wire::ObjectHead> m_objects; ///< versions that the view was made from
    FlowCache m_routes;
    InFlightTable m_inFlight;
    std::unordered_map<Id, ServiceLoad> m_load; ///< by service id
    Ingress m_gate;
    std::unordered_map<std::int64_t, UnacknowledgedRelay> m_relays; ///< by sequence
    std::int64_t m_sequence = 0;
    OnceState m_once;
    RelayState m_onceRelays; ///< requests that may not be repeated, on their way to home, witness or successor
    std::unordered_map<OnceKey, Token> m_onceTokens; ///< of requests that haven't been answered yet
    bool m_stopping = false;
    Time m_stopAt = never; ///< latest end of a graceful stop
    Time m_lastDatagram = 0;
    std::int64_t &m_packets;
    std::int64_t &m_requests;
    std::int64_t &m_refused;
    TargetPool m_pool;
    CallerPorts m_ports;
    PeerPort m_peers;
    AgentPort m_agent;
    std::unique_ptr<HttpServer> m_metricsServer;
    Timer m_fastTimer;
    Timer m_slowTimer;
    Timer m_reportTimer;
};

} // namespace pimentofold
