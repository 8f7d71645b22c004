#include <pimentofold/edgecodec.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace pimentofold {

namespace {

wire::EdgeRoute toWire(const EdgeRoute &route)
{
    wire::EdgeRoute result;
    result.name = route.name;
    result.ip = static_cast<std::int32_t>(route.address.ip);
    result.port = static_cast<std::int16_t>(route.address.port);
    for (const WeightedService &it : route.weightedServices) {
        wire::EdgeShare share;
        share.serviceName = it.service;
        share.weight = it.weight;
        result.shares.push_back(std::move(share));
    }
    result.kind = static_cast<std::int8_t>(route.type);
    result.urgency = route.urgency;
    result.aim = route.responseTimeGoal;
    if (route.timeout > 0) {
        result.__set_timeout(route.timeout);
    }
    return result;
}

Address toAddress(std::int32_t ip, std::int16_t port)
{
    return {static_cast<std::uint32_t>(ip), static_cast<std::uint16_t>(port)};
}

/// A type that only newer nodes know is treated as the strictest one.
RouteType routeTypeFromWire(std::int8_t value)
{
    return value < 0 || value > static_cast<int>(RouteType::Upload) ? strictestRouteType : static_cast<RouteType>(value);
}

/// A longer timeout in a message is limited, so that sums of times don't overflow.
constexpr Time maxRouteTimeout = 86'400 * second;

/// @return nothing for a route without services
std::optional<EdgeRoute> fromWire(const wire::EdgeRoute &route)
{
    if (route.shares.empty()) {
        return std::nullopt;
    }
    EdgeRoute result;
    result.name = route.name;
    result.address = toAddress(route.ip, route.port);
    for (const wire::EdgeShare &it : route.shares) {
        result.weightedServices.push_back({it.serviceName, it.weight});
    }
    result.type = routeTypeFromWire(route.kind);
    result.urgency = route.urgency;
    result.responseTimeGoal = route.aim;
    result.timeout = std::clamp<Time>(route.timeout, 0, maxRouteTimeout);
    return result;
}

wire::EdgeTarget toWire(const TargetRecord &target)
{
    wire::EdgeTarget result;
    result.id = static_cast<std::int64_t>(target.id);
    result.name = target.name;
    result.serviceName = target.service;
    result.ip = static_cast<std::int32_t>(target.address.ip);
    result.port = static_cast<std::int16_t>(target.address.port);
    result.dataCentre = target.dataCentre;
    result.slots = target.slots;
    result.draining = target.state == TargetState::Draining;
    result.warmup = target.warmup;
    result.startedAt = target.startedAt;
    result.revision = target.revision.number;
    if (target.revision.era > 0) {
        result.__set_era(target.revision.era);
    }
    if (target.sequence > 0) {
        result.__set_sequence(target.sequence);
    }
    if (target.drainingFor) {
        result.__set_drainingFor(*target.drainingFor);
    }
    return result;
}

TargetRecord fromWire(const wire::EdgeTarget &target)
{
    TargetRecord result;
    result.id = static_cast<std::uint64_t>(target.id);
    result.name = target.name;
    result.service = target.serviceName;
    result.address = toAddress(target.ip, target.port);
    result.dataCentre = target.dataCentre;
    result.slots = std::max(target.slots, 1);
    result.state = target.draining ? TargetState::Draining : TargetState::Ready;
    result.warmup = std::clamp<Time>(target.warmup, 0, maxColdTime);
    result.startedAt = target.startedAt;
    result.revision = {target.era, target.revision};
    result.sequence = std::max<std::int64_t>(target.sequence, 0);
    if (target.__isset.drainingFor) {
        result.drainingFor = std::max<Time>(target.drainingFor, 0);
    }
    return result;
}

/// A rate that no configuration can have counts as 0, so that the service's cold targets get no openings above the slack.
ServiceLimits fromWire(const wire::EdgeService &service)
{
    const bool isRate = service.coldRate >= 0 && service.coldRate <= maxColdRate;
    return {service.name, std::clamp<Time>(service.coldTime, 0, maxColdTime), isRate ? service.coldRate : 0};
}

/// Sets the eras of the revisions in a part. A store without eras needs none of the fields.
void setEras(wire::EdgeChanges &part, const StoreChanges &changes)
{
    if (changes.configBase.era > 0) {
        part.__set_configBaseEra(changes.configBase.era);
    }
    if (changes.config.revision.era > 0) {
        part.__set_configRevisionEra(changes.config.revision.era);
    }
    if (changes.known.config.era > 0) {
        part.__set_configKnownEra(changes.known.config.era);
    }
    if (changes.base.targets.era > 0) {
        part.__set_targetsBaseEra(changes.base.targets.era);
    }
    if (changes.known.targets.era > 0) {
        part.__set_targetsRevisionEra(changes.known.targets.era);
    }
}

StoreRevision configBaseOf(const wire::EdgeChanges &part)
{
    return {part.configBaseEra, part.configBase};
}

StoreRevision targetsBaseOf(const wire::EdgeChanges &part)
{
    return {part.targetsBaseEra, part.targetsBase};
}

StoreRevision configRevisionOf(const wire::EdgeChanges &part)
{
    return {part.configRevisionEra, part.configRevision};
}

KnownRevisions knownOf(const wire::EdgeChanges &part)
{
    return {{part.configKnownEra, part.configKnown}, {part.targetsRevisionEra, part.targetsRevision}, {}};
}

/// Splits changes into parts of limited size. Sizes are estimated, since an entry's encoded size isn't known in advance.
struct PartWriter {
    const StoreChanges &changes;
    std::vector<wire::EdgeChanges> parts;
    std::size_t bytes = 0;

