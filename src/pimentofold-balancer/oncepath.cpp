#include <pimentofold-balancer/balancer.h>

#include <utility>

#include <pimentofold/answer.h>

#include <pimentofold-balancer/serviceload.h>

namespace pimentofold {

namespace {

OnceKey onceKeyOf(const Arrival &arrival)
{
    return {arrival.service->id, arrival.packet.flow, arrival.packet.request, arrival.checked.token.pairExpiry};
}

BalancerPair pairOf(const Token &token)
{
    return {token.home, token.witness};
}

ReplyDestination routeOf(const Arrival &arrival)
{
    return {toString(arrival.caller), arrival.packet.offset, arrival.packet.limit, arrival.packet.attempt};
}

/// A token may name a later incarnation than this view shows; that one is to be asked.
bool isGone(const View &view, const InstanceKey &key)
{
    const ViewMember *member = findMember(view, key.instance);
    return member == nullptr || member->key.incarnation > key.incarnation;
}

} // namespace

ClockReading Balancer::onceNow()
{
    return {monotonicNow(), wallNow()};
}

void Balancer::requestOnce(Arrival &arrival)
{
    const ViewService &service = *arrival.service;
    if (!arrival.checked.hasToken) {
        if (service.session) {
            sendToCachedRoute(addInFlight(arrival, Purpose::FindForToken));
        } else {
            refuse({service.id, arrival.caller, &arrival.packet}, {Verdict::NotRun, Reason::TokenRequired, 0, mint(service, arrival.packet.flow, 0, 0)});
        }
        return;
    }
    const BalancerPair pair = pairOf(arrival.checked.token);
    if (onceRole(m_own, pair) == OnceRole::Home) {
        takeOnce(arrival, OnceRole::Home);
    } else if (!arrival.relayed) {
        relayOnce(arrival);
    }
}

/// Relays a request to its home, then to its witness, then to those who may keep the records of stopped balancers.
void Balancer::relayOnce(const Arrival &arrival)
{
    RelayRequest request;
    request.key = onceKeyOf(arrival);
    request.pair = pairOf(arrival.checked.token);
    request.destination = routeOf(arrival);
    request.packet = std::string(arrival.bytes);
    request.homeGone = isGone(m_view, request.pair.home);
    request.witnessGone = isGone(m_view, request.pair.witness);
    request.successors = successorsOf(request.pair);
    request.deadline = m_now + deadlineOf(arrival.packet, *arrival.service);
    count(m_metrics, "relays_sent_total");
    RelayOutput out;
    startRelay(m_onceRelays, std::move(request), m_now, out);
    carryOutRelays(std::move(out));
}

std::vector<InstanceKey> Balancer::successorsOf(const BalancerPair &pair) const
{
    const std::vector<InstanceKey> members = servingMembers(m_view);
    std::vector<InstanceKey> successors = rankSuccessors(members, pair.home);
    for (const InstanceKey &it : rankSuccessors(members, pair.witness)) {
        successors.push_back(it);
    }
    if (!isSuccessorFor(m_once, pair)) {
        std::erase(successors, m_own);
    }
    return successors;
}

/// Reads the packet of a request again and keeps its token for the answer.
/// @return false when the service or the token is no longer valid
bool Balancer::openOnce(const OnceKey &key, std::string_view packet, Arrival &arrival)
{
    arrival.service = findService(m_view, key.serviceId);
    if (arrival.service == nullptr) {
        return false;
    }
    arrival.checked = checkPacket(m_codec, packet, *arrival.service, m_view.keys, wallNow(), arrival.packet);
    if (arrival.checked.fault != PacketFault::None) {
        return false;
    }
    m_onceTokens[key] = arrival.checked.token;
    return true;
}

void Balancer::carryOutRelays(RelayOutput out)
{
    for (OnceMessage &it : out.messages) {
        m_peers.send(m_view, it.to, it.message);
    }
    for (const InstanceKey &it : out.unresponsive) {
        count(m_metrics, "relays_unanswered_total");
        noteSilent(it);
    }
    for (OnceRequest &it : out.witnessRequests) {
        Arrival arrival;
        if (openOnce(it.key, it.packet, arrival)) {
            OnceOutput result;
            it.deadline = m_now + deadlineOf(arrival.packet, *arrival.service);
            handleOnceRequest(m_once, it, OnceRole::Witness, onceNow(), result);
            carryOut(std::move(result));
        }
    }
    for (const RelayReply &it : out.replies) {
        Arrival arrival;
        if (openOnce(it.key, it.packet, arrival)) {
            sendOnceReply(it);
            m_onceTokens.erase(it.key);
        }
    }
}

void Balancer::tickOnceRelays()
{
    RelayOutput out;
    tickRelay(m_onceRelays, m_now, out);
    carryOutRelays(std::move(out));
}

bool Balancer::takesOnce(const Arrival &arrival, wire::RelayRole::type role)
{
    if (!arrival.checked.hasToken || arrival.packet.repeatable) {
        return false;
    }
    const BalancerPair pair = pairOf(arrival.checked.token);
    if (role == wire::RelayRole::Home) {
        return onceRole(m_own, pair) == OnceRole::Home;
    }
    return onceRole(m_own, pair) == OnceRole::Witness || isSuccessorFor(m_once, pair);
}

void Balancer::takeOnce(const Arrival &arrival, OnceRole role)
{
    const ClockReading now = onceNow();
    OnceRequest request;
    request.key = onceKeyOf(arrival);
    request.pair = pairOf(arrival.checked.token);
    request.destination = routeOf(arrival);
    request.packet = std::string(arrival.bytes);
    request.deadline = now.monotonic + deadlineOf(arrival.packet, *arrival.service);
    m_onceTokens[request.key] = arrival.checked.token;
    OnceOutput out;
    handleOnceRequest(m_once, request, role, now, out);
    carryOut(std::move(out));
}

void Balancer::onOncePeer(const wire::PeerMessage &message)
{
    OnceOutput out;
    handleOnceMessage(m_once, message, onceNow(), out);
    carryOut(std::move(out));
}

void Balancer::finishOnce(InFlightId id, OnceOutcome outcome)
{
    const InFlight &entry = *m_inFlight.find(id);
    const OnceKey key{entry.serviceId, entry.packet.flow, entry.packet.request, entry.token.pairExpiry};
    forget(id);
    OnceOutput out;
    handleOnceOutcome(m_once, key, std::move(outcome), onceNow(), out);
    carryOut(std::move(out));
}

void Balancer::carryOut(OnceOutput out)
{
    for (OnceMessage &it : out.messages) {
        m_peers.send(m_view, it.to, it.message);
    }
    for (const OnceReply &it : out.replies) {
        sendOnceReply(it);
    }
    for (const OnceReply &it : out.replies) {
        m_onceTokens.erase(it.key);
    }
    for (const OnceDispatch &it : out.dispatches) {
        dispatchOnce(it);
    }
}

void Balancer::dispatchOnce(const OnceDispatch &dispatch)
{
    const auto token = m_onceTokens.find(dispatch.key);
    Arrival arrival;
    arrival.service = findService(m_view, dispatch.key.serviceId);
    if (arrival.service == nullptr || token == m_onceTokens.end()) {
        OnceOutput out;
        handleOnceOutcome(m_once, dispatch.key, {Verdict::NotRun, Reason::NoTarget, {}, 0, 0}, onceNow(), out);
        carryOut(std::move(out));
        return;
    }
    m_codec.decode(dispatch.packet, arrival.packet); // checked when it arrived
    arrival.packet.__isset.token = false;
    arrival.packet.token.clear();
    arrival.packet.offset = 0;
    arrival.checked.hasToken = true;
    arrival.checked.token = token->second;
    const InFlightId id = addInFlight(arrival, Purpose::OnceRequest);
    m_inFlight.find(id)->deadline = dispatch.deadline;
    if (arrival.service->session) {
        sendToTokenTarget(id);
    } else {
        place(id, true);
    }
}

void Balancer::sendOnceReply(const OnceReply &reply)
{
    const OnceOutcome &outcome = *reply.outcome;
    InFlight entry;
    entry.serviceId = reply.key.serviceId;
    entry.packet.kind = wire::PacketKind::Request;
    entry.packet.flow = reply.key.flow;
    entry.packet.request = reply.key.request;
    entry.packet.attempt = reply.destination.attempt;
    entry.packet.offset = reply.destination.offset;
    entry.packet.limit = reply.destination.limit;
    entry.caller = parseAddress(reply.destination.caller);
    const auto token = m_onceTokens.find(reply.key);
    entry.hasToken = token != m_onceTokens.end();
    if (entry.hasToken) {
        entry.token = token->second;
    }
    if (outcome.verdict == Verdict::Ran) {
        wire::TargetFrame frame;
        frame.total = outcome.total;
        frame.entityTag = outcome.entityTag;
        if (reply.destination.offset < static_cast<std::int64_t>(outcome.answer.size())) {
            frame.body = outcome.answer.substr(static_cast<std::size_t>(reply.destination.offset));
        }
        sendParts(entry, frame);
        return;
    }
    if (outcome.verdict == Verdict::NotRun && outcome.reason == Reason::PairLost && entry.hasToken && entry.token.home == m_own) {
        noteSilent(entry.token.witness);
    }
    const ViewService *service = findService(m_view, reply.key.serviceId);
    const bool isWorthRetry = outcome.verdict == Verdict::NotRun && (outcome.reason == Reason::Shed || outcome.reason == Reason::NoTarget);
    std::string fresh = entry.hasToken && service != nullptr ? refreshed(entry.token, *service, reply.key.flow) : std::string();
    refuse({entry.serviceId, entry.caller, &entry.packet}, {outcome.verdict, outcome.reason, isWorthRetry ? retryHint() : 0, std::move(fresh)});
}

} // namespace pimentofold
