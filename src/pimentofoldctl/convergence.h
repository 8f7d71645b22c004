#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <pimentofold/template.h>
#include <pimentofoldctl/platformobject.h>

/// Whether versions are in force everywhere, from the status objects that each data centre writes.
namespace pimentofold::ctl {

/// A node and its state, as in a status object.
struct InstanceStatus {
    std::string node;
    std::string state;
    std::int64_t viewGeneration = 0;
};

/// A version that isn't in force on some nodes of a data centre.
struct LaggingObject {
    ObjectKey key;
    std::vector<std::string> nodes;
};

struct TargetStatus {
    std::string service;
    std::string instance;
    std::string state;
    std::int64_t inUse = 0;
};

/// The status object of one team in one data centre.
struct DataCentreStatus {
    std::string name; ///< of the object, "DATACENTRE.TEAM"
    std::int64_t version = 0; ///< of the object
    WallTime writtenAt = 0;
    bool platformReachable = false;
    std::vector<InstanceStatus> instances;
    std::map<ObjectKey, std::int64_t> inForce;
    std::vector<LaggingObject> lagging;
    std::vector<TargetStatus> targets;
    std::int64_t refused = 0;
};

/// Reads a status object; fields that are missing or wrong are left out, since a newer agent may write others.
DataCentreStatus parseStatus(const PlatformObject &object);

/// A version and the status objects that must report it.
struct Expectation {
    ObjectKey key;
    std::int64_t version = 0;
    std::set<std::string> statusNames;
};

struct Convergence {
    std::vector<Expectation> expectations;
    std::map<std::string, DataCentreStatus> statuses; ///< newest version of each by name
};

/// Why a version isn't known to be in force in a data centre.
struct LaggingVersion {
    std::string statusName;
    ObjectKey key;
    std::int64_t expectedVersion = 0;
    std::int64_t inForce = 0; ///< 0: no version is reported
    std::vector<std::string> nodes; ///< nodes that lag, if the data centre names them
    std::string reason;
};

/// @return names of the status objects of a team
std::set<std::string> statusNames(const TeamSpec &team);

/// Takes a status object; older versions than one already seen and other kinds are ignored.
void recordStatus(Convergence &convergence, const PlatformObject &object);

/// @param now wall time, for the age of reports
/// @return what isn't in force; empty when everything is
std::vector<LaggingVersion> findLaggingVersions(const Convergence &convergence, WallTime now);

/// @return the line that shows a laggard
std::string toString(const LaggingVersion &lagging);

} // namespace pimentofold::ctl