    /// @return the part to which an entry of that size is to be added
    wire::EdgeChanges &reserve(std::size_t bytesNeeded)
    {
        if (parts.empty() || bytes + bytesNeeded > changesDatagramBytes) {
            wire::EdgeChanges part;
            part.configBase = changes.configBase.number;
            part.configRevision = changes.config.revision.number;
            part.configVersion = changes.config.version;
            part.idleLimit = changes.config.idleTimeout;
            part.configKnown = changes.known.config.number;
            part.targetsBase = changes.base.targets.number;
            part.targetsRevision = changes.known.targets.number;
            setEras(part, changes);
            if (changes.hasTargetGap) {
                part.__set_targetGap(true);
            }
            part.part = static_cast<std::int32_t>(parts.size());
            parts.push_back(std::move(part));
            bytes = 0;
        }
        bytes += bytesNeeded;
        return parts.back();
    }
};

std::size_t estimatedSize(const EdgeRoute &route)
{
    constexpr std::size_t fixedBytes = 32;
    std::size_t bytes = fixedBytes + route.name.size();
    for (const WeightedService &it : route.weightedServices) {
        bytes += it.service.size() + sizeof it.weight + 4;
    }
    return bytes;
}

wire::EdgeService toWire(const ServiceLimits &limits)
{
    wire::EdgeService result;
    result.name = limits.name;
    result.coldTime = limits.coldTime;
    result.coldRate = limits.coldRate;
    return result;
}

std::size_t estimatedSize(const ServiceLimits &limits)
{
    constexpr std::size_t fixedBytes = 20;
    return fixedBytes + limits.name.size();
}

constexpr std::size_t targetFixedBytes = 72;
static_assert(targetFixedBytes + 3 * maxTargetTextBytes <= changesDatagramBytes);

std::size_t estimatedSize(const TargetRecord &target)
{
    return targetFixedBytes + target.name.size() + target.service.size() + target.dataCentre.size();
}

void add(StoreChanges &changes, const wire::EdgeChanges &part)
{
    for (const wire::EdgeRoute &it : part.routes) {
        if (std::optional<EdgeRoute> route = fromWire(it)) {
            changes.config.routes.push_back(std::move(*route));
        }
    }
    for (const wire::EdgeEndpoint &it : part.removedRoutes) {
        changes.removedRoutes.push_back(pimentofold::fromWire(it));
    }
    if (part.__isset.services) {
        std::vector<ServiceLimits> &services = changes.config.services ? *changes.config.services : changes.config.services.emplace();
        for (const wire::EdgeService &it : part.services) {
            services.push_back(fromWire(it));
        }
    }
    for (const wire::EdgeTarget &it : part.targets) {
        changes.targets.push_back(fromWire(it));
    }
    for (const wire::EdgeRemoval &it : part.removedTargets) {
        changes.removedTargets.push_back({static_cast<std::uint64_t>(it.id), {it.era, it.revision}});
    }
}

bool belongsTo(const wire::EdgeChanges &part, Id sender, const PartialChanges &pending)
{
    const StoreChanges &changes = pending.changes;
    return sender == pending.sender && knownOf(part) == pending.known && part.parts == pending.parts && changes.configBase == configBaseOf(part)
        && changes.config.revision == configRevisionOf(part) && changes.base.targets == targetsBaseOf(part);
}

PartialChanges startPartial(const wire::EdgeChanges &part, Id sender)
{
    PartialChanges partial;
    partial.sender = sender;
    partial.known = knownOf(part);
    partial.parts = part.parts;
    StoreChanges &changes = partial.changes;
    changes.known = partial.known;
    changes.base = {configBaseOf(part), targetsBaseOf(part), {}};
    changes.hasTargetGap = part.targetGap;
    changes.configBase = configBaseOf(part);
    changes.config.revision = configRevisionOf(part);
    changes.config.version = part.configVersion;
    changes.config.idleTimeout = part.idleLimit;
    return partial;
}

struct NoticeKindPair {
    FlowNoticeKind kind;
    wire::EdgeKind::type wireKind;
};

constexpr std::array<NoticeKindPair, 4> noticeKinds{{
    {FlowNoticeKind::Opened, wire::EdgeKind::Opened},
    {FlowNoticeKind::WorkStarted, wire::EdgeKind::WorkStarted},
    {FlowNoticeKind::WorkEnded, wire::EdgeKind::WorkEnded},
    {FlowNoticeKind::Ended, wire::EdgeKind::Ended},
}};

} // namespace

