#include <pimentofold/membership/membership.h>

#include <algorithm>

#include <pimentofold/once/once.h>

#include <libpimentofold/membership/memberupdates.h>

namespace pimentofold {

using namespace memberupdates;

namespace {

using State = wire::MemberState;

/// Number of random members that are notified directly of a planned stop.
constexpr std::size_t leaveFanout = 8;
/// Maximum number of concurrent probes on behalf of other members.
constexpr std::size_t maxForwardedProbes = 64;
/// Bytes of the update budget that are reserved for replies to other members. Catch-up pings are sent only above it.
constexpr double replyReserveBytes = 1'500;
/// Number of seeds that a member without live peers pings at a time.
constexpr std::size_t seedsPerJoinAttempt = 3;
/// Digest field of an acknowledgement that reports a difference between the received digest and the sender's members.
const std::string digestDiffersMarker("d");

std::vector<const Member *> otherLiveMembers(const MembershipState &state)
{
    std::vector<const Member *> result;
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && id != state.self.key.instance) {
            result.push_back(&member);
        }
    }
    return result;
}

/// @return up to @p count random live members other than this one and the instance @p except
std::vector<const Member *> randomLiveMembers(MembershipState &state, std::size_t count, Id except)
{
    std::vector<const Member *> live = otherLiveMembers(state);
    std::erase_if(live, [except](const Member *it) { return it->key.instance == except; });
    count = std::min(count, live.size());
    for (std::size_t n = 0; n < count; ++n) {
        std::swap(live[n], live[n + below(state.random, live.size() - n)]);
    }
    live.resize(count);
    return live;
}

/// @return up to @p count random live members of the own data centre other than this one
std::vector<const Member *> randomNeighbours(MembershipState &state, std::size_t count)
{
    std::vector<const Member *> live = otherLiveMembers(state);
    std::erase_if(live, [&](const Member *it) { return it->dataCentre != state.self.dataCentre; });
    count = std::min(count, live.size());
    for (std::size_t n = 0; n < count; ++n) {
        std::swap(live[n], live[n + below(state.random, live.size() - n)]);
    }
    live.resize(count);
    return live;
}

/// @return the members that receive urgent updates
std::vector<const Member *> urgentRecipients(MembershipState &state)
{
    if (!state.options.preferOwnDataCentre) {
        return randomLiveMembers(state, state.options.urgentFanout, 0);
    }
    std::vector<const Member *> recipients = randomNeighbours(state, state.options.urgentFanout);
    const std::vector<const Member *> any = randomLiveMembers(state, 1, 0);
    recipients.insert(recipients.end(), any.begin(), any.end());
    return recipients;
}

/// @return the member that is asked for missing entries; nothing without other members
std::vector<const Member *> catchUpRecipient(MembershipState &state)
{
    if (state.options.preferOwnDataCentre && below(state.random, state.options.digestsPerCrossing) != 0) {
        std::vector<const Member *> neighbour = randomNeighbours(state, 1);
        if (!neighbour.empty()) {
            return neighbour;
        }
    }
    return randomLiveMembers(state, 1, 0);
}

wire::PeerMessage newMessage(const MembershipState &state, wire::PeerKind::type kind, std::int64_t sequence)
{
    wire::PeerMessage message;
    message.kind = kind;
    message.sender = toWire(state.self.key);
    message.sequence = sequence;
    return message;
}

void addDigest(MembershipState &state, wire::PeerMessage &message, Time now)
{
    if (now < state.nextDigestAt) {
        return;
    }
    ++state.counts.digestsSent;
    message.__set_digest(digestOf(state, message.sequence, state.catchingUp));
    state.updateBudget -= static_cast<double>(message.digest.size());
    state.digestSequence = message.sequence;
    state.nextDigestAt = now + (state.catchingUp ? state.options.catchUpRetry : state.options.digestInterval);
}

void sendPing(MembershipState &state, const Member &to, std::int64_t sequence, Time now, MembershipOutput &out)
{
    wire::PeerMessage message = newMessage(state, wire::PeerKind::Ping, sequence);
    message.__set_recipient(toWire(to.key));
    addDigest(state, message, now);
    piggybackUpdates(state, message, to.key.instance, now);
    out.messages.push_back({to.address, std::move(message)});
}

