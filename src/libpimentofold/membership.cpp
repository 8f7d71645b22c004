#include <pimentofold/membership.h>

#include <algorithm>

#include <pimentofold/once.h>

#include <libpimentofold/memberupdates.h>

namespace pimentofold {

using namespace memberupdates;

namespace {

using State = wire::MemberState;

/// Direct announcements of a planned stop.
constexpr std::size_t leaveMessages = 8;
/// Probes on behalf of others that are open at a time.
constexpr std::size_t maxForwarded = 64;
/// Budget that is left to answer others before own digests are sent, in bytes.
constexpr double answerReserve = 1'500;
/// Seeds that a member without peers tries at a time.
constexpr std::size_t lonelySeeds = 3;
/// Mark of an acknowledgement whose sender's members differ from the digest that it answers.
const std::string differingMark("d");

std::vector<const Member *> otherLive(const MembershipState &state)
{
    std::vector<const Member *> result;
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && id != state.self.key.instance) {
            result.push_back(&member);
        }
    }
    return result;
}

/// @return up to @p count members, without @p except
std::vector<const Member *> randomLive(MembershipState &state, std::size_t count, Id except)
{
    std::vector<const Member *> live = otherLive(state);
    std::erase_if(live, [except](const Member *it) { return it->key.instance == except; });
    count = std::min(count, live.size());
    for (std::size_t n = 0; n < count; ++n) {
        std::swap(live[n], live[n + below(state.random, live.size() - n)]);
    }
    live.resize(count);
    return live;
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
    piggyback(state, message, to.key.instance, now);
    out.messages.push_back({to.address, std::move(message)});
}

/// Contacts an address whose member isn't known or is held for dead.
void contact(MembershipState &state, const std::string &address, Id instance, Time now, MembershipOutput &out)
{
    wire::PeerMessage message = newMessage(state, wire::PeerKind::Ping, ++state.sequence);
    addSelf(state, message);
    state.nextDigestAt = std::min(state.nextDigestAt, now);
    addDigest(state, message, now);
    piggyback(state, message, instance, now);
    out.messages.push_back({address, std::move(message)});
}

void sendIndirect(MembershipState &state, const Member &target, Time now, MembershipOutput &out)
{
    for (const Member *it : randomLive(state, static_cast<std::size_t>(state.options.indirectProbes), target.key.instance)) {
        wire::PeerMessage message = newMessage(state, wire::PeerKind::PingRequest, state.probe.sequence);
        message.__set_recipient(toWire(it->key));
        message.__set_about(toWire(target.key));
        message.__set_callerAddress(target.address);
        piggyback(state, message, it->key.instance, now);
        out.messages.push_back({it->address, std::move(message)});
    }
}

bool isolated(const MembershipState &state, Time now)
{
    const Time silence = now - state.lastHeard;
    return silence >= state.options.isolationThreshold && silence < state.options.isolationLimit;
}

/// Suspicions start anew, since refutations may not have reached this member.
void renewSuspicions(MembershipState &state, Time now)
{
    for (auto &[id, member] : state.members) {
        if (member.state == State::Suspect) {
            member.since = now;
        }
    }
}

void sendNews(MembershipState &state, const Member &to, Time now, MembershipOutput &out)
{
    if (!spend(state, messageBytes, now)) {
        return;
    }
    wire::PeerMessage message = newMessage(state, wire::PeerKind::Ack, 0);
    message.__set_recipient(toWire(to.key));
    piggyback(state, message, to.key.instance, now);
    if (!message.members.empty()) {
        out.messages.push_back({to.address, std::move(message)});
    }
}

void endProbe(MembershipState &state, Time now, MembershipOutput &out)
{
    const auto it = state.members.find(state.probe.target);
    state.probe = {};
    if (it == state.members.end() || isolated(state, now)) {
        return;
    }
    if (it->second.state == State::Alive) {
        ++state.counts.suspicions;
        changeState(state, it->second, State::Suspect, now, out);
        sendNews(state, it->second, now, out); // gives it the chance to refute
    } else if (it->second.state == State::Leaving) {
        changeState(state, it->second, State::Dead, now, out);
    }
}

