#include <libstandin/platformstore.h>

#include <algorithm>

namespace pimentofold::standin {

namespace {

bool mayWrite(const StoredObject &current, std::int64_t expected)
{
    // A deleted object may be created again; its version continues, so that versions never step back.
    return current.version == expected || (current.deleted && expected == 0);
}

} // namespace

WriteResult writeObject(PlatformStore &store, StoredObject change, std::int64_t expected)
{
    if (change.value.size() > maxValueBytes) {
        return {WriteStatus::TooLarge, {}};
    }
    const ObjectName name{change.kind, change.name};
    StoredObject current = readObject(store, name, store.revision);
    if (!mayWrite(current, expected) || (change.deleted && (current.version == 0 || current.deleted))) {
        return {WriteStatus::Conflict, std::move(current)};
    }
    change.version = current.version + 1;
    change.revision = ++store.revision;
    store.kindRevisions[change.kind] = change.revision;
    auto &versions = store.objects[name];
    versions.push_front(change);
    if (versions.size() > historyLength) {
        versions.pop_back();
    }
    return {WriteStatus::Written, std::move(change)};
}

std::int64_t readRevision(const PlatformStore &store, Random &random)
{
    if (!chance(random, store.faults.staleReads)) {
        return store.revision;
    }
    const auto age = 1 + static_cast<std::int64_t>(below(random, maxStaleRevisions));
    return std::max<std::int64_t>(0, store.revision - age);
}

StoredObject readObject(const PlatformStore &store, const ObjectName &name, std::int64_t revision)
{
    const auto found = store.objects.find(name);
    if (found != store.objects.end()) {
        for (const StoredObject &it : found->second) {
            if (it.revision <= revision) {
                return it;
            }
        }
    }
    StoredObject none;
    none.kind = name.first;
    none.name = name.second;
    return none;
}

std::vector<StoredObject> objectsSince(const PlatformStore &store, std::int64_t since, std::int64_t revision, const KindFilter &kinds)
{
    std::vector<StoredObject> result;
    for (const auto &[name, versions] : store.objects) {
        if (versions.front().revision <= since || (!kinds.empty() && !kinds.contains(name.first))) {
            continue;
        }
        StoredObject it = readObject(store, name, revision);
        if (it.revision > since) {
            result.push_back(std::move(it));
        }
    }
    std::sort(result.begin(), result.end(), [](const StoredObject &a, const StoredObject &b) { return a.revision < b.revision; });
    return result;
}

bool hasChanged(const PlatformStore &store, std::int64_t since, const KindFilter &kinds)
{
    if (kinds.empty()) {
        return store.revision > since;
    }
    return std::ranges::any_of(kinds, [&](const std::string &kind) {
        const auto it = store.kindRevisions.find(kind);
        return it != store.kindRevisions.end() && it->second > since;
    });
}

void changeInstance(PlatformStore &store, const std::string &name, InstanceChange change)
{
    auto &changes = store.instances[name];
    changes.push_front(std::move(change));
    // Everything before the newest change that is visible even with the present lag can go.
    const Time visible = changes.front().at - store.faults.listLag;
    const auto newest = std::find_if(changes.begin(), changes.end(), [visible](const InstanceChange &it) { return it.at <= visible; });
    if (newest != changes.end()) {
        changes.erase(newest + 1, changes.end());
    }
}

std::vector<std::pair<std::string, std::string>> listInstances(const PlatformStore &store, Time now)
{
    std::vector<std::pair<std::string, std::string>> result;
    const Time visible = now - store.faults.listLag;
    for (const auto &[name, changes] : store.instances) {
        const auto it = std::find_if(changes.begin(), changes.end(), [visible](const InstanceChange &change) { return change.at <= visible; });
        if (it != changes.end() && it->present) {
            result.emplace_back(name, it->value);
        }
    }
    return result;
}

} // namespace pimentofold::standin
