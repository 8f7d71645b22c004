#pragma once

#include <span>
#include <string>
#include <vector>

#include <pimentofold/configreplication/configstore.h>
#include <pimentofold/membership/membership.h>
#include <pimentofold/nodeview.h>
#include <pimentofold/types.h>

/// Objects that the first-ranked agent of a data centre publishes itself. They are distributed to the other agents in the
/// same way as the objects from the platform.
///
/// - `instances/TEAM.DATACENTRE`: the targets in the platform's instance list. Only the first-ranked agent reads the
///   list; the other agents of the data centre get the targets from this object.
/// - `entries/TEAM.DATACENTRE`: the live entry instances of the data centre. The agents of other data centres need the
///   object for their views, because membership covers one data centre only.
namespace pimentofold {

/// A data centre with more members than this doesn't publish its entry instances, because the object would change too
/// often.
constexpr std::size_t maxPublishedEntries = 64;

/// @return the key of the object with the targets of a data centre
ObjectKey instancesKey(const std::string &team, const std::string &dataCentre);

/// @return the key of the object with the entry instances of a data centre
ObjectKey entriesKey(const std::string &team, const std::string &dataCentre);

/// @return the value of an instances object, a JSON array of the targets of @p team, sorted by name; entry instances and
///     targets of other teams are left out
std::string instancesValue(const std::string &team, std::vector<PlatformInstance> instances);

/// @return the value of an entries object, a JSON array of the members that have a balancer and are alive or suspected,
///     in the order of @p members
std::string entriesValue(std::span<const Member> members);

/// Creates the next version of an object if its value differs from the value in the store. The store isn't changed.
/// @param self the instance that publishes the object. The version number depends on it, so that two agents that both
///     believe they rank first normally create different versions.
/// @param wall wall-clock time. The version number also depends on it, so that a later object has a higher version even
///     if the agent knows no earlier one.
/// @return the new version, or null when the value hasn't changed
ConfigObjectPointer nextVersion(const ConfigStore &store, const ObjectKey &key, const std::string &value, Id self, WallTime wall);

/// @return the targets in the instances objects of @p team of all data centres in the store
std::vector<PlatformInstance> storedInstances(const ConfigStore &store, const std::string &team);

/// @return the entry instances in the entries objects of @p team of the data centres other than @p dataCentre
std::vector<Member> remoteEntries(const ConfigStore &store, const std::string &team, const std::string &dataCentre);

/// The platform's instance list.
struct InstanceList {
    std::vector<PlatformInstance> instances;
    std::size_t unreadable = 0; ///< entries that were left out: invalid, without a usable address, or too large
};

/// Parses the platform's instance list. Other writers may have left entries of any shape in it, so each is parsed by itself.
/// @param text JSON object with the array "instances"
/// @throws DecodeError when the text isn't such a list
InstanceList parseInstanceList(const std::string &text);

} // namespace pimentofold