bool canSendRoutes(const StoreChanges &changes)
{
    return std::ranges::all_of(changes.config.routes, [](const EdgeRoute &it) { return estimatedSize(it) <= changesDatagramBytes; });
}

StoreChanges withoutConfig(StoreChanges changes)
{
    changes.config = {};
    changes.removedRoutes.clear();
    changes.configBase = {};
    changes.base.config = {};
    changes.known.config = {};
    return changes;
}

std::vector<wire::EdgeChanges> toWire(const StoreChanges &changes)
{
    PartWriter writer{changes, {}, 0};
    writer.reserve(0);
    constexpr std::size_t addressBytes = 10;
    constexpr std::size_t removalBytes = 22;
    for (const EdgeRoute &it : changes.config.routes) {
        writer.reserve(estimatedSize(it)).routes.push_back(toWire(it));
    }
    for (const Address &it : changes.removedRoutes) {
        writer.reserve(addressBytes).removedRoutes.push_back(toWire(it));
    }
    if (changes.config.services) {
        writer.reserve(0).__isset.services = true;
        for (const ServiceLimits &it : *changes.config.services) {
            wire::EdgeChanges &part = writer.reserve(estimatedSize(it));
            part.services.push_back(toWire(it));
            part.__isset.services = true;
        }
    }
    for (const TargetRecord &it : changes.targets) {
        writer.reserve(estimatedSize(it)).targets.push_back(toWire(it));
    }
    for (const TargetRemoval &it : changes.removedTargets) {
        wire::EdgeRemoval removal;
        removal.id = static_cast<std::int64_t>(it.id);
        removal.revision = it.revision.number;
        if (it.revision.era > 0) {
            removal.__set_era(it.revision.era);
        }
        writer.reserve(removalBytes).removedTargets.push_back(removal);
    }
    for (wire::EdgeChanges &it : writer.parts) {
        it.parts = static_cast<std::int32_t>(writer.parts.size());
    }
    return std::move(writer.parts);
}

