#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/nodeview.h>

/// Decides which view the balancer gets, and knows which one it has in force. It has no sockets.
namespace pimentofold {

/// A view that the balancer was sent and has not yet reported.
struct SentView {
    std::int64_t generation = 0;
    std::vector<wire::ObjectHead> heads;
};

struct ViewPublisher {
    std::string team;
    std::string dataCentre;
    std::optional<TeamServices> services; ///< of the last valid configuration
    std::string problem; ///< why the present configuration can't be used; empty when it can
    wire::NodeView view; ///< the last one built; generation 0: none
    std::deque<SentView> sent;
    std::int64_t inForce = 0; ///< generation that the balancer has reported
    std::vector<wire::ObjectHead> headsInForce;
    std::map<Id, wire::TargetObservation> observations;
    wire::BalancerReport report; ///< the last one
    std::int64_t lastSent = 0; ///< generation that this agent sent last, also on an earlier connection
    bool reported = false; ///< the balancer has reported on the present connection
};

/// Builds the view again; a changed one gets a new generation.
/// @param members of this data centre, all but the dead ones
void refreshView(ViewPublisher &publisher, const ConfigStore &store, const std::vector<Member> &members, WallTime wall);

/// Takes a report of the balancer. When the first one of a connection shows a view that this agent hasn't sent, the
/// present view gets a higher generation, so that it is sent.
void applyReport(ViewPublisher &publisher, const wire::BalancerReport &report);

/// Forgets what holds only for one connection to the balancer.
void clearConnectionState(ViewPublisher &publisher);

/// @return whether the view should be sent: there is a new one, the balancer has reported, and nothing that it has had in
///     force would revert
/// @param agentMade whether that goes for the objects that agents make themselves too
bool shouldSendView(const ViewPublisher &publisher, const ConfigStore &store, bool agentMade);

/// Notes that the view was sent.
void recordSentView(ViewPublisher &publisher);

/// @return the version of an object that the balancer has in force, 0 for none
std::int64_t versionInForce(const ViewPublisher &publisher, const ObjectKey &key);

} // namespace pimentofold
