#include <pimentofold/agent/agentcore.h>

#include <algorithm>
#include <utility>

#include <pimentofold/agent/agentobjects.h>

namespace pimentofold {

namespace {

// Roles and the view are derived again at these intervals even if nothing changes; the view because keys come into use and
// expire with time.
constexpr Time rolesInterval = second;
constexpr Time viewInterval = second;

void append(ConfigReplicationOutput &&from, AgentState &agent, AgentOutput &out)
{
    std::ranges::move(from.messages, std::back_inserter(out.messages));
    for (const ConfigObjectPointer &it : from.applied) {
        std::erase(agent.recentlyChanged, it->key);
        agent.recentlyChanged.push_front(it->key);
        out.applied.push_back(it);
        agent.viewCheckAt = 0;
    }
    if (agent.recentlyChanged.size() > maxHeadsPerReport) {
        agent.recentlyChanged.resize(maxHeadsPerReport);
    }
    if (from.watch) {
        out.watch = from.watch;
    }
}

void append(MembershipOutput &&from, AgentState &agent, AgentOutput &out)
{
    if (!from.changes.empty()) {
        agent.rolesAt = 0;
        agent.viewCheckAt = 0;
    }
    std::ranges::move(from.messages, std::back_inserter(out.messages));
    std::ranges::move(from.changes, std::back_inserter(out.changes));
}

Member selfMember(const AgentState &agent)
{
    Member self;
    self.name = agent.identity.node;
    self.address = agent.identity.peerAddress;
    self.dataCentre = agent.identity.dataCentre;
    self.key.instance = idOf(self.name);
    if (agent.viewPublisher.reported && agent.viewPublisher.report.__isset.instance) {
        self.key.incarnation = agent.viewPublisher.report.instance.incarnation;
        self.balancerAddress = agent.identity.balancerPeerAddress;
    }
    return self;
}

/// Joins the membership, or joins it again with the key of a restarted balancer.
void joinMembers(AgentState &agent, Time now)
{
    std::vector<std::string> seeds = agent.identity.seeds;
    for (const Member &it : presentMembers(agent.membership)) {
        seeds.push_back(it.address);
    }
    MembershipState fresh;
    fresh.options = agent.membership.options;
    agent.membership = std::move(fresh);
    const Member self = selfMember(agent);
    startMembership(agent.membership, self, seeds, next(agent.random), now);
    agent.membershipStarted = true;
    agent.balancerLeaving = false;
    agent.rolesAt = 0;
    agent.viewCheckAt = 0;
    agent.spread.self = self.key;
}

void announceLeave(AgentState &agent, Time now, AgentOutput &out)
{
    if (!agent.membershipStarted) {
        return;
    }
    MembershipOutput members;
    leaveMembership(agent.membership, now, members);
    append(std::move(members), agent, out);
}

wire::MemberUpdate toWire(const Member &member)
{
    wire::MemberUpdate update;
    update.key.instance = member.key.instance;
    update.key.incarnation = member.key.incarnation;
    update.state = member.state;
    update.name = member.name;
    update.address = member.address;
    update.balancerAddress = member.balancerAddress;
    update.dataCentre = member.dataCentre;
    update.stateVersion = member.stateVersion;
    return update;
}

bool contains(const std::vector<InstanceKey> &keys, Id instance)
{
    return std::ranges::any_of(keys, [&](const InstanceKey &it) { return it.instance == instance; });
}

void updateRoles(AgentState &agent)
{
    const Id self = agent.spread.self.instance;
    ReplicationPeers peers;
    auto local = std::make_shared<std::vector<ReplicationPeer>>();
    const std::vector<InstanceKey> delegates = rankInstances(agent.membership, "delegate", delegatesPerDataCentre);
    for (const Member &it : liveMembers(agent.membership)) {
        local->push_back({it.key, it.address});
        if (contains(delegates, it.key.instance)) {
            peers.delegates.push_back(toWire(it));
        }
    }
    peers.local = std::move(local);
    peers.delegate = contains(delegates, self);
    const std::vector<InstanceKey> watchers = rankInstances(agent.membership, "watcher", watchersPerDataCentre);
    peers.watcher = contains(watchers, self);
    setReplicationPeers(agent.spread, std::move(peers));
    // The first watcher is the first-rankInstances member, because it knows whether the platform is reachable.
    agent.firstMember = watchers.empty() ? 0 : watchers.front().instance;
    agent.isFirst = agent.firstMember == self;
}

void tickMembers(AgentState &agent, Time now, AgentOutput &out)
{
    if (!agent.membershipStarted && now - agent.startedAt >= balancerReportTimeout) {
        joinMembers(agent, now);
    }
    if (!agent.membershipStarted) {
        return;
    }
    const bool hasBalancer = !agent.membership.self.balancerAddress.empty();
    if (hasBalancer && !agent.balancerLeaving && agent.balancerLostAt != never && now - agent.balancerLostAt >= balancerLostTimeout) {
        agent.balancerLeaving = true;
        announceLeave(agent, now, out);
    }
    MembershipOutput members;
    tickMembership(agent.membership, now, members);
    append(std::move(members), agent, out);
    if (now >= agent.rolesAt) {
        agent.rolesAt = now + rolesInterval;
        updateRoles(agent);
    }
}

void publish(AgentState &agent, const ObjectKey &key, const std::string &value, Time now, WallTime wall, AgentOutput &out)
{
    const ConfigObjectPointer object = nextVersion(agent.spread.store, key, value, agent.spread.self.instance, wall);
    if (object) {
        ConfigReplicationOutput spread;
        publishObject(agent.spread, object, now, spread);
        append(std::move(spread), agent, out);
    }
}

void publishEntries(AgentState &agent, Time now, WallTime wall, AgentOutput &out)
{
    const std::vector<Member> members = presentMembers(agent.membership);
    if (members.size() <= maxPublishedEntries) {
        publish(agent, entriesKey(agent.identity.team, agent.identity.dataCentre), entriesValue(members), now, wall, out);
    }
}

void tickStatus(AgentState &agent, Time now, WallTime wall, AgentOutput &out)
{
    StatusInput input;
    input.store = &agent.spread.store;
    input.members = presentMembers(agent.membership);
    input.platformReachable = agent.spread.watch.reachable;
    input.view = agent.viewPublisher.view.generation > 0 ? &agent.viewPublisher.view : nullptr;
    input.observations = agent.viewPublisher.observations;
    eraseDepartedInstances(agent.board, input.members);
    if (agent.writer.busy || now < agent.writer.nextAt) {
        return;
    }
    nlohmann::json value = statusValue(agent.board, input);
    if (!isStatusWriteDue(agent.writer, value, now)) {
        return;
    }
    const std::string changeId = agent.identity.node + "-" + std::to_string(wall) + "-" + std::to_string(next(agent.random));
    startStatusWrite(agent.writer, value, changeId, now);
    value["writtenAt"] = wall;
    value["revision"] = agent.spread.watch.revision;
    out.statusWrite = StatusWrite{agent.identity.dataCentre + "." + agent.identity.team, value.dump(), agent.writer.version, changeId};
}

/// Performs the tasks of the first-rankInstances member. They wait until the agent has fetched the objects of the other agents, so
/// that the versions that it publishes continue those of its predecessor.
void tickFirstMember(AgentState &agent, Time now, WallTime wall, AgentOutput &out)
{
    if (!agent.isFirst || !agent.spread.initialSyncDone) {
        return;
    }
    publishEntries(agent, now, wall, out);
    tickStatus(agent, now, wall, out);
    if (!agent.lister.busy && now >= agent.lister.nextAt) {
        agent.lister.busy = true;
        agent.lister.nextAt = now + listInterval;
        out.listInstances = true;
    }
}

void tickReport(AgentState &agent, Time now, AgentOutput &out)
{
    if (agent.firstMember == 0) {
        return;
    }
    wire::InForceReport report;
    report.generation = agent.viewPublisher.inForce;
    report.rootDigest = static_cast<std::int64_t>(digestOfHeads(agent.viewPublisher.headsInForce));
    report.refused = agent.viewPublisher.report.refused;
    if (!isReportDue(agent.reporter, report, agent.firstMember, now)) {
        return;
    }
    recordSentReport(agent.reporter, report, agent.firstMember, now);
    wire::PeerMessage message;
    message.kind = wire::PeerKind::InForce;
    message.sender.instance = agent.spread.self.instance;
    message.sender.incarnation = agent.spread.self.incarnation;
    message.__set_report(report);
    message.__isset.heads = true;
    for (const ObjectKey &key : agent.recentlyChanged) {
        wire::ObjectHead head;
        head.kind = key.kind;
        head.name = key.name;
        head.version = versionInForce(agent.viewPublisher, key);
        message.heads.push_back(std::move(head));
    }
    if (agent.isFirst) {
        handleInForceReport(agent.board, message);
        return;
    }
    const auto to = agent.membership.members.find(agent.firstMember);
    if (to != agent.membership.members.end()) {
        out.messages.push_back({to->second.address, std::move(message)});
    }
}

void tickView(AgentState &agent, Time now, WallTime wall, AgentOutput &out)
{
    if (now >= agent.viewCheckAt) {
        agent.viewCheckAt = now + viewInterval;
        refreshView(agent.viewPublisher, agent.spread.store, presentMembers(agent.membership), wall);
    }
    if (shouldSendView(agent.viewPublisher, agent.spread.store, now - agent.startedAt < agentObjectsTimeout)) {
        recordSentView(agent.viewPublisher);
        out.sendView = true;
    }
}

/// @return whether more than half of the stored targets of a data centre are missing from a list; leaving ones don't count
bool lacksMostTargets(const std::vector<PlatformInstance> &held, const std::vector<PlatformInstance> &fresh, const std::string &dataCentre)
{
    std::size_t before = 0;
    std::size_t missing = 0;
    for (const PlatformInstance &it : held) {
        if (it.dataCentre == dataCentre && !it.leaving) {
            ++before;
            missing += std::ranges::none_of(fresh, [&](const PlatformInstance &other) { return other.name == it.name; }) ? 1 : 0;
        }
    }
    return missing * 2 > before;
}

/// @return whether a list may be used: it contains at least half of the known targets, or all lists for shrunkListDelay have
///     lacked more than half of them
bool isListCredible(AgentState &agent, const std::vector<PlatformInstance> &instances, Time now)
{
    if (!lacksMostTargets(storedInstances(agent.spread.store, agent.identity.team), instances, agent.identity.dataCentre)) {
        agent.lister.shrunkSince = never;
        return true;
    }
    agent.lister.shrunkSince = std::min(agent.lister.shrunkSince, now);
    return now - agent.lister.shrunkSince >= shrunkListDelay;
}

} // namespace

void startAgent(AgentState &agent, const AgentIdentity &identity, std::uint64_t randomSeed, Time now)
{
    agent.identity = identity;
    agent.random = {randomSeed};
    agent.startedAt = now;
    agent.balancerLostAt = now;
    agent.viewPublisher.team = identity.team;
    agent.viewPublisher.dataCentre = identity.dataCentre;
    agent.spread.self.instance = idOf(identity.node);
    agent.spread.team = identity.team;
    agent.spread.dataCentre = identity.dataCentre;
    agent.spread.address = identity.peerAddress;
    agent.spread.seeds = identity.seeds;
    agent.spread.remoteSeeds = identity.remoteSeeds;
    startConfigReplication(agent.spread, next(agent.random), now);
}

void tickAgent(AgentState &agent, Time now, WallTime wall, AgentOutput &out)
{
    tickMembers(agent, now, out);
    ConfigReplicationOutput spread;
    tickConfigReplication(agent.spread, now, spread);
    append(std::move(spread), agent, out);
    tickFirstMember(agent, now, wall, out);
    tickView(agent, now, wall, out);
    tickReport(agent, now, out);
}

void handlePeer(AgentState &agent, const wire::PeerMessage &message, const std::string &from, Time now, AgentOutput &out)
{
    if (agent.membershipStarted) {
        MembershipOutput members;
        handleMembership(agent.membership, message, from, now, members);
        append(std::move(members), agent, out);
    }
    ConfigReplicationOutput spread;
    handleConfigMessage(agent.spread, message, from, now, spread);
    append(std::move(spread), agent, out);
    handleInForceReport(agent.board, message);
}

void handleBalancerReport(AgentState &agent, const wire::BalancerReport &report, Time now, AgentOutput &out)
{
    agent.balancerLostAt = never;
    agent.viewCheckAt = 0;
    for (const wire::ObjectHead &it : report.objects) {
        raiseMinVersion(agent.spread.store, keyOf(it), it.version);
    }
    applyReport(agent.viewPublisher, report);
    if (report.stopping && !agent.balancerLeaving) {
        handleBalancerLeave(agent, now, out);
        return;
    }
    const bool known = agent.membershipStarted && agent.membership.self.key.incarnation == report.instance.incarnation;
    const bool returned = known && agent.balancerLeaving && !report.stopping;
    if (report.__isset.instance && (!known || returned)) {
        joinMembers(agent, now);
    }
}

void handleBalancerLeave(AgentState &agent, Time now, AgentOutput &out)
{
    if (agent.balancerLeaving) {
        return;
    }
    agent.balancerLeaving = true;
    announceLeave(agent, now, out);
}

void handleBalancerLost(AgentState &agent, Time now)
{
    clearConnectionState(agent.viewPublisher);
    if (agent.balancerLostAt == never) {
        agent.balancerLostAt = now;
    }
}

void handleAgentWatch(AgentState &agent, const WatchResponse &answer, Time now, AgentOutput &out)
{
    ConfigReplicationOutput spread;
    handleWatchResponse(agent.spread, answer, now, spread);
    append(std::move(spread), agent, out);
}

void handleInstanceList(AgentState &agent, const std::optional<std::vector<PlatformInstance>> &instances, Time now, WallTime wall, AgentOutput &out)
{
    InstanceLister &lister = agent.lister;
    lister.busy = false;
    if (!instances) {
        lister.nextAt = std::max(lister.nextAt, now + backOffDelay(++lister.failures, agent.random));
        return;
    }
    lister.failures = 0;
    for (const PlatformInstance &it : *instances) {
        if (it.entry && it.team == agent.identity.team && it.dataCentre == agent.identity.dataCentre) {
            addSeed(agent.membership, it.address);
        }
    }
    if (isListCredible(agent, *instances, now)) {
        publish(agent, instancesKey(agent.identity.team, agent.identity.dataCentre), instancesValue(agent.identity.team, *instances), now, wall, out);
    }
}

void stopAgent(AgentState &agent, Time now, AgentOutput &out)
{
    announceLeave(agent, now, out);
}

std::vector<Member> presentMembers(const MembershipState &membership)
{
    std::vector<Member> members;
    for (const auto &[id, member] : membership.members) {
        if (member.state != wire::MemberState::Dead) {
            members.push_back(member);
        }
    }
    return members;
}

} // namespace pimentofold
