#include <pimentofold/configreplication/configstore.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

std::uint64_t hashOf(const ObjectKey &key)
{
    return static_cast<std::uint64_t>(idOf(key.kind, key.name));
}

void toggleDigest(ConfigStore &store, const ConfigObject &object)
{
    const std::uint64_t digest = digestOfHead(headOf(object));
    store.bucketDigests[bucketOf(object.key)] ^= digest;
    store.rootDigest ^= digest;
}

bool isWithinLimits(const ConfigObject &object)
{
    return !object.key.kind.empty() && !object.key.name.empty() && object.version > 0 && object.value.size() <= maxStoredValueBytes
        && object.key.kind.size() + object.key.name.size() + object.changeId.size() <= maxObjectNameBytes;
}

} // namespace

ApplyResult applyObject(ConfigStore &store, ConfigObjectPointer object)
{
    if (!isWithinLimits(*object)) {
        return ApplyResult::Refused;
    }
    ConfigObjectPointer &held = store.objects[object->key];
    if (held && held->version == object->version) {
        return ApplyResult::AlreadyHeld;
    }
    if (!isNewer(store, object->key, object->version)) {
        if (!held) {
            store.objects.erase(object->key);
        }
        return ApplyResult::Older;
    }
    if (held) {
        toggleDigest(store, *held);
    }
    toggleDigest(store, *object);
    held = std::move(object);
    return ApplyResult::Applied;
}

void raiseMinVersion(ConfigStore &store, const ObjectKey &key, std::int64_t version)
{
    std::int64_t &floor = store.minVersions[key];
    floor = std::max(floor, version);
}

ConfigObjectPointer findObject(const ConfigStore &store, const ObjectKey &key)
{
    const auto it = store.objects.find(key);
    return it == store.objects.end() ? nullptr : it->second;
}

std::int64_t versionOf(const ConfigStore &store, const ObjectKey &key)
{
    const auto it = store.objects.find(key);
    return it == store.objects.end() || !it->second ? 0 : it->second->version;
}

bool isNewer(const ConfigStore &store, const ObjectKey &key, std::int64_t version)
{
    if (store.acceptOlder) {
        return version != versionOf(store, key);
    }
    const auto floor = store.minVersions.find(key);
    return version > versionOf(store, key) && (floor == store.minVersions.end() || version >= floor->second);
}

bool meetsMinVersions(const ConfigStore &store, bool includeAgentObjects)
{
    return std::ranges::all_of(store.minVersions, [&](const auto &floor) {
        const bool relevant = includeAgentObjects || isPlatformKind(floor.first.kind);
        return !relevant || versionOf(store, floor.first) >= floor.second;
    });
}

std::uint64_t digestOfHead(const wire::ObjectHead &head)
{
    return mix(hashOf(keyOf(head)), static_cast<std::uint64_t>(head.version));
}

std::size_t bucketOf(const ObjectKey &key)
{
    return hashOf(key) % digestBuckets;
}

std::vector<wire::ObjectHead> headsInBucket(const ConfigStore &store, std::size_t bucket)
{
    std::vector<wire::ObjectHead> heads;
    for (const auto &[key, object] : store.objects) {
        if (bucketOf(key) == bucket) {
            heads.push_back(headOf(*object));
        }
    }
    return heads;
}

std::vector<wire::ObjectHead> allHeads(const ConfigStore &store)
{
    std::vector<wire::ObjectHead> heads;
    heads.reserve(store.objects.size());
    for (const auto &[key, object] : store.objects) {
        heads.push_back(headOf(*object));
    }
    return heads;
}

bool isPlatformKind(std::string_view kind)
{
    return kind == "template" || kind == "team" || kind == "keys" || kind == "drain";
}

bool isNeededBy(std::string_view team, const ObjectKey &key)
{
    if (key.kind == "template") {
        return true;
    }
    if (key.kind == "team" || key.kind == "keys") {
        return key.name == team;
    }
    const bool ofTeam = key.name.size() > team.size() && key.name.starts_with(team) && key.name[team.size()] == '.';
    return ofTeam && (key.kind == "drain" || key.kind == "instances" || key.kind == "entries");
}

ObjectKey keyOf(const wire::ObjectHead &head)
{
    return {head.kind, head.name};
}

wire::ObjectHead headOf(const ConfigObject &object)
{
    wire::ObjectHead head;
    head.kind = object.key.kind;
    head.name = object.key.name;
    head.version = object.version;
    return head;
}

} // namespace pimentofold
