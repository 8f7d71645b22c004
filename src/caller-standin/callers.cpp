#include <caller-standin/callers.h>

#include <caller-standin/calls.h>
#include <caller-standin/flows.h>

namespace pimentofold {

namespace {

// After a pause of the process, arrivals of at most this time are caught up with.
constexpr Time mostCatchUp = second;

void startArrivals(Callers &callers, std::size_t index, Time now)
{
    Group &group = callers.groups[index];
    for (std::size_t i = 0; i < group.settings.work.size(); ++i) {
        const double rate = group.settings.work[i].rate;
        if (!group.running[i] || rate <= 0) {
            group.nextArrival[i] = now;
            continue;
        }
        group.nextArrival[i] = std::max(group.nextArrival[i], now - mostCatchUp);
        while (group.nextArrival[i] <= now) {
            startWork(callers, index, i, now);
            group.nextArrival[i] += static_cast<Time>(exponential(callers.random, static_cast<double>(second) / rate));
        }
    }
}

void runAlarm(Callers &callers, const Alarm &alarm, Time now)
{
    switch (alarm.kind) {
    case AlarmKind::Flow:
        onFlowAlarm(callers, alarm.flow, now);
        break;
    case AlarmKind::Call:
        onCallAlarm(callers, {alarm.flow, alarm.number}, now);
        break;
    case AlarmKind::Close:
        closeFlow(callers, alarm.flow, now);
        break;
    case AlarmKind::FirstUse:
        useNewFlow(callers, alarm.flow, now);
        break;
    case AlarmKind::Resend:
        onResendAlarm(callers, alarm.number, now);
        break;
    }
}

} // namespace

Callers makeCallers(const CallerSettings &settings, Time now)
{
    Callers callers;
    callers.node = settings.node;
    callers.random.state = settings.seed;
    callers.lastTick = now;
    for (const GroupSettings &it : settings.groups) {
        Group group;
        group.settings = it;
        group.nextArrival.assign(it.work.size(), now);
        group.running.assign(it.work.size(), false);
        callers.groups.push_back(std::move(group));
    }
    return callers;
}

void receive(Callers &callers, const wire::CallerPacket &packet, std::uint16_t port, Time now)
{
    const auto flow = callers.flows.find(packet.flow);
    const bool opening = flow != callers.flows.end() && flow->second.phase == FlowPhase::Opening;
    if (packet.kind == wire::PacketKind::Closed) {
        if (flow != callers.flows.end() && flow->second.phase == FlowPhase::Closing) {
            removeFlow(callers, packet.flow);
        }
    } else if (packet.kind == wire::PacketKind::Opened || (packet.kind == wire::PacketKind::Answer && packet.request == 0)) {
        if (opening && callers.groups[flow->second.group].settings.port == port) {
            onOpened(callers, packet.flow, packet, now);
            useNewFlow(callers, packet.flow, now);
        } else {
            ++callers.counts.phase().late;
        }
    } else if (packet.kind == wire::PacketKind::Answer) {
        onAnswer(callers, packet, port, now);
    } else {
        ++callers.counts.phase().malformed;
    }
}

std::size_t workUnderWay(const Callers &callers)
{
    return callers.calls.size() + callers.resends.size();
}

void tick(Callers &callers, Time now)
{
    const Time elapsed = now - callers.lastTick;
    callers.lastTick = now;
    while (!callers.alarms.empty() && callers.alarms.top().at <= now) {
        const Alarm alarm = callers.alarms.top();
        callers.alarms.pop();
        runAlarm(callers, alarm, now);
    }
    for (std::size_t i = 0; i < callers.groups.size(); ++i) {
        openFlows(callers, i, elapsed, now);
        startArrivals(callers, i, now);
    }
    continueSweep(callers, elapsed, now);
}

} // namespace pimentofold
