#include <caller-standin/calls.h>

#include <algorithm>

#include <libstandin/workload.h>

#include <pimentofold/verdict.h>

#include <caller-standin/flows.h>

namespace pimentofold {

namespace {

// A connection to a target may break and come back; a flow whose target stays lost is broken.
constexpr int lostInRowLimit = 3;
// A resend waits at least this long, so that a refusal without a hint isn't answered by a burst.
constexpr Time leastResendPause = 50 * millisecond;
constexpr int sweepTries = 12;
// Longest answer that a caller takes, so that a wrong length doesn't exhaust its memory.
constexpr std::int64_t maxAnswerBytes = 16 << 20;
constexpr Time mostCancelDelay = 20 * millisecond;

const WorkSettings &workOf(const Callers &callers, const Call &call)
{
    return callers.groups[call.group].settings.work[call.work];
}

int rangeBytesOf(const Callers &callers, const Call &call)
{
    return call.startOnly ? 0 : workOf(callers, call).rangeBytes;
}

WorkCounts &countsOf(Callers &callers, const Call &call)
{
    return callers.counts.phase().work[{call.group, call.work}];
}

WorkOrder orderOf(const Callers &callers, const CallKey &key, const Call &call)
{
    const GroupSettings &group = callers.groups[call.group].settings;
    return {group.team, group.service, key.first, key.second, call.operation};
}

void scheduleCall(Callers &callers, const CallKey &key, const Call &call)
{
    const Time at = std::min({call.retransmitAt, call.deadline, call.cancelAt});
    callers.alarms.push({at, AlarmKind::Call, key.first, key.second});
}

Time backOff(int attempt)
{
    return std::min(mostRetransmission, firstRetransmission << std::min(attempt - 1, 10));
}

void sendCall(Callers &callers, const CallKey &key, Call &call, Time now)
{
    const WorkSettings &work = workOf(callers, call);
    Sending sending{call.group, {}};
    wire::CallerPacket &packet = sending.packet;
    packet.kind = call.cancelled ? wire::PacketKind::Cancel : wire::PacketKind::Request;
    packet.flow = key.first;
    packet.request = key.second;
    packet.attempt = call.attempt;
    if (!call.token.empty()) {
        packet.__set_token(call.token);
    }
    packet.workKind = work.index;
    packet.repeatable = work.repeatable;
    packet.deadlineMs = static_cast<std::int32_t>(std::max<Time>(1, (call.deadline - now) / millisecond));
    if (!call.cancelled) {
        packet.offset = call.fetch.wantedOffset;
        packet.limit = rangeBytesOf(callers, call) == 0 ? 0 : static_cast<std::int32_t>(call.fetch.wantedEnd - call.fetch.wantedOffset);
        packet.__set_body(formatOrder(orderOf(callers, key, call)));
    }
    callers.out.push_back(std::move(sending));
    call.retransmitAt = now + backOff(call.attempt);
    scheduleCall(callers, key, call);
}

void recordOperation(Callers &callers, const CallKey &key, const Call &call)
{
    callers.operationOf[key] = callers.operations.size();
    callers.operations.push_back({call.operation, key.first, key.second, "pending", "", callers.counts.current});
}

void concludeOperation(Callers &callers, const CallKey &key, Verdict verdict, Reason reason)
{
    const auto it = callers.operationOf.find(key);
    if (it != callers.operationOf.end()) {
        callers.operations[it->second].verdict = name(verdict);
        callers.operations[it->second].reason = name(reason);
    }
}

void startCall(Callers &callers, std::int64_t flowNumber, Call call, Time now)
{
    Flow &flow = callers.flows.at(flowNumber);
    const WorkSettings &work = workOf(callers, call);
    const CallKey key{flowNumber, ++flow.lastRequest};
    call.token = flow.token;
    call.startedAt = now;
    call.deadline = std::min(call.workDeadline, now + work.deadline);
    wantNextRange(call.fetch, rangeBytesOf(callers, call));
    if (!call.startOnly && chance(callers.random, work.cancelShare)) {
        call.cancelAt = now + static_cast<Time>(below(callers.random, mostCancelDelay));
    }
    ++countsOf(callers, call).requests;
    if (!call.operation.empty()) {
        recordOperation(callers, key, call);
    }
    Call &stored = callers.calls.emplace(key, std::move(call)).first->second;
    sendCall(callers, key, stored, now);
}

/// Notes the result of a check of a flow. Flows that are gone are found when their turn comes again.
void endSweepCheck(Callers &callers, const CallKey &key, const Call &call, bool answered)
{
    if (!call.sweep) {
        return;
    }
    Sweep &sweep = callers.sweep;
    --sweep.underWay;
    const auto flow = callers.flows.find(key.first);
    if (answered && flow != callers.flows.end()) {
        ++(flow->second.carriesToken ? sweep.heldToken : sweep.heldBare);
    } else if (flow == callers.flows.end() || ++sweep.tries[key.first] < sweepTries) {
        sweep.queue.push_back(key.first);
    } else {
        ++sweep.unresolved;
    }
}

void noteServer(Callers &callers, const CallKey &key, std::string_view server)
{
    const auto it = callers.flows.find(key.first);
    if (it == callers.flows.end() || !callers.groups[it->second.group].settings.session) {
        return;
    }
    Flow &flow = it->second;
    flow.lostInRow = 0;
    if (flow.server.empty()) {
        flow.server = server;
    } else if (flow.server != server) {
        breakFlow(callers, key.first, "target_changed");
    }
}

/// Repeats the first use of a flow until an answer has told its server.
void repeatFirstUse(Callers &callers, const CallKey &key, const Call &call, Time now)
{
    const auto flow = callers.flows.find(key.first);
    if (!call.startOnly || call.sweep || flow == callers.flows.end() || flow->second.phase != FlowPhase::Open || !flow->second.server.empty()) {
        return;
    }
    callers.alarms.push({now + firstRetransmission, AlarmKind::FirstUse, key.first, 0});
}

void endCall(Callers &callers, const CallKey &key)
{
    callers.calls.erase(key);
}

void finishAnswer(Callers &callers, const CallKey &key, Call &call, Time now)
{
    WorkCounts &counts = countsOf(callers, call);
    const std::string_view bytes = std::string_view(call.fetch.assembly.bytes).substr(0, static_cast<std::size_t>(leadingBytes(call.fetch)));
    const bool right = isStartOfAnswerTo(orderOf(callers, key, call), call.fetch.assembly.total, bytes);
    ++(right ? counts.answered : counts.wrong);
    counts.cancelled += call.cancelled ? 1 : 0;
    recordLatency(counts, now - call.startedAt);
    concludeOperation(callers, key, Verdict::Ran, Reason::None);
    if (right) {
        noteServer(callers, key, serverOf(call.fetch.assembly.bytes));
    }
    endSweepCheck(callers, key, call, right);
    endCall(callers, key);
}

void scheduleResend(Callers &callers, const Call &call, Time pause, Time now)
{
    if (call.startOnly || call.cancelled || call.sending >= workOf(callers, call).sends) {
        return;
    }
    const Time at = now + std::max(leastResendPause, pause);
    if (at >= call.workDeadline) {
        return;
    }
    const std::int64_t number = ++callers.lastResend;
    callers.resends[number] = {call.group, call.work, call.operation, call.sending + 1, call.workDeadline};
    callers.alarms.push({at, AlarmKind::Resend, 0, number});
}

/// Draws conclusions about the flow from a verdict without an answer.
void noteFlowVerdict(Callers &callers, const CallKey &key, Reason reason)
{
    const auto it = callers.flows.find(key.first);
    if (it == callers.flows.end() || it->second.phase != FlowPhase::Open) {
        return;
    }
    if (reason == Reason::UnknownFlow) {
        breakFlow(callers, key.first, "unknown_flow");
    } else if (reason == Reason::TargetLost && callers.groups[it->second.group].settings.session) {
        if (++it->second.lostInRow >= lostInRowLimit) {
            breakFlow(callers, key.first, "target_lost");
        }
    }
}

void finishRefused(Callers &callers, const CallKey &key, Call &call, const wire::CallerPacket &packet, Time now)
{
    WorkCounts &counts = countsOf(callers, call);
    const auto verdict = static_cast<Verdict>(packet.verdict);
    const auto reason = static_cast<Reason>(packet.reason);
    counts.cancelled += call.cancelled ? 1 : 0;
    concludeOperation(callers, key, verdict, reason);
    if (verdict == Verdict::NotRun) {
        ++counts.refused[std::string(name(reason))];
    } else {
        ++counts.mayHaveRun;
        ++counts.unclear[std::string(name(reason))];
    }
    noteFlowVerdict(callers, key, reason);
    if (verdict == Verdict::NotRun) {
        scheduleResend(callers, call, packet.retryAfterMs * millisecond, now);
    }
    endSweepCheck(callers, key, call, false);
    repeatFirstUse(callers, key, call, now);
    endCall(callers, key);
}

void takeToken(Callers &callers, const CallKey &key, const wire::CallerPacket &packet)
{
    const auto it = callers.flows.find(key.first);
    if (packet.__isset.token && it != callers.flows.end() && it->second.carriesToken) {
        it->second.token = packet.token;
    }
}

void takeAnswerPart(Callers &callers, const CallKey &key, Call &call, const wire::CallerPacket &packet, Time now)
{
    if (addPart(call.fetch.assembly, packet.offset, packet.total, packet.entityTag, packet.body, maxAnswerBytes) == PartResult::Invalid) {
        ++countsOf(callers, call).wrong;
        return;
    }
    if (isComplete(call.fetch.assembly) || (call.startOnly && hasWantedRange(call.fetch))) {
        finishAnswer(callers, key, call, now);
    } else if (hasWantedRange(call.fetch)) {
        wantNextRange(call.fetch, rangeBytesOf(callers, call));
        call.attempt = 1;
        sendCall(callers, key, call, now);
    }
}

void giveUp(Callers &callers, const CallKey &key, Call &call, Time now)
{
    WorkCounts &counts = countsOf(callers, call);
    // No balancer can answer for a cancelled request of which the fabric lost every copy.
    ++(call.cancelled && !call.delivered ? counts.cancelled : counts.unanswered);
    if (!call.operation.empty()) {
        ++counts.mayHaveRun;
        ++counts.unclear["no_verdict"];
        concludeOperation(callers, key, Verdict::MayHaveRun, Reason::TimedOut);
    }
    endSweepCheck(callers, key, call, false);
    repeatFirstUse(callers, key, call, now);
    endCall(callers, key);
}

/// @return the first kind of work that may be repeated
std::size_t checkWorkOf(const Group &group)
{
    const auto &work = group.settings.work;
    const auto found = std::find_if(work.begin(), work.end(), [](const WorkSettings &it) { return it.repeatable; });
    return static_cast<std::size_t>(found - work.begin());
}

/// Sends a request whose answer tells which server holds the flow.
void useFlow(Callers &callers, std::int64_t number, bool sweep, Time now)
{
    Call call;
    call.group = callers.flows.at(number).group;
    call.work = checkWorkOf(callers.groups[call.group]);
    call.startOnly = true;
    call.sweep = sweep;
    call.workDeadline = never;
    startCall(callers, number, std::move(call), now);
}

std::string newOperation(Callers &callers)
{
    return callers.node + "." + std::to_string(++callers.lastOperation);
}

} // namespace

void useNewFlow(Callers &callers, std::int64_t number, Time now)
{
    const auto it = callers.flows.find(number);
    if (it != callers.flows.end() && it->second.phase == FlowPhase::Open) {
        useFlow(callers, number, false, now);
    }
}

void startWork(Callers &callers, std::size_t group, std::size_t work, Time now)
{
    const WorkSettings &settings = callers.groups[group].settings.work[work];
    const std::int64_t flow = pickFlow(callers, group, !settings.repeatable);
    if (flow == 0) {
        return;
    }
    Call call;
    call.group = group;
    call.work = work;
    call.operation = settings.repeatable ? std::string() : newOperation(callers);
    call.workDeadline = now + settings.deadline;
    ++callers.counts.phase().work[{group, work}].work;
    startCall(callers, flow, std::move(call), now);
}

void onAnswer(Callers &callers, const wire::CallerPacket &packet, std::uint16_t port, Time now)
{
    const CallKey key{packet.flow, packet.request};
    const auto it = callers.calls.find(key);
    if (it == callers.calls.end()) {
        ++callers.counts.phase().late;
        return;
    }
    Call &call = it->second;
    if (callers.groups[call.group].settings.port != port) {
        ++countsOf(callers, call).wrong;
        return;
    }
    takeToken(callers, key, packet);
    if (packet.__isset.verdict && packet.verdict != wire::Verdict::Ran) {
        finishRefused(callers, key, call, packet, now);
    } else {
        takeAnswerPart(callers, key, call, packet, now);
    }
}

void onCallAlarm(Callers &callers, const CallKey &key, Time now)
{
    const auto it = callers.calls.find(key);
    if (it == callers.calls.end()) {
        return;
    }
    Call &call = it->second;
    if (now >= call.deadline) {
        giveUp(callers, key, call, now);
    } else if (now >= call.cancelAt) {
        call.cancelAt = never;
        call.cancelled = true;
        call.attempt = 1;
        sendCall(callers, key, call, now);
    } else if (now >= call.retransmitAt) {
        ++call.attempt;
        ++countsOf(callers, call).retransmissions;
        wantNextRange(call.fetch, rangeBytesOf(callers, call));
        sendCall(callers, key, call, now);
    }
}

void onResendAlarm(Callers &callers, std::int64_t number, Time now)
{
    const Resend resend = callers.resends.at(number);
    callers.resends.erase(number);
    const WorkSettings &settings = callers.groups[resend.group].settings.work[resend.work];
    const std::int64_t flow = pickFlow(callers, resend.group, !settings.repeatable);
    if (flow == 0) {
        return;
    }
    Call call;
    call.group = resend.group;
    call.work = resend.work;
    call.operation = resend.operation;
    call.sending = resend.sending;
    call.workDeadline = resend.workDeadline;
    startCall(callers, flow, std::move(call), now);
}

void startSweep(Callers &callers, double perSecond)
{
    callers.sweep = {};
    callers.sweep.perSecond = perSecond;
    for (const Group &group : callers.groups) {
        for (const auto &list : group.openFlows) {
            callers.sweep.queue.insert(callers.sweep.queue.end(), list.begin(), list.end());
        }
    }
    callers.sweep.total = static_cast<std::int64_t>(callers.sweep.queue.size());
    // Taken from the end; a random order spreads the checks over services and servers.
    for (std::size_t i = callers.sweep.queue.size(); i > 1; --i) {
        std::swap(callers.sweep.queue[i - 1], callers.sweep.queue[below(callers.random, i)]);
    }
}

void continueSweep(Callers &callers, Time elapsed, Time now)
{
    Sweep &sweep = callers.sweep;
    sweep.credit = std::min(sweep.perSecond, sweep.credit + sweep.perSecond * static_cast<double>(elapsed) / static_cast<double>(second));
    while (sweep.credit >= 1 && !sweep.queue.empty()) {
        sweep.credit -= 1;
        const std::int64_t number = sweep.queue.back();
        sweep.queue.pop_back();
        const auto it = callers.flows.find(number);
        if (it == callers.flows.end() || it->second.phase != FlowPhase::Open) {
            ++sweep.ended;
            continue;
        }
        ++sweep.underWay;
        useFlow(callers, number, true, now);
    }
}

void noteDelivered(Callers &callers, const wire::CallerPacket &packet)
{
    const auto it = callers.calls.find({packet.flow, packet.request});
    if (it != callers.calls.end() && packet.kind == wire::PacketKind::Request) {
        it->second.delivered = true;
    }
}

} // namespace pimentofold
