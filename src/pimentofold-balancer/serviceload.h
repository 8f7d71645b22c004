#pragma once

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <pimentofold/admission.h>
#include <pimentofold/ingress.h>
#include <pimentofold/refusalcache.h>
#include <pimentofold/retry.h>
#include <pimentofold/targetchoice.h>
#include <pimentofold/view.h>

/// What a balancer keeps about the load of each service.
namespace pimentofold {

/// Requests that compete for the same slots.
struct Lane {
    Admission admission;
    TargetSet targets;
};

/// A balancer and a kind of work, for limits on relays.
using RelayPeer = std::pair<InstanceKey, int>;

struct ServiceLoad {
    /// Requests of flows with sessions, or those that this balancer places as a dispatcher.
    Lane main;
    /// Services without sessions: requests that this balancer places although it doesn't own the targets, since the
    /// dispatcher is silent or the request may not be repeated.
    Lane direct;
    RetryBudget budget;
    DispatcherTable dispatchers;
    int dispatcherCount = 0;
    RefusalCache refusals;
    std::map<RelayPeer, RelayLimit> relayLimits; ///< by dispatcher
    std::map<RelayPeer, Time> limitsSent; ///< by relaying balancer
    std::int64_t arrived = 0; ///< requests of callers since the last update of the rate
    double rate = 0; ///< requests of callers to this balancer a second
};

/// @return instances that take work, in the own data centre
std::vector<InstanceKey> servingMembers(const View &view);

/// Takes over policies, targets and dispatchers from a view.
/// @param own this balancer
void updateLoad(ServiceLoad &load, const View &view, const ViewService &service, const InstanceKey &own, Time now);

/// Takes the rate of the last interval into account.
/// @param seconds length of the interval
void updateRate(ServiceLoad &load, double seconds);

/// @return the shares of the instance's time from the services of a view
std::vector<IngressPolicy> ingressPolicies(const View &view);

/// @return identifies a request in RefusalMemory and for the choice of its dispatcher
std::uint64_t requestHash(Id service, std::int64_t flow, std::int64_t request);

} // namespace pimentofold
