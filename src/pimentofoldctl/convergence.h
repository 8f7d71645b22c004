#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <pimentofold/teams/template.h>
#include <pimentofoldctl/platformobject.h>

/// Determines whether versions of objects are in force everywhere, from the status objects that the data centres write.
namespace pimentofold::ctl {

/// State of one node, from a status object.
struct InstanceStatus {
    std::string node;
    std::string state;
    std::int64_t viewGeneration = 0;
};

/// An object whose newest version isn't in force on some nodes of a data centre, from a status object.
struct LaggingObject {
    ObjectKey key;
    std::vector<std::string> nodes;
};

/// State of one target, from a status object.
struct TargetStatus {
    std::string service;
    std::string instance;
    std::string state;
    std::int64_t inUse = 0; ///< slots in use, as last reported by the target
};

/// The status object of one team in one data centre.
struct DataCentreStatus {
    std::string name; ///< of the status object, "DATACENTRE.TEAM"
    std::int64_t version = 0; ///< of the status object
    WallTime writtenAt = 0; ///< in milliseconds since the Unix epoch
    bool platformReachable = false; ///< whether the data centre reaches the platform
    std::vector<InstanceStatus> instances;
    std::map<ObjectKey, std::int64_t> inForce; ///< version in force on all nodes of the data centre, by object
    std::vector<LaggingObject> lagging;
    std::vector<TargetStatus> targets;
    std::int64_t refused = 0; ///< requests that the data centre has refused
};

/// Parses a status object. Fields that are missing or have an unexpected type get default values, since agents of another
/// version may write other fields.
DataCentreStatus parseStatus(const PlatformObject &object);

/// A version of an object and the names of the status objects that must report it as in force.
struct Expectation {
    ObjectKey key;
    std::int64_t version = 0;
    std::set<std::string> statusNames;
};

/// Expected versions, and the statuses that have been received so far.
struct Convergence {
    std::vector<Expectation> expectations;
    std::map<std::string, DataCentreStatus> statuses; ///< newest received version of each status object, by name
};

/// A version that isn't known to be in force in a data centre, and why.
struct LaggingVersion {
    std::string statusName;
    ObjectKey key;
    std::int64_t expectedVersion = 0;
    std::int64_t inForce = 0; ///< reported version; 0: the data centre reports none
    std::vector<std::string> nodes; ///< nodes with an older version, if the status object lists them
    std::string reason;
};

/// @return the names of the status objects of a team, "DATACENTRE.TEAM" for each data centre of its services
std::set<std::string> statusNames(const TeamSpec &team);

/// Records a status object. Objects of another kind, and versions that are not newer than the recorded one, are ignored.
void recordStatus(Convergence &convergence, const PlatformObject &object);

/// @param convergence expected versions and received statuses
/// @param now wall time in milliseconds, for the age of the statuses
/// @return the expected versions that aren't in force, one entry for each status object; empty when all are in force
std::vector<LaggingVersion> findLaggingVersions(const Convergence &convergence, WallTime now);

/// @return the output line for a lagging version, without a line end
std::string toString(const LaggingVersion &lagging);

} // namespace pimentofold::ctl
