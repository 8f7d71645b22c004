#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/configstore.h>
#include <pimentofold/membership.h>
#include <pimentofold/template.h>
#include <pimentofold/types.h>

#include "view_types.h"

/// Builds the NodeView, the state that a balancer acts on, from objects, instance list, members and what the
/// balancer has observed.
namespace pimentofold {

/// One entry of the platform's lagging instance list.
struct PlatformInstance {
    std::string name;
    bool entry = false; ///< an entry instance; else a target
    std::string team;
    std::string service;
    std::string dataCentre;
    std::string address;
    bool leaving = false;
    int slots = 0; ///< 0: those of the service
};

/// A team's services with the versions that they were made from.
struct TeamServices {
    TeamSpec spec;
    std::vector<wire::ObjectHead> heads; ///< of the team and its template
};

/// Expands a team from the objects that are held. Callers keep the last result when it throws, so that a wrong or
/// incomplete configuration never takes away services.
/// @return no services when the team is deleted; nothing when the team or its template isn't held
/// @throws SettingsError when the objects are wrong
std::optional<TeamServices> expandFromStore(const ConfigStore &store, const std::string &team);

/// What a view is made from.
struct NodeViewInput {
    std::string team;
    std::string dataCentre;
    const ConfigStore *store = nullptr;
    const TeamServices *services = nullptr;
    std::vector<PlatformInstance> instances;
    std::vector<Member> members; ///< all but the dead ones
    std::map<Id, wire::TargetObservation> observations; ///< of the balancer, by target
    WallTime wall = 0; ///< decides which keys are valid
};

/// Builds a view.
/// @param previous the last view. A target that has left the instance list stays in the view as leaving while the
///     balancer reaches it, so that a list that lags or lacks entries cuts no flow.
/// @return the view with the generation of @p previous; all lists are sorted, so that equal inputs give equal views
wire::NodeView buildNodeView(const NodeViewInput &input, const wire::NodeView &previous);

/// @return the digest of the objects of a view, equal to ConfigStore::root of a store with the same versions
std::uint64_t digestOfHeads(const std::vector<wire::ObjectHead> &heads);

} // namespace pimentofold
