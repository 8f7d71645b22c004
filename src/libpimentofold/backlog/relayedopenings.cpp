#include <pimentofold/backlog/relayedopenings.h>

namespace pimentofold {

namespace {

// Callers give up an opening flow after 1.4 s.
constexpr Time relayRetention = 2 * second;

} // namespace

void receiveRelayedOpening(EdgeForwarder &forwarder, const OpeningFlow &flow, Time now, ForwardOutput &out)
{
    if (now < forwarder.dropOpeningsUntil) {
        appendEvent(out, ForwardEvent::Stale, flow.key, nullptr, flow.attempt, 0);
        return;
    }
    addOpening(forwarder.backlog, flow, now);
}

void receiveFlowNotice(EdgeForwarder &forwarder, const FlowNotice &notice, Time now, ForwardOutput &out)
{
    if (const std::optional<OpeningFlow> withdrawn = withdrawOpening(forwarder.backlog, notice.flow)) {
        appendEvent(out, ForwardEvent::Withdrawn, notice.flow, nullptr, withdrawn->attempt, 0);
        out.events.back().node = withdrawn->originNode;
    }
    if (notice.kind == FlowNoticeKind::Ended) {
        withdrawElsewhere(forwarder, notice.flow, out);
    }
    if (forwarder.dispatcher.placementHeldSince == never) {
        forwarder.dispatcher.placementHeldSince = now;
    }
    handleFlowNotice(forwarder.dispatcher, forwarder.table, notice, now, out);
}

bool isBacklogOverdue(const EdgeForwarder &forwarder, Time now)
{
    const Time since = std::min(forwarder.backlog.startedAt, forwarder.dispatcher.placementHeldSince);
    return since != never && now - since >= maxBacklogTime;
}

void placeBacklog(EdgeForwarder &forwarder, Time now, ForwardOutput &out)
{
    resumePlacement(forwarder.dispatcher, forwarder.table, now, out);
    for (const OpeningFlow &it : takeOpenings(forwarder.backlog)) {
        placeForPeer(forwarder, it, now, out);
    }
}

void withdrawElsewhere(EdgeForwarder &forwarder, const FlowKey &flow, ForwardOutput &out)
{
    const auto it = forwarder.relayedElsewhere.find(flow);
    if (it != forwarder.relayedElsewhere.end()) {
        out.flowNotices.push_back({FlowNoticeKind::Ended, it->second.dispatcher, flow, 0});
        forwarder.relayedElsewhere.erase(it);
    }
}

void removeOldRelays(EdgeForwarder &forwarder, Time now)
{
    std::erase_if(forwarder.relayedElsewhere, [&](const auto &it) { return now - it.second.relayedAt >= relayRetention; });
}

} // namespace pimentofold
