#include <pimentofold-balancer/balancer.h>

#include <utility>

#include <pimentofold/answer.h>

namespace pimentofold {

namespace {

OnceKey onceKeyOf(const Arrival &arrival)
{
    return {arrival.service->id, arrival.packet.flow, arrival.packet.request, arrival.checked.token.pairExpiry};
}

OncePair pairOf(const Token &token)
{
    return {token.home, token.witness};
}

} // namespace

OnceNow Balancer::onceNow()
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
    const OncePair pair = pairOf(arrival.checked.token);
    if (onceRole(m_own, pair) == OnceRole::Home) {
        takeOnce(arrival, OnceRole::Home);
    } else if (!arrival.relayed) {
        const ViewMember *home = findMember(m_view, pair.home.instance);
        if (home != nullptr && home->key == pair.home && home->state != ViewMember::State::Dead) {
            relay(arrival, pair.home, wire::RelayRole::Home);
        } else {
            homeUnreachable(arrival);
        }
    }
}

/// Turns to the witness after the home didn't take a request.
void Balancer::homeUnreachable(Arrival &arrival)
{
    const Token &token = arrival.checked.token;
    if (arrival.packet.kind != wire::PacketKind::Request) {
        return;
    }
    if (onceRole(m_own, pairOf(token)) == OnceRole::Witness) {
        takeOnce(arrival, OnceRole::Witness);
    } else if (token.witness.instance != 0 && findMember(m_view, token.witness.instance) != nullptr) {
        relay(arrival, token.witness, wire::RelayRole::Witness);
    } else {
        refuse({arrival.service->id, arrival.caller, &arrival.packet},
               {Verdict::MayHaveRun, Reason::PairLost, 0, refreshed(token, *arrival.service, arrival.packet.flow)});
    }
}

bool Balancer::takesOnce(const Arrival &arrival, wire::RelayRole::type role)
{
    const OnceRole wanted = role == wire::RelayRole::Home ? OnceRole::Home : OnceRole::Witness;
    return arrival.checked.hasToken && !arrival.packet.repeatable && onceRole(m_own, pairOf(arrival.checked.token)) == wanted;
}

void Balancer::takeOnce(const Arrival &arrival, OnceRole role)
{
    const OnceNow now = onceNow();
    OnceRequest request;
    request.key = onceKeyOf(arrival);
    request.pair = pairOf(arrival.checked.token);
    request.route = {toString(arrival.caller), arrival.packet.offset, arrival.packet.limit, arrival.packet.attempt};
    request.packet = std::string(arrival.bytes);
    request.deadline = now.now + deadlineOf(arrival.packet, *arrival.service);
    m_onceTokens[request.key] = arrival.checked.token;
    OnceOutput out;
    handleOnceRequest(m_once, request, role, now, out);
    carryOut(std::move(out));
}

void Balancer::onOncePeer(const wire::PeerMessage &message)
{
    OnceOutput out;
    handleOncePeer(m_once, message, onceNow(), out);
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
    entry.packet.attempt = reply.route.attempt;
    entry.packet.offset = reply.route.offset;
    entry.packet.limit = reply.route.limit;
    entry.caller = parseAddress(reply.route.caller);
    const auto token = m_onceTokens.find(reply.key);
    entry.hasToken = token != m_onceTokens.end();
    if (entry.hasToken) {
        entry.token = token->second;
    }
    if (outcome.verdict == Verdict::Ran) {
        wire::TargetFrame frame;
        frame.total = outcome.total;
        frame.entityTag = outcome.entityTag;
        if (reply.route.offset < static_cast<std::int64_t>(outcome.answer.size())) {
            frame.body = outcome.answer.substr(static_cast<std::size_t>(reply.route.offset));
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
