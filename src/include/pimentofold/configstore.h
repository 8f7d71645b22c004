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

/// Versioned configuration objects of one agent. The version of an object only grows, and a deletion is a version
/// too (section 7 of the design).
namespace pimentofold {

/// Largest value of an object, in bytes; the platform's limit.
constexpr std::size_t maxStoredValueBytes = 1'000'000;
/// Objects whose kind, name and change id together are longer than this are refused, so that their heads and
/// ranges always fit in a datagram.
constexpr std::size_t maxObjectNameBytes = 250;
/// Digests are kept for this many groups of objects, so that two agents find a difference with few messages.
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

/// One version of an object. It never changes once it is made, so that it can be shared.
struct ConfigObject {
    ObjectKey key;
    std::int64_t version = 0;
    bool deleted = false;
    std::string value; ///< JSON; may hold secrets, so it is never logged
    std::string changeId;
};

using ConfigObjectPointer = std::shared_ptr<const ConfigObject>;

/// The objects that one agent holds, with the tombstones of deleted ones.
struct ConfigStore {
    std::map<ObjectKey, ConfigObjectPointer> objects;
    /// Versions that this instance's balancer has had in force, also before a restart of the agent. Objects below
    /// them are refused.
    std::map<ObjectKey, std::int64_t> minVersions;
    std::array<std::uint64_t, digestBuckets> bucketDigests{}; ///< digests of the heads in each bucket
    std::uint64_t rootDigest = 0; ///< digest of all heads; equal roots mean equal versions of the same objects
    bool acceptOlder = false; ///< deliberate defect for the check of the invariant ConfigNeverReverts
};

enum class ApplyResult {
    Applied,
    AlreadyHeld, ///< this version is held already
    Older, ///< a newer version is held or was in force
    Refused, ///< the object is outside the limits above
};

/// Takes over an object if it is newer than what is held.
ApplyResult applyObject(ConfigStore &store, ConfigObjectPointer object);

/// Sets the least version of an object that may be taken over; lower floors are ignored.
void raiseMinVersion(ConfigStore &store, const ObjectKey &key, std::int64_t version);

/// @return the object, also when it is a tombstone; null when it is unknown
ConfigObjectPointer findObject(const ConfigStore &store, const ObjectKey &key);

/// @return the version that is held, 0 when the object is unknown
std::int64_t versionOf(const ConfigStore &store, const ObjectKey &key);

/// @return whether a version would be taken over
bool isNewer(const ConfigStore &store, const ObjectKey &key, std::int64_t version);

/// @return whether no object is held below its floor, so that a view made from the store doesn't revert anything
/// @param agentMade asks for the objects that agents make themselves too
bool meetsMinVersions(const ConfigStore &store, bool includeAgentObjects);

/// @return digest of one head; ConfigStore::root is the exclusive or of those of all objects
std::uint64_t digestOfHead(const wire::ObjectHead &head);

/// @return the bucket of an object, below digestBuckets
std::size_t bucketOf(const ObjectKey &key);

/// @return heads of the objects in a bucket, by key
std::vector<wire::ObjectHead> headsInBucket(const ConfigStore &store, std::size_t bucket);

/// @return heads of all objects, by key
std::vector<wire::ObjectHead> allHeads(const ConfigStore &store);

/// @return whether objects of this kind come from the platform: template, team, keys or drain. Agents make the others
///     themselves, see agentobjects.h.
bool isPlatformKind(std::string_view kind);

/// @return whether an agent of @p team needs the object: its own team's objects and all templates
bool isNeededBy(std::string_view team, const ObjectKey &key);

/// @return the key in a head
ObjectKey keyOf(const wire::ObjectHead &head);

/// @return the head of an object
wire::ObjectHead headOf(const ConfigObject &object);

} // namespace pimentofold
