#include <pimentofold-balancer/serviceload.h>

#include <algorithm>

namespace pimentofold {

namespace {

std::vector<WorkKindPolicy> policiesOf(const ViewService &service)
{
    std::vector<WorkKindPolicy> policies;
    for (const ViewWorkKind &it : service.workKinds) {
        policies.push_back({it.urgency, it.floorShare, it.ceilingShare});
    }
    return policies;
}

std::vector<TargetEntry> entriesOf(const View &view, const ViewService &service)
{
    std::vector<TargetEntry> entries;
    for (const std::size_t it : service.targets) {
        const ViewTarget &target = view.targets[it];
        entries.push_back({target.id, target.slots, target.state == ViewTarget::State::Serving});
    }
    return entries;
}

} // namespace

std::vector<InstanceKey> servingMembers(const View &view)
{
    std::vector<InstanceKey> members;
    for (const ViewMember &it : view.members) {
        if (it.dataCentre == view.dataCentre && isServing(view, it.key)) {
            members.push_back(it.key);
        }
    }
    return members;
}

void updateLoad(ServiceLoad &load, const View &view, const ViewService &service, const InstanceKey &own, Time now)
{
    const std::vector<WorkKindPolicy> policies = policiesOf(service);
    const std::vector<TargetEntry> entries = entriesOf(view, service);
    const std::vector<InstanceKey> members = servingMembers(view);
    const double shared = 1.0 / static_cast<double>(std::max<std::size_t>(1, members.size()));
    setPolicies(load.main.admission, policies);
    if (service.session) {
        load.main.admission.settings.minLimitShare = shared;
        setTargets(load.main.targets, entries, now);
        return;
    }
    const auto n = static_cast<int>(members.size());
    load.dispatcherCount = dispatcherCount(load.rate * n, load.dispatcherCount, n, static_cast<int>(entries.size()));
    load.dispatchers = makeDispatcherTable(service.id, entries, members, std::max(1, load.dispatcherCount));
    setTargets(load.main.targets, ownedTargets(load.dispatchers, entries, own), now);
    setPolicies(load.direct.admission, policies);
    load.direct.admission.settings.minLimitShare = shared;
    setTargets(load.direct.targets, entries, now);
}

void updateRate(ServiceLoad &load, double seconds)
{
    // Half of the weight is on the last interval, so that a second of flood shows and a single burst doesn't.
    constexpr double weight = 0.5;
    load.rate += weight * (static_cast<double>(load.arrived) / seconds - load.rate);
    load.arrived = 0;
}

std::vector<IngressPolicy> ingressPolicies(const View &view)
{
    std::vector<IngressPolicy> policies;
    for (const ViewService &it : view.services) {
        policies.push_back({it.id, it.teamId, it.urgency, it.floorShare, it.ceilingShare});
    }
    return policies;
}

std::uint64_t requestHash(Id service, std::int64_t flow, std::int64_t request)
{
    const auto u = [](std::int64_t n) { return static_cast<std::uint64_t>(n); };
    return mix(mix(u(service), u(flow)), u(request));
}

} // namespace pimentofold
