#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

#include <pimentofold-measure/simulation.h>
#include <pimentofold/admission/admission.h>
#include <pimentofold/ingress.h>
#include <pimentofold/refusalcache.h>

/// Model of one team's fleet under a flood: callers that retry, balancers with one processor each, targets.
namespace pimentofold {

constexpr std::size_t floodBalancers = 15;
constexpr std::size_t floodServices = 2;
/// Both services have the same dispatcher, which is the worst case for their isolation.
constexpr std::size_t floodDispatcher = 0;

/// How requests are placed and refused.
enum class Protection {
    InForce, ///< ingress gate, relay limits, admission, dispatcher
    NoIngress, ///< admission at the dispatcher, but neither gate nor relay limits
    NoAdmission, ///< the dispatcher sends each request at once to the target with the least load
    RandomChoice, ///< each balancer sends each request at once to a random target
};

/// Processor time of a balancer's steps, in microseconds. Assumed figures, in the proportions of a small instance.
struct StepCosts {
    Time receipt = 3; ///< of a datagram, before the ingress gate
    Time decode = 25;
    Time relay = 12;
    Time peerReceipt = 28; ///< receipt, authenticator and decoding of a peer's datagram
    Time start = 20; ///< a frame to a target
    Time answer = 30; ///< an answer from a target to its caller
    Time refusal = 10;
    Time acknowledgement = 10; ///< a RelayAck to a relaying balancer
};

/// Multiplies all costs.
void slowDown(StepCosts &costs, Time factor);

/// One request number of a caller. After a refusal the work goes out under a new number.
struct FloodSending {
    int copies = 0; ///< first sending and retransmissions
    bool held = false; ///< queued or started by the dispatcher, which ignores further copies
    int heldAttempt = 0; ///< the highest attempt that the dispatcher has seen; its refusal names it
    bool ran = false;
    bool refused = false; ///< the caller has taken a refusal as true
};

/// Work as its caller sees it.
struct FloodRequest {
    std::uint32_t service = 0;
    int attempts = 0; ///< over all request numbers
    int epoch = 0; ///< raised when a timer of the caller becomes void
    std::vector<FloodSending> sendings; ///< by request number
    Time created = 0;
    Time deadline = 0;
    Time answered = never;
};

/// One copy of a request on its way.
struct FloodCopy {
    std::size_t request = 0;
    std::size_t number = 0; ///< index into the request's sendings
    int attempt = 1; ///< 1 for the first sending of this number

    friend bool operator==(const FloodCopy &, const FloodCopy &) = default;
};

enum class ItemKind { Caller, Relay, TargetAnswer, RelayAck };

/// What waits for a balancer's processor.
struct FloodItem {
    ItemKind kind = ItemKind::Caller;
    FloodCopy copy;
    std::size_t from = 0; ///< Relay: the balancer; TargetAnswer: the target
    RequestOutcome outcome = RequestOutcome::Done;
    std::size_t service = 0;
    double perSecond = 0; ///< RelayAck: a relay limit, 0 for none
};

/// A balancer: one processor that serves its sockets in turn.
struct FloodBalancer {
    std::array<std::deque<FloodItem>, floodServices + 2> inbox; ///< ports of the services, peers, targets
    std::size_t nextInbox = 0;
    bool busy = false;
    double busyTime = 0; ///< in microseconds
    IngressLimiter gate;
    std::array<RelayLimit, floodServices> relayLimits;
    std::array<Time, floodServices> limitSentAt{}; ///< when the dispatcher last sent a limit to this balancer
};

/// One service.
struct FloodService {
    Time deadline = 0;
    double meanRun = 0; ///< in microseconds
    double usualRate = 0; ///< requests a second
    double capacity = 0; ///< requests a second that the targets can finish
    std::vector<SimTarget> targets;
    TargetSet set; ///< as the dispatcher sees the targets
    Admission admission;
    RefusalCache refusals;
};

struct FloodModel {
    Protection protection = Protection::InForce;
    bool refusesAnyCopy = false; ///< deliberate defect: retransmissions are refused without memory
    StepCosts costs;
    Simulation sim;
    Random random;
    std::array<FloodBalancer, floodBalancers> balancers;
    std::array<FloodService, floodServices> services; ///< booking, invoice
    std::deque<FloodRequest> requests;
    std::int64_t falseNotRun = 0; ///< request numbers that ran although their caller was told NotRun
    std::int64_t limitMessages = 0;
    std::int64_t socketDrops = 0;
};

/// Sets up booking (15 targets) and invoice (4 targets) with two slots each.
void setUpFlood(FloodModel &model, Protection protection, std::uint64_t seed);

/// Creates requests of a service at a rate until a time.
void addArrivals(FloodModel &model, std::size_t service, double perSecond, Time from, Time until);

/// Puts an item into a balancer's socket.
void deliver(FloodModel &model, std::size_t balancer, const FloodItem &item);

/// A caller gets an answer, or a refusal with a hint in milliseconds.
void callerAnswered(FloodModel &model, std::size_t request);
void callerRefused(FloodModel &model, const FloodCopy &copy, int retryAfterMs);

/// Notes that a request number runs.
void noteRun(FloodModel &model, const FloodCopy &copy);

/// One way from a caller to a balancer.
constexpr Time callerHop = 3 * millisecond;
/// One way between instances.
constexpr Time fleetHop = 500 * microsecond;

/// Runs the expiry of the dispatcher's queues.
void addExpiry(FloodModel &model, Time until);

} // namespace pimentofold
