#include <target-standin/backend.h>

#include <doctest/doctest.h>

#include <libstandin/workload.h>

#include <target-standin/targetsettings.h>

using namespace pimentofold;
using wire::FrameKind;
using wire::Outcome;

namespace {

constexpr ConnectionId balancer = 1;

Backend makeBackend(int slots = 1, std::size_t queueLimit = 1, bool session = true)
{
    Backend backend;
    backend.settings.team = "foundation";
    backend.settings.service = "lookup";
    backend.settings.instance = "t1";
    backend.settings.slots = slots;
    backend.settings.queueLimit = queueLimit;
    backend.settings.session = session;
    return backend;
}

wire::TargetFrame frameOf(FrameKind::type kind, std::int64_t flow, std::int64_t request = 0, bool repeatable = true)
{
    wire::TargetFrame frame;
    frame.kind = kind;
    frame.serviceId = idOf("foundation", "lookup");
    frame.call = flow * 100 + request;
    frame.flow = flow;
    frame.request = request;
    frame.repeatable = repeatable;
    if (kind == FrameKind::Request) {
        frame.__set_body(formatOrder({"foundation", "lookup", flow, request, repeatable ? "" : "op"}));
    }
    return frame;
}

std::vector<Outgoing> send(Backend &backend, const wire::TargetFrame &frame, Time now = 0)
{
    std::vector<Outgoing> out;
    receive(backend, balancer, frame, now, out);
    return out;
}

Outcome::type outcomeOf(const std::vector<Outgoing> &out)
{
    REQUIRE(out.size() == 1);
    return out[0].frame.outcome;
}

} // namespace

// Guards against a stand-in that hides a balancer's fault: packets that were meant for another server.
TEST_CASE("frames of another service, team or flow are counted as foreign and not answered")
{
    struct Case {
        const char *what;
        std::int64_t serviceId;
        WorkOrder order;
    };
    const Case cases[] = {
        {"service id", idOf("shop", "lookup"), {"foundation", "lookup", 1, 1, ""}},
        {"team", idOf("foundation", "lookup"), {"shop", "lookup", 1, 1, ""}},
        {"service", idOf("foundation", "lookup"), {"foundation", "list", 1, 1, ""}},
        {"flow", idOf("foundation", "lookup"), {"foundation", "lookup", 2, 1, ""}},
    };
    for (const Case &it : cases) {
        CAPTURE(it.what);
        Backend backend = makeBackend();
        send(backend, frameOf(FrameKind::Open, 1));
        wire::TargetFrame frame = frameOf(FrameKind::Request, 1, 1);
        frame.serviceId = it.serviceId;
        frame.__set_body(formatOrder(it.order));
        CHECK(send(backend, frame).empty());
        CHECK(backend.counts.foreign == 1);
    }
}

// Guards against wrong refusals, from which callers would draw wrong conclusions.
TEST_CASE("unknown flows, full queues, drains and expired work are refused as such")
{
    Backend backend = makeBackend();
    CHECK(outcomeOf(send(backend, frameOf(FrameKind::Request, 1, 1))) == Outcome::UnknownFlow);
    wire::TargetFrame probe = frameOf(FrameKind::Open, 1);
    probe.onlyIfHeld = true;
    CHECK(outcomeOf(send(backend, probe)) == Outcome::UnknownFlow);
    CHECK(outcomeOf(send(backend, frameOf(FrameKind::Open, 1))) == Outcome::Done);
    CHECK(outcomeOf(send(backend, probe)) == Outcome::Done);
    CHECK(send(backend, frameOf(FrameKind::Request, 1, 1)).empty());
    wire::TargetFrame waiting = frameOf(FrameKind::Request, 1, 2, false);
    waiting.deadlineMs = 1;
    CHECK(send(backend, waiting).empty());
    CHECK(outcomeOf(send(backend, frameOf(FrameKind::Request, 1, 3))) == Outcome::Shed);
    setDraining(backend, true, 0);
    CHECK(outcomeOf(send(backend, frameOf(FrameKind::Open, 2))) == Outcome::Draining);
    CHECK(outcomeOf(send(backend, frameOf(FrameKind::Open, 1))) == Outcome::Done);
    std::vector<Outgoing> out;
    advance(backend, second, out);
    REQUIRE(out.size() == 2);
    CHECK(out[0].frame.outcome == Outcome::Done);
    CHECK(out[1].frame.outcome == Outcome::Expired);
    CHECK(backend.runs.empty());
    CHECK(backend.counts.lateNewWork == 0);
    CHECK(outcomeOf(send(backend, frameOf(FrameKind::Open, 3), 3 * second)) == Outcome::Draining);
    CHECK(backend.counts.lateNewWork == 1);
}

