#include <pimentofold/statusobject.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

using nlohmann::json;

namespace {

std::string_view stateName(wire::TargetState::type state)
{
    switch (state) {
    case wire::TargetState::Serving:
        return "serving";
    case wire::TargetState::Leaving:
        return "leaving";
    case wire::TargetState::Down:
        return "down";
    }
    return "unknown";
}

/// @return whether an object counts as lagging while this member doesn't have it in force
bool isExpectedInForce(const Member &member)
{
    return member.state == wire::MemberState::Alive || member.state == wire::MemberState::Suspect;
}

/// @return whether the reports show that the member has this version of the object, or a newer one, in force
bool hasObjectInForce(const StatusReports &reports, const Member &member, const ConfigStore &store, const ConfigObject &object)
{
    const auto found = reports.instances.find(member.key.instance);
    if (found == reports.instances.end() || found->second.generation == 0) {
        return false;
    }
    const InstanceReport &instance = found->second;
    if (instance.rootDigest == store.rootDigest) {
        return true;
    }
    const auto version = instance.versions.find(object.key);
    return version != instance.versions.end() && version->second >= object.version;
}

json instancesValue(const StatusReports &reports, const std::vector<Member> &members)
{
    json list = json::array();
    for (const Member &it : members) {
        const auto found = reports.instances.find(it.key.instance);
        list.push_back({{"node", it.name}, {"state", name(it.state)}, {"viewGeneration", found == reports.instances.end() ? 0 : found->second.generation}});
    }
    return list;
}

json targetsValue(const StatusInput &input)
{
    json list = json::array();
    if (input.view == nullptr) {
        return list;
    }
    std::map<Id, std::string> services;
    for (const wire::ServiceView &it : input.view->services) {
        services[it.id] = it.serviceName;
    }
    for (const wire::TargetView &it : input.view->targets) {
        const auto found = input.observations.find(it.id);
        const bool observed = found != input.observations.end();
        const bool down = observed && !found->second.reachable;
        const bool leaving = it.state == wire::TargetState::Leaving || (observed && found->second.draining);
        const wire::TargetState::type state = down ? wire::TargetState::Down : leaving ? wire::TargetState::Leaving : wire::TargetState::Serving;
        list.push_back(
            {{"service", services[it.serviceId]}, {"instance", it.instance}, {"state", stateName(state)}, {"inUse", observed ? found->second.inUse : 0}});
    }
    return list;
}

/// @return the value of the status object without the fields that change with the load
json withoutLoad(json value)
{
    if (!value.is_object()) {
        return value;
    }
    value.erase("refused");
    if (value.contains("targets")) {
        for (json &it : value["targets"]) {
            it.erase("inUse");
        }
    }
    return value;
}

} // namespace

std::string_view name(wire::MemberState::type state)
{
    switch (state) {
    case wire::MemberState::Alive:
        return "alive";
    case wire::MemberState::Suspect:
        return "suspect";
    case wire::MemberState::Leaving:
        return "leaving";
    case wire::MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

void handleInForceReport(StatusReports &reports, const wire::PeerMessage &message)
{
    if (message.kind != wire::PeerKind::InForce) {
        return;
    }
    InstanceReport &instance = reports.instances[message.sender.instance];
    instance.generation = message.report.generation;
    instance.rootDigest = static_cast<std::uint64_t>(message.report.rootDigest);
    instance.refused = message.report.refused;
    for (const wire::ObjectHead &it : message.heads) {
        std::int64_t &version = instance.versions[keyOf(it)];
        version = std::max(version, it.version);
    }
}

void eraseDepartedInstances(StatusReports &reports, const std::vector<Member> &members)
{
    std::erase_if(reports.instances,
                  [&](const auto &it) { return std::ranges::none_of(members, [&](const Member &member) { return member.key.instance == it.first; }); });
}

json statusValue(const StatusReports &reports, const StatusInput &input)
{
    json inForce = json::array();
    json lagging = json::array();
    for (const auto &[key, object] : input.store->objects) {
        if (!isPlatformKind(key.kind)) {
            continue;
        }
        json nodes = json::array();
        for (const Member &it : input.members) {
            if (isExpectedInForce(it) && !hasObjectInForce(reports, it, *input.store, *object)) {
                nodes.push_back(it.name);
            }
        }
        if (nodes.empty()) {
            inForce.push_back({{"kind", key.kind}, {"name", key.name}, {"version", object->version}});
        } else {
            lagging.push_back({{"kind", key.kind}, {"name", key.name}, {"nodes", std::move(nodes)}});
        }
    }
    std::int64_t refused = 0;
    for (const auto &[id, instance] : reports.instances) {
        refused += instance.refused;
    }
    return {{"platformReachable", input.platformReachable},
            {"instances", instancesValue(reports, input.members)},
            {"inForce", std::move(inForce)},
            {"lagging", std::move(lagging)},
            {"targets", targetsValue(input)},
            {"refused", refused}};
}

bool isReportDue(const InForceReporter &reporter, const wire::InForceReport &report, Id writer, Time now)
{
    const bool changed = report.generation != reporter.last.generation || report.rootDigest != reporter.last.rootDigest || writer != reporter.writer;
    return now >= reporter.refreshAt || (changed && now >= reporter.nextAt);
}

void recordSentReport(InForceReporter &reporter, const wire::InForceReport &report, Id writer, Time now)
{
    reporter = {report, writer, now + reportInterval, now + reportRefreshInterval};
}

bool isStatusWriteDue(const StatusWriter &writer, const json &value, Time now)
{
    if (writer.busy || now < writer.nextAt || value == writer.written) {
        return false;
    }
    return now >= writer.nextLoadAt || withoutLoad(value) != withoutLoad(writer.written);
}

void startStatusWrite(StatusWriter &writer, const json &value, const std::string &changeId, Time now)
{
    writer.busy = true;
    writer.writing = value;
    writer.changeId = changeId;
    writer.nextAt = now + statusInterval;
    writer.nextLoadAt = now + loadStatusInterval;
}

void finishStatusWrite(StatusWriter &writer, const StatusWriteResult &result, Time now, Random &random)
{
    constexpr int ok = 200;
    constexpr int conflict = 409;
    writer.busy = false;
    if (result.status != ok && result.status != conflict) {
        writer.nextAt = std::max(writer.nextAt, now + backOffDelay(++writer.failures, random));
        return;
    }
    writer.failures = 0;
    writer.version = result.version;
    if (result.status == ok || result.changeId == writer.changeId) {
        writer.written = std::move(writer.writing);
    }
}

} // namespace pimentofold
