#include <testsupport/lossworld.h>

#include <algorithm>
#include <utility>

#include <libpimentofold/edgetestdata.h>
#include <testsupport/lossworldparts.h>

namespace pimentofold::testsupport {

namespace {

constexpr Time tickInterval = 50 * millisecond;
constexpr Time thinkTime = 250 * millisecond; ///< from an answer to the flow's next request
constexpr Time requestTimeout = second;

const EdgeTarget &targetAt(const LossWorld &world, std::size_t node)
{
    return *findTarget(std::as_const(world.nodes[node]->table), judgedTarget);
}

void sendPacket(LossWorld &world, std::size_t index, std::uint16_t payloadBytes, bool resets = false)
{
    const LossFlow &flow = world.flows[index];
    LossWorldEvent event;
    event.at = world.now + transit;
    event.kind = LossEventKind::PacketAtNode;
    event.node = flow.node;
    event.flow = index;
    event.request = payloadBytes > 0 ? flow.request : 0;
    event.packet = makePacket(flow, payloadBytes);
    event.packet.resets = resets;
    schedule(world, std::move(event));
}

void checkReset(LossWorld &world, std::size_t node, const FlowReset &reset, LossStep &step)
{
    const auto flow = std::ranges::find(world.flows, reset.flow, &LossFlow::key);
    if (flow == world.flows.end() || flow->closed) {
        return;
    }
    ++step.resets;
    note(world, "node " + std::to_string(node) + " resets flow " + std::to_string(flow - world.flows.begin()));
    if (!world.silent && flow->incarnation == world.incarnation) {
        step.violations.push_back(LossProperty::LivingTargetKeepsFlows);
    }
    if (flow->unsafe && flow->working && flow->atNode) {
        step.violations.push_back(LossProperty::UnsafeRequestKeepsFlow);
    }
    flow->closed = true;
}

void checkVerdict(LossWorld &world, std::size_t node, LossStep &step)
{
    const std::int64_t incarnation = targetAt(world, node).record.startedAt;
    note(world, "node " + std::to_string(node) + " declares incarnation " + std::to_string(incarnation) + " lost");
    if (std::ranges::find(world.declared, incarnation) != world.declared.end()) {
        step.violations.push_back(LossProperty::OneVerdict);
    }
    world.declared[node] = incarnation;
    ++world.verdicts;
    ++step.verdicts;
}

void recordEvents(LossWorld &world, std::size_t node, const ForwardOutput &out, LossStep &step)
{
    for (const LossEventRecord &it : out.lossEvents) {
        if (it.event == LossEvent::Lost) {
            checkVerdict(world, node, step);
        } else if (it.event == LossEvent::Recovered) {
            note(world, "node " + std::to_string(node) + " withdraws the verdict");
            world.declared[node] = 0;
            world.withdrawnVerdict[node] = world.verdicts;
        }
    }
}

void sendToOthers(LossWorld &world, std::size_t from, const std::vector<LostTarget> &lost)
{
    for (std::size_t to = 0; to < lossNodes; ++to) {
        if (to != from) {
            LossWorldEvent event = makeMessage(world, LossEventKind::Verdicts, from, to);
            event.verdicts = std::make_shared<const std::vector<LostTarget>>(lost);
            schedule(world, std::move(event));
        }
    }
}

void sendOutput(LossWorld &world, std::size_t node, const ForwardOutput &out, const LossWorldEvent *cause, LossStep &step)
{
    recordEvents(world, node, out, step);
    for (const FlowReset &it : out.resets) {
        checkReset(world, node, it, step);
    }
    for (const FlowNotice &it : out.flowNotices) {
        LossWorldEvent event = makeMessage(world, LossEventKind::Notice, node, static_cast<std::size_t>(it.dispatcher - 1));
        event.notice = it;
        schedule(world, std::move(event));
    }
    for (const EvidenceMessage &it : out.evidence) {
        LossWorldEvent event = makeMessage(world, LossEventKind::Evidence, node, static_cast<std::size_t>(it.owner - 1));
        event.evidence = std::make_shared<const std::vector<TargetEvidence>>(it.evidence);
        schedule(world, std::move(event));
    }
    if (!out.lostTargets.empty()) {
        sendToOthers(world, node, out.lostTargets);
    }
    if (!out.packets.empty() && cause != nullptr && cause->request > 0) {
        LossWorldEvent event = *cause;
        event.at = world.now + transit;
        event.kind = LossEventKind::PacketAtTarget;
        schedule(world, std::move(event));
    }
}

/// Callers' flows to the other targets are answered all the time.
void keepOthersAnswered(EdgeForwarder &forwarder, Time now)
{
    if (!forwarder.targetLoss.evidence.stalled.empty()) {
        recordProgress(forwarder.targetLoss.evidence, judgedTarget + 1, firstCallerIp, now - tickInterval, now);
    }
    if (hasOpenCases(forwarder.targetLoss.verdicts)) {
        for (auto &[key, flow] : forwarder.dispatcher.placedFlows) {
            flow.answeredAt = flow.target == judgedTarget ? flow.answeredAt : now;
        }
    }
}

void tickNodes(LossWorld &world, const LossModelOptions &options, LossStep &step)
{
    for (std::size_t node = 0; node < lossNodes; ++node) {
        const bool due = lossStart + world.now >= nextForwarderTick(*world.nodes[node]);
        if (due && world.now >= world.pausedUntil[node]) {
            EdgeForwarder &forwarder = editNode(world, node);
            keepOthersAnswered(forwarder, lossStart + world.now);
            ForwardOutput out;
            tickForwarder(forwarder, lossStart + world.now, out);
            if (options.defect == LossDefect::ForgetsVerdict) {
                findTarget(forwarder.table, judgedTarget)->lostSince = never;
            }
            sendOutput(world, node, out, nullptr, step);
        }
    }
    LossWorldEvent event;
    event.at = world.now + tickInterval;
    schedule(world, std::move(event));
}

void startRequest(LossWorld &world, std::size_t index)
{
    LossFlow &flow = world.flows[index];
    ++flow.request;
    flow.working = true;
    flow.delivered = false;
    flow.atNode = false;
    flow.startedAt = world.now;
    for (const Time delay : {Time(0), 200 * millisecond, 600 * millisecond}) {
        scheduleFlow(world, LossEventKind::CallerSends, world.now + delay, index);
    }
    scheduleFlow(world, LossEventKind::TimesOut, world.now + requestTimeout, index);
}

void answerFlow(LossWorld &world, std::size_t index)
{
    LossFlow &flow = world.flows[index];
    flow.working = false;
    flow.delivered = true;
    flow.sequence += requestBytes;
    flow.acknowledgement += answerBytes;
    sendPacket(world, index, 0);
    scheduleFlow(world, LossEventKind::RequestStarts, world.now + thinkTime, index);
}

/// The caller goes on with another flow to the target, which is idle so far.
void useAnotherFlow(LossWorld &world, std::size_t index, std::int64_t incarnation, Time pause)
{
    LossFlow &flow = world.flows[index];
    flow.key.caller.port += lossNodes;
    flow.incarnation = incarnation;
    flow.sequence = 1;
    flow.acknowledgement = 900;
    flow.working = false;
    scheduleFlow(world, LossEventKind::RequestStarts, world.now + pause, index);
}

/// The caller aborts the flow.
void abortFlow(LossWorld &world, std::size_t index)
{
    sendPacket(world, index, 0, true);
    useAnotherFlow(world, index, world.flows[index].incarnation, thinkTime);
}

void handleAtTarget(LossWorld &world, const LossWorldEvent &event, const LossModelOptions &options)
{
    LossFlow &flow = world.flows[event.flow];
    if (world.silent || !(flow.key == event.packet.flow)) {
        return;
    }
    if (flow.incarnation != world.incarnation) {
        scheduleFlow(world, LossEventKind::ResetByTarget, world.now + transit, event.flow);
        return;
    }
    scheduleFlow(world, LossEventKind::Acknowledged, world.now + transit, event.flow);
    if (flow.acceptedRequest < event.request && options.serviceTime != never) {
        scheduleFlow(world, LossEventKind::Answered, world.now + options.serviceTime, event.flow);
    }
    flow.acceptedRequest = std::max(flow.acceptedRequest, event.request);
}

void handleAtCaller(LossWorld &world, const LossWorldEvent &event)
{
    LossFlow &flow = world.flows[event.flow];
    if (flow.closed || flow.request != event.request) {
        return;
    }
    switch (event.kind) {
    case LossEventKind::RequestStarts:
        startRequest(world, event.flow);
        break;
    case LossEventKind::CallerSends:
        if (flow.working && !flow.delivered) {
            sendPacket(world, event.flow, requestBytes);
        }
        break;
    case LossEventKind::Acknowledged:
        flow.delivered = true;
        break;
    case LossEventKind::ResetByTarget:
        useAnotherFlow(world, event.flow, world.incarnation, flow.unsafe ? thinkTime : 2 * transit);
        break;
    case LossEventKind::TimesOut:
        if (flow.working) {
            abortFlow(world, event.flow);
        }
        break;
    default:
        if (flow.working) {
            answerFlow(world, event.flow);
        }
        break;
    }
}

/// A verdict that comes into force must be a current one.
void checkAccepted(const LossWorld &world, const LossWorldEvent &event, bool wasLost, LossStep &step)
{
    const EdgeTarget &target = targetAt(world, event.node);
    const bool names = std::ranges::any_of(*event.verdicts, [&](const LostTarget &it) { return it.startedAt == target.record.startedAt; });
    if (!wasLost && target.lostSince != never && (!names || event.verdict <= world.withdrawnVerdict[event.node])) {
        step.violations.push_back(LossProperty::NoEarlierVerdict);
    }
}

/// Evidence as the owner gets it; the defect OneReport makes it look like that of two nodes.
void passEvidence(EdgeForwarder &forwarder, const LossWorldEvent &event, const LossModelOptions &options, Time now, ForwardOutput &out)
{
    handleEvidence(forwarder, *event.evidence, idOfNode(event.from), "dc1", now, out);
    if (options.defect == LossDefect::OneReport) {
        handleEvidence(forwarder, *event.evidence, idOfNode(event.from) + 100, "dc1", now, out);
    }
}

void passVerdicts(EdgeForwarder &forwarder, const LossWorldEvent &event, const LossModelOptions &options, Time now, ForwardOutput &out)
{
    std::vector<LostTarget> verdicts = *event.verdicts;
    if (options.defect == LossDefect::StaleVerdicts) {
        verdicts.front().startedAt = findTarget(forwarder.table, judgedTarget)->record.startedAt;
    }
    handleLostTargets(forwarder, verdicts, now, out);
}

void changeOwner(EdgeForwarder &forwarder, std::size_t node, Time now)
{
    findTarget(forwarder.table, judgedTarget)->owner = node == 1 ? 0 : idOfNode(1);
    updateOwnership(forwarder, now);
}

void applyEntry(LossWorld &world, std::size_t node, EdgeForwarder &forwarder, Time now)
{
    TargetRecord record = testdata::makeTarget(judgedTarget, 1000);
    record.startedAt = world.incarnation;
    applyTarget(forwarder.table, record, now);
    world.declared[node] = 0;
}

void handleAtNode(LossWorld &world, const LossWorldEvent &event, const LossModelOptions &options, LossStep &step)
{
    EdgeForwarder &forwarder = editNode(world, event.node);
    const Time now = lossStart + world.now;
    const bool wasLost = targetAt(world, event.node).lostSince != never;
    ForwardOutput out;
    switch (event.kind) {
    case LossEventKind::PacketAtNode:
        world.flows[event.flow].atNode = world.flows[event.flow].atNode || (event.request == world.flows[event.flow].request && event.request > 0);
        handlePacket(forwarder, event.packet, now, out);
        break;
    case LossEventKind::Notice:
        handleFlowNotice(forwarder.dispatcher, forwarder.table, event.notice, now, out);
        break;
    case LossEventKind::Evidence:
        passEvidence(forwarder, event, options, now, out);
        break;
    case LossEventKind::Verdicts:
        passVerdicts(forwarder, event, options, now, out);
        checkAccepted(world, event, wasLost, step);
        break;
    case LossEventKind::Entry:
        applyEntry(world, event.node, forwarder, now);
        break;
    case LossEventKind::OwnerChanges:
        changeOwner(forwarder, event.node, now);
        break;
    default:
        recordRun(forwarder, world.now - world.pausedSince[event.node], now);
        world.pausedSince[event.node] = 0;
        if (wasLost && targetAt(world, event.node).lostSince == never) {
            note(world, "node " + std::to_string(event.node) + " withdraws the verdict");
            world.declared[event.node] = 0;
        }
        break;
    }
    sendOutput(world, event.node, out, &event, step);
}

} // namespace

LossStep handleNextEvent(LossWorld &world, const LossModelOptions &options, const LossDeviation &deviation)
{
    LossStep step;
    LossWorldEvent event = std::move(world.events.front());
    world.events.erase(world.events.begin());
    world.now = event.at;
    if (deviation.kind != LossDeviationKind::None && !applyDeviation(world, deviation, event)) {
        return step;
    }
    const bool atNode = isAtNode(event.kind);
    if (atNode && event.kind != LossEventKind::Resumes && world.now < world.pausedUntil[event.node]) {
        // It waits in the node's socket.
        event.at = world.pausedUntil[event.node];
        schedule(world, std::move(event));
    } else if (atNode) {
        handleAtNode(world, event, options, step);
    } else if (event.kind == LossEventKind::Tick) {
        tickNodes(world, options, step);
    } else if (event.kind == LossEventKind::PacketAtTarget) {
        handleAtTarget(world, event, options);
    } else {
        handleAtCaller(world, event);
    }
    return step;
}

} // namespace pimentofold::testsupport
