#include <pimentofold-balancer/balancer.h>

#include <algorithm>
#include <utility>

#include <pimentofold/answer.h>

namespace pimentofold {

namespace {

// Refused callers come back spread over this time, in ms.
constexpr int retryHintLeast = 200;
constexpr int retryHintSpread = 800;

wire::FrameKind::type frameKind(Purpose purpose)
{
    switch (purpose) {
    case Purpose::OpenToken:
    case Purpose::OpenBare:
    case Purpose::FindBeforeOpen:
    case Purpose::FindForToken:
        return wire::FrameKind::Open;
    case Purpose::Close:
        return wire::FrameKind::Close;
    default:
        return wire::FrameKind::Request;
    }
}

wire::PacketKind::type answerKind(wire::PacketKind::type kind)
{
    switch (kind) {
    case wire::PacketKind::Open:
        return wire::PacketKind::Opened;
    case wire::PacketKind::Close:
        return wire::PacketKind::Closed;
    default:
        return wire::PacketKind::Answer;
    }
}

bool isOpening(Purpose purpose)
{
    return purpose == Purpose::OpenToken || purpose == Purpose::OpenBare || purpose == Purpose::FindBeforeOpen;
}

} // namespace

int Balancer::retryHint()
{
    return retryHintLeast + static_cast<int>(below(m_random, retryHintSpread));
}

void Balancer::refuse(const ReplyTo &to, const Refusal &refusal)
{
    ++m_refused;
    wire::CallerPacket answer;
    answer.kind = answerKind(to.packet->kind);
    answer.flow = to.packet->flow;
    answer.request = to.packet->request;
    answer.attempt = to.packet->attempt;
    answer.offset = to.packet->offset;
    answer.__set_verdict(static_cast<wire::Verdict::type>(refusal.verdict));
    answer.reason = static_cast<wire::Reason::type>(refusal.reason);
    answer.retryAfterMs = refusal.retryAfterMs;
    if (!refusal.token.empty()) {
        answer.__set_token(refusal.token);
    }
    count(m_metrics, "refused_total{reason=\"" + std::string(name(refusal.reason)) + "\"}");
    m_ports.send(to.serviceId, m_codec.encode(answer), to.caller);
}

void Balancer::forget(InFlightId id)
{
    InFlight *entry = m_inFlight.find(id);
    PooledTarget *target = entry == nullptr || entry->call == 0 ? nullptr : m_pool.find(entry->target);
    if (target != nullptr) {
        abandonCall(target->link, entry->call);
    }
    if (entry != nullptr) {
        release(id, WorkOutcome::Cancelled);
    }
    m_inFlight.remove(id);
}

void Balancer::finish(InFlightId id, Refusal refusal)
{
    InFlight &entry = *m_inFlight.find(id);
    if (entry.purpose == Purpose::OnceRequest) {
        finishOnce(id, {refusal.verdict, refusal.reason, {}, 0, 0});
        return;
    }
    const ViewService *service = findService(m_view, entry.serviceId);
    if (refusal.token.empty() && entry.hasToken && service != nullptr && entry.purpose == Purpose::Request) {
        refusal.token = refreshed(entry.token, *service, entry.packet.flow);
    }
    refuse({entry.serviceId, entry.caller, &entry.packet}, refusal);
    forget(id);
}

InFlightId Balancer::addInFlight(Arrival &arrival, Purpose purpose)
{
    InFlight entry;
    entry.purpose = purpose;
    entry.serviceId = arrival.service->id;
    entry.hasToken = arrival.checked.hasToken;
    entry.token = arrival.checked.token;
    entry.caller = arrival.caller;
    entry.startedAt = m_now;
    entry.deadline = entry.startedAt + deadlineOf(arrival.packet, *arrival.service);
    entry.packet = std::move(arrival.packet);
    return m_inFlight.add(std::move(entry));
}

bool Balancer::sendToTarget(InFlightId id, PooledTarget &target)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    wire::TargetFrame frame;
    frame.kind = frameKind(entry.purpose);
    frame.flow = entry.packet.flow;
    frame.attempt = entry.packet.attempt;
    frame.session = service == nullptr || service->session;
    frame.onlyIfHeld = entry.purpose == Purpose::FindBeforeOpen || entry.purpose == Purpose::FindForToken;
    frame.deadlineMs = static_cast<std::int32_t>(std::max<Time>(1, (entry.deadline - m_now) / millisecond));
    if (frame.kind == wire::FrameKind::Request) {
        frame.request = entry.packet.request;
        frame.workKind = entry.packet.workKind;
        frame.repeatable = entry.packet.repeatable;
        frame.offset = entry.packet.offset;
        frame.limit = static_cast<std::int32_t>(entry.purpose == Purpose::OnceRequest ? onceAnswerLimit : clampedLimit(entry.packet.limit));
    }
    if (entry.packet.__isset.body && !frame.onlyIfHeld) {
        frame.__set_body(entry.packet.body);
    }
    entry.target = target.link.targetId;
    entry.call = m_pool.call(target, frame, id);
    return entry.call != 0;
}

