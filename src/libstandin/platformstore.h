#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <pimentofold/random.h>
#include <pimentofold/types.h>

/// The state of the stand-in for the platform: versioned objects with conditional updates, a global revision
/// and the lagging instance list. It has no sockets, so that randomised runs use the same code on virtual time.
namespace pimentofold::standin {

/// Largest value that the platform accepts, in bytes.
constexpr std::size_t maxValueBytes = 1'000'000;
/// Past versions that are kept of each object, for stale reads.
constexpr std::size_t historyLength = 8;
/// A stale read answers from a state that is at most this many revisions old.
constexpr std::int64_t maxStaleRevisions = 5;

using ObjectName = std::pair<std::string, std::string>; ///< kind and name

/// One version of an object. A deletion is a version too.
struct StoredObject {
    std::string kind;
    std::string name;
    std::int64_t version = 0;
    bool deleted = false;
    std::string value; ///< JSON
    std::string changeId;
    std::int64_t revision = 0; ///< global revision at which this version was written
};

/// One entry of the instance list, as an administrator set it.
struct InstanceChange {
    Time at = 0;
    bool present = false;
    std::string value; ///< JSON object without the name
};

struct Faults {
    bool outage = false; ///< all calls of the API fail
    Time delay = 0; ///< added to each answer
    double loseAnswers = 0; ///< probability that the answer to a write is lost after it took effect
    double staleReads = 0; ///< probability that a read answers from an older state
    Time listLag = 0; ///< age of the instance list
};

struct PlatformStore {
    std::int64_t revision = 0;
    std::map<ObjectName, std::deque<StoredObject>> objects; ///< newest version first
    std::map<std::string, std::int64_t> kindRevisions; ///< revision of the last write of each kind
    std::map<std::string, std::deque<InstanceChange>> instances; ///< newest change first
    Faults faults;
    std::map<std::string, std::int64_t> counts; ///< calls by kind: read, write, watch, instances, refused
};

enum class WriteStatus { Written, Conflict, TooLarge };

/// Result of a write; @p current is the written object, or the one that conflicts (version 0: none).
struct WriteResult {
    WriteStatus status = WriteStatus::Written;
    StoredObject current;
};

/// Writes or deletes an object if its version is @p expected.
/// @param change kind, name, value, deleted and change id; version and revision are ignored
/// @param expected version of the present object; 0 when there is none or only a deletion
WriteResult writeObject(PlatformStore &store, StoredObject change, std::int64_t expected);

/// @return the revision from which a read answers: the present one or, with the fault staleReads, an older one
std::int64_t readRevision(const PlatformStore &store, Random &random);

/// @return the object as of @p revision; version 0 when there was none
StoredObject readObject(const PlatformStore &store, const ObjectName &name, std::int64_t revision);

/// Kinds that a watch asks for; all when empty.
using KindFilter = std::set<std::string>;

/// @return objects whose newest version as of @p revision was written after @p since, in order of revision
std::vector<StoredObject> objectsSince(const PlatformStore &store, std::int64_t since, std::int64_t revision, const KindFilter &kinds = {});

/// @return whether an object of these kinds was written after @p since
bool hasChanged(const PlatformStore &store, std::int64_t since, const KindFilter &kinds);

/// Sets or removes an entry of the instance list.
void changeInstance(PlatformStore &store, const std::string &name, InstanceChange change);

/// @return name and value of the instances that the lagging list shows at @p now
std::vector<std::pair<std::string, std::string>> listInstances(const PlatformStore &store, Time now);

} // namespace pimentofold::standin
