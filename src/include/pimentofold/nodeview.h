#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/configreplication/configstore.h>
#include <pimentofold/membership/membership.h>
#include <pimentofold/teams/template.h>
#include <pimentofold/types.h>

#include "view_types.h"

/// Builds the NodeView that an agent sends to its balancer from configuration objects, the platform's instance list,
/// the members and the balancer's observations of its targets.
namespace pimentofold {

/// One item of the platform's instance list. The list lags behind the real state of the instances.
struct PlatformInstance {
    std::string name;
    bool entry = false; ///< true: an entry instance; false: a target
    std::string team;
    std::string service; ///< service that a target serves
    std::string dataCentre;
    std::string address; ///< "ip:port"
    bool leaving = false; ///< the instance is about to stop
    int slots = 0; ///< slots of a target; 0: the number that the service sets
};

/// A team's services with the versions of the objects that they were expanded from.
struct TeamServices {
    TeamSpec spec;
    std::vector<wire::ObjectHead> heads; ///< heads of the team object and the template object
};

/// Expands a team from the objects in a store. When the function returns nothing or throws, callers keep the last result,
/// so that an invalid or incomplete configuration never removes services.
/// @return the services, none when the team has been deleted; nothing when the team or its template isn't in the store
/// @throws SettingsError when the team or its template is invalid
std::optional<TeamServices> expandFromStore(const ConfigStore &store, const std::string &team);

/// The data that a view is built from.
struct NodeViewInput {
    std::string team;
    std::string dataCentre; ///< own data centre
    const ConfigStore *store = nullptr; ///< objects; drain and keys objects are read from it
    const TeamServices *services = nullptr;
    std::vector<PlatformInstance> instances; ///< instances of all data centres; those of other teams are ignored
    std::vector<Member> members; ///< entry instances, except those in state Dead
    std::map<Id, wire::TargetObservation> observations; ///< the balancer's observations, by id of the target
    WallTime wall = 0; ///< present wall-clock time, which decides which keys are valid
};

/// Builds a view.
/// @param input the data for the view; store and services must be set
/// @param previous the last view. A target that is no longer in the instance list stays in the view in state Leaving
///     while the balancer reaches it, so that a lagging or incomplete list doesn't interrupt any flow.
/// @return the view with the generation of @p previous; its lists have a fixed order, so that equal inputs give equal
///     views
/// @throws SettingsError when the keys object is invalid
wire::NodeView buildNodeView(const NodeViewInput &input, const wire::NodeView &previous);

/// @return the digest of a view's objects; it equals ConfigStore::root of a store that has the same versions of the same
///     objects
std::uint64_t digestOfHeads(const std::vector<wire::ObjectHead> &heads);

} // namespace pimentofold