void Balancer::request(Arrival &arrival)
{
    ++m_requests;
    const ViewService &service = *arrival.service;
    const wire::CallerPacket &packet = arrival.packet;
    const bool closing = packet.kind == wire::PacketKind::Close;
    ServiceLoad &load = m_load[service.id];
    noteRequest(load.budget, m_now);
    load.arrived += arrival.relayed ? 0 : 1;
    if (!closing && !packet.repeatable) {
        requestOnce(arrival);
        return;
    }
    if (!service.session) {
        const InstanceKey dispatcher = dispatcherOf(service, packet);
        if (!arrival.relayed && dispatcher.instance != 0 && dispatcher != m_own) {
            relayToDispatcher(arrival);
        } else if (wasRefused(load.refusals, requestHash(service.id, packet.flow, packet.request))) {
            count(m_metrics, "refused_copies_dropped_total");
        } else {
            place(addInFlight(arrival, Purpose::Request), load.main.targets.targets.empty());
        }
        return;
    }
    const InFlightId id = addInFlight(arrival, closing ? Purpose::Close : Purpose::Request);
    if (arrival.checked.hasToken) {
        sendToTokenTarget(id);
    } else {
        sendToCachedRoute(id);
    }
}

/// Sends a packet of a token flow to the target that the token names, if that target still runs.
void Balancer::sendToTokenTarget(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    PooledTarget *target = m_pool.find(entry.token.target);
    if (target == nullptr || target->link.state != LinkState::Ready) {
        finish(id, {Verdict::NotRun, Reason::NoTarget, retryHint(), {}});
        return;
    }
    if (target->link.incarnation != entry.token.targetIncarnation) {
        // The target has restarted since and holds none of its earlier flows.
        finish(id, {Verdict::NotRun, Reason::UnknownFlow, 0, {}});
        return;
    }
    if (entry.purpose == Purpose::Close) {
        sendToTarget(id, *target);
    } else {
        offerRequest(id, entry.token.target);
    }
}

void Balancer::sendToCachedRoute(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    const std::uint64_t hash = flowHash(entry.serviceId, entry.packet.flow);
    const std::optional<std::size_t> cached = findRoute(m_routes, hash);
    PooledTarget *target = cached && *cached < m_view.targets.size() ? m_pool.find(m_view.targets[*cached].id) : nullptr;
    if (target != nullptr && target->link.serviceId == entry.serviceId && target->link.state == LinkState::Ready) {
        entry.fromCache = true;
        if (entry.purpose == Purpose::Request) {
            offerRequest(id, target->link.targetId);
        } else {
            sendToTarget(id, *target);
        }
        return;
    }
    entry.target = 0;
    askCandidate(id);
}

void Balancer::onAnswer(InFlightId id, const wire::TargetFrame &frame, PooledTarget &target)
{
    m_now = target.link.heardAt;
    InFlight *entry = m_inFlight.find(id);
    // A late or crossed answer names another flow or request.
    if (entry == nullptr || frame.flow != entry->packet.flow || (frame.kind == wire::FrameKind::Answer && frame.request != entry->packet.request)) {
        count(m_metrics, "target_answers_unmatched_total");
        if (entry != nullptr) {
            entry->call = 0;
            onLost(id);
        }
        return;
    }
    entry->call = 0;
    release(id, outcomeOf(frame));
    const CallOutcome outcome = callOutcome(frame.__isset.outcome ? frame.outcome : wire::Outcome::Done);
    if (outcome.verdict == Verdict::Ran) {
        onRan(id, frame, target);
    } else if (outcome.verdict == Verdict::NotRun) {
        onNotRun(id, outcome);
    } else {
        finish(id, {outcome.verdict, outcome.reason, 0, {}});
    }
}

void Balancer::onRan(InFlightId id, const wire::TargetFrame &frame, PooledTarget &target)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    if (isOpening(entry.purpose)) {
        opened(id, target);
        return;
    }
    if (entry.purpose == Purpose::FindForToken) {
        std::string token = service == nullptr ? std::string() : mint(*service, entry.packet.flow, target.link.targetId, target.link.incarnation);
        finish(id, {Verdict::NotRun, Reason::TokenRequired, 0, std::move(token)});
        return;
    }
    if (entry.purpose == Purpose::OnceRequest) {
        finishOnce(id, {Verdict::Ran, Reason::None, frame.body, frame.total, frame.entityTag});
        return;
    }
    if (!entry.hasToken && service != nullptr && service->session && entry.asked > 1) {
        storeRoute(m_routes, flowHash(entry.serviceId, entry.packet.flow), m_view.targetIndex[entry.target]);
    }
    if (entry.purpose == Purpose::Close) {
        flowClosed(m_load[entry.serviceId].main.targets, target.link.targetId, m_now);
        eraseRoute(m_routes, flowHash(entry.serviceId, entry.packet.flow));
        wire::CallerPacket answer;
        answer.kind = wire::PacketKind::Closed;
        answer.flow = entry.packet.flow;
        answer.attempt = entry.packet.attempt;
        m_ports.send(entry.serviceId, m_codec.encode(answer), entry.caller);
    } else {
        sendParts(entry, frame);
    }
    m_inFlight.remove(id);
}

