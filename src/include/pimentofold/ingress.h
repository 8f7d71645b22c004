#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include <pimentofold/types.h>

/// Rate limits for the datagrams that an entry instance receives, applied before the datagrams are decoded. The limits are
/// shares of the processing time of the instance.
///
/// The balancer knows the service of a datagram from the port that received it and asks the limiter first. A dropped
/// datagram costs only the time to receive it:
///
///     if (!passDatagram(limiter, service, now)) {
///         return;                              // counted in limiter.services[...].dropped
///     }
///     ... decode, decide, send ...
///     chargeDatagram(limiter, service, spent);   // measured time
///     chargeFollowUp(limiter, service, spent);   // in other places: answers of targets, timers
///
/// Datagrams of peers aren't limited here. The requests that a dispatcher receives from other balancers are limited by the
/// balancers that send them, with RelayLimit: the dispatcher sends each relaying balancer the number of requests per second
/// that it accepts.
namespace pimentofold {

/// Parameters of the ingress limiter.
struct IngressSettings {
    double utilisation = 0.8; ///< share of the processing time that datagrams may use; the rest is for receiving and for timers
    Time bucketDepth = 20 * millisecond; ///< processing time that can accumulate for a burst
    Time initialCost = 50 * microsecond; ///< assumed processing time of a datagram before the first measurement
};

/// Share of one service in the processing time of the instance.
struct IngressPolicy {
    Id service = 0;
    Id team = 0;
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< share of the team's time that is guaranteed to the service
    double ceilingShare = 1; ///< share of the team's time that the service may use at most
};

/// State of one service in the ingress limiter. Tokens and times are microseconds of processing time.
struct IngressService {
    IngressPolicy policy;
    double floorTokens = 0; ///< accumulated at the rate of the floor; negative when in debt
    double ceilingTokens = 0; ///< accumulated at the rate of the ceiling; negative when in debt
    double meanCost = 0; ///< moving average of the time for a datagram, including its follow-up work
    double followUpTime = 0; ///< time charged by chargeFollowUp() since the last datagram
    double reserve = 0; ///< share of the pool's depth that this service must leave to more urgent ones
    std::int64_t passed = 0;
    std::int64_t dropped = 0;
};

/// Token pool that the services of a team share beyond their floors. Teams share no time with each other: each has an equal share.
struct IngressTeam {
    Id team = 0;
    double poolTokens = 0; ///< microseconds of processing time; negative when in debt
    double timeShare = 1; ///< share of the team in the instance's processing time
    double poolShare = 1; ///< share of the team's time that isn't guaranteed to its services by floors
};

/// Ingress limiter of one process.
struct IngressLimiter {
    IngressSettings settings;
    std::vector<IngressService> services;
    std::vector<IngressTeam> teams;
    Time refilledAt = 0;
};

/// Sets the services. Services that stay keep their counters and measured costs. Floors of a team that add up to more than 1
/// are scaled down.
void setIngressPolicies(IngressLimiter &limiter, std::span<const IngressPolicy> policies, Time now);

/// Decides whether a datagram is processed, and charges its expected cost. A service uses the tokens of its floor first, then
/// the pool of its team. The floor of an idle service accumulates up to `bucketDepth`, and the excess goes to the pool. A
/// service must leave a reserve in the pool for more urgent services, so the datagrams of the least urgent services are dropped
/// first.
/// @return false when the datagram must be dropped; datagrams of unknown services pass
bool passDatagram(IngressLimiter &limiter, Id service, Time now);

/// Replaces the expected cost of a passed datagram by its actual cost.
/// @param spent measured processing time of the last passed datagram of this service
void chargeDatagram(IngressLimiter &limiter, Id service, Time spent);

/// Charges follow-up work to a service: answers of targets, timers, relayed requests. The time is added to the cost of the
/// service's next datagram and so raises the expected cost.
void chargeFollowUp(IngressLimiter &limiter, Id service, Time spent);

/// Limit on the requests that one balancer relays to one dispatcher for one kind of work of a service (a token bucket).
struct RelayLimit {
    double perSecond = 0; ///< requests per second; 0: no limit
    double tokens = 0; ///< requests that may be relayed now
    Time refilledAt = 0;
    Time validUntil = 0;
};

/// Time for which a limit is valid after the dispatcher sent it; the dispatcher repeats the limit while it refuses work.
constexpr Time relayLimitLifetime = 1 * second;

/// Minimum time between two limits that a dispatcher sends to one balancer for one kind of work.
constexpr Time relayLimitInterval = 400 * millisecond;

/// Sets the limit that a dispatcher sent in a RelayAck (`relayPerSecond`); see relayAllowance() in admission.h.
void setRelayLimit(RelayLimit &limit, double perSecond, Time now);

/// Decides whether a request may be relayed, and counts it. Like the queues of admission control, the limit holds back
/// requests with little time left first, so that new requests are served as soon as an overload is over.
/// @param timeLeft remaining share of the service's usual deadline, 0 to 1
/// @return false when this balancer must refuse the request as NotRun/Overload, with the hint of retryHintMs(); but see
///         refusalcache.h for retransmissions
bool passRelayedRequest(RelayLimit &limit, double timeLeft, Time now);

} // namespace pimentofold
