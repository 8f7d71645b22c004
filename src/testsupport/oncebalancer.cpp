#include <testsupport/oncerun.h>

#include <algorithm>

#include "caller_types.h"

namespace pimentofold::testsupport {

namespace {

constexpr Time tickInterval = 10 * millisecond;
constexpr std::size_t maxInbox = 2'000;
/// Time for running requests in a planned stop.
constexpr Time drainLimit = 8 * second;

int nodeOf(const World &world, const InstanceKey &key)
{
    for (const FakeBalancer &it : world.balancers) {
        if (it.key.instance == key.instance) {
            return it.node;
        }
    }
    return -1;
}

void receivePeer(World &world, FakeBalancer &balancer, const wire::PeerMessage &message);

void sendPeer(World &world, const FakeBalancer &from, const OnceMessage &message)
{
    const std::size_t bytes = world.codec.encode(message.message).size() + macBytes;
    checkInvariant(world, bytes <= maxDatagramBytes, "DatagramFits", "peer message of " + std::to_string(bytes) + " bytes");
    const int to = nodeOf(world, message.to);
    if (to >= 0) {
        transmit(world.net, from.node, to, message.message.kind, [&world, to, peer = message.message] {
            deliver(world, to, [&world, to, peer] { receivePeer(world, world.balancers.at(to), peer); });
        });
    }
}

void sendDispatch(World &world, const FakeBalancer &home, const OnceDispatch &dispatch)
{
    const CallerMessage request = decodeRequest(world, dispatch.packet);
    note(world, "b" + std::to_string(home.node) + " dispatches " + request.work);
    transmitReliably(world.net, home.node, request.grant.target, dispatchKind, [&world, from = home.node, request, key = dispatch.key] {
        receiveDispatch(world, from, request.grant.target, key, request.work);
    });
}

void sendReply(World &world, FakeBalancer &from, const OnceReply &reply)
{
    const int caller = std::stoi(reply.destination.caller);
    if (reply.outcome->verdict == Verdict::NotRun) {
        world.refused.insert(reply.key);
        checkInvariant(world, !world.runs.contains(reply.key), "NotRunIsTrue", "a request that ran is refused as not run");
    }
    note(world,
         "b" + std::to_string(from.node) + " replies " + std::string(name(reply.outcome->verdict)) + "/" + std::string(name(reply.outcome->reason))
             + " for request " + std::to_string(reply.key.request) + " to c" + std::to_string(caller));
    const Grant fresh = mint(world, from, reply.key.flow, firstTarget + static_cast<int>(reply.key.flow % world.options.targets));
    transmit(world.net, from.node, caller, answerKind, [&world, caller, reply, fresh] {
        receiveAnswer(world, world.callers.at(caller - firstCaller), reply.key, *reply.outcome, fresh);
    });
}

OnceRequest toRequest(World &world, const FakeBalancer &balancer, const std::string &packet)
{
    const CallerMessage message = decodeRequest(world, packet);
    OnceRequest request;
    request.key = {1, message.grant.flow, message.request, message.grant.pairExpiry};
    request.pair = message.grant.pair;
    request.destination.caller = std::to_string(message.caller);
    request.destination.attempt = message.attempt;
    request.packet = packet;
    request.deadline = world.queue.now + message.deadlineMs * millisecond;
    if (!isKnownRequest(balancer.once, request.key) && chance(world.random, world.options.faults.refuse)) {
        request.refusal = Reason::Overload;
    }
    return request;
}

void serve(World &world, FakeBalancer &balancer, const OnceRequest &request, OnceRole role)
{
    OnceOutput out;
    handleOnceRequest(balancer.once, request, role, clockOf(world, balancer), out);
    carryOut(world, balancer, out);
    if (world.options.defect == Defect::ForgottenRefusal) {
        balancer.once.witness.refusals.clear();
    }
}

/// @return the balancers that this one believes to be running, with itself
std::vector<InstanceKey> liveBalancers(const FakeBalancer &balancer)
{
    std::vector<InstanceKey> result{balancer.key};
    for (const auto &[node, belief] : balancer.peers) {
        if (belief.usable) {
            result.push_back(belief.key);
        }
    }
    return result;
}

/// @return those who may hold the records of the pair
std::vector<InstanceKey> successorsOf(const FakeBalancer &balancer, const BalancerPair &pair)
{
    const std::vector<InstanceKey> live = liveBalancers(balancer);
    std::vector<InstanceKey> result = rankSuccessors(live, pair.home);
    for (const InstanceKey &it : rankSuccessors(live, pair.witness)) {
        result.push_back(it);
    }
    if (!isSuccessorFor(balancer.once, pair)) {
        std::erase(result, balancer.key);
    }
    return result;
}

/// A token may name a later incarnation than this balancer has heard of; that one is not gone.
bool isGone(const FakeBalancer &balancer, const InstanceKey &key)
{
    const auto it = std::find_if(balancer.peers.begin(), balancer.peers.end(), [&key](const auto &peer) { return peer.second.key.instance == key.instance; });
    return it == balancer.peers.end() ? key != balancer.key : it->second.key.incarnation > key.incarnation;
}

void carryOutRelay(World &world, FakeBalancer &balancer, const RelayOutput &out)
{
    for (const OnceMessage &it : out.messages) {
        sendPeer(world, balancer, it);
    }
    for (const OnceRequest &it : out.witnessRequests) {
        serve(world, balancer, it, OnceRole::Witness);
    }
    for (const OnceReply &it : out.replies) {
        if (world.options.defect == Defect::SecondDispatch) {
            const FakeCaller &caller = world.callers.at(std::stoi(it.destination.caller) - firstCaller);
            sendDispatch(world, balancer, {it.key, encodeRequest(world, {caller.grant, it.key.request, 1, caller.work, caller.node, 1000}), never});
        }
        sendReply(world, balancer, it);
    }
}

void relay(World &world, FakeBalancer &balancer, const OnceRequest &request)
{
    RelayRequest result{request.key, request.pair, request.destination, request.packet, false, false, successorsOf(balancer, request.pair), request.deadline};
    result.homeGone = isGone(balancer, request.pair.home);
    result.witnessGone = isGone(balancer, request.pair.witness);
    RelayOutput out;
    startRelay(balancer.relay, std::move(result), world.queue.now, out);
    carryOutRelay(world, balancer, out);
}

void receiveRelay(World &world, FakeBalancer &balancer, const wire::PeerMessage &message)
{
    const OnceRequest request = toRequest(world, balancer, message.packet);
    const OnceRole role = message.role == wire::RelayRole::Home ? OnceRole::Home : OnceRole::Witness;
    const bool successor = role == OnceRole::Witness && isSuccessorFor(balancer.once, request.pair);
    if (onceRole(balancer.key, request.pair) != role && !successor) {
        return; // without an acknowledgement the relaying balancer moves on
    }
    sendPeer(world, balancer, relayAck(balancer.key, message));
    serve(world, balancer, request, role);
}

void receivePeer(World &world, FakeBalancer &balancer, const wire::PeerMessage &message)
{
    if (!message.__isset.recipient || fromWire(message.recipient) != balancer.key) {
        return;
    }
    if (message.kind == wire::PeerKind::Relay) {
        return receiveRelay(world, balancer, message);
    }
    if (message.kind == wire::PeerKind::RelayAck) {
        return handleRelayAck(balancer.relay, message);
    }
    OnceOutput out;
    handleOnceMessage(balancer.once, message, clockOf(world, balancer), out);
    carryOut(world, balancer, out);
}

void tick(World &world, FakeBalancer &balancer)
{
    OnceOutput out;
    updateSuccessorCandidates(balancer.once, liveBalancers(balancer));
    tickOnce(balancer.once, clockOf(world, balancer), out);
    carryOut(world, balancer, out);
    RelayOutput relayed;
    tickRelay(balancer.relay, world.queue.now, relayed);
    carryOutRelay(world, balancer, relayed);
}

void endProcess(FakeBalancer &balancer)
{
    balancer.up = false;
    balancer.paused = false;
    balancer.inbox.clear();
    ++balancer.life;
}

void finishStop(World &world, FakeBalancer &balancer, Time begun)
{
    const bool late = world.queue.now - begun > 10 * second;
    checkInvariant(world, !world.plannedOnly || !late, "PlannedStopCutsNothing", "a planned stop takes longer than 10 s");
    if (isOnceStopComplete(balancer.once) || late) {
        note(world, "b" + std::to_string(balancer.node) + " has stopped");
        endProcess(balancer);
        schedule(world.queue, world.queue.now + 500 * millisecond, [&world, &balancer] { startBalancer(world, balancer); });
    }
}

void scheduleTick(World &world, FakeBalancer &balancer, Time stopBegun)
{
    schedule(world.queue, world.queue.now + tickInterval, [&world, &balancer, stopBegun, life = balancer.life] {
        if (balancer.life != life) {
            return;
        }
        if (!balancer.paused) {
            tick(world, balancer);
        }
        const Time begun = balancer.once.stopping && stopBegun < 0 ? world.queue.now : stopBegun;
        if (begun >= 0) {
            finishStop(world, balancer, begun);
        }
        if (balancer.life == life) {
            scheduleTick(world, balancer, begun);
        }
    });
}

/// Tells the others of a change, each after its own delay; some learn it only seconds later.
void spreadBelief(World &world, const FakeBalancer &about, bool usable)
{
    for (FakeBalancer &other : world.balancers) {
        if (other.node == about.node) {
            continue;
        }
        const Time delay = static_cast<Time>(unit(world.random) * static_cast<double>(chance(world.random, 0.2) ? 5 * second : 300 * millisecond));
        schedule(world.queue, world.queue.now + delay, [&other, node = about.node, key = about.key, usable] {
            PeerBelief &belief = other.peers[node];
            if (belief.key.incarnation <= key.incarnation) {
                belief = {key, usable};
            }
        });
    }
}

} // namespace

void carryOut(World &world, FakeBalancer &balancer, const OnceOutput &out)
{
    for (const OnceMessage &it : out.messages) {
        sendPeer(world, balancer, it);
    }
    for (const OnceDispatch &it : out.dispatches) {
        sendDispatch(world, balancer, it);
    }
    for (const OnceReply &it : out.replies) {
        sendReply(world, balancer, it);
    }
}

ClockReading clockOf(const World &world, const FakeBalancer &balancer)
{
    return {world.queue.now, startWall + balancer.clockOffset + world.queue.now / millisecond};
}

void deliver(World &world, int node, std::function<void()> work)
{
    FakeBalancer &balancer = world.balancers.at(node);
    if (!balancer.up) {
        return;
    }
    if (!balancer.paused) {
        work();
    } else if (balancer.inbox.size() < maxInbox) {
        balancer.inbox.push_back(std::move(work));
    }
}

void receiveRequest(World &world, FakeBalancer &balancer, const std::string &packet)
{
    const OnceRequest request = toRequest(world, balancer, packet);
    if (onceRole(balancer.key, request.pair) == OnceRole::Home) {
        serve(world, balancer, request, OnceRole::Home);
    } else {
        relay(world, balancer, request);
    }
}

void startBalancer(World &world, FakeBalancer &balancer)
{
    balancer.up = true;
    ++balancer.life;
    balancer.key.incarnation = (startWall * 1000 + world.queue.now) * 2 + static_cast<std::int64_t>(balancer.life % 2);
    balancer.once = {};
    balancer.once.self = balancer.key;
    balancer.once.limits = world.options.limits;
    balancer.relay = {};
    balancer.relay.self = balancer.key;
    note(world, "b" + std::to_string(balancer.node) + " starts");
    scheduleTick(world, balancer, -1);
    spreadBelief(world, balancer, true);
}

void crashBalancer(World &world, FakeBalancer &balancer)
{
    note(world, "b" + std::to_string(balancer.node) + " crashes");
    ++world.counts.crashes;
    endProcess(balancer);
    spreadBelief(world, balancer, false);
}

void pauseBalancer(World &world, FakeBalancer &balancer, Time length)
{
    note(world, "b" + std::to_string(balancer.node) + " is paused");
    ++world.counts.pauses;
    balancer.paused = true;
    schedule(world.queue, world.queue.now + length, [&world, &balancer, life = balancer.life] {
        if (balancer.life != life) {
            return;
        }
        note(world, "b" + std::to_string(balancer.node) + " resumes");
        balancer.paused = false;
        if (chance(world.random, 0.5)) {
            tick(world, balancer); // timers may run before or after the datagrams that have waited
        }
        const auto inbox = std::move(balancer.inbox);
        balancer.inbox.clear();
        for (const auto &it : inbox) {
            deliver(world, balancer.node, it);
        }
    });
}

void stopBalancer(World &world, FakeBalancer &balancer)
{
    note(world, "b" + std::to_string(balancer.node) + " begins its planned stop");
    ++world.counts.plannedStops;
    spreadBelief(world, balancer, false);
    if (world.options.defect == Defect::AbruptStop) {
        endProcess(balancer);
        schedule(world.queue, world.queue.now + 500 * millisecond, [&world, &balancer] { startBalancer(world, balancer); });
        return;
    }
    beginOnceStop(balancer.once, world.queue.now + drainLimit, liveBalancers(balancer));
}

Grant mint(World &world, FakeBalancer &balancer, std::int64_t flow, int target)
{
    std::vector<InstanceKey> usable;
    for (const auto &[node, belief] : balancer.peers) {
        if (belief.usable) {
            usable.push_back(belief.key);
        }
    }
    Grant grant{flow, target, {balancer.key, {}}, clockOf(world, balancer).wall + world.options.pairLifeMs};
    if (!usable.empty()) {
        grant.pair.witness = usable.at(below(world.random, usable.size()));
    }
    if (balancer.once.stopping && usable.size() > 1) {
        grant.pair.home = usable.at(below(world.random, usable.size()));
        grant.pair.witness = grant.pair.home == grant.pair.witness ? InstanceKey{} : grant.pair.witness;
    }
    return grant;
}

std::string encodeRequest(World &world, const CallerMessage &message)
{
    wire::OnceRecordWire token;
    token.key.flow = message.grant.flow;
    token.key.pairExpiry = message.grant.pairExpiry;
    token.total = message.grant.target;
    token.home = toWire(message.grant.pair.home);
    token.witness = toWire(message.grant.pair.witness);
    wire::CallerPacket packet;
    packet.kind = wire::PacketKind::Request;
    packet.flow = message.grant.flow;
    packet.request = message.request;
    packet.attempt = message.attempt;
    packet.repeatable = false;
    packet.deadlineMs = message.deadlineMs;
    packet.__set_token(std::string(world.codec.encode(token)));
    packet.__set_body(std::to_string(message.caller) + " " + message.work);
    return std::string(world.codec.encode(packet));
}

CallerMessage decodeRequest(World &world, const std::string &bytes)
{
    wire::CallerPacket packet;
    world.codec.decode(bytes, packet);
    wire::OnceRecordWire token;
    world.codec.decode(packet.token, token);
    CallerMessage message;
    message.grant = {packet.flow, static_cast<int>(token.total), {fromWire(token.home), fromWire(token.witness)}, token.key.pairExpiry};
    message.request = packet.request;
    message.attempt = packet.attempt;
    message.deadlineMs = packet.deadlineMs;
    message.caller = std::stoi(packet.body);
    message.work = packet.body.substr(packet.body.find(' ') + 1);
    return message;
}

} // namespace pimentofold::testsupport