/// Pings an address whose member isn't known or is recorded as dead. The ping carries this member's own entry and a
/// digest, so that the recipient can reply with its members.
void pingAddress(MembershipState &state, const std::string &address, Id instance, Time now, MembershipOutput &out)
{
    wire::PeerMessage message = newMessage(state, wire::PeerKind::Ping, ++state.sequence);
    addOwnEntry(state, message);
    state.nextDigestAt = std::min(state.nextDigestAt, now);
    addDigest(state, message, now);
    piggybackUpdates(state, message, instance, now);
    out.messages.push_back({address, std::move(message)});
}

void sendIndirectProbes(MembershipState &state, const Member &target, Time now, MembershipOutput &out)
{
    for (const Member *it : randomLiveMembers(state, static_cast<std::size_t>(state.options.indirectProbes), target.key.instance)) {
        wire::PeerMessage message = newMessage(state, wire::PeerKind::PingRequest, state.probe.sequence);
        message.__set_recipient(toWire(it->key));
        message.__set_about(toWire(target.key));
        message.__set_callerAddress(target.address);
        piggybackUpdates(state, message, it->key.instance, now);
        out.messages.push_back({it->address, std::move(message)});
    }
}

/// @return whether this member assumes that it is itself cut off from the others, see MembershipOptions
bool isIsolated(const MembershipState &state, Time now)
{
    const Time silence = now - state.lastHeardAt;
    return silence >= state.options.isolationThreshold && silence < state.options.isolationTimeout;
}

/// Restarts the timeouts of all suspicions, because refutations may not have reached this member.
void restartSuspicions(MembershipState &state, Time now)
{
    for (auto &[id, member] : state.members) {
        if (member.state == State::Suspect) {
            member.stateSince = now;
        }
    }
}

/// Sends queued updates outside of a probe, in an acknowledgement with sequence number 0, if the rate limit permits it.
void sendUpdates(MembershipState &state, const Member &to, Time now, MembershipOutput &out)
{
    if (!consumeBudget(state, messageOverheadBytes, now)) {
        return;
    }
    wire::PeerMessage message = newMessage(state, wire::PeerKind::Ack, 0);
    message.__set_recipient(toWire(to.key));
    piggybackUpdates(state, message, to.key.instance, now);
    if (!message.members.empty()) {
        out.messages.push_back({to.address, std::move(message)});
    }
}

/// Handles the end of a probe interval without an acknowledgement of the probe.
void handleProbeTimeout(MembershipState &state, Time now, MembershipOutput &out)
{
    const auto it = state.members.find(state.probe.target);
    state.probe = {};
    if (it == state.members.end() || isIsolated(state, now)) {
        return;
    }
    if (it->second.state == State::Alive) {
        ++state.counts.suspicions;
        changeState(state, it->second, State::Suspect, now, out);
        sendUpdates(state, it->second, now, out); // gives the member a chance to refute the suspicion
    } else if (it->second.state == State::Leaving) {
        changeState(state, it->second, State::Dead, now, out);
    }
}

void refillProbeOrder(MembershipState &state)
{
    state.ownDataCentreCount = 0;
    for (const auto &[id, member] : state.members) {
        state.ownDataCentreCount += isLive(member) && member.dataCentre == state.self.dataCentre ? 1 : 0;
        if (member.state != State::Dead && id != state.self.key.instance) {
            state.probeOrder.push_back(id);
        }
    }
    for (std::size_t n = state.probeOrder.size(); n > 1; --n) {
        std::swap(state.probeOrder[n - 1], state.probeOrder[below(state.random, n)]);
    }
}

const Member *nextProbeTarget(MembershipState &state)
{
    if (state.probeOrder.empty()) {
        refillProbeOrder(state);
    }
    while (!state.probeOrder.empty()) {
        const auto it = state.members.find(state.probeOrder.back());
        state.probeOrder.pop_back();
        if (it != state.members.end() && it->second.state != State::Dead) {
            return &it->second;
        }
    }
    return nullptr;
}

