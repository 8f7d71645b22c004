#include <caller-standin/flows.h>

#include <algorithm>

#include <pimentofold/verdict.h>

namespace pimentofold {

namespace {

// An Open that nobody answers is given up after this many sendings (about 9 s).
constexpr int openAttempts = 8;
constexpr int closeAttempts = 5;
// Credit for opens is bounded so that a pause isn't followed by a burst.
constexpr Time mostOpenCredit = 100 * millisecond;
constexpr Time leastOpenPause = 20 * millisecond;

Time retransmissionDelay(int attempt)
{
    return std::min(mostRetransmission, firstRetransmission << std::min(attempt - 1, 10));
}

std::vector<std::int64_t> &listOf(Callers &callers, const Flow &flow)
{
    return callers.groups[flow.group].openFlows[flow.carriesToken ? 1 : 0];
}

void addToOpen(Callers &callers, std::int64_t number, Flow &flow)
{
    std::vector<std::int64_t> &list = listOf(callers, flow);
    flow.phase = FlowPhase::Open;
    flow.position = list.size();
    list.push_back(number);
}

void removeFromOpen(Callers &callers, const Flow &flow)
{
    std::vector<std::int64_t> &list = listOf(callers, flow);
    list[flow.position] = list.back();
    callers.flows.at(list[flow.position]).position = flow.position;
    list.pop_back();
}

void sendFlowPacket(Callers &callers, std::int64_t number, Flow &flow, wire::PacketKind::type kind, Time now)
{
    Sending sending{flow.group, {}};
    sending.packet.kind = kind;
    sending.packet.flow = number;
    sending.packet.attempt = flow.attempt;
    if (kind == wire::PacketKind::Open) {
        sending.packet.wantsToken = flow.carriesToken;
    } else if (flow.carriesToken) {
        sending.packet.__set_token(flow.token);
    }
    callers.out.push_back(std::move(sending));
    callers.alarms.push({now + retransmissionDelay(flow.attempt), AlarmKind::Flow, number, 0});
    ++flow.attempt;
}

void startFlow(Callers &callers, std::size_t group, Time now)
{
    const auto number = static_cast<std::int64_t>(next(callers.random));
    Flow flow;
    flow.group = group;
    flow.carriesToken = chance(callers.random, callers.groups[group].settings.tokenShare);
    flow.startedAt = now;
    Flow &stored = callers.flows.emplace(number, std::move(flow)).first->second;
    ++callers.groups[group].opening;
    sendFlowPacket(callers, number, stored, wire::PacketKind::Open, now);
}

std::size_t heldFlows(const Group &group)
{
    return group.opening + group.openFlows[0].size() + group.openFlows[1].size();
}

} // namespace

void openFlows(Callers &callers, std::size_t index, Time elapsed, Time now)
{
    Group &group = callers.groups[index];
    const double perMicrosecond = group.settings.opensPerSecond / static_cast<double>(second);
    const double most = std::max(1.0, perMicrosecond * static_cast<double>(mostOpenCredit));
    group.openCredit = std::min(most, group.openCredit + perMicrosecond * static_cast<double>(elapsed));
    while (group.openCredit >= 1 && now >= group.openPausedUntil && heldFlows(group) < group.settings.flows) {
        group.openCredit -= 1;
        startFlow(callers, index, now);
    }
}

void onOpened(Callers &callers, std::int64_t number, const wire::CallerPacket &packet, Time now)
{
    Flow &flow = callers.flows.at(number);
    if (flow.phase != FlowPhase::Opening) {
        ++callers.counts.phase().late;
        return;
    }
    Group &group = callers.groups[flow.group];
    FlowCounts &counts = callers.counts.phase().flows[flow.group];
    const bool refused = packet.__isset.verdict && packet.verdict != wire::Verdict::Ran;
    if (refused) {
        ++counts.openRefused[std::string(name(static_cast<Reason>(packet.reason)))];
        group.openPausedUntil = now + std::max<Time>(leastOpenPause, packet.retryAfterMs * millisecond);
        removeFlow(callers, number);
        return;
    }
    if (flow.carriesToken && !packet.__isset.token) {
        ++counts.openRefused["no_token"];
        removeFlow(callers, number);
        return;
    }
    ++(flow.carriesToken ? counts.openedToken : counts.openedBare);
    --group.opening;
    if (flow.carriesToken) {
        flow.token = packet.token;
    }
    addToOpen(callers, number, flow);
    if (group.settings.flowLife > 0) {
        const auto life = static_cast<Time>(exponential(callers.random, static_cast<double>(group.settings.flowLife)));
        callers.alarms.push({now + life, AlarmKind::Close, number, 0});
    }
}

void closeFlow(Callers &callers, std::int64_t number, Time now)
{
    const auto it = callers.flows.find(number);
    if (it == callers.flows.end() || it->second.phase != FlowPhase::Open) {
        return;
    }
    Flow &flow = it->second;
    removeFromOpen(callers, flow);
    flow.phase = FlowPhase::Closing;
    flow.attempt = 1;
    ++callers.counts.phase().flows[flow.group].closed;
    sendFlowPacket(callers, number, flow, wire::PacketKind::Close, now);
}

std::size_t closeFlowsOf(Callers &callers, const std::string &instance, Time within, Time now)
{
    std::size_t n = 0;
    for (const auto &[number, flow] : callers.flows) {
        if (flow.phase == FlowPhase::Open && flow.server.starts_with(instance + "/")) {
            const auto delay = static_cast<Time>(below(callers.random, static_cast<std::uint64_t>(within) + 1));
            callers.alarms.push({now + delay, AlarmKind::Close, number, 0});
            ++n;
        }
    }
    return n;
}

void removeFlow(Callers &callers, std::int64_t number)
{
    const auto it = callers.flows.find(number);
    if (it == callers.flows.end()) {
        return;
    }
    if (it->second.phase == FlowPhase::Open) {
        removeFromOpen(callers, it->second);
    } else if (it->second.phase == FlowPhase::Opening) {
        --callers.groups[it->second.group].opening;
    }
    callers.flows.erase(it);
}

void breakFlow(Callers &callers, std::int64_t number, const std::string &cause)
{
    const auto it = callers.flows.find(number);
    if (it == callers.flows.end() || it->second.phase != FlowPhase::Open) {
        return;
    }
    FlowCounts &counts = callers.counts.phase().flows[it->second.group];
    ++(it->second.carriesToken ? counts.brokenToken : counts.brokenBare)[cause];
    removeFlow(callers, number);
}

void onFlowAlarm(Callers &callers, std::int64_t number, Time now)
{
    const auto it = callers.flows.find(number);
    if (it == callers.flows.end() || it->second.phase == FlowPhase::Open) {
        return;
    }
    Flow &flow = it->second;
    const bool opening = flow.phase == FlowPhase::Opening;
    if (flow.attempt > (opening ? openAttempts : closeAttempts)) {
        callers.counts.phase().flows[flow.group].openUnanswered += opening ? 1 : 0;
        removeFlow(callers, number);
        return;
    }
    sendFlowPacket(callers, number, flow, opening ? wire::PacketKind::Open : wire::PacketKind::Close, now);
}

std::int64_t pickFlow(Callers &callers, std::size_t index, bool needsToken)
{
    const Group &group = callers.groups[index];
    const std::size_t bare = needsToken ? 0 : group.openFlows[0].size();
    const std::size_t total = bare + group.openFlows[1].size();
    if (total == 0) {
        return 0;
    }
    const std::size_t chosen = below(callers.random, total);
    return chosen < bare ? group.openFlows[0][chosen] : group.openFlows[1][chosen - bare];
}

} // namespace pimentofold