std::optional<StoreChanges> addPart(ChangesAssembler &assembler, Id sender, const wire::EdgeChanges &part)
{
    constexpr std::int32_t maxParts = 10'000;
    if (part.parts < 1 || part.parts > maxParts || part.part < 0 || part.part >= part.parts) {
        return std::nullopt;
    }
    auto it = std::ranges::find_if(assembler.pending, [&](const PartialChanges &pending) { return belongsTo(part, sender, pending); });
    if (it == assembler.pending.end()) {
        if (assembler.pending.size() >= maxPartialChanges) {
            assembler.pending.erase(assembler.pending.begin());
        }
        assembler.pending.push_back(startPartial(part, sender));
        it = std::prev(assembler.pending.end());
    }
    if (!it->received.insert(part.part).second) {
        return std::nullopt;
    }
    add(it->changes, part);
    if (static_cast<std::int32_t>(it->received.size()) < it->parts) {
        return std::nullopt;
    }
    // A move here makes GCC 12 warn at -O3 of uninitialised members of an empty optional.
    std::optional<StoreChanges> result = it->changes;
    assembler.pending.erase(it);
    return result;
}

void setKnown(wire::EdgeMessage &message, const KnownRevisions &known)
{
    message.__set_configKnown(known.config.number);
    message.__set_targetsKnown(known.targets.number);
    if (known.config.era > 0) {
        message.__set_configKnownEra(known.config.era);
    }
    if (known.targets.era > 0) {
        message.__set_targetsKnownEra(known.targets.era);
    }
    setEvacuationsKnown(message, known.evacuations);
}

void setEvacuationsKnown(wire::EdgeMessage &message, const StoreRevision &revision)
{
    message.__set_evacuationsKnown(revision.number);
    if (revision.era > 0) {
        message.__set_evacuationsKnownEra(revision.era);
    }
}

void setConfigRevision(wire::EdgeMessage &message, const StoreRevision &revision)
{
    message.__set_configRevision(revision.number);
    if (revision.era > 0) {
        message.__set_configRevisionEra(revision.era);
    }
}

KnownRevisions knownFromWire(const wire::EdgeMessage &message)
{
    return {{message.configKnownEra, message.configKnown},
            {message.targetsKnownEra, message.targetsKnown},
            {message.evacuationsKnownEra, message.evacuationsKnown}};
}

StoreRevision configRevisionFromWire(const wire::EdgeMessage &message)
{
    return {message.configRevisionEra, message.configRevision};
}

wire::EdgeEvacuations toWire(const EvacuationState &state)
{
    wire::EdgeEvacuations evacuations;
    evacuations.revision = state.revision.number;
    if (state.revision.era > 0) {
        evacuations.__set_era(state.revision.era);
    }
    evacuations.dataCentres.assign(state.dataCentres.begin(), state.dataCentres.end());
    return evacuations;
}

EvacuationState fromWire(const wire::EdgeEvacuations &evacuations)
{
    EvacuationState state;
    state.revision = {evacuations.era, evacuations.revision};
    for (const std::string &it : evacuations.dataCentres) {
        if (it.size() <= maxDataCentreNameBytes) {
            state.dataCentres.insert(it);
        }
    }
    return state;
}

wire::EdgeEndpoint toWire(const Address &address)
{
    wire::EdgeEndpoint endpoint;
    endpoint.ip = static_cast<std::int32_t>(address.ip);
    endpoint.port = static_cast<std::int16_t>(address.port);
    return endpoint;
}

