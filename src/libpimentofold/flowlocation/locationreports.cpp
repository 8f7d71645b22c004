#include <libpimentofold/flowlocation/locationreports.h>

#include <libpimentofold/forwarding/openingpackets.h>

namespace pimentofold {

std::vector<Id> otherHolders(const EdgeForwarder &forwarder, const FlowKey &key, std::size_t count)
{
    std::vector<Id> ids;
    ids.reserve(forwarder.members.size());
    for (const InstanceKey &it : forwarder.members) {
        ids.push_back(it.instance);
    }
    return locationHolders(ids, forwarder.self.instance, key, count);
}

void reportLocation(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, std::size_t count, Time now, ForwardOutput &out)
{
    flow.locationReported = true;
    const FlowLocation location{flow.target, flow.sequence};
    const LocationMembers members{forwarder.members, forwarder.self.instance, forwarder.leaving};
    storeLocation(forwarder.locations, key, location, replicaHolders(members, key), now);
    for (const Id it : otherHolders(forwarder, key, count)) {
        out.locationMessages.push_back({LocationMessageKind::Report, it, key, location, 0});
    }
}

void reportFlowEnd(EdgeForwarder &forwarder, const FlowKey &key, EdgeFlow &flow, ForwardOutput &out)
{
    flow.locationReported = false;
    forgetLocation(forwarder.locations, key, flow.sequence);
    for (const Id it : otherHolders(forwarder, key, locationQuestionCount)) {
        out.locationMessages.push_back({LocationMessageKind::Report, it, key, {0, flow.sequence}, 0});
    }
}

void replicateLocations(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    if (now < forwarder.locations.replicationDueAt) {
        return;
    }
    const LocationMembers members{forwarder.members, forwarder.self.instance, forwarder.leaving};
    for (const LocationReport &it : nextReplicas(forwarder.locations, members, now)) {
        out.locationMessages.push_back({LocationMessageKind::Report, it.to, it.flow, it.location, it.age});
    }
}

void handleLocate(EdgeForwarder &forwarder, Id sender, const FlowKey &flow, const FlowLocation &named, Time now, ForwardOutput &out)
{
    FlowLocation location = findLocation(forwarder.locations, flow, named.sequence, now);
    const auto known = forwarder.flows.find(flow);
    const bool isOpen = known != forwarder.flows.end() && known->second.stage == FlowStage::Open;
    if (isOpen && mayBeSameFlow(known->second.sequence, named.sequence)) {
        location = {known->second.target, known->second.sequence};
    }
    const bool opensHere = known != forwarder.flows.end() && known->second.stage == FlowStage::Opening;
    if (opensHere && mayBeSameFlow(known->second.sequence, named.sequence)) {
        withdrawOffers(forwarder, flow, now, out);
    }
    if (location.target == 0) {
        recordNamedLocation(forwarder.locations, flow, named, now);
    }
    out.locationMessages.push_back({LocationMessageKind::Answer, sender, flow, location, 0});
}

void leaveForwarding(EdgeForwarder &forwarder, Time now)
{
    forwarder.leaving = true;
    scheduleReplication(forwarder.locations, now);
}

} // namespace pimentofold
