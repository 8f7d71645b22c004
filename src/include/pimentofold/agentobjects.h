#pragma once

#include <span>
#include <string>
#include <vector>

#include <pimentofold/configstore.h>
#include <pimentofold/membership.h>
#include <pimentofold/nodeview.h>
#include <pimentofold/types.h>

/// Objects that the first-ranked agent of a data centre makes itself and that spread like those of the platform.
///
/// - `instances/TEAM.DATACENTRE`: the targets in the platform's instance list, so that one agent reads the list for
///   all of its data centre.
/// - `entries/TEAM.DATACENTRE`: the live entry instances, for the views of other data centres, whose membership
///   doesn't reach here.
namespace pimentofold {

/// Data centres with more members don't tell their entries: the object would change too often.
constexpr std::size_t mostEntries = 64;

/// @return the key of the object with the targets of a data centre
ObjectKey instancesKey(const std::string &team, const std::string &dataCentre);

/// @return the key of the object with the entry instances of a data centre
ObjectKey entriesKey(const std::string &team, const std::string &dataCentre);

/// @return the value of an instances object: the targets of @p team, by name
std::string instancesValue(const std::string &team, std::vector<PlatformInstance> instances);

/// @return the value of an entries object: the members with a balancer that may be given work, by instance
std::string entriesValue(std::span<const Member> members);

/// Makes the next version of an object if its value differs from the one that is held.
/// @param self instance that makes it. Two agents that both believe they rank first never make the same version.
/// @param wall time; a later object has a higher version also when the agent knows no earlier one
/// @return null when nothing changed
ConfigObjectPointer nextVersion(const ConfigStore &store, const ObjectKey &key, const std::string &value, Id self, WallTime wall);

/// @return the targets of all data centres that are held
std::vector<PlatformInstance> heldInstances(const ConfigStore &store, const std::string &team);

/// @return the entry instances of data centres other than @p dataCentre
std::vector<Member> remoteEntries(const ConfigStore &store, const std::string &team, const std::string &dataCentre);

/// Reads the platform's instance list. Entries without a valid address are left out.
/// @throws nlohmann::json::exception when the text isn't such a list
std::vector<PlatformInstance> parseInstanceList(const std::string &text);

} // namespace pimentofold