void Balancer::sendParts(const InFlight &entry, const wire::TargetFrame &frame)
{
    const ViewService *service = findService(m_view, entry.serviceId);
    wire::CallerPacket answer;
    answer.kind = wire::PacketKind::Answer;
    answer.flow = entry.packet.flow;
    answer.request = entry.packet.request;
    answer.attempt = entry.packet.attempt;
    answer.total = frame.total;
    answer.entityTag = frame.entityTag;
    answer.__set_verdict(wire::Verdict::Ran);
    if (entry.hasToken && service != nullptr) {
        answer.token = refreshed(entry.token, *service, entry.packet.flow);
        answer.__isset.token = !answer.token.empty();
    }
    const std::string_view range = std::string_view(frame.body).substr(0, clampedLimit(entry.packet.limit));
    for (const AnswerPart &it : splitAnswer(range, entry.packet.offset)) {
        answer.offset = it.offset;
        answer.__set_body(std::string(it.body));
        m_ports.send(entry.serviceId, m_codec.encode(answer), entry.caller);
        // One part with the fresh token is enough.
        answer.__isset.token = false;
    }
}

void Balancer::onNotRun(InFlightId id, const CallOutcome &outcome)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    const bool session = service == nullptr || service->session;
    if (outcome.reason == Reason::UnknownFlow && session && !entry.hasToken && entry.purpose != Purpose::OpenBare) {
        if (entry.fromCache) {
            eraseRoute(m_routes, flowHash(entry.serviceId, entry.packet.flow));
            entry.fromCache = false;
            entry.target = 0;
        }
        askCandidate(id);
        return;
    }
    const Time now = m_now;
    const bool elsewhere = outcome.reason == Reason::Shed && (!session || isOpening(entry.purpose)) && now < entry.deadline;
    if (elsewhere && takeRetry(m_load[entry.serviceId].budget, now)) {
        count(m_metrics, "retries_total");
        if (entry.purpose == Purpose::OpenToken) {
            openWithToken(id);
        } else if (entry.purpose == Purpose::OpenBare) {
            askCandidate(id);
        } else {
            place(id, entry.direct);
        }
        return;
    }
    finish(id, {Verdict::NotRun, outcome.reason, outcome.reason == Reason::Shed ? retryHint() : 0, {}});
}

void Balancer::onLost(InFlightId id)
{
    m_now = monotonicNow();
    InFlight *entry = m_inFlight.find(id);
    if (entry == nullptr) {
        return;
    }
    entry->call = 0;
    release(id, WorkOutcome::Lost);
    const ViewService *service = findService(m_view, entry->serviceId);
    const Time now = m_now;
    const bool movable = service != nullptr && !service->session && entry->purpose == Purpose::Request && entry->packet.repeatable && now < entry->deadline;
    if (movable && takeRetry(m_load[entry->serviceId].budget, now)) {
        count(m_metrics, "retries_total");
        place(id, entry->direct);
        return;
    }
    finish(id, {Verdict::MayHaveRun, Reason::TargetLost, 0, {}});
}

void Balancer::onOverdue(InFlightId id)
{
    InFlight *entry = m_inFlight.find(id);
    if (entry == nullptr) {
        return;
    }
    count(m_metrics, "overdue_total");
    if (entry->purpose == Purpose::OnceRequest && m_inFlight.extend(id, m_now)) {
        return;
    }
    release(id, WorkOutcome::Expired);
    // In the direct lane another balancer may hold the request; see refuseAdmission().
    const bool notRun = entry->call == 0 && !entry->direct;
    finish(id, {notRun ? Verdict::NotRun : Verdict::MayHaveRun, Reason::TimedOut, 0, {}});
}

std::string Balancer::mint(const ViewService &service, std::int64_t flow, Id target, std::int64_t targetIncarnation)
{
    const TokenKey *key = newestKey(m_view, service.teamId);
    if (key == nullptr) {
        return {};
    }
    const HomePair pair = choosePair(m_view, m_own, flow);
    const Token token = mintToken(service.id, target, targetIncarnation, pair.home, pair.witness, key->epoch, wallNow());
    const SealedToken sealed = sealToken(token, flow, key->key);
    return {sealed.begin(), sealed.end()};
}

std::string Balancer::refreshed(const Token &token, const ViewService &service, std::int64_t flow)
{
    return needsRefresh(token, m_view, service.teamId, wallNow()) ? mint(service, flow, token.target, token.targetIncarnation) : std::string();
}

} // namespace pimentofold
