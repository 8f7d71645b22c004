#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <pimentofold/types.h>

#include "peer_types.h"

/// Store of the versioned configuration objects of one agent. The version of an object only increases, and a deletion
/// is a version too, stored as a tombstone (section 7 of the design document).
namespace pimentofold {

/// Maximum size of the value of an object in bytes. The platform has the same limit.
constexpr std::size_t maxStoredValueBytes = 1'000'000;
/// Maximum total length of the kind, name and change id of an object in bytes. Longer ones are refused, so that the
/// head and each range of an object always fit in a datagram.
constexpr std::size_t maxObjectNameBytes = 250;
/// Number of hash buckets with a digest of their own, so that two agents locate a difference with few messages.
constexpr std::size_t digestBuckets = 64;

/// Kind and name of an object.
struct ObjectKey {
    std::string kind;
    std::string name;

    friend bool operator==(const ObjectKey &, const ObjectKey &) = default;
    friend bool operator<(const ObjectKey &a, const ObjectKey &b)
    {
        return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
    }
};

/// One version of an object. Immutable after construction, so that it can be shared.
struct ConfigObject {
    ObjectKey key;
    std::int64_t version = 0;
    bool deleted = false; ///< this version is a tombstone
    std::string value; ///< JSON; may contain secrets and must not be logged
    std::string changeId;
};

using ConfigObjectPointer = std::shared_ptr<const ConfigObject>;

/// The objects held by one agent, including tombstones.
struct ConfigStore {
    std::map<ObjectKey, ConfigObjectPointer> objects;
    /// Lowest acceptable version of each object: the version that this instance's balancer has had in force, also
    /// before a restart of the agent. Older versions are refused.
    std::map<ObjectKey, std::int64_t> minVersions;
    std::array<std::uint64_t, digestBuckets> bucketDigests{}; ///< digest of the heads in each bucket
    std::uint64_t rootDigest = 0; ///< digest of all heads; equal if two stores hold the same versions of the same objects
    bool acceptOlder = false; ///< fault injection: accepts older versions, which the check ConfigNeverReverts must detect
};

enum class ApplyResult {
    Applied,
    AlreadyHeld, ///< the store holds this version
    Older, ///< the store holds a newer version, or a newer one was in force
    Refused, ///< the object is invalid or exceeds the limits above
};

/// Stores an object if isNewer() is true for its version.
ApplyResult applyObject(ConfigStore &store, ConfigObjectPointer object);

/// Raises the lowest acceptable version of an object. Lower values than the current one are ignored.
void raiseMinVersion(ConfigStore &store, const ObjectKey &key, std::int64_t version);

/// @return the object or its tombstone; null if the store has neither
ConfigObjectPointer findObject(const ConfigStore &store, const ObjectKey &key);

/// @return the version held; 0 if the object is unknown
std::int64_t versionOf(const ConfigStore &store, const ObjectKey &key);

/// @return whether applyObject() would store this version: it is newer than the version held and not below the lowest
///     acceptable version
bool isNewer(const ConfigStore &store, const ObjectKey &key, std::int64_t version);

/// @return whether each object with a lowest acceptable version is held in that version or a newer one, so that a view
///     built from the store doesn't revert an object
/// @param includeAgentObjects also checks the objects that agents create themselves, see isPlatformKind()
bool meetsMinVersions(const ConfigStore &store, bool includeAgentObjects);

/// @return digest of one head; ConfigStore::rootDigest is the XOR of the digests of all objects
std::uint64_t digestOfHead(const wire::ObjectHead &head);

/// @return the bucket of an object, less than digestBuckets
std::size_t bucketOf(const ObjectKey &key);

/// @return heads of the objects in a bucket, ordered by key
std::vector<wire::ObjectHead> headsInBucket(const ConfigStore &store, std::size_t bucket);

/// @return heads of all objects, ordered by key
std::vector<wire::ObjectHead> allHeads(const ConfigStore &store);

/// @return whether objects of this kind come from the platform: template, team, keys and drain. Objects of other kinds
///     are created by agents, see agentobjects.h.
bool isPlatformKind(std::string_view kind);

/// @return whether agents of @p team replicate the object: the objects of their own team and all templates
bool isNeededBy(std::string_view team, const ObjectKey &key);

/// @return kind and name in a head
ObjectKey keyOf(const wire::ObjectHead &head);

/// @return kind, name and version of an object
wire::ObjectHead headOf(const ConfigObject &object);

} // namespace pimentofold
