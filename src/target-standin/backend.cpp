#include <target-standin/backend.h>

#include <algorithm>
#include <utility>

#include <libstandin/workload.h>

namespace pimentofold {

namespace {

using wire::FrameKind;
using wire::TargetFrame;

// Reports are paced so that a busy server doesn't push one for each request.
constexpr Time reportInterval = 50 * millisecond;
// A further range of an answer costs less than the first, since its content is at hand.
constexpr double furtherRangeShare = 0.125;
constexpr std::int64_t maxRangeBytes = 32 << 10;

const char *outcomeName(wire::Outcome::type outcome)
{
    return wire::_Outcome_VALUES_TO_NAMES.at(outcome);
}

TargetFrame replyTo(const TargetFrame &frame, FrameKind::type kind)
{
    TargetFrame reply;
    reply.kind = kind;
    reply.call = frame.call;
    reply.serviceId = frame.serviceId;
    reply.flow = frame.flow;
    reply.request = frame.request;
    reply.attempt = frame.attempt;
    reply.offset = frame.offset;
    reply.limit = frame.limit;
    return reply;
}

void refuse(Backend &backend, ConnectionId to, const TargetFrame &frame, wire::Outcome::type outcome, std::vector<Outgoing> &out)
{
    const FrameKind::type kind = frame.kind == FrameKind::Open ? FrameKind::Opened : FrameKind::Answer;
    TargetFrame reply = replyTo(frame, kind);
    reply.__set_outcome(outcome);
    ++backend.counts.outcomes[outcomeName(outcome)];
    out.push_back({to, std::move(reply)});
}

std::optional<WorkOrder> orderOf(const TargetFrame &frame)
{
    return frame.__isset.body ? parseOrder(frame.body) : std::nullopt;
}

bool isForeign(const Backend &backend, const TargetFrame &frame)
{
    if (frame.kind == FrameKind::Subscribe) {
        return frame.serviceId != 0 && frame.serviceId != idOf(backend.settings.team, backend.settings.service);
    }
    if (frame.serviceId != idOf(backend.settings.team, backend.settings.service)) {
        return true;
    }
    const std::optional<WorkOrder> order = orderOf(frame);
    if (frame.kind == FrameKind::Request && !order) {
        return true;
    }
    return order && (order->team != backend.settings.team || order->service != backend.settings.service || order->flow != frame.flow);
}

bool isLateForNewWork(const Backend &backend, Time now)
{
    return backend.drainingSince && now - *backend.drainingSince > lateNewWorkLimit;
}

Time drawServiceTime(Backend &backend, const TargetFrame &frame, Time now)
{
    double mean = static_cast<double>(backend.settings.serviceTime) * backend.faults.slowFactor;
    if (frame.offset > 0) {
        mean *= furtherRangeShare;
    }
    if (now - backend.startedAt < backend.settings.coldStart) {
        mean *= backend.settings.coldFactor;
    }
    return mean < 1 ? 0 : static_cast<Time>(exponential(backend.random, mean));
}

void startWork(Backend &backend, Work work, Time now)
{
    if (!work.frame.repeatable) {
        const std::optional<WorkOrder> order = orderOf(work.frame);
        ++backend.runs[{order->operation, order->flow, order->request}];
    }
    work.started = now;
    work.due = now + drawServiceTime(backend, work.frame, now);
    backend.running.push_back(std::move(work));
    backend.statusChanged = true;
}

void answer(Backend &backend, const Work &work, std::vector<Outgoing> &out)
{
    const TargetFrame &frame = work.frame;
    const std::optional<WorkOrder> order = orderOf(frame);
    const std::int64_t total = backend.settings.answerBytes;
    const std::int64_t limit = frame.limit > 0 ? std::min<std::int64_t>(frame.limit, maxRangeBytes) : maxRangeBytes;
    const std::string server = backend.settings.instance + "/" + std::to_string(backend.incarnation);
    TargetFrame reply = replyTo(frame, FrameKind::Answer);
    reply.total = total;
    reply.entityTag = entityTagOf(*order, total);
    reply.__set_body(answerPart(*order, server, total, frame.offset, limit));
    reply.__set_outcome(wire::Outcome::Done);
    ++backend.counts.outcomes[outcomeName(wire::Outcome::Done)];
    out.push_back({work.connection, std::move(reply)});
}

void open(Backend &backend, ConnectionId from, const TargetFrame &frame, Time now, std::vector<Outgoing> &out)
{
    if (!backend.flows.contains(frame.flow)) {
        if (frame.onlyIfHeld) {
            refuse(backend, from, frame, wire::Outcome::UnknownFlow, out);
            return;
        }
        if (isLateForNewWork(backend, now)) {
            ++backend.counts.lateNewWork;
        }
        if (backend.drainingSince) {
            refuse(backend, from, frame, wire::Outcome::Draining, out);
            return;
        }
        if (chance(backend.random, backend.faults.shedShare)) {
            refuse(backend, from, frame, wire::Outcome::Shed, out);
            return;
        }
        backend.flows.insert(frame.flow);
        backend.unused.insert(frame.flow);
        backend.opens.emplace_back(now, frame.flow);
        ++backend.counts.opened;
    }
    TargetFrame reply = replyTo(frame, FrameKind::Opened);
    reply.__set_outcome(wire::Outcome::Done);
    out.push_back({from, std::move(reply)});
}

void request(Backend &backend, ConnectionId from, const TargetFrame &frame, Time now, std::vector<Outgoing> &out)
{
    ++backend.counts.requests;
    backend.unused.erase(frame.flow);
    if (backend.settings.session && !backend.flows.contains(frame.flow)) {
        refuse(backend, from, frame, wire::Outcome::UnknownFlow, out);
        return;
    }
    if (!backend.settings.session && backend.drainingSince && frame.offset == 0) {
        if (isLateForNewWork(backend, now)) {
            ++backend.counts.lateNewWork;
        }
        refuse(backend, from, frame, wire::Outcome::Draining, out);
        return;
    }
    const bool full = backend.running.size() >= static_cast<std::size_t>(backend.settings.slots) && backend.queue.size() >= backend.settings.queueLimit;
    if (full || chance(backend.random, backend.faults.shedShare)) {
        refuse(backend, from, frame, wire::Outcome::Shed, out);
        return;
    }
    const Time deadline = frame.deadlineMs > 0 ? now + frame.deadlineMs * millisecond : never;
    backend.queue.push_back({from, frame, deadline, never, 0});
    backend.counts.mostQueued = std::max(backend.counts.mostQueued, backend.queue.size());
    backend.statusChanged = true;
}

/// Cancels a request by flow and number. It may have come from another balancer, which gets the answer.
void cancel(Backend &backend, const TargetFrame &frame, Time now, std::vector<Outgoing> &out)
{
    const auto same = [&](const Work &it) { return it.frame.flow == frame.flow && it.frame.request == frame.request; };
    if (const auto it = std::find_if(backend.queue.begin(), backend.queue.end(), same); it != backend.queue.end()) {
        refuse(backend, it->connection, it->frame, wire::Outcome::CancelledBeforeRun, out);
        backend.queue.erase(it);
    } else if (const auto run = std::find_if(backend.running.begin(), backend.running.end(), same); run != backend.running.end()) {
        refuse(backend, run->connection, run->frame, wire::Outcome::CancelledWhileRunning, out);
        backend.counts.busy += now - run->started;
        backend.running.erase(run);
    }
    backend.statusChanged = true;
}

void identify(const Backend &backend, ConnectionId from, const TargetFrame &frame, Time now, std::vector<Outgoing> &out)
{
    TargetFrame reply = replyTo(frame, FrameKind::Identity);
    wire::TargetIdentity identity;
    identity.teamName = backend.settings.team;
    identity.serviceName = backend.settings.service;
    identity.instance = backend.settings.instance;
    identity.incarnation = backend.incarnation;
    reply.__set_identity(identity);
    reply.__set_status(statusOf(backend, now));
    out.push_back({from, std::move(reply)});
}

TargetFrame statusFrame(const wire::TargetStatus &status)
{
    TargetFrame frame;
    frame.kind = FrameKind::Status;
    frame.__set_status(status);
    return frame;
}

void dispatch(Backend &backend, ConnectionId from, const TargetFrame &frame, Time now, std::vector<Outgoing> &out)
{
    switch (frame.kind) {
    case FrameKind::Identify:
        identify(backend, from, frame, now, out);
        break;
    case FrameKind::Open:
        open(backend, from, frame, now, out);
        break;
    case FrameKind::Request:
        request(backend, from, frame, now, out);
        break;
    case FrameKind::Cancel:
        cancel(backend, frame, now, out);
        break;
    case FrameKind::Close:
        backend.flows.erase(frame.flow);
        backend.unused.erase(frame.flow);
        out.push_back({from, replyTo(frame, FrameKind::Closed)});
        break;
    case FrameKind::Subscribe: {
        backend.subscribers.insert(from);
        TargetFrame reply = statusFrame(statusOf(backend, now));
        reply.call = frame.call;
        out.push_back({from, std::move(reply)});
        break;
    }
    default:
        break; // kinds that only servers send
    }
}

void finishWork(Backend &backend, Time now, std::vector<Outgoing> &out)
{
    const auto done = [now](const Work &it) { return it.due <= now; };
    for (const Work &it : backend.running) {
        if (done(it)) {
            answer(backend, it, out);
            backend.counts.busy += it.due - it.started;
            backend.statusChanged = true;
        }
    }
    std::erase_if(backend.running, done);
}

void startWaitingWork(Backend &backend, Time now, std::vector<Outgoing> &out)
{
    while (!backend.queue.empty() && backend.running.size() < static_cast<std::size_t>(backend.settings.slots)) {
        Work work = std::move(backend.queue.front());
        backend.queue.pop_front();
        if (work.deadline <= now) {
            refuse(backend, work.connection, work.frame, wire::Outcome::Expired, out);
        } else {
            startWork(backend, std::move(work), now);
        }
    }
}

void report(Backend &backend, Time now, std::vector<Outgoing> &out)
{
    if (backend.statusChanged && now >= backend.nextReport) {
        backend.statusChanged = false;
        backend.nextReport = now + reportInterval;
        backend.reports.push_back({now + backend.faults.statusLag, statusOf(backend, now)});
    }
    while (!backend.reports.empty() && backend.reports.front().due <= now) {
        for (const ConnectionId it : backend.subscribers) {
            out.push_back({it, statusFrame(backend.reports.front().status)});
        }
        backend.reports.pop_front();
    }
}

/// Ends flows that nobody uses: a repeated Open may have opened a flow on two servers, of which the caller knows one.
void endUnusedFlows(Backend &backend, Time now)
{
    while (!backend.opens.empty() && now - backend.opens.front().first >= backend.settings.unusedLimit) {
        if (backend.unused.erase(backend.opens.front().second) > 0) {
            backend.flows.erase(backend.opens.front().second);
            ++backend.counts.unusedEnded;
        }
        backend.opens.pop_front();
    }
}

} // namespace

void receive(Backend &backend, ConnectionId from, const TargetFrame &frame, Time now, std::vector<Outgoing> &out)
{
    if (backend.faults.silent) {
        return;
    }
    if (frame.kind != FrameKind::Identify && isForeign(backend, frame)) {
        ++backend.counts.foreign;
        return;
    }
    dispatch(backend, from, frame, now, out);
    advance(backend, now, out);
}

void connectionLost(Backend &backend, ConnectionId connection)
{
    backend.subscribers.erase(connection);
}

void advance(Backend &backend, Time now, std::vector<Outgoing> &out)
{
    finishWork(backend, now, out);
    startWaitingWork(backend, now, out);
    endUnusedFlows(backend, now);
    report(backend, now, out);
}

Time nextDue(const Backend &backend)
{
    Time due = backend.statusChanged && !backend.subscribers.empty() ? backend.nextReport : never;
    if (!backend.reports.empty()) {
        due = std::min(due, backend.reports.front().due);
    }
    if (!backend.opens.empty()) {
        due = std::min(due, backend.opens.front().first + backend.settings.unusedLimit);
    }
    for (const Work &it : backend.running) {
        due = std::min(due, it.due);
    }
    return due;
}

void setDraining(Backend &backend, bool draining, Time now)
{
    if (draining == backend.drainingSince.has_value()) {
        return;
    }
    backend.drainingSince = draining ? std::optional<Time>(now) : std::nullopt;
    backend.statusChanged = true;
    backend.nextReport = now;
}

wire::TargetStatus statusOf(const Backend &backend, Time now)
{
    wire::TargetStatus status;
    status.healthy = !backend.faults.unhealthy;
    status.draining = backend.drainingSince.has_value();
    status.slots = backend.settings.slots;
    const Time warmup = backend.startedAt + backend.settings.coldStart - now;
    status.warmupMs = static_cast<std::int32_t>(std::max<Time>(0, warmup / millisecond));
    switch (backend.faults.reportedLoad) {
    case ReportedLoad::True:
        status.inUse = static_cast<std::int32_t>(backend.running.size());
        status.queued = static_cast<std::int32_t>(backend.queue.size());
        break;
    case ReportedLoad::Idle:
        break;
    case ReportedLoad::Full:
        status.inUse = backend.settings.slots;
        status.queued = static_cast<std::int32_t>(backend.settings.queueLimit);
        break;
    }
    return status;
}

bool isIdle(const Backend &backend)
{
    return backend.flows.empty() && backend.queue.empty() && backend.running.empty();
}

} // namespace pimentofold