Address fromWire(const wire::EdgeEndpoint &endpoint)
{
    return toAddress(endpoint.ip, endpoint.port);
}

wire::EdgeFlowEnds toWire(const FlowKey &key)
{
    wire::EdgeFlowEnds ends;
    ends.callerIp = static_cast<std::int32_t>(key.caller.ip);
    ends.callerPort = static_cast<std::int16_t>(key.caller.port);
    ends.serviceIp = static_cast<std::int32_t>(key.service.ip);
    ends.servicePort = static_cast<std::int16_t>(key.service.port);
    return ends;
}

FlowKey fromWire(const wire::EdgeFlowEnds &ends)
{
    return {toAddress(ends.callerIp, ends.callerPort), toAddress(ends.serviceIp, ends.servicePort)};
}

void setLocation(wire::EdgeMessage &message, const LocationMessage &location)
{
    message.__set_flow(toWire(location.flow));
    message.__set_target(static_cast<std::int64_t>(location.location.target));
    if (location.location.sequence) {
        message.__set_sequence(static_cast<std::int32_t>(*location.location.sequence));
    }
    if (location.kind != LocationMessageKind::Question) {
        message.__set_report(location.kind == LocationMessageKind::Report);
        message.__set_age(location.age);
    }
}

FlowLocation locationFromWire(const wire::EdgeMessage &message)
{
    FlowLocation location;
    location.target = static_cast<std::uint64_t>(message.target);
    if (message.__isset.sequence) {
        location.sequence = static_cast<std::uint32_t>(message.sequence);
    }
    return location;
}

LocationReport reportFromWire(const wire::EdgeMessage &message)
{
    return {0, fromWire(message.flow), locationFromWire(message), std::max<Time>(message.age, 0)};
}

bool isLocationReport(const wire::EdgeMessage &message, bool isAsked)
{
    return message.__isset.report ? message.report : !isAsked;
}

wire::EdgeTargetEvidence toWire(const TargetEvidence &evidence)
{
    wire::EdgeTargetEvidence result;
    result.target = static_cast<std::int64_t>(evidence.target);
    result.startedAt = evidence.startedAt;
    result.stalledFlows = evidence.stalledFlows;
    result.retransmissions = evidence.retransmissions;
    result.stalledFor = evidence.stalledFor;
    result.progressAge = evidence.progressAge;
    return result;
}

TargetEvidence fromWire(const wire::EdgeTargetEvidence &evidence)
{
    TargetEvidence result;
    result.target = static_cast<std::uint64_t>(evidence.target);
    result.startedAt = evidence.startedAt;
    result.stalledFlows = std::clamp(evidence.stalledFlows, 0, static_cast<int>(maxStallsPerTarget));
    result.retransmissions = std::max(evidence.retransmissions, 0);
    result.stalledFor = std::clamp<Time>(evidence.stalledFor, 0, minute);
    result.progressAge = std::clamp<Time>(evidence.progressAge, -1, minute);
    return result;
}

wire::EdgeLostTarget toWire(const LostTarget &lost)
{
    wire::EdgeLostTarget result;
    result.target = static_cast<std::int64_t>(lost.target);
    result.startedAt = lost.startedAt;
    result.dataCentre = lost.dataCentre;
    return result;
}

LostTarget fromWire(const wire::EdgeLostTarget &lost)
{
    return {static_cast<std::uint64_t>(lost.target), lost.startedAt, lost.dataCentre};
}

wire::EdgeKind::type toWire(FlowNoticeKind kind)
{
    return std::ranges::find(noticeKinds, kind, &NoticeKindPair::kind)->wireKind;
}

std::optional<FlowNoticeKind> noticeKindFromWire(wire::EdgeKind::type kind)
{
    const auto it = std::ranges::find(noticeKinds, kind, &NoticeKindPair::wireKind);
    return it == noticeKinds.end() ? std::nullopt : std::optional(it->kind);
}

} // namespace pimentofold
