#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <pimentofold/flowroute.h>
#include <pimentofold/random.h>
#include <pimentofold/targetlink.h>
#include <pimentofold/token.h>
#include <pimentofold/view.h>

#include <testsupport/oncerun.h>

#include "view_types.h"

/// A randomised run of flows over the decisions of the data path: tokens, candidates of bare flows and connections to
/// targets, while targets are drained and replaced, addresses are reused, keys are rotated and views lag.
namespace pimentofold::testsupport {

/// Deliberate defects; each one breaks one invariant.
enum class FlowDefect {
    None,
    RouteByRank, ///< FlowSurvives: token flows go to the first candidate of the present view
    NoIdentityCheck, ///< NoForeignPacket: frames are sent on connections whose identity doesn't match
    DrainIgnored, ///< LeavingGetsNoNewWork: neither the target's status nor its silence stops new flows
};

struct FlowRunOptions {
    std::uint64_t seed = 1;
    int balancers = 5;
    int targets = 6; ///< for each of two services
    int steps = 6'000; ///< of 10 ms
    FlowDefect defect = FlowDefect::None;
};

struct FlowRunCounts {
    std::int64_t flows = 0;
    std::int64_t requests = 0;
    std::int64_t replacements = 0;
    std::int64_t wrongIdentities = 0; ///< connections to reused addresses that the identity check ended
    std::int64_t withoutRoute = 0; ///< requests that a balancer with an old view couldn't route; callers retransmit
};

/// A target process at an address.
struct FlowServer {
    int service = 0;
    std::string instance;
    std::string address;
    std::int64_t incarnation = 0;
    bool up = true;
    bool draining = false;
    Time drainAt = 0;
    std::set<std::int64_t> flows;
};

/// One balancer's view and connections.
struct FlowBalancer {
    View view;
    std::map<Id, TargetLink> links; ///< by target
    std::map<Id, std::size_t> connected; ///< server at the other end, by target
    std::map<Id, Time> stalledUntil; ///< frames of the target wait until then
    FlowCache cache;
    Time viewDueAt = 0; ///< when it learns the present state
};

/// A caller's flow.
struct FlowOfCaller {
    std::int64_t number = 0;
    int service = 0;
    std::string token; ///< empty on bare flows
    std::size_t server = 0; ///< where it was opened
};

/// Runs flows until the options' end; then every open flow must answer through every balancer.
/// @throws InvariantFailure
FlowRunCounts runFlows(const FlowRunOptions &options);

} // namespace pimentofold::testsupport
