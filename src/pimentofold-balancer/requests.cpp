#include <pimentofold-balancer/balancer.h>

#include <algorithm>
#include <utility>

#include <pimentofold/answer.h>

namespace pimentofold {

namespace {

// Refused callers are asked to retry after a random delay from this range, so that they don't all return together.
constexpr int minRetryAfterMs = 200;
constexpr int retryAfterSpreadMs = 800;

wire::FrameKind::type frameKind(Purpose purpose)
{
    switch (purpose) {
    case Purpose::OpenTokenFlow:
    case Purpose::OpenBareFlow:
    case Purpose::FindFlowBeforeOpen:
    case Purpose::FindFlowForToken:
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
    return purpose == Purpose::OpenTokenFlow || purpose == Purpose::OpenBareFlow || purpose == Purpose::FindFlowBeforeOpen;
}

} // namespace

int Balancer::randomRetryAfterMs()
{
    return minRetryAfterMs + static_cast<int>(below(m_random, retryAfterSpreadMs));
}

void Balancer::sendRefusal(const ReplyContext &to, const Refusal &refusal)
{
    ++m_refusedTotal;
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
    m_callerPorts.send(to.serviceId, m_codec.encode(answer), to.caller);
}

void Balancer::abandon(InFlightId id)
{
    InFlight *entry = m_inFlight.find(id);
    PooledTarget *target = entry == nullptr || entry->callNumber == 0 ? nullptr : m_targetPool.find(entry->target);
    if (target != nullptr) {
        abandonCall(target->link, entry->callNumber);
    }
    if (entry != nullptr) {
        releaseAdmission(id, WorkOutcome::Cancelled);
    }
    m_inFlight.remove(id);
}

void Balancer::finishWithRefusal(InFlightId id, Refusal refusal)
{
    InFlight &entry = *m_inFlight.find(id);
    if (entry.purpose == Purpose::OnceRequest) {
        reportOnceOutcome(id, {refusal.verdict, refusal.reason, {}, 0, 0});
        return;
    }
    const ViewService *service = findService(m_view, entry.serviceId);
    if (refusal.token.empty() && entry.hasToken && service != nullptr && entry.purpose == Purpose::Request) {
        refusal.token = refreshedToken(entry.token, *service, entry.packet.flow);
    }
    sendRefusal({entry.serviceId, entry.caller, &entry.packet}, refusal);
    abandon(id);
}

InFlightId Balancer::addInFlight(IncomingPacket &incoming, Purpose purpose)
{
    InFlight entry;
    entry.purpose = purpose;
    entry.serviceId = incoming.service->id;
    entry.hasToken = incoming.checked.hasToken;
    entry.token = incoming.checked.token;
    entry.caller = incoming.caller;
    entry.startedAt = m_now;
    entry.deadline = entry.startedAt + deadlineOf(incoming.packet, *incoming.service);
    entry.packet = std::move(incoming.packet);
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
    frame.onlyIfHeld = entry.purpose == Purpose::FindFlowBeforeOpen || entry.purpose == Purpose::FindFlowForToken;
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
    entry.callNumber = m_targetPool.call(target, frame, id);
    return entry.callNumber != 0;
}

void Balancer::handleRequest(IncomingPacket &incoming)
{
    ++m_requestsTotal;
    const ViewService &service = *incoming.service;
    const wire::CallerPacket &packet = incoming.packet;
    const bool closing = packet.kind == wire::PacketKind::Close;
    ServiceLoad &load = m_serviceLoads[service.id];
    noteRequest(load.retryBudget, m_now);
    load.requestsSinceUpdate += incoming.relayed ? 0 : 1;
    if (!closing && !packet.repeatable) {
        routeOnceRequest(incoming);
        return;
    }
    if (!service.session) {
        const InstanceKey dispatcher = dispatcherOf(service, packet);
        if (!incoming.relayed && dispatcher.instance != 0 && dispatcher != m_self) {
            relayToDispatcher(incoming);
        } else if (wasRefused(load.refusals, requestHash(service.id, packet.flow, packet.request))) {
            count(m_metrics, "refused_copies_dropped_total");
        } else {
            placeOnAnyTarget(addInFlight(incoming, Purpose::Request), load.primary.targets.targets.empty());
        }
        return;
    }
    const InFlightId id = addInFlight(incoming, closing ? Purpose::Close : Purpose::Request);
    if (incoming.checked.hasToken) {
        sendToTokenTarget(id);
    } else {
        sendToCachedTarget(id);
    }
}

void Balancer::sendToTokenTarget(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    PooledTarget *target = m_targetPool.find(entry.token.target);
    if (target == nullptr || target->link.state != LinkState::Ready) {
        finishWithRefusal(id, {Verdict::NotRun, Reason::NoTarget, randomRetryAfterMs(), {}});
        return;
    }
    if (target->link.incarnation != entry.token.targetIncarnation) {
        // The target has restarted since the token was issued and has lost its earlier flows.
        finishWithRefusal(id, {Verdict::NotRun, Reason::UnknownFlow, 0, {}});
        return;
    }
    if (entry.purpose == Purpose::Close) {
        sendToTarget(id, *target);
    } else {
        submitForAdmission(id, entry.token.target);
    }
}

void Balancer::sendToCachedTarget(InFlightId id)
{
    InFlight &entry = *m_inFlight.find(id);
    const std::uint64_t hash = flowHash(entry.serviceId, entry.packet.flow);
    const std::optional<std::size_t> cached = findRoute(m_routeCache, hash);
    PooledTarget *target = cached && *cached < m_view.targets.size() ? m_targetPool.find(m_view.targets[*cached].id) : nullptr;
    if (target != nullptr && target->link.serviceId == entry.serviceId && target->link.state == LinkState::Ready) {
        entry.targetFromCache = true;
        if (entry.purpose == Purpose::Request) {
            submitForAdmission(id, target->link.targetId);
        } else {
            sendToTarget(id, *target);
        }
        return;
    }
    entry.target = 0;
    askNextCandidate(id);
}

void Balancer::onAnswer(InFlightId id, const wire::TargetFrame &frame, PooledTarget &target)
{
    m_now = target.link.heardAt;
    InFlight *entry = m_inFlight.find(id);
    // An answer that names another flow or request belongs to an earlier call, or the target has mixed up its calls.
    if (entry == nullptr || frame.flow != entry->packet.flow || (frame.kind == wire::FrameKind::Answer && frame.request != entry->packet.request)) {
        count(m_metrics, "target_answers_unmatched_total");
        if (entry != nullptr) {
            entry->callNumber = 0;
            onLost(id);
        }
        return;
    }
    entry->callNumber = 0;
    releaseAdmission(id, outcomeOf(frame));
    const CallOutcome outcome = callOutcome(frame.__isset.outcome ? frame.outcome : wire::Outcome::Done);
    if (outcome.verdict == Verdict::Ran) {
        onRan(id, frame, target);
    } else if (outcome.verdict == Verdict::NotRun) {
        onNotRun(id, outcome);
    } else {
        finishWithRefusal(id, {outcome.verdict, outcome.reason, 0, {}});
    }
}

void Balancer::onRan(InFlightId id, const wire::TargetFrame &frame, PooledTarget &target)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    if (isOpening(entry.purpose)) {
        confirmOpen(id, target);
        return;
    }
    if (entry.purpose == Purpose::FindFlowForToken) {
        std::string token = service == nullptr ? std::string() : issueToken(*service, entry.packet.flow, target.link.targetId, target.link.incarnation);
        finishWithRefusal(id, {Verdict::NotRun, Reason::TokenRequired, 0, std::move(token)});
        return;
    }
    if (entry.purpose == Purpose::OnceRequest) {
        reportOnceOutcome(id, {Verdict::Ran, Reason::None, frame.body, frame.total, frame.entityTag});
        return;
    }
    if (!entry.hasToken && service != nullptr && service->session && entry.candidatesAsked > 1) {
        storeRoute(m_routeCache, flowHash(entry.serviceId, entry.packet.flow), m_view.targetIndex[entry.target]);
    }
    if (entry.purpose == Purpose::Close) {
        flowClosed(m_serviceLoads[entry.serviceId].primary.targets, target.link.targetId, m_now);
        eraseRoute(m_routeCache, flowHash(entry.serviceId, entry.packet.flow));
        wire::CallerPacket answer;
        answer.kind = wire::PacketKind::Closed;
        answer.flow = entry.packet.flow;
        answer.attempt = entry.packet.attempt;
        m_callerPorts.send(entry.serviceId, m_codec.encode(answer), entry.caller);
    } else {
        sendAnswerParts(entry, frame);
    }
    m_inFlight.remove(id);
}

void Balancer::sendAnswerParts(const InFlight &entry, const wire::TargetFrame &frame)
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
        answer.token = refreshedToken(entry.token, *service, entry.packet.flow);
        answer.__isset.token = !answer.token.empty();
    }
    const std::string_view range = std::string_view(frame.body).substr(0, clampedLimit(entry.packet.limit));
    for (const AnswerPart &it : splitAnswer(range, entry.packet.offset)) {
        answer.offset = it.offset;
        answer.__set_body(std::string(it.body));
        m_callerPorts.send(entry.serviceId, m_codec.encode(answer), entry.caller);
        // Only the first part carries the new token.
        answer.__isset.token = false;
    }
}

