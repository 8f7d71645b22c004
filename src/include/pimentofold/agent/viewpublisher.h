#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/nodeview.h>

/// Builds the views for an agent's balancer, decides when a view is sent and tracks which view the balancer has in force.
/// This part uses no sockets; the agent program sends the views.
namespace pimentofold {

/// A view that was sent to the balancer and that the balancer hasn't yet reported as in force.
struct SentView {
    std::int64_t generation = 0;
    std::vector<wire::ObjectHead> heads; ///< versions of the objects that the view was built from
};

/// The views of one balancer.
struct ViewPublisher {
    std::string team;
    std::string dataCentre;
    std::optional<TeamServices> services; ///< services of the last valid configuration
    std::string problem; ///< why the present configuration can't be used; empty when it is valid
    wire::NodeView view; ///< the last view that was built; generation 0: none yet
    std::deque<SentView> sent; ///< views that the balancer hasn't reported, oldest first
    std::int64_t inForce = 0; ///< generation that the balancer has reported as in force
    std::vector<wire::ObjectHead> headsInForce; ///< versions of the objects that the balancer has in force
    std::map<Id, wire::TargetObservation> observations; ///< from the last report, by id of the target
    wire::BalancerReport report; ///< the last report
    std::int64_t lastSentGeneration = 0; ///< generation that this agent sent last, possibly on an earlier connection
    bool reported = false; ///< the balancer has sent a report on the present connection
};

/// Builds the view again. If it differs from the last one, it replaces it and gets a higher generation. An invalid
/// configuration leaves the last view unchanged and is described in ViewPublisher::problem.
/// @param members members of the own data centre, except those in state Dead
/// @param wall wall-clock time
void refreshView(ViewPublisher &publisher, const ConfigStore &store, const std::vector<Member> &members, WallTime wall);

/// Records a report of the balancer. When the first report on a connection shows that the balancer doesn't have the view
/// that this agent sent last in force, the present view gets a higher generation, so that it is sent again.
void applyReport(ViewPublisher &publisher, const wire::BalancerReport &report);

/// Discards the state that is valid only for one connection to the balancer. To be called when the connection is lost.
void clearConnectionState(ViewPublisher &publisher);

/// Tells whether the view should be sent: the balancer has reported on this connection, has neither received nor reported
/// the present generation, and the store has no object in an older version than the balancer has had in force.
/// @param includeAgentObjects whether the last condition also applies to the objects that agents publish themselves, see
///     agentobjects.h
/// @return whether to send ViewPublisher::view
bool shouldSendView(const ViewPublisher &publisher, const ConfigStore &store, bool includeAgentObjects);

/// Records that ViewPublisher::view was sent.
void recordSentView(ViewPublisher &publisher);

/// @return the version of an object that the balancer has in force, 0 when it has none
std::int64_t versionInForce(const ViewPublisher &publisher, const ObjectKey &key);

} // namespace pimentofold
