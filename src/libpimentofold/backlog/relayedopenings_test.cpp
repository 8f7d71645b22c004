#include <doctest/doctest.h>

#include <algorithm>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/backlog/relayedopenings.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Id origin = 2;

FlowNotice makeNotice(FlowNoticeKind kind, std::uint16_t port, std::uint64_t target)
{
    return {kind, 0, makeKey(port), target};
}

std::size_t countEvents(const ForwardOutput &out, ForwardEvent event)
{
    return static_cast<std::size_t>(std::ranges::count(out.events, event, &ForwardEventRecord::event));
}

} // namespace

// Guards against offers of flows that are open elsewhere: a dispatcher that hadn't run for 0.25 s placed the opening packets in its
// socket although the notices behind them said that their nodes had placed the flows.
TEST_CASE("a relayed opening packet is placed only if no message behind it says that the flow is elsewhere")
{
    struct Row {
        const char *description;
        std::vector<int> attempts; ///< of the opening packets
        std::optional<FlowNoticeKind> notice; ///< behind them
        std::size_t offers;
    };
    const Row rows[] = {
        {"an opening packet alone", {1}, std::nullopt, 1},
        {"two attempts get one offer", {1, 2}, std::nullopt, 1},
        {"the node has placed the flow itself", {1, 2}, FlowNoticeKind::Ended, 0},
        {"the flow is open", {1}, FlowNoticeKind::Opened, 0},
        {"a request has started on the flow", {1}, FlowNoticeKind::WorkStarted, 0},
        {"a request on the flow was answered", {1}, FlowNoticeKind::WorkEnded, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.description);
        EdgeForwarder forwarder = makeForwarder(4, 0);
        ForwardOutput out;
        for (const int attempt : row.attempts) {
            receiveRelayedOpening(forwarder, makeOpeningFlow(7, origin, attempt), second, out);
        }
        CHECK(out.packets.empty());
        if (row.notice) {
            receiveFlowNotice(forwarder, makeNotice(*row.notice, 7, 3), second, out);
        }
        placeBacklog(forwarder, second, out);
        CHECK(out.packets.size() == row.offers);
        CHECK(countEvents(out, ForwardEvent::Withdrawn) == (row.notice ? 1 : 0));
        CHECK(forwarder.backlog.openings.empty());
    }
}

// Guards against dropping a new flow for a notice about an earlier flow with the same addresses.
TEST_CASE("a notice before the opening packet withdraws nothing")
{
    EdgeForwarder forwarder = makeForwarder(4, 0);
    ForwardOutput out;
    receiveFlowNotice(forwarder, makeNotice(FlowNoticeKind::Ended, 7, 3), second, out);
    receiveRelayedOpening(forwarder, makeOpeningFlow(7, origin, 1), second, out);
    placeBacklog(forwarder, second, out);
    CHECK(out.packets.size() == 1);
}

// Guards against offers of waiting flows that are open elsewhere, for the same reason as above: one notice in the socket made room for a
// flow of which a later notice says that it has gone.
TEST_CASE("a waiting flow is placed only after the notices behind the one that makes room")
{
    EdgeForwarder forwarder = makeForwarder(1, 0);
    std::uint16_t port = 0;
    while (forwarder.dispatcher.queue.flows.empty()) {
        ForwardOutput out;
        receiveRelayedOpening(forwarder, makeOpeningFlow(++port, origin, 1), second, out);
        placeBacklog(forwarder, second, out);
        REQUIRE(port < 100);
    }
    ForwardOutput out;
    receiveFlowNotice(forwarder, makeNotice(FlowNoticeKind::Ended, 1, 1), second + millisecond, out);
    receiveFlowNotice(forwarder, makeNotice(FlowNoticeKind::Ended, port, 0), second + millisecond, out);
    placeBacklog(forwarder, second + millisecond, out);
    CHECK(out.packets.empty());

    receiveRelayedOpening(forwarder, makeOpeningFlow(200, origin, 1), second + 2 * millisecond, out);
    receiveRelayedOpening(forwarder, makeOpeningFlow(201, origin, 1), second + 2 * millisecond, out);
    placeBacklog(forwarder, second + 2 * millisecond, out);
    CHECK(out.packets.size() == 1);
    receiveFlowNotice(forwarder, makeNotice(FlowNoticeKind::Ended, 2, 1), second + 3 * millisecond, out);
    CHECK(out.packets.size() == 1);
    placeBacklog(forwarder, second + 3 * millisecond, out);
    CHECK(out.packets.size() == 2);
}

// Guards against flows that are never placed at a node to which messages come faster than it reads them.
TEST_CASE("opening packets wait for the end of the socket for a limited time")
{
    EdgeForwarder forwarder = makeForwarder(4, 0);
    ForwardOutput out;
    CHECK_FALSE(isBacklogOverdue(forwarder, second));
    receiveRelayedOpening(forwarder, makeOpeningFlow(7, origin, 1), second, out);
    CHECK_FALSE(isBacklogOverdue(forwarder, second + maxBacklogTime - 1));
    CHECK(isBacklogOverdue(forwarder, second + maxBacklogTime));
    placeBacklog(forwarder, second + maxBacklogTime, out);
    CHECK_FALSE(isBacklogOverdue(forwarder, 2 * second));
    receiveFlowNotice(forwarder, makeNotice(FlowNoticeKind::Ended, 7, 0), 2 * second, out);
    CHECK(isBacklogOverdue(forwarder, 2 * second + maxBacklogTime));
}

// Guards against the late offer of a dispatcher in another data centre, which the node that received the opening packet doesn't know.
TEST_CASE("an opening packet that was relayed to another data centre is withdrawn there when the flow goes on without it")
{
    constexpr Id elsewhere = 9;
    const auto leave = [](EdgeForwarder &forwarder) { forwarder.relayedElsewhere[makeKey(7)] = {elsewhere, second}; };
    const auto withdrawals = [](const ForwardOutput &out) {
        return std::ranges::count_if(out.flowNotices, [](const FlowNotice &it) { return it.dispatcher == elsewhere && it.kind == FlowNoticeKind::Ended; });
    };
    EdgeForwarder forwarder = makeForwarder(4, 0);
    leave(forwarder);
    ForwardOutput retried;
    receiveRelayedOpening(forwarder, makeOpeningFlow(7, origin, 2), second, retried);
    placeBacklog(forwarder, second, retried);
    CHECK(withdrawals(retried) == 1);
    CHECK(retried.packets.size() == 1);

    leave(forwarder);
    ForwardOutput ended;
    receiveFlowNotice(forwarder, makeNotice(FlowNoticeKind::Ended, 7, 0), second, ended);
    CHECK(withdrawals(ended) == 1);

    leave(forwarder);
    removeOldRelays(forwarder, 10 * second);
    CHECK(forwarder.relayedElsewhere.empty());
}
