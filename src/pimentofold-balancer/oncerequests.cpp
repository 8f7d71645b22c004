#include <pimentofold-balancer/balancer.h>

#include <utility>

#include <pimentofold/answer.h>

#include <pimentofold-balancer/serviceload.h>

namespace pimentofold {

namespace {

OnceKey onceKeyOf(const IncomingPacket &incoming)
{
    return {incoming.service->id, incoming.packet.flow, incoming.packet.request, incoming.checked.token.pairExpiry};
}

BalancerPair pairOf(const Token &token)
{
    return {token.home, token.witness};
}

ReplyDestination replyDestinationOf(const IncomingPacket &incoming)
{
    return {toString(incoming.caller), incoming.packet.offset, incoming.packet.limit, incoming.packet.attempt};
}

/// @return whether a balancer has left the view or is listed there in a later incarnation. An incarnation later than the
///         listed one counts as running, because the view may lag behind.
bool isGone(const View &view, const InstanceKey &key)
{
    const ViewMember *member = findMember(view, key.instance);
    return member == nullptr || member->key.incarnation > key.incarnation;
}

} // namespace

ClockReading Balancer::readClocks()
{
    return {monotonicNow(), wallNow()};
}

void Balancer::routeOnceRequest(IncomingPacket &incoming)
{
    const ViewService &service = *incoming.service;
    if (!incoming.checked.hasToken) {
        if (service.session) {
            sendToCachedTarget(addInFlight(incoming, Purpose::FindFlowForToken));
        } else {
            sendRefusal({service.id, incoming.caller, &incoming.packet},
                        {Verdict::NotRun, Reason::TokenRequired, 0, issueToken(service, incoming.packet.flow, 0, 0)});
        }
        return;
    }
    const BalancerPair pair = pairOf(incoming.checked.token);
    if (onceRole(m_self, pair) == OnceRole::Home) {
        serveOnceRequest(incoming, OnceRole::Home);
    } else if (!incoming.relayed) {
        relayOnceRequest(incoming);
    }
}

void Balancer::relayOnceRequest(const IncomingPacket &incoming)
{
    RelayRequest request;
    request.key = onceKeyOf(incoming);
    request.pair = pairOf(incoming.checked.token);
    request.destination = replyDestinationOf(incoming);
    request.packet = std::string(incoming.datagram);
    request.homeGone = isGone(m_view, request.pair.home);
    request.witnessGone = isGone(m_view, request.pair.witness);
    request.successors = successorsOf(request.pair);
    request.deadline = m_now + deadlineOf(incoming.packet, *incoming.service);
    count(m_metrics, "relays_sent_total");
    RelayOutput out;
    startRelay(m_onceRelays, std::move(request), m_now, out);
    applyRelayOutput(std::move(out));
}

std::vector<InstanceKey> Balancer::successorsOf(const BalancerPair &pair) const
{
    const std::vector<InstanceKey> members = servingMembers(m_view);
    std::vector<InstanceKey> successors = rankSuccessors(members, pair.home);
    for (const InstanceKey &it : rankSuccessors(members, pair.witness)) {
        successors.push_back(it);
    }
    if (!isSuccessorFor(m_onceState, pair)) {
        std::erase(successors, m_self);
    }
    return successors;
}

bool Balancer::parseOncePacket(const OnceKey &key, std::string_view packet, IncomingPacket &incoming)
{
    incoming.service = findService(m_view, key.serviceId);
    if (incoming.service == nullptr) {
        return false;
    }
    incoming.checked = checkPacket(m_codec, packet, *incoming.service, m_view.keys, wallNow(), incoming.packet);
    if (incoming.checked.fault != PacketFault::None) {
        return false;
    }
    m_onceTokens[key] = incoming.checked.token;
    return true;
}

void Balancer::applyRelayOutput(RelayOutput out)
{
    for (OnceMessage &it : out.messages) {
        m_peerPort.send(m_view, it.to, it.message);
    }
    for (const InstanceKey &it : out.unresponsive) {
        count(m_metrics, "relays_unanswered_total");
        markSilent(it);
    }
    for (OnceRequest &it : out.witnessRequests) {
        IncomingPacket incoming;
        if (parseOncePacket(it.key, it.packet, incoming)) {
            OnceOutput result;
            it.deadline = m_now + deadlineOf(incoming.packet, *incoming.service);
            handleOnceRequest(m_onceState, it, OnceRole::Witness, readClocks(), result);
            applyOnceOutput(std::move(result));
        }
    }
    for (const RelayReply &it : out.replies) {
        IncomingPacket incoming;
        if (parseOncePacket(it.key, it.packet, incoming)) {
            sendOnceReply(it);
            m_onceTokens.erase(it.key);
        }
    }
}

void Balancer::retryOnceRelays()
{
    RelayOutput out;
    tickRelay(m_onceRelays, m_now, out);
    applyRelayOutput(std::move(out));
}

bool Balancer::canServeOnceRequest(const IncomingPacket &incoming, wire::RelayRole::type role)
{
    if (!incoming.checked.hasToken || incoming.packet.repeatable) {
        return false;
    }
    const BalancerPair pair = pairOf(incoming.checked.token);
    if (role == wire::RelayRole::Home) {
        return onceRole(m_self, pair) == OnceRole::Home;
    }
    return onceRole(m_self, pair) == OnceRole::Witness || isSuccessorFor(m_onceState, pair);
}

void Balancer::serveOnceRequest(const IncomingPacket &incoming, OnceRole role)
{
    const ClockReading now = readClocks();
    OnceRequest request;
    request.key = onceKeyOf(incoming);
    request.pair = pairOf(incoming.checked.token);
    request.destination = replyDestinationOf(incoming);
    request.packet = std::string(incoming.datagram);
    request.deadline = now.monotonic + deadlineOf(incoming.packet, *incoming.service);
    m_onceTokens[request.key] = incoming.checked.token;
    OnceOutput out;
    handleOnceRequest(m_onceState, request, role, now, out);
    applyOnceOutput(std::move(out));
}

void Balancer::onOncePeerMessage(const wire::PeerMessage &message)
{
    OnceOutput out;
    handleOnceMessage(m_onceState, message, readClocks(), out);
    applyOnceOutput(std::move(out));
}

void Balancer::reportOnceOutcome(InFlightId id, OnceOutcome outcome)
{
    const InFlight &entry = *m_inFlight.find(id);
    const OnceKey key{entry.serviceId, entry.packet.flow, entry.packet.request, entry.token.pairExpiry};
    abandon(id);
    OnceOutput out;
    handleOnceOutcome(m_onceState, key, std::move(outcome), readClocks(), out);
    applyOnceOutput(std::move(out));
}

void Balancer::applyOnceOutput(OnceOutput out)
{
    for (OnceMessage &it : out.messages) {
        m_peerPort.send(m_view, it.to, it.message);
    }
    for (const OnceReply &it : out.replies) {
        sendOnceReply(it);
    }
    for (const OnceReply &it : out.replies) {
        m_onceTokens.erase(it.key);
    }
    for (const OnceDispatch &it : out.dispatches) {
        dispatchOnceRequest(it);
    }
}

void Balancer::dispatchOnceRequest(const OnceDispatch &dispatch)
{
    const auto token = m_onceTokens.find(dispatch.key);
    IncomingPacket incoming;
    incoming.service = findService(m_view, dispatch.key.serviceId);
    if (incoming.service == nullptr || token == m_onceTokens.end()) {
        OnceOutput out;
        handleOnceOutcome(m_onceState, dispatch.key, {Verdict::NotRun, Reason::NoTarget, {}, 0, 0}, readClocks(), out);
        applyOnceOutput(std::move(out));
        return;
    }
    m_codec.decode(dispatch.packet, incoming.packet); // its content was checked when it arrived
    incoming.packet.__isset.token = false;
    incoming.packet.token.clear();
    incoming.packet.offset = 0;
    incoming.checked.hasToken = true;
    incoming.checked.token = token->second;
    const InFlightId id = addInFlight(incoming, Purpose::OnceRequest);
    m_inFlight.find(id)->deadline = dispatch.deadline;
    if (incoming.service->session) {
        sendToTokenTarget(id);
    } else {
        placeOnAnyTarget(id, true);
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
        sendAnswerParts(entry, frame);
        return;
    }
    if (outcome.verdict == Verdict::NotRun && outcome.reason == Reason::PairLost && entry.hasToken && entry.token.home == m_self) {
        markSilent(entry.token.witness);
    }
    const ViewService *service = findService(m_view, reply.key.serviceId);
    const bool suggestsRetry = outcome.verdict == Verdict::NotRun && (outcome.reason == Reason::Shed || outcome.reason == Reason::NoTarget);
    std::string newToken = entry.hasToken && service != nullptr ? refreshedToken(entry.token, *service, reply.key.flow) : std::string();
    sendRefusal({entry.serviceId, entry.caller, &entry.packet},
                {outcome.verdict, outcome.reason, suggestsRetry ? randomRetryAfterMs() : 0, std::move(newToken)});
}

} // namespace pimentofold
