#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include <pimentofold/types.h>

/// Shares of an entry instance's own time, applied to datagrams before they are decoded.
///
/// The balancer knows a datagram's service from the port it came in on and asks the gate first. A dropped datagram
/// costs only its receipt:
///
///     if (!passDatagram(gate, service, now)) {
///         return;                              // counted in gate.services[...].dropped
///     }
///     ... decode, decide, send ...
///     chargeDatagram(gate, service, spent);    // measured on the clock
///     chargeFollowUp(gate, service, spent);        // elsewhere: answers of targets, timers
///
/// Datagrams of peers aren't gated. What a dispatcher gets from other balancers is limited at its origin by
/// RelayLimit: the dispatcher tells a relaying balancer how many requests a second it takes from it.
namespace pimentofold {

/// Constants of the gate.
struct IngressSettings {
    double utilisation = 0.8; ///< share of the process' time that datagrams may use; the rest is for receipt and timers
    Time bucketDepth = 20 * millisecond; ///< time that can be saved up for a burst
    Time initialCost = 50 * microsecond; ///< assumed cost of a datagram before the first measurement
};

/// Share of one service in the instance's time.
struct IngressPolicy {
    Id service = 0;
    Id team = 0;
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0;
    double ceilingShare = 1;
};

/// State of one service at the gate. Times are in microseconds.
struct IngressService {
    IngressPolicy policy;
    double floorTokens = 0; ///< time saved up under the floor
    double ceilingTokens = 0; ///< time left under the ceiling
    double meanCost = 0; ///< smoothed time of a datagram with all that follows from it
    double followUpTime = 0; ///< time charged since the last datagram
    double reserve = 0; ///< part of the pool's depth that this service leaves to more urgent ones
    std::int64_t passed = 0;
    std::int64_t dropped = 0;
};

/// Time that the services of a team share beyond their floors. Teams share no time: each has an equal part.
struct IngressTeam {
    Id team = 0;
    double poolTokens = 0;
    double timeShare = 1; ///< of the instance's time
    double poolShare = 1; ///< what the floors leave of the part
};

/// The gate of one process.
struct IngressLimiter {
    IngressSettings settings;
    std::vector<IngressService> services;
    std::vector<IngressTeam> teams;
    Time refilledAt = 0;
};

/// Sets the services. Counters and measured costs of services that stay are kept. Floors above 1 in total are
/// scaled down within each team.
void setIngressPolicies(IngressLimiter &gate, std::span<const IngressPolicy> policies, Time now);

/// Decides on one datagram and charges its expected cost. A service first uses its floor, then the pool of its
/// team. A service that is idle saves up `depth` of its floor, and the rest flows into the pool. The pool keeps a reserve for each more urgent service, so the
/// least urgent services are dropped first.
/// @return false: drop it; datagrams of unknown services pass
bool passDatagram(IngressLimiter &gate, Id service, Time now);

/// Corrects the charge of a passed datagram by the time it took.
/// @param spent measured time of the last passed datagram of this service
void chargeDatagram(IngressLimiter &gate, Id service, Time spent);

/// Charges further time to a service: answers of targets, timers, relayed requests. It raises the expected cost of the
/// service's datagrams.
void chargeFollowUp(IngressLimiter &gate, Id service, Time spent);

/// What one dispatcher takes from one relaying balancer for one kind of work of a service.
struct RelayLimit {
    double perSecond = 0; ///< 0: no limit
    double tokens = 0;
    Time refilledAt = 0;
    Time validUntil = 0;
};

/// A limit is valid this long after the dispatcher sent it; the dispatcher repeats it while it refuses work.
constexpr Time relayLimitLifetime = 1 * second;

/// A dispatcher sends a limit to one balancer for one kind of work at most this often.
constexpr Time relayLimitInterval = 400 * millisecond;

/// Takes over a limit that a dispatcher sent in a RelayAck (`relayPerSecond`); see relayAllowance() in admission.h.
void setRelayLimit(RelayLimit &limit, double perSecond, Time now);

/// Decides on one request that would be relayed, and counts it. Requests with little time left are held back first, as
/// in the queues of admission, so that new callers are served at once when a flood is over.
/// @param timeLeft share of the service's usual deadline that the request has left, 0 to 1
/// @return false: refuse it here as NotRun/Overload, with the hint of retryHintMs(); but see refusalcache.h
bool passRelayedRequest(RelayLimit &limit, double timeLeft, Time now);

} // namespace pimentofold