void refillProbeOrder(MembershipState &state)
{
    for (const auto &[id, member] : state.members) {
        if (member.state != State::Dead && id != state.self.key.instance) {
            state.probeOrder.push_back(id);
        }
    }
    for (std::size_t n = state.probeOrder.size(); n > 1; --n) {
        std::swap(state.probeOrder[n - 1], state.probeOrder[below(state.random, n)]);
    }
}

const Member *nextTarget(MembershipState &state)
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
    const Member *target = nextTarget(state);
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
        sendIndirect(state, state.members.at(state.probe.target), now, out);
    }
    if (now < state.nextProbeAt) {
        return;
    }
    if (state.probe.target != 0) {
        endProbe(state, now, out);
    }
    startProbe(state, now, out);
}

/// @return addresses of dead members and of seeds that no live member has
std::vector<std::pair<std::string, Id>> lostAddresses(const MembershipState &state)
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
    const bool lonely = otherLive(state).empty();
    state.nextReconnectAt = now + (lonely ? state.options.joinInterval : state.options.reconnectInterval);
    std::vector<std::pair<std::string, Id>> lost = lostAddresses(state);
    for (std::size_t n = 0; n < (lonely ? lonelySeeds : 1) && !lost.empty(); ++n) {
        std::swap(lost.back(), lost[below(state.random, lost.size())]);
        contact(state, lost.back().first, lost.back().second, now, out);
        lost.pop_back();
    }
}

/// Asks a random member for what is missing, while digests differ.
void tickCatchUp(MembershipState &state, Time now, MembershipOutput &out)
{
    if (!state.catchingUp || now < state.nextDigestAt || state.updateBudget < answerReserve || !spend(state, messageBytes, now)) {
        return;
    }
    for (const Member *it : randomLive(state, 1, 0)) {
        sendPing(state, *it, ++state.sequence, now, out);
    }
}

/// @return when the state of the member ends by itself
Time stateEnd(const MembershipState &state, const Member &member, Time suspicion)
{
    switch (member.state) {
    case State::Suspect:
        return member.since + suspicion;
    case State::Leaving:
        return member.since + state.options.leavingLimit;
    case State::Dead:
        return member.since + state.options.deadRetention;
    default:
        return never;
    }
}

void scanMembers(MembershipState &state, Time now, MembershipOutput &out)
{
    if (now < state.nextScanAt) {
        return;
    }
    state.nextScanAt = never;
    const Time suspicion = suspicionTimeout(state.options, liveCount(state));
    const bool held = isolated(state, now);
    Time nextEnd = never;
    for (auto it = state.members.begin(); it != state.members.end();) {
        Member &member = it->second;
        const bool own = it->first == state.self.key.instance;
        if (own || stateEnd(state, member, suspicion) > now || (held && member.state == State::Suspect)) {
            nextEnd = own ? nextEnd : std::min(nextEnd, std::max(stateEnd(state, member, suspicion), now + 1));
            ++it;
        } else if (member.state == State::Dead) {
            state.updates.erase(it->first);
            it = state.members.erase(it);
        } else {
            ++state.counts.deaths;
            changeState(state, member, State::Dead, now, out);
            nextEnd = std::min(nextEnd, now + state.options.deadRetention);
            ++it;
        }
    }
    state.nextScanAt = nextEnd;
}

/// Sends urgent news at once.
void tickUrgent(MembershipState &state, Time now, MembershipOutput &out)
{
    if (!state.urgent) {
        return;
    }
    state.urgent = false;
    for (const Member *it : randomLive(state, state.options.urgentFanout, 0)) {
        sendNews(state, *it, now, out);
    }
}

void noticePause(MembershipState &state, Time now)
{
    const bool paused = state.lastTick >= 0 && now - state.lastTick > state.options.pauseThreshold;
    state.lastTick = now;
    if (!paused) {
        return;
    }
    ++state.counts.pauses;
    state.probe = {};
    state.lastHeard = now;
    renewSuspicions(state, now);
}

