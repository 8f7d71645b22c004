#include <pimentofold-balancer/serviceload.h>

#include <algorithm>

namespace pimentofold {

namespace {

std::vector<WorkKindPolicy> workKindPolicies(const ViewService &service)
{
    std::vector<WorkKindPolicy> policies;
    for (const ViewWorkKind &it : service.workKinds) {
        policies.push_back({it.urgency, it.floorShare, it.ceilingShare});
    }
    return policies;
}

std::vector<TargetEntry> targetEntries(const View &view, const ViewService &service)
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

void updateLoad(ServiceLoad &load, const View &view, const ViewService &service, const InstanceKey &self, Time now)
{
    const std::vector<WorkKindPolicy> policies = workKindPolicies(service);
    const std::vector<TargetEntry> entries = targetEntries(view, service);
    const std::vector<InstanceKey> members = servingMembers(view);
    const double equalShare = 1.0 / static_cast<double>(std::max<std::size_t>(1, members.size()));
    setPolicies(load.primary.admission, policies);
    if (service.session) {
        load.primary.admission.settings.limitLeastShare = equalShare;
        setTargets(load.primary.targets, entries, now);
        return;
    }
    const auto memberCount = static_cast<int>(members.size());
    load.dispatcherCount = dispatcherCount(load.requestsPerSecond * memberCount, load.dispatcherCount, memberCount, static_cast<int>(entries.size()));
    load.dispatchers = makeDispatchers(service.id, entries, members, std::max(1, load.dispatcherCount));
    setTargets(load.primary.targets, ownedTargets(load.dispatchers, entries, self), now);
    setPolicies(load.bypass.admission, policies);
    load.bypass.admission.settings.limitLeastShare = equalShare;
    setTargets(load.bypass.targets, entries, now);
}

void updateRate(ServiceLoad &load, double seconds)
{
    // With half of the weight on the last interval, an overload of one second raises the rate noticeably while a single
    // short burst does not.
    constexpr double weight = 0.5;
    load.requestsPerSecond += weight * (static_cast<double>(load.requestsSinceUpdate) / seconds - load.requestsPerSecond);
    load.requestsSinceUpdate = 0;
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
    const auto toUnsigned = [](std::int64_t n) { return static_cast<std::uint64_t>(n); };
    return mix(mix(toUnsigned(service), toUnsigned(flow)), toUnsigned(request));
}

} // namespace pimentofold
