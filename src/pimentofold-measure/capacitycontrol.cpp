#include <pimentofold-measure/capacity.h>

#include <memory>
#include <string>
#include <utility>

#include <pimentofold/configreplication/configstore.h>
#include <pimentofold/membership/membership.h>
#include <pimentofold/nodeview.h>
#include <pimentofold/view.h>

namespace pimentofold {

namespace {

constexpr const char *team = "foundation";
constexpr const char *dataCentre = "dc1";
/// Targets behind one address at the target size: 76,000 targets behind 14,000 addresses.
constexpr int targetsPerService = 5;
constexpr std::size_t objectBytes = 1000;

/// Heap memory of configuration objects of 1,000 bytes.
double objectMemory(double objects)
{
    const std::size_t before = heapBytes();
    ConfigStore store;
    for (int i = 0; i < static_cast<int>(objects); ++i) {
        auto object = std::make_shared<ConfigObject>();
        object->key = {"team", "team" + std::to_string(i)};
        object->version = 1;
        object->value = std::string(objectBytes, 'v');
        object->changeId = "change" + std::to_string(i);
        applyObject(store, std::move(object));
    }
    return static_cast<double>(heapBytes() - before);
}

Member memberNumber(int i)
{
    Member member;
    member.name = "dc1-e" + std::to_string(i);
    member.key = {idOf(member.name), 1};
    member.address = "127.1." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":7010";
    member.balancerAddress = "127.1." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":7000";
    member.dataCentre = dataCentre;
    return member;
}

/// Heap memory of the members that one agent knows.
double memberMemory(double members)
{
    const std::size_t before = heapBytes();
    MembershipState state;
    for (int i = 0; i < static_cast<int>(members); ++i) {
        const Member member = memberNumber(i);
        state.members[member.key.instance] = member;
    }
    return static_cast<double>(heapBytes() - before);
}

TeamServices servicesFor(int targets)
{
    TeamServices result;
    result.spec.name = team;
    const int n = std::max(1, targets / targetsPerService);
    for (int i = 0; i < n; ++i) {
        ServiceSpec service;
        service.name = "service" + std::to_string(i);
        service.port = 1024 + i;
        service.dataCentres = {dataCentre};
        service.workKinds.push_back({"work", 0, 0.5, 1});
        result.spec.services.push_back(std::move(service));
    }
    return result;
}

NodeViewInput viewInput(int targets, const ConfigStore &store, const TeamServices &services)
{
    NodeViewInput input;
    input.team = team;
    input.dataCentre = dataCentre;
    input.store = &store;
    input.services = &services;
    for (int i = 0; i < targets; ++i) {
        PlatformInstance instance;
        instance.name = "target" + std::to_string(i);
        instance.team = team;
        instance.service = services.spec.services[static_cast<std::size_t>(i) % services.spec.services.size()].name;
        instance.dataCentre = dataCentre;
        instance.address = "127.2." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":6000";
        instance.slots = 2;
        input.instances.push_back(std::move(instance));
    }
    constexpr int membersOfDataCentre = 390;
    for (int i = 0; i < membersOfDataCentre; ++i) {
        input.members.push_back(memberNumber(i));
    }
    return input;
}

/// Processor time of building a view in the agent.
double buildViewTime(double targets)
{
    const ConfigStore store;
    const TeamServices services = servicesFor(static_cast<int>(targets));
    const NodeViewInput input = viewInput(static_cast<int>(targets), store, services);
    return referenceUnits([&input] { buildNodeView(input, wire::NodeView()); });
}

/// Processor time of taking over a view in the balancer.
double parseViewTime(double targets)
{
    const ConfigStore store;
    const TeamServices services = servicesFor(static_cast<int>(targets));
    const wire::NodeView view = buildNodeView(viewInput(static_cast<int>(targets), store, services), wire::NodeView());
    return referenceUnits([&view] { parseView(view); });
}

/// Heap memory of a view in the balancer.
double viewMemory(double targets)
{
    const ConfigStore store;
    const TeamServices services = servicesFor(static_cast<int>(targets));
    const wire::NodeView from = buildNodeView(viewInput(static_cast<int>(targets), store, services), wire::NodeView());
    const std::size_t before = heapBytes();
    const View view = parseView(from);
    return static_cast<double>(heapBytes() - before);
}

} // namespace

std::vector<Slope> controlStateSlopes(CapacityScale scale)
{
    const std::vector<double> targets = capacitySizes(scale, {250, 500, 1000, 2000, 4000});
    return {
        measureSlope("object_memory", "objects of 1,000 bytes", "bytes", capacitySizes(scale, {500, 1000, 2000, 4000}), objectMemory),
        measureSlope("member_memory", "members", "bytes", capacitySizes(scale, {100, 200, 400, 800}), memberMemory),
        measureSlope("view_build_cpu", "targets", "reference units", targets, buildViewTime),
        measureSlope("view_parse_cpu", "targets", "reference units", targets, parseViewTime),
        measureSlope("view_memory", "targets", "bytes", targets, viewMemory),
    };
}

} // namespace pimentofold
