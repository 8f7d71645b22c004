#include <pimentofoldctl/convergence.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

const json &memberOrNull(const json &object, const char *name)
{
    static const json none;
    const auto it = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && it != object.end() ? *it : none;
}

std::string stringOrEmpty(const json &object, const char *name)
{
    const json &value = memberOrNull(object, name);
    return value.is_string() ? value.get<std::string>() : std::string();
}

std::int64_t integerOrZero(const json &object, const char *name)
{
    const json &value = memberOrNull(object, name);
    return value.is_number_integer() ? value.get<std::int64_t>() : 0;
}

const json &arrayOrEmpty(const json &object, const char *name)
{
    static const json none = json::array();
    const json &value = memberOrNull(object, name);
    return value.is_array() ? value : none;
}

ObjectKey keyOf(const json &object)
{
    return {stringOrEmpty(object, "kind"), stringOrEmpty(object, "name")};
}

std::vector<std::string> strings(const json &values)
{
    std::vector<std::string> result;
    for (const json &it : values) {
        if (it.is_string()) {
            result.push_back(it.get<std::string>());
        }
    }
    return result;
}

std::string reasonFor(const DataCentreStatus *status, WallTime now)
{
    if (status == nullptr) {
        return "has written no status";
    }
    if (!status->platformReachable) {
        return "cannot reach the platform";
    }
    return "last status " + std::to_string(std::max<WallTime>(0, now - status->writtenAt)) + " ms ago";
}

} // namespace

DataCentreStatus parseStatus(const PlatformObject &object)
{
    DataCentreStatus status;
    status.name = object.key.name;
    status.version = object.version;
    status.writtenAt = integerOrZero(object.value, "writtenAt");
    const json &reachable = memberOrNull(object.value, "platformReachable");
    status.platformReachable = reachable.is_boolean() && reachable.get<bool>();
    status.refused = integerOrZero(object.value, "refused");
    for (const json &it : arrayOrEmpty(object.value, "instances")) {
        status.instances.push_back({stringOrEmpty(it, "node"), stringOrEmpty(it, "state"), integerOrZero(it, "viewGeneration")});
    }
    for (const json &it : arrayOrEmpty(object.value, "inForce")) {
        status.inForce[keyOf(it)] = integerOrZero(it, "version");
    }
    for (const json &it : arrayOrEmpty(object.value, "lagging")) {
        status.lagging.push_back({keyOf(it), strings(arrayOrEmpty(it, "nodes"))});
    }
    for (const json &it : arrayOrEmpty(object.value, "targets")) {
        status.targets.push_back({stringOrEmpty(it, "service"), stringOrEmpty(it, "instance"), stringOrEmpty(it, "state"), integerOrZero(it, "inUse")});
    }
    return status;
}

std::set<std::string> statusNames(const TeamSpec &team)
{
    std::set<std::string> names;
    for (const ServiceSpec &service : team.services) {
        for (const std::string &it : service.dataCentres) {
            names.insert(it + "." + team.name);
        }
    }
    return names;
}

void recordStatus(Convergence &convergence, const PlatformObject &object)
{
    if (object.key.kind != "status") {
        return;
    }
    DataCentreStatus &newest = convergence.statuses[object.key.name];
    if (object.version > newest.version) {
        newest = parseStatus(object);
    }
}

std::vector<LaggingVersion> findLaggingVersions(const Convergence &convergence, WallTime now)
{
    std::vector<LaggingVersion> result;
    for (const Expectation &expectation : convergence.expectations) {
        for (const std::string &name : expectation.statusNames) {
            const auto found = convergence.statuses.find(name);
            const DataCentreStatus *status = found == convergence.statuses.end() ? nullptr : &found->second;
            LaggingVersion lagging{name, expectation.key, expectation.version, 0, {}, reasonFor(status, now)};
            if (status != nullptr) {
                const auto version = status->inForce.find(expectation.key);
                lagging.inForce = version == status->inForce.end() ? 0 : version->second;
                for (const LaggingObject &it : status->lagging) {
                    if (it.key == expectation.key) {
                        lagging.nodes = it.nodes;
                    }
                }
            }
            if (lagging.inForce < expectation.version) {
                result.push_back(std::move(lagging));
            }
        }
    }
    return result;
}

std::string toString(const LaggingVersion &lagging)
{
    std::string line = lagging.statusName + ": " + toString(lagging.key) + " version " + std::to_string(lagging.expectedVersion) + " is not in force (";
    line += lagging.inForce == 0 ? "no version reported" : "version " + std::to_string(lagging.inForce) + " is";
    line += "; " + lagging.reason + ")";
    for (std::size_t i = 0; i < lagging.nodes.size(); ++i) {
        line += (i == 0 ? "; lagging nodes: " : ", ") + lagging.nodes[i];
    }
    return line;
}

} // namespace pimentofold::ctl