void startProbe(MembershipState &state, Time now, MembershipOutput &out)
{
    state.nextProbeAt = now + state.options.probeInterval;
    const Member *target = nextProbeTarget(state);
    if (target == nullptr) {
        return;
    }
    ++state.counts.probes;
    state.probe = {target->key.instance, ++state.sequence, now, false};
    sendPing(state, *target, state.probe.sequence, now, out);
}

void tickProbe(MembershipState &state, Time now, MembershipOutput &out)
{
    if (state.probe.target != 0 && !state.probe.indirect && now - state.probe.sentAt >= state.options.probeTimeout) {
        state.probe.indirect = true;
        sendIndirectProbes(state, state.members.at(state.probe.target), now, out);
    }
    if (now < state.nextProbeAt) {
        return;
    }
    if (state.probe.target != 0) {
        handleProbeTimeout(state, now, out);
    }
    startProbe(state, now, out);
}

/// @return addresses of dead members with their instance, and of seeds that belong to no known member with instance 0
std::vector<std::pair<std::string, Id>> addressesToReconnect(const MembershipState &state)
{
    std::vector<std::pair<std::string, Id>> result;
    std::vector<std::string> known{state.self.address};
    for (const auto &[id, member] : state.members) {
        known.push_back(member.address);
        if (member.state == State::Dead) {
            result.emplace_back(member.address, id);
        }
    }
    std::sort(known.begin(), known.end());
    for (const std::string &it : state.seeds) {
        if (!std::binary_search(known.begin(), known.end(), it)) {
            result.emplace_back(it, 0);
        }
    }
    return result;
}

void tickReconnect(MembershipState &state, Time now, MembershipOutput &out)
{
    if (now < state.nextReconnectAt || state.leaving) {
        return;
    }
    const bool hasNoPeers = otherLiveMembers(state).empty();
    state.nextReconnectAt = now + (hasNoPeers ? state.options.joinInterval : state.options.reconnectInterval);
    std::vector<std::pair<std::string, Id>> addresses = addressesToReconnect(state);
    for (std::size_t n = 0; n < (hasNoPeers ? seedsPerJoinAttempt : 1) && !addresses.empty(); ++n) {
        std::swap(addresses.back(), addresses[below(state.random, addresses.size())]);
        pingAddress(state, addresses.back().first, addresses.back().second, now, out);
        addresses.pop_back();
    }
}

/// Sends a ping with a digest to a random member while digests differ, to fetch missing entries.
void tickCatchUp(MembershipState &state, Time now, MembershipOutput &out)
{
    if (!state.catchingUp || now < state.nextDigestAt || state.updateBudget < replyReserveBytes || !consumeBudget(state, messageOverheadBytes, now)) {
        return;
    }
    for (const Member *it : catchUpRecipient(state)) {
        sendPing(state, *it, ++state.sequence, now, out);
    }
}

/// @return time at which a suspicion or leave turns into a death, or at which the entry of a dead member is removed
Time stateExpiry(const MembershipState &state, const Member &member, Time suspicionDuration)
{
    switch (member.state) {
    case State::Suspect:
        return member.stateSince + suspicionDuration;
    case State::Leaving:
        return member.stateSince + state.options.leavingTimeout;
    case State::Dead:
        return member.stateSince + state.options.deadRetention;
    default:
        return never;
    }
}

void expireMemberStates(MembershipState &state, Time now, MembershipOutput &out)
{
    if (now < state.nextExpiryCheckAt) {
        return;
    }
    state.nextExpiryCheckAt = never;
    const Time suspicionDuration = suspicionTimeout(state.options, liveCount(state));
    const bool suspicionsOnHold = isIsolated(state, now);
    Time nextEnd = never;
    for (auto it = state.members.begin(); it != state.members.end();) {
        Member &member = it->second;
        const bool isSelf = it->first == state.self.key.instance;
        if (isSelf || stateExpiry(state, member, suspicionDuration) > now || (suspicionsOnHold && member.state == State::Suspect)) {
            nextEnd = isSelf ? nextEnd : std::min(nextEnd, std::max(stateExpiry(state, member, suspicionDuration), now + 1));
            ++it;
        } else if (member.state == State::Dead) {
            state.pendingUpdates.erase(it->first);
            it = state.members.erase(it);
        } else {
            ++state.counts.deaths;
            changeState(state, member, State::Dead, now, out);
            nextEnd = std::min(nextEnd, now + state.options.deadRetention);
            ++it;
        }
    }
    state.nextExpiryCheckAt = nextEnd;
}

