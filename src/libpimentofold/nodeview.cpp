#include <pimentofold/nodeview.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace pimentofold {

namespace {

nlohmann::json parseValue(const ConfigObject &object)
{
    return parseSettings(object.value, object.key.kind + "/" + object.key.name).value;
}

bool isDrained(const ConfigStore &store, const std::string &team, const std::string &service, const std::string &instance)
{
    const ConfigObjectPointer drain = findObject(store, {"drain", toString(DrainName{team, service, instance})});
    return drain && !drain->deleted;
}

wire::ServiceView serviceView(const std::string &team, const ServiceSpec &service)
{
    wire::ServiceView view;
    view.id = idOf(team, service.name);
    view.teamName = team;
    view.serviceName = service.name;
    view.port = service.port;
    view.session = service.session;
    view.urgency = service.urgency;
    view.floorShare = service.floorShare;
    view.ceilingShare = service.ceilingShare;
    view.defaultDeadlineMs = service.defaultDeadlineMs;
    view.teamId = idOf(team);
    for (const WorkKindSpec &it : service.workKinds) {
        wire::WorkKindView kind;
        kind.name = it.name;
        kind.urgency = it.urgency;
        kind.floorShare = it.floorShare;
        kind.ceilingShare = it.ceilingShare;
        view.workKinds.push_back(std::move(kind));
    }
    return view;
}

wire::TargetView targetView(const NodeViewInput &input, const ServiceSpec &service, const TargetSpec &target, bool leaving)
{
    wire::TargetView view;
    view.id = idOf(input.team, service.name, target.instance);
    view.serviceId = idOf(input.team, service.name);
    view.instance = target.instance;
    view.address = target.address;
    view.slots = target.slots > 0 ? target.slots : service.slots;
    const bool drained = leaving || isDrained(*input.store, input.team, service.name, target.instance);
    view.state = drained ? wire::TargetState::Leaving : wire::TargetState::Serving;
    return view;
}

/// The targets of the instance list by name of the service, so that building a view takes a single pass over the list.
using TargetsByService = std::unordered_map<std::string_view, std::vector<const PlatformInstance *>>;

TargetsByService groupTargets(const NodeViewInput &input)
{
    TargetsByService groups;
    for (const PlatformInstance &it : input.instances) {
        if (!it.entry && it.team == input.team) {
            groups[it.service].push_back(&it);
        }
    }
    return groups;
}

void addTargets(const NodeViewInput &input, const TargetsByService &listed, const ServiceSpec &service, std::map<Id, wire::TargetView> &targets)
{
    for (const TargetSpec &it : service.targets) {
        const wire::TargetView view = targetView(input, service, it, false);
        targets[view.id] = view;
    }
    const auto group = listed.find(service.name);
    if (group == listed.end()) {
        return;
    }
    for (const PlatformInstance *it : group->second) {
        if (std::ranges::find(service.dataCentres, it->dataCentre) != service.dataCentres.end()) {
            const TargetSpec target{it->name, it->dataCentre, it->address, it->slots};
            const wire::TargetView view = targetView(input, service, target, it->leaving);
            targets[view.id] = view;
        }
    }
}

/// Adds the targets of the previous view that are missing from the new one and that the balancer still reaches, in state
/// Leaving.
void keepReachableTargets(const NodeViewInput &input, const wire::NodeView &previous, wire::NodeView &view, std::map<Id, wire::TargetView> &targets)
{
    for (const wire::TargetView &it : previous.targets) {
        const bool served = std::ranges::any_of(view.services, [&](const wire::ServiceView &service) { return service.id == it.serviceId; });
        const auto observation = input.observations.find(it.id);
        const bool reached = observation != input.observations.end() && observation->second.reachable;
        if (served && reached && targets.try_emplace(it.id, it).second) {
            targets[it.id].state = wire::TargetState::Leaving;
        }
    }
}

void addMembers(const NodeViewInput &input, wire::NodeView &view)
{
    for (const Member &it : input.members) {
        // An agent without a balancer's address has joined the membership without a balancer.
        if (it.state == wire::MemberState::Dead || it.balancerAddress.empty()) {
            continue;
        }
        wire::MemberView member;
        member.key.instance = it.key.instance;
        member.key.incarnation = it.key.incarnation;
        member.state = it.state;
        member.address = it.balancerAddress;
        member.dataCentre = it.dataCentre;
        view.members.push_back(std::move(member));
    }
    std::ranges::sort(view.members, {}, [](const wire::MemberView &it) { return std::pair(it.key.instance, it.key.incarnation); });
}

void addKeys(const NodeViewInput &input, wire::NodeView &view)
{
    const ConfigObjectPointer object = findObject(*input.store, {"keys", input.team});
    if (!object || object->deleted) {
        return;
    }
    const TeamKeys keys = parseKeys(input.team, parseValue(*object));
    for (const KeyEpoch &it : keysInUse(keys, input.wall)) {
        wire::KeyView key;
        key.teamId = idOf(input.team);
        key.epoch = it.epoch;
        key.secret.assign(it.secret.begin(), it.secret.end());
        key.validUntil = it.validUntil;
        view.keys.push_back(std::move(key));
    }
}

/// @return heads of the objects in the store; for the team and its template with the versions that the services were
///     expanded from, which may be older than those in the store
std::vector<wire::ObjectHead> headsOfView(const NodeViewInput &input)
{
    std::vector<wire::ObjectHead> heads = allHeads(*input.store);
    for (wire::ObjectHead &it : heads) {
        for (const wire::ObjectHead &used : input.services->heads) {
            if (keyOf(it) == keyOf(used)) {
                it.version = used.version;
            }
        }
    }
    return heads;
}

} // namespace

std::optional<TeamServices> expandFromStore(const ConfigStore &store, const std::string &team)
{
    const ConfigObjectPointer teamObject = findObject(store, {"team", team});
    if (!teamObject) {
        return std::nullopt;
    }
    if (teamObject->deleted) {
        return TeamServices{{team, {}}, {headOf(*teamObject)}};
    }
    const Team parsed = parseTeam(team, parseValue(*teamObject));
    const ConfigObjectPointer templateObject = findObject(store, {"template", parsed.templateName});
    if (!templateObject || templateObject->deleted) {
        return std::nullopt;
    }
    const Template from = parseTemplate(parsed.templateName, parseValue(*templateObject));
    return TeamServices{expandTeam(from, parsed), {headOf(*teamObject), headOf(*templateObject)}};
}

wire::NodeView buildNodeView(const NodeViewInput &input, const wire::NodeView &previous)
{
    wire::NodeView view;
    view.generation = previous.generation;
    view.dataCentre = input.dataCentre;
    std::map<Id, wire::TargetView> targets;
    const TargetsByService listed = groupTargets(input);
    for (const ServiceSpec &it : input.services->spec.services) {
        view.services.push_back(serviceView(input.team, it));
        addTargets(input, listed, it, targets);
    }
    keepReachableTargets(input, previous, view, targets);
    for (auto &[id, target] : targets) {
        view.targets.push_back(std::move(target));
    }
    addMembers(input, view);
    addKeys(input, view);
    view.__set_objects(headsOfView(input));
    return view;
}

std::uint64_t digestOfHeads(const std::vector<wire::ObjectHead> &heads)
{
    std::uint64_t digest = 0;
    for (const wire::ObjectHead &it : heads) {
        digest ^= digestOfHead(it);
    }
    return digest;
}

} // namespace pimentofold