void Balancer::onNotRun(InFlightId id, const CallOutcome &outcome)
{
    InFlight &entry = *m_inFlight.find(id);
    const ViewService *service = findService(m_view, entry.serviceId);
    const bool session = service == nullptr || service->session;
    if (outcome.reason == Reason::UnknownFlow && session && !entry.hasToken && entry.purpose != Purpose::OpenBareFlow) {
        if (entry.targetFromCache) {
            eraseRoute(m_routeCache, flowHash(entry.serviceId, entry.packet.flow));
            entry.targetFromCache = false;
            entry.target = 0;
        }
        askNextCandidate(id);
        return;
    }
    const Time now = m_now;
    const bool retryElsewhere = outcome.reason == Reason::Shed && (!session || isOpening(entry.purpose)) && now < entry.deadline;
    if (retryElsewhere && takeRetry(m_serviceLoads[entry.serviceId].retryBudget, now)) {
        count(m_metrics, "retries_total");
        if (entry.purpose == Purpose::OpenTokenFlow) {
            openTokenFlow(id);
        } else if (entry.purpose == Purpose::OpenBareFlow) {
            askNextCandidate(id);
        } else {
            placeOnAnyTarget(id, entry.bypassDispatcher);
        }
        return;
    }
    finishWithRefusal(id, {Verdict::NotRun, outcome.reason, outcome.reason == Reason::Shed ? randomRetryAfterMs() : 0, {}});
}

