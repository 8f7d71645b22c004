#include <pimentofold/agent/agentobjects.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include <pimentofold/codec.h>
#include <pimentofold/json/jsonsplit.h>
#include <pimentofold/settings.h>

namespace pimentofold {

using nlohmann::json;

namespace {

// Versions are multiples of this plus a number derived from the publishing instance, so that two agents that publish the
// same object at the same time normally use different versions.
constexpr std::int64_t versionPublishers = 1024;

PlatformInstance instanceFromJson(const json &value)
{
    PlatformInstance instance;
    instance.name = value.at("name").get<std::string>();
    instance.entry = value.value("role", "target") == "entry";
    instance.team = value.value("team", "");
    instance.service = value.value("service", "");
    instance.dataCentre = value.value("dataCentre", "");
    instance.address = value.value("address", "");
    instance.leaving = value.value("state", "live") == "leaving";
    instance.slots = value.value("slots", 0);
    return instance;
}

/// @param text one entry of the platform's list
/// @return nothing when the entry can't be used
std::optional<PlatformInstance> parseInstance(std::string_view text)
{
    // A parsed value takes up to 40 times the memory of its text.
    constexpr std::size_t maxEntryBytes = 64 << 10;
    constexpr int maxSlots = 1'000'000;
    if (text.size() > maxEntryBytes) {
        return std::nullopt;
    }
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        PlatformInstance instance = instanceFromJson(value);
        const json slots = value.value("slots", json(0));
        const bool hasValidSlots = slots.is_number_integer() && instance.slots >= 0 && slots <= maxSlots;
        return hasValidSlots && isAddress(instance.address) ? std::optional(std::move(instance)) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

json toJson(const PlatformInstance &instance)
{
    return {{"name", instance.name},
            {"team", instance.team},
            {"service", instance.service},
            {"dataCentre", instance.dataCentre},
            {"address", instance.address},
            {"state", instance.leaving ? "leaving" : "live"},
            {"slots", instance.slots}};
}

Member memberFromJson(const json &value, const std::string &dataCentre)
{
    Member member;
    member.name = value.at("name").get<std::string>();
    member.key = {idOf(member.name), value.at("incarnation").get<std::int64_t>()};
    member.balancerAddress = value.at("balancerAddress").get<std::string>();
    member.dataCentre = dataCentre;
    return member;
}

/// Calls @p use for each element of the JSON arrays in a team's objects of one kind.
/// @param use function of the element and the data centre in the object's name
template<typename Use>
void forEachElement(const ConfigStore &store, const std::string &kind, const std::string &team, Use use)
{
    const std::string prefix = team + ".";
    for (auto it = store.objects.lower_bound({kind, prefix}); it != store.objects.end() && it->first.kind == kind && it->first.name.starts_with(prefix); ++it) {
        for (const json &element : json::parse(it->second->value)) {
            use(element, it->first.name.substr(prefix.size()));
        }
    }
}

} // namespace

ObjectKey instancesKey(const std::string &team, const std::string &dataCentre)
{
    return {"instances", team + "." + dataCentre};
}

ObjectKey entriesKey(const std::string &team, const std::string &dataCentre)
{
    return {"entries", team + "." + dataCentre};
}

std::string instancesValue(const std::string &team, std::vector<PlatformInstance> instances)
{
    std::ranges::sort(instances, {}, &PlatformInstance::name);
    json list = json::array();
    for (const PlatformInstance &it : instances) {
        if (!it.entry && it.team == team) {
            list.push_back(toJson(it));
        }
    }
    return list.dump();
}

std::string entriesValue(std::span<const Member> members)
{
    json list = json::array();
    for (const Member &it : members) {
        const bool isServing = it.state == wire::MemberState::Alive || it.state == wire::MemberState::Suspect;
        if (isServing && !it.balancerAddress.empty()) {
            list.push_back({{"name", it.name}, {"incarnation", it.key.incarnation}, {"balancerAddress", it.balancerAddress}});
        }
    }
    return list.dump();
}

ConfigObjectPointer nextVersion(const ConfigStore &store, const ObjectKey &key, const std::string &value, Id self, WallTime wall)
{
    const ConfigObjectPointer held = findObject(store, key);
    if (held && held->value == value) {
        return nullptr;
    }
    const auto floor = store.minVersions.find(key);
    const std::int64_t last = std::max(versionOf(store, key), floor == store.minVersions.end() ? 0 : floor->second);
    const std::int64_t base = std::max(wall, last / versionPublishers + 1);
    ConfigObject object;
    object.key = key;
    object.version = base * versionPublishers + static_cast<std::int64_t>(static_cast<std::uint64_t>(self) % versionPublishers);
    object.value = value;
    return std::make_shared<const ConfigObject>(std::move(object));
}

std::vector<PlatformInstance> storedInstances(const ConfigStore &store, const std::string &team)
{
    std::vector<PlatformInstance> instances;
    forEachElement(store, "instances", team, [&](const json &value, const std::string &) { instances.push_back(instanceFromJson(value)); });
    return instances;
}

std::vector<Member> remoteEntries(const ConfigStore &store, const std::string &team, const std::string &dataCentre)
{
    std::vector<Member> members;
    forEachElement(store, "entries", team, [&](const json &value, const std::string &ofDataCentre) {
        if (ofDataCentre != dataCentre) {
            members.push_back(memberFromJson(value, ofDataCentre));
        }
    });
    return members;
}

InstanceList parseInstanceList(const std::string &text)
{
    const std::optional<std::vector<JsonMember>> list = splitObject(text);
    const std::optional<std::vector<std::string_view>> entries = splitArray(list ? findMember(*list, "instances").value_or("") : "");
    if (!entries) {
        throw DecodeError("the list of instances has no array 'instances'");
    }
    InstanceList result;
    for (const std::string_view it : *entries) {
        std::optional<PlatformInstance> instance = parseInstance(it);
        if (instance) {
            result.instances.push_back(std::move(*instance));
        } else {
            ++result.unreadable;
        }
    }
    return result;
}

} // namespace pimentofold