void answerPing(MembershipState &state, const wire::PeerMessage &message, const std::string &from, Time now, MembershipOutput &out)
{
    // A reused address: the ping is for another instance, which must not seem alive.
    if (message.__isset.recipient && message.recipient.instance != state.self.key.instance) {
        return;
    }
    wire::PeerMessage answer = newMessage(state, wire::PeerKind::Ack, message.sequence);
    answer.__set_recipient(message.sender);
    const bool outdated = !message.__isset.recipient || message.recipient.incarnation != state.self.key.incarnation;
    if (outdated) {
        addSelf(state, answer);
    }
    if (message.__isset.digest && addMissing(state, message.digest, message.sequence, answer, now)) {
        answer.__set_digest(differingMark);
        ++state.counts.digestsDiffering;
    }
    piggyback(state, answer, message.sender.instance, now);
    out.messages.push_back({from, std::move(answer)});
}

void forwardPing(MembershipState &state, const wire::PeerMessage &message, const std::string &from, Time now, MembershipOutput &out)
{
    std::erase_if(state.forwarded, [now](const auto &it) { return it.second.until <= now; });
    if (!message.__isset.about || !message.__isset.callerAddress || state.forwarded.size() >= maxForwarded) {
        return;
    }
    Member target;
    target.key = fromWire(message.about);
    target.address = message.callerAddress;
    const std::int64_t sequence = ++state.sequence;
    state.forwarded[sequence] = {from, message.sequence, target.key.instance, now + state.options.probeInterval};
    sendPing(state, target, sequence, now, out);
}

void takeAck(MembershipState &state, const wire::PeerMessage &message, MembershipOutput &out)
{
    const Id about = message.__isset.about ? message.about.instance : message.sender.instance;
    if (state.probe.target == about && state.probe.sequence == message.sequence) {
        state.probe = {};
    }
    const auto it = state.forwarded.find(message.sequence);
    if (it == state.forwarded.end() || it->second.target != message.sender.instance) {
        return;
    }
    wire::PeerMessage answer = newMessage(state, wire::PeerKind::Ack, it->second.requesterSequence);
    answer.__set_about(message.sender);
    out.messages.push_back({it->second.requester, std::move(answer)});
    state.forwarded.erase(it);
}

/// Takes the result of the comparison that an own digest asked for.
void takeComparison(MembershipState &state, const wire::PeerMessage &message, bool news, Time now)
{
    if (message.digest == differingMark) {
        state.catchingUp = true;
        state.nextDigestAt = std::min(state.nextDigestAt, now + (news ? state.options.catchUpInterval : state.options.catchUpRetry));
    } else if (message.sequence == state.digestSequence && !message.__isset.about) {
        advanceUpdates(state);
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
    state.budgetAt = now;
    state.updateBudget = static_cast<double>(state.options.updateBurstBytes);
    state.lastHeard = now;
    // Spreads the probes of members that start at the same time.
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
    for (const auto &[address, instance] : lostAddresses(state)) {
        if (instance == 0) {
            contact(state, address, instance, now, out);
        }
    }
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
    if (isolated(state, now)) {
        renewSuspicions(state, now);
    }
    state.lastHeard = now;
    bool news = false;
    for (const wire::MemberUpdate &it : message.members) {
        news = merge(state, it, now, out) || news;
    }
    if (message.kind == wire::PeerKind::Ping) {
        answerPing(state, message, from, now, out);
    } else if (message.kind == wire::PeerKind::PingRequest) {
        forwardPing(state, message, from, now, out);
    } else if (message.kind == wire::PeerKind::Ack) {
        takeAck(state, message, out);
        takeComparison(state, message, news, now);
    }
}

void tickMembership(MembershipState &state, Time now, MembershipOutput &out)
{
    noticePause(state, now);
    scanMembers(state, now, out);
    tickProbe(state, now, out);
    tickUrgent(state, now, out);
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
    for (const Member *it : randomLive(state, leaveMessages, 0)) {
        wire::PeerMessage message = newMessage(state, wire::PeerKind::Leave, ++state.sequence);
        message.__set_recipient(toWire(it->key));
        addSelf(state, message);
        out.messages.push_back({it->address, std::move(message)});
    }
}

} // namespace pimentofold