// Guards against cancellations whose outcome claims the opposite of what happened.
TEST_CASE("cancelled work says whether it ran, and runs are listed")
{
    Backend backend = makeBackend();
    send(backend, frameOf(FrameKind::Open, 1));
    send(backend, frameOf(FrameKind::Request, 1, 1, false));
    send(backend, frameOf(FrameKind::Request, 1, 2, false));
    CHECK(outcomeOf(send(backend, frameOf(FrameKind::Cancel, 1, 2))) == Outcome::CancelledBeforeRun);
    CHECK(outcomeOf(send(backend, frameOf(FrameKind::Cancel, 1, 1))) == Outcome::CancelledWhileRunning);
    CHECK(backend.runs == std::map<RunKey, int>{{{"op", 1, 1}, 1}});
    CHECK(nextDue(backend) == backend.settings.unusedLimit);
}

// Guards against drains that never end because a repeated Open left a flow on a second server.
TEST_CASE("flows that nobody uses end, used ones stay")
{
    Backend backend = makeBackend(2, 2);
    send(backend, frameOf(FrameKind::Open, 1));
    send(backend, frameOf(FrameKind::Open, 2));
    send(backend, frameOf(FrameKind::Request, 2, 1));
    std::vector<Outgoing> out;
    advance(backend, backend.settings.unusedLimit, out);
    CHECK(backend.flows == std::set<std::int64_t>{2});
    CHECK(backend.counts.unusedEnded == 1);
}

// Guards against reports that don't reach subscribers, or that show the truth while a fault is on.
TEST_CASE("reports are pushed with their lag and lie when told to")
{
    Backend backend = makeBackend(2, 4, false);
    backend.faults.statusLag = 200 * millisecond;
    backend.faults.reportedLoad = ReportedLoad::Idle;
    wire::TargetFrame subscribe = frameOf(FrameKind::Subscribe, 0);
    CHECK(send(backend, subscribe)[0].frame.kind == FrameKind::Status);
    backend.settings.serviceTime = minute;
    CHECK(send(backend, frameOf(FrameKind::Request, 1, 1)).empty());
    setDraining(backend, true, 10 * millisecond);
    std::vector<Outgoing> out;
    advance(backend, 100 * millisecond, out);
    CHECK(out.empty());
    advance(backend, 400 * millisecond, out);
    REQUIRE(out.size() == 2);
    CHECK_FALSE(out[0].frame.status.draining);
    CHECK(out[1].frame.status.draining);
    CHECK(out[1].frame.status.inUse == 0);
}

// Guards against settings that are accepted although a server couldn't run with them.
TEST_CASE("settings name the field that is wrong")
{
    struct Case {
        const char *text;
        const char *field;
    };
    const Case cases[] = {
        {R"({"node": "a", "adminAddress": "127.0.0.1:1"})", "servers"},
        {R"({"node": "a", "adminAddress": "127.0.0.1:1", "servers": [{}]})", "servers[0].team"},
        {R"({"node": "a", "adminAddress": "127.0.0.1:1", "servers": [{"team": "a", "service": "b", "instance": "c", "dataCentre": "d",
             "address": "127.0.0.1:2", "reportedLoad": "none"}]})",
         "servers[0].reportedLoad"},
    };
    for (const Case &it : cases) {
        CAPTURE(it.text);
        SettingsObject top = parseSettings(it.text, "x.json");
        try {
            readTargetSettings(top);
            FAIL("no error");
        } catch (const SettingsError &error) {
            CHECK(error.field == it.field);
        }
    }
}