void Balancer::onLost(InFlightId id)
{
    m_now = monotonicNow();
    InFlight *entry = m_inFlight.find(id);
    if (entry == nullptr) {
        return;
    }
    entry->callNumber = 0;
    releaseAdmission(id, WorkOutcome::Lost);
    const ViewService *service = findService(m_view, entry->serviceId);
    const Time now = m_now;
    const bool canRetry = service != nullptr && !service->session && entry->purpose == Purpose::Request && entry->packet.repeatable && now < entry->deadline;
    if (canRetry && takeRetry(m_serviceLoads[entry->serviceId].retryBudget, now)) {
        count(m_metrics, "retries_total");
        placeOnAnyTarget(id, entry->bypassDispatcher);
        return;
    }
    finishWithRefusal(id, {Verdict::MayHaveRun, Reason::TargetLost, 0, {}});
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
    releaseAdmission(id, WorkOutcome::Expired);
    // A request that bypasses its dispatcher may be held by the dispatcher too; see refuseAdmission().
    const bool notRun = entry->callNumber == 0 && !entry->bypassDispatcher;
    finishWithRefusal(id, {notRun ? Verdict::NotRun : Verdict::MayHaveRun, Reason::TimedOut, 0, {}});
}

std::string Balancer::issueToken(const ViewService &service, std::int64_t flow, Id target, std::int64_t targetIncarnation)
{
    const TokenKey *key = newestKey(m_view, service.teamId);
    if (key == nullptr) {
        return {};
    }
    const HomePair pair = choosePair(m_view, m_self, flow);
    const Token token = mintToken(service.id, target, targetIncarnation, pair.home, pair.witness, key->epoch, wallNow());
    const SealedToken sealed = sealToken(token, flow, key->key);
    return {sealed.begin(), sealed.end()};
}

std::string Balancer::refreshedToken(const Token &token, const ViewService &service, std::int64_t flow)
{
    return needsRefresh(token, m_view, service.teamId, wallNow()) ? issueToken(service, flow, token.target, token.targetIncarnation) : std::string();
}

} // namespace pimentofold
