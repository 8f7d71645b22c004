#include <pimentofoldctl/convergence.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

const json &member(const json &object, const char *name)
{
    static const json none;
    const auto it = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && it != object.end() ? *it : none;
}

std::string text(const json &object, const char *name)
{
    const json &value = member(object, name);
    return value.is_string() ? value.get<std::string>() : std::string();
}

std::int64_t number(const json &object, const char *name)
{
    const json &value = member(object, name);
    return value.is_number_integer() ? value.get<std::int64_t>() : 0;
}

const json &list(const json &object, const char *name)
{
    static const json none = json::array();
    const json &value = member(object, name);
    return value.is_array() ? value : none;
}

ObjectKey keyOf(const json &object)
{
    return {text(object, "kind"), text(object, "name")};
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
        return "doesn't reach the platform";
    }
    return "last status " + std::to_string(std::max<WallTime>(0, now - status->writtenAt)) + " ms ago";
}

} // namespace

DataCentreStatus parseStatus(const PlatformObject &object)
{
    DataCentreStatus status;
    status.name = object.key.name;
    status.version = object.version;
    status.writtenAt = number(object.value, "writtenAt");
    const json &reachable = member(object.value, "platformReachable");
    status.platformReachable = reachable.is_boolean() && reachable.get<bool>();
    status.refused = number(object.value, "refused");
    for (const json &it : list(object.value, "instances")) {
        status.instances.push_back({text(it, "node"), text(it, "state"), number(it, "viewGeneration")});
    }
    for (const json &it : list(object.value, "inForce")) {
        status.inForce[keyOf(it)] = number(it, "version");
    }
    for (const json &it : list(object.value, "lagging")) {
        status.lagging.push_back({keyOf(it), strings(list(it, "nodes"))});
    }
    for (const json &it : list(object.value, "targets")) {
        status.targets.push_back({text(it, "service"), text(it, "instance"), text(it, "state"), number(it, "inUse")});
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

void observeStatus(Convergence &convergence, const PlatformObject &object)
{
    if (object.key.kind != "status") {
        return;
    }
    DataCentreStatus &known = convergence.statuses[object.key.name];
    if (object.version > known.version) {
        known = parseStatus(object);
    }
}

std::vector<Laggard> laggards(const Convergence &convergence, WallTime now)
{
    std::vector<Laggard> result;
    for (const Expectation &wanted : convergence.expectations) {
        for (const std::string &name : wanted.statusNames) {
            const auto found = convergence.statuses.find(name);
            const DataCentreStatus *status = found == convergence.statuses.end() ? nullptr : &found->second;
            Laggard laggard{name, wanted.key, wanted.version, 0, {}, reasonFor(status, now)};
            if (status != nullptr) {
                const auto version = status->inForce.find(wanted.key);
                laggard.inForce = version == status->inForce.end() ? 0 : version->second;
                for (const LaggingObject &it : status->lagging) {
                    if (it.key == wanted.key) {
                        laggard.nodes = it.nodes;
                    }
                }
            }
            if (laggard.inForce < wanted.version) {
                result.push_back(std::move(laggard));
            }
        }
    }
    return result;
}

std::string toString(const Laggard &laggard)
{
    std::string line = laggard.statusName + ": " + toString(laggard.key) + " version " + std::to_string(laggard.wanted) + " is not in force (";
    line += laggard.inForce == 0 ? "no version reported" : "version " + std::to_string(laggard.inForce) + " is";
    line += "; " + laggard.reason + ")";
    for (std::size_t i = 0; i < laggard.nodes.size(); ++i) {
        line += (i == 0 ? "; lagging nodes: " : ", ") + laggard.nodes[i];
    }
    return line;
}

} // namespace pimentofold::ctl
