#pragma once

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <pimentofold/admission/admission.h>
#include <pimentofold/ingress.h>
#include <pimentofold/refusalcache.h>
#include <pimentofold/retry.h>
#include <pimentofold/targetchoice.h>
#include <pimentofold/view.h>

/// Load state that a balancer keeps for each service: admission, retry budget, dispatchers and relay limits.
namespace pimentofold {

/// An admission queue with the targets for whose slots its requests compete.
struct AdmissionLane {
    Admission admission;
    TargetSet targets;
};

/// Key of a relay limit: another balancer and the index of a kind of work.
using RelayLimitKey = std::pair<InstanceKey, int>;

/// Load state of one service.
struct ServiceLoad {
    /// For a service with sessions: all requests. For a service without sessions: requests that this balancer places as the
    /// dispatcher of its part of the targets.
    AdmissionLane primary;
    /// For a service without sessions: requests that this balancer places on any target, without their dispatcher. These
    /// are at-most-once requests, requests whose dispatcher didn't acknowledge the relay, and requests that arrive while
    /// this balancer owns no target.
    AdmissionLane bypass;
    RetryBudget retryBudget;
    DispatcherTable dispatchers; ///< which balancer dispatches which requests; services without sessions only
    int dispatcherCount = 0; ///< number of dispatchers of the service; services without sessions only
    RefusalCache refusals; ///< retransmissions that were refused here
    std::map<RelayLimitKey, RelayLimit> relayLimits; ///< limits received from dispatchers, by dispatcher
    std::map<RelayLimitKey, Time> limitSentAt; ///< when a limit was last sent, by relaying balancer
    std::int64_t requestsSinceUpdate = 0; ///< requests received from callers since the last updateRate()
    double requestsPerSecond = 0; ///< smoothed rate of requests that this balancer receives from callers
};

/// @return members in the view's data centre that serve requests
std::vector<InstanceKey> servingMembers(const View &view);

/// Updates the admission policies, targets and dispatchers of a service from a view.
/// @param service a service of @p view
/// @param self key of this balancer
/// @param now monotonic time
void updateLoad(ServiceLoad &load, const View &view, const ViewService &service, const InstanceKey &self, Time now);

/// Updates the smoothed request rate from the requests counted since the last call.
/// @param seconds time since the last call
void updateRate(ServiceLoad &load, double seconds);

/// @return the ingress policies of all services of a view: their shares of the time for which the instance handles packets
std::vector<IngressPolicy> ingressPolicies(const View &view);

/// @return a hash that identifies a request in RefusalCache and selects its dispatcher
std::uint64_t requestHash(Id service, std::int64_t flow, std::int64_t request);

} // namespace pimentofold