/// Sends urgent updates without waiting for the next probe.
void tickUrgentUpdates(MembershipState &state, Time now, MembershipOutput &out)
{
    if (!state.urgentPending) {
        return;
    }
    state.urgentPending = false;
    for (const Member *it : urgentRecipients(state)) {
        sendUpdates(state, *it, now, out);
    }
}

/// Handles a pause of this process, see MembershipOptions::pauseThreshold.
void detectPause(MembershipState &state, Time now)
{
    const bool paused = state.lastTickAt >= 0 && now - state.lastTickAt > state.options.pauseThreshold;
    state.lastTickAt = now;
    if (!paused) {
        return;
    }
    ++state.counts.pauses;
    state.probe = {};
    state.lastHeardAt = now;
    restartSuspicions(state, now);
}

void handlePing(MembershipState &state, const wire::PeerMessage &message, const std::string &from, Time now, MembershipOutput &out)
{
    // The ping is for an instance that used this address before. An acknowledgement would make that instance seem alive.
    if (message.__isset.recipient && message.recipient.instance != state.self.key.instance) {
        return;
    }
    wire::PeerMessage ack = newMessage(state, wire::PeerKind::Ack, message.sequence);
    ack.__set_recipient(message.sender);
    const bool senderOutdated = !message.__isset.recipient || message.recipient.incarnation != state.self.key.incarnation;
    if (senderOutdated) {
        addOwnEntry(state, ack);
    }
    if (message.__isset.digest && addMissingMembers(state, message.digest, message.sequence, ack, now)) {
        ack.__set_digest(digestDiffersMarker);
        ++state.counts.digestsDiffering;
    }
    piggybackUpdates(state, ack, message.sender.instance, now);
    out.messages.push_back({from, std::move(ack)});
}

void handlePingRequest(MembershipState &state, const wire::PeerMessage &message, const std::string &from, Time now, MembershipOutput &out)
{
    std::erase_if(state.forwardedProbes, [now](const auto &it) { return it.second.expiresAt <= now; });
    if (!message.__isset.about || !message.__isset.callerAddress || state.forwardedProbes.size() >= maxForwardedProbes) {
        return;
    }
    Member target;
    target.key = fromWire(message.about);
    target.address = message.callerAddress;
    const std::int64_t sequence = ++state.sequence;
    state.forwardedProbes[sequence] = {from, message.sequence, target.key.instance, now + state.options.probeInterval};
    sendPing(state, target, sequence, now, out);
}

void handleAck(MembershipState &state, const wire::PeerMessage &message, MembershipOutput &out)
{
    const Id about = message.__isset.about ? message.about.instance : message.sender.instance;
    if (state.probe.target == about && state.probe.sequence == message.sequence) {
        state.probe = {};
    }
    const auto it = state.forwardedProbes.find(message.sequence);
    if (it == state.forwardedProbes.end() || it->second.target != message.sender.instance) {
        return;
    }
    wire::PeerMessage ack = newMessage(state, wire::PeerKind::Ack, it->second.requesterSequence);
    ack.__set_about(message.sender);
    out.messages.push_back({it->second.requester, std::move(ack)});
    state.forwardedProbes.erase(it);
}

/// Handles the result of a digest comparison in an acknowledgement.
/// @param anyChange the acknowledgement changed at least one entry
void handleDigestResult(MembershipState &state, const wire::PeerMessage &message, bool anyChange, Time now)
{
    if (message.digest == digestDiffersMarker) {
        state.catchingUp = true;
        state.nextDigestAt = std::min(state.nextDigestAt, now + (anyChange ? state.options.catchUpInterval : state.options.catchUpRetry));
    } else if (message.sequence == state.digestSequence && !message.__isset.about) {
        advanceTransmissionCounts(state);
        state.catchingUp = false;
        state.nextDigestAt = now + state.options.digestInterval;
    }
}

} // namespace

void startMembership(MembershipState &state, const Member &self, const std::vector<std::string> &seeds, std::uint64_t randomSeed, Time now)
{
    state.self = self;
    state.self.state = State::Alive;
    state.random.state = randomSeed;
    state.budgetUpdatedAt = now;
    state.updateBudget = static_cast<double>(state.options.updateBurstBytes);
    state.lastHeardAt = now;
    // A random phase prevents members that start at the same time from probing in lockstep.
    state.nextProbeAt = now + static_cast<Time>(below(state.random, static_cast<std::uint64_t>(state.options.probeInterval)));
    state.nextReconnectAt = now;
    publishSelf(state, now);
    for (const std::string &it : seeds) {
        addSeed(state, it);
    }
}

void addSeed(MembershipState &state, const std::string &address)
{
    if (address != state.self.address && std::find(state.seeds.begin(), state.seeds.end(), address) == state.seeds.end()) {
        state.seeds.push_back(address);
    }
}

void contactSeeds(MembershipState &state, Time now, MembershipOutput &out)
{
    for (const auto &[address, instance] : addressesToReconnect(state)) {
        if (instance == 0) {
            pingAddress(state, address, instance, now, out);
        }
    }
}

void pingMember(MembershipState &state, Id instance, MembershipOutput &out)
{
    const auto member = state.members.find(instance);
    if (member == state.members.end() || instance == state.self.key.instance) {
        return;
    }
    wire::PeerMessage message = newMessage(state, wire::PeerKind::Ping, ++state.sequence);
    message.__set_recipient(toWire(member->second.key));
    out.messages.push_back({member->second.address, std::move(message)});
}

void setIncarnation(MembershipState &state, std::int64_t incarnation, Time now)
{
    if (incarnation > state.self.key.incarnation) {
        state.self.key.incarnation = incarnation;
        state.self.stateVersion = 0;
        publishSelf(state, now);
    }
}

void handleMembership(MembershipState &state, const wire::PeerMessage &message, const std::string &from, Time now, MembershipOutput &out)
{
    if (message.kind < wire::PeerKind::Ping || message.kind > wire::PeerKind::Leave || message.sender.instance == state.self.key.instance) {
        return;
    }
    if (isIsolated(state, now)) {
        restartSuspicions(state, now);
    }
    state.lastHeardAt = now;
    bool anyChange = false;
    for (const wire::MemberUpdate &it : message.members) {
        anyChange = mergeUpdate(state, it, now, out) || anyChange;
    }
    if (message.kind == wire::PeerKind::Ping) {
        handlePing(state, message, from, now, out);
    } else if (message.kind == wire::PeerKind::PingRequest) {
        handlePingRequest(state, message, from, now, out);
    } else if (message.kind == wire::PeerKind::Ack) {
        handleAck(state, message, out);
        handleDigestResult(state, message, anyChange, now);
    }
}

void tickMembership(MembershipState &state, Time now, MembershipOutput &out)
{
    detectPause(state, now);
    expireMemberStates(state, now, out);
    tickProbe(state, now, out);
    tickUrgentUpdates(state, now, out);
    tickCatchUp(state, now, out);
    tickReconnect(state, now, out);
}

void leaveMembership(MembershipState &state, Time now, MembershipOutput &out)
{
    if (state.leaving) {
        return;
    }
    state.leaving = true;
    state.self.state = State::Leaving;
    publishSelf(state, now);
    out.changes.push_back({state.self, State::Alive});
    for (const Member *it : randomLiveMembers(state, leaveFanout, 0)) {
        wire::PeerMessage message = newMessage(state, wire::PeerKind::Leave, ++state.sequence);
        message.__set_recipient(toWire(it->key));
        addOwnEntry(state, message);
        out.messages.push_back({it->address, std::move(message)});
    }
}

} // namespace pimentofold
