#include <algorithm>

#include <pimentofold-balancer/testbed.h>

#include <pimentofold/answer.h>
#include <pimentofold/settings.h>

using namespace pimentofold;
using namespace pimentofold::testbed;

namespace {

constexpr int lookupPort = 21010;
constexpr int invoicePort = 21011;

/// Two balancers, two targets of the service "lookup", which has sessions, and one target of "invoice", which has none.
struct Fleet {
    Fleet()
    {
        const char *names[] = {"t1", "t2", "t3"};
        for (int i = 0; i < 3; ++i) {
            targets[i].service = i < 2 ? "lookup" : "invoice";
            targets[i].instance = names[i];
            targets[i].address = parseAddress("127.10.2.1:" + std::to_string(21020 + i));
            startTarget(targets[i]);
        }
        view = emptyView(1);
        addService(view, "lookup", lookupPort, true);
        addService(view, "invoice", invoicePort, false);
        for (const FakeTarget &it : targets) {
            addTarget(view, it);
        }
        addMember(view, nodeA, makeSettings("127.10.1.1"));
        addMember(view, nodeB, makeSettings("127.10.1.2"));
        distributeView();
    }

    /// Sends the view to both balancers and waits until it is in force.
    void distributeView()
    {
        for (Node *it : {&nodeA, &nodeB}) {
            it->sendView(view);
            it->waitForView(view, view.targets.size());
        }
    }

    /// @return the target of "lookup" on which a flow was opened
    FakeTarget &targetHolding(std::int64_t flow)
    {
        return targets[0].flows.contains(flow) ? targets[0] : targets[1];
    }

    std::array<FakeTarget, 3> targets;
    Node nodeA{makeSettings("127.10.1.1")};
    Node nodeB{makeSettings("127.10.1.2")};
    wire::NodeView view;
    Caller caller{parseAddress("127.10.3.1:21030")};
    const Address lookupA = parseAddress("127.10.1.1:21010");
    const Address lookupB = parseAddress("127.10.1.2:21010");
    const Address invoiceA = parseAddress("127.10.1.1:21011");
    const Address invoiceB = parseAddress("127.10.1.2:21011");
};

wire::CallerPacket openTokenFlow(Fleet &fleet, std::int64_t flow, const Address &to)
{
    wire::CallerPacket open = makePacket(wire::PacketKind::Open, flow);
    open.wantsToken = true;
    return fleet.caller.sendAndWait(open, to);
}

} // namespace

// Guards against flows that can be served only by the balancer through which they were opened.
TEST_CASE("flows with and without a token are served by any balancer")
{
    Fleet fleet;
    for (const bool wantsToken : {true, false}) {
        CAPTURE(wantsToken);
        const std::int64_t flow = wantsToken ? 101 : 202;
        wire::CallerPacket open = makePacket(wire::PacketKind::Open, flow);
        open.wantsToken = wantsToken;
        const wire::CallerPacket opened = fleet.caller.sendAndWait(open, fleet.lookupA);
        CHECK(opened.kind == wire::PacketKind::Opened);
        CHECK(opened.__isset.token == wantsToken);
        wire::CallerPacket request = makePacket(wire::PacketKind::Request, flow, 1);
        request.token = opened.token;
        request.__isset.token = wantsToken;
        const wire::CallerPacket answer = fleet.caller.sendAndWait(request, fleet.lookupB);
        CHECK(answer.kind == wire::PacketKind::Answer);
        CHECK(answer.verdict == wire::Verdict::Ran);
        CHECK(answer.body == "answer");
        wire::CallerPacket close = makePacket(wire::PacketKind::Close, flow);
        close.token = request.token;
        close.__isset.token = wantsToken;
        CHECK(fleet.caller.sendAndWait(close, fleet.lookupA).kind == wire::PacketKind::Closed);
    }
}

// Guards against a retransmitted Open that opens the flow on a second target, and against requests that fail because the
// flow isn't on its first candidate target.
TEST_CASE("a bare flow on a later candidate is found")
{
    Fleet fleet;
    constexpr std::int64_t wanted = 303;
    fleet.caller.sendAndWait(makePacket(wire::PacketKind::Open, wanted), fleet.lookupA);
    FakeTarget &first = fleet.targetHolding(wanted);
    FakeTarget &other = &first == &fleet.targets[0] ? fleet.targets[1] : fleet.targets[0];
    first.flows.clear();
    other.flows.insert(wanted);
    wire::CallerPacket again = makePacket(wire::PacketKind::Open, wanted);
    again.attempt = 2;
    CHECK(fleet.caller.sendAndWait(again, fleet.lookupB).kind == wire::PacketKind::Opened);
    CHECK(first.flows.empty());
    for (int i = 1; i <= 2; ++i) {
        CHECK(fleet.caller.sendAndWait(makePacket(wire::PacketKind::Request, wanted, i), fleet.lookupB).verdict == wire::Verdict::Ran);
    }
    // Only the first request asks the wrong target; the second one finds the right target in the route cache.
    CHECK(frameCount(first, wire::FrameKind::Request) == 1);
    const wire::CallerPacket unknown = fleet.caller.sendAndWait(makePacket(wire::PacketKind::Request, 304, 1), fleet.lookupB);
    CHECK(unknown.verdict == wire::Verdict::NotRun);
    CHECK(unknown.reason == wire::Reason::UnknownFlow);
}

// Guards against parts of an answer that are missing, duplicated or at the wrong offset.
TEST_CASE("a large answer is fetched in ranges and arrives in parts")
{
    Fleet fleet;
    std::string content;
    for (int i = 0; content.size() < 100'000; ++i) {
        content += std::to_string(i);
    }
    fleet.targets[0].answer = fleet.targets[1].answer = content;
    fleet.caller.sendAndWait(makePacket(wire::PacketKind::Open, 404), fleet.lookupA);
    AnswerAssembly assembly;
    while (!isComplete(assembly)) {
        const MissingRange range = missingRanges(assembly).front();
        wire::CallerPacket request = makePacket(wire::PacketKind::Request, 404, 1);
        request.offset = range.offset;
        request.limit = static_cast<std::int32_t>(range.length);
        fleet.caller.sendAndWait(request, fleet.lookupA);
        for (const wire::CallerPacket &it : fleet.caller.answers) {
            if (it.kind == wire::PacketKind::Answer) {
                CHECK(addPart(assembly, it.offset, it.total, it.entityTag, it.body, 1 << 20) != PartResult::Invalid);
            }
        }
        fleet.caller.answers.clear();
    }
    CHECK(assembly.bytes == content);
}

// Guards against a token that gives access to another service or flow than the one for which it was issued.
TEST_CASE("tokens of another service or flow and malformed datagrams are dropped")
{
    Fleet fleet;
    const wire::CallerPacket opened = openTokenFlow(fleet, 505, fleet.lookupA);
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, 505, 1);
    request.__set_token(opened.token);
    const auto send = [&](const wire::CallerPacket &packet, const Address &to) { fleet.caller.socket.send(fleet.caller.codec.encode(packet), to); };
    send(request, fleet.invoiceA);
    wire::CallerPacket otherFlow = request;
    otherFlow.flow = 506;
    send(otherFlow, fleet.lookupA);
    fleet.caller.socket.send("not a packet", fleet.lookupA);
    // The valid request is sent last, so that the others have been handled when its answer arrives.
    const std::size_t before = fleet.caller.answers.size();
    CHECK(fleet.caller.sendAndWait(request, fleet.lookupA).verdict == wire::Verdict::Ran);
    CHECK(fleet.caller.answers.size() == before + 1);
    CHECK(frameCount(fleet.targets[2], wire::FrameKind::Request) == 0);
}

// Guards against an at-most-once request that runs twice because its retransmissions arrive at different balancers.
TEST_CASE("an at-most-once request sent through several balancers runs once")
{
    Fleet fleet;
    const wire::CallerPacket opened = openTokenFlow(fleet, 606, fleet.lookupA);
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, 606, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    for (const Address &to : {fleet.lookupB, fleet.lookupA, fleet.lookupB}) {
        const wire::CallerPacket answer = fleet.caller.sendAndWait(request, to);
        CHECK(answer.verdict == wire::Verdict::Ran);
        CHECK(answer.body == "answer");
        CHECK(answer.attempt == request.attempt);
        ++request.attempt;
    }
    CHECK(frameCount(fleet.targets[0], wire::FrameKind::Request) + frameCount(fleet.targets[1], wire::FrameKind::Request) == 1);
    // On a bare flow, an at-most-once request is refused with a token that names the flow's target.
    fleet.caller.sendAndWait(makePacket(wire::PacketKind::Open, 607), fleet.lookupA);
    wire::CallerPacket bare = makePacket(wire::PacketKind::Request, 607, 1);
    bare.repeatable = false;
    const wire::CallerPacket refused = fleet.caller.sendAndWait(bare, fleet.lookupB);
    CHECK(refused.reason == wire::Reason::TokenRequired);
    bare.__set_token(refused.token);
    CHECK(fleet.caller.sendAndWait(bare, fleet.lookupB).verdict == wire::Verdict::Ran);
}

// Guards against requests that get no answer, or a wrong one, after their home has crashed: the witness must report the
// outcome of requests that have run and refuse others as not run.
TEST_CASE("the witness answers for a crashed home")
{
    Fleet fleet;
    const wire::CallerPacket opened = openTokenFlow(fleet, 707, fleet.lookupA);
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, 707, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    CHECK(fleet.caller.sendAndWait(request, fleet.lookupA).verdict == wire::Verdict::Ran);
    fleet.nodeA.balancer.reset();
    CHECK(fleet.caller.sendAndWait(request, fleet.lookupB).verdict == wire::Verdict::Ran);
    request.request = 2;
    const wire::CallerPacket refused = fleet.caller.sendAndWait(request, fleet.lookupB);
    CHECK(refused.verdict == wire::Verdict::NotRun);
}

// Guards against at-most-once requests that are refused until the membership protocol has detected the crash of their
// witness.
TEST_CASE("a token with a new home and witness replaces a crashed witness at once")
{
    Fleet fleet;
    const wire::CallerPacket opened = openTokenFlow(fleet, 717, fleet.lookupA);
    fleet.nodeB.balancer.reset();
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, 717, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    const wire::CallerPacket refused = fleet.caller.sendAndWait(request, fleet.lookupA);
    CHECK(refused.verdict == wire::Verdict::NotRun);
    CHECK(refused.reason == wire::Reason::PairLost);
    REQUIRE(refused.__isset.token);
    request.request = 2;
    request.__set_token(refused.token);
    CHECK(fleet.caller.sendAndWait(request, fleet.lookupA).verdict == wire::Verdict::Ran);
}

// Guards against a target that gets more requests than it has slots, and against queued requests that can't be cancelled
// or stay queued after their deadlines.
TEST_CASE("requests beyond the slots are queued and refused as not run")
{
    Fleet fleet;
    const wire::CallerPacket opened = openTokenFlow(fleet, 818, fleet.lookupA);
    FakeTarget &target = fleet.targetHolding(818);
    target.silent = true;
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, 818);
    request.__set_token(opened.token);
    for (request.request = 1; request.request <= 2; ++request.request) {
        fleet.caller.socket.send(fleet.caller.codec.encode(request), fleet.lookupA);
    }
    runUntil([&] { return frameCount(target, wire::FrameKind::Request) == 2; });
    request.deadlineMs = 50;
    const wire::CallerPacket late = fleet.caller.sendAndWait(request, fleet.lookupA);
    CHECK(late.request == 3);
    CHECK(late.verdict == wire::Verdict::NotRun);
    request.request = 4;
    request.deadlineMs = 20'000;
    fleet.caller.socket.send(fleet.caller.codec.encode(request), fleet.lookupA);
    request.kind = wire::PacketKind::Cancel;
    const wire::CallerPacket cancelled = fleet.caller.sendAndWait(request, fleet.lookupA);
    CHECK(cancelled.request == 4);
    CHECK(cancelled.verdict == wire::Verdict::NotRun);
    CHECK(cancelled.reason == wire::Reason::Cancelled);
    CHECK(frameCount(target, wire::FrameKind::Request) == 2);
}

// Guards against requests of services without sessions that are lost when their dispatcher crashes.
TEST_CASE("requests without sessions are relayed to the dispatcher and still run after its crash")
{
    Fleet fleet;
    CHECK(openTokenFlow(fleet, 808, fleet.invoiceA).kind == wire::PacketKind::Opened);
    for (const Address &to : {fleet.invoiceA, fleet.invoiceB}) {
        CHECK(fleet.caller.sendAndWait(makePacket(wire::PacketKind::Request, 808, to == fleet.invoiceA ? 1 : 2), to).verdict == wire::Verdict::Ran);
    }
    fleet.nodeA.balancer.reset();
    CHECK(fleet.caller.sendAndWait(makePacket(wire::PacketKind::Request, 808, 3), fleet.invoiceB).verdict == wire::Verdict::Ran);
}

// Guards against NotRun answers for requests that may still run: a dispatcher may hold a request although its
// acknowledgement of the relay was lost.
TEST_CASE("a request whose relay wasn't acknowledged isn't refused as not run")
{
    Fleet fleet;
    const std::vector<InstanceKey> members{instanceKeyOf(fleet.nodeA), instanceKeyOf(fleet.nodeB)};
    const Id service = idOf(team, "invoice");
    const bool firstDispatches = rankForService(service, members).front() == members.front();
    const Address entry = firstDispatches ? fleet.invoiceB : fleet.invoiceA;
    (firstDispatches ? fleet.nodeA : fleet.nodeB).balancer.reset();
    FakeTarget &target = fleet.targets[2];
    target.silent = true;
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, 820);
    constexpr int longDeadlineRequests = 8; // exceeds the target's slots and the requests sent ahead of a free slot
    for (request.request = 1; request.request <= longDeadlineRequests + 2; ++request.request) {
        // The last two requests wait for a slot until their deadline.
        request.deadlineMs = request.request <= longDeadlineRequests ? 20'000 : 400;
        fleet.caller.socket.send(fleet.caller.codec.encode(request), entry);
    }
    runUntil([&] { return frameCount(target, wire::FrameKind::Request) >= 2; });
    const Time startedAt = monotonicNow();
    runUntil([startedAt] { return monotonicNow() - startedAt > second; });
    const std::size_t sent = frameCount(target, wire::FrameKind::Request);
    CHECK(sent <= longDeadlineRequests);
    const auto refused = [](const wire::CallerPacket &it) { return it.verdict == wire::Verdict::NotRun; };
    CHECK(std::ranges::none_of(fleet.caller.answers, refused));
}

// Guards against callers that wait in vain for the answer of a crashed target, and against NotRun answers for requests
// that the target may have run.
TEST_CASE("a lost connection under a request is reported as may have run")
{
    Fleet fleet;
    const wire::CallerPacket opened = openTokenFlow(fleet, 909, fleet.lookupA);
    FakeTarget &target = fleet.targetHolding(909);
    target.silent = true;
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, 909, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    const std::size_t before = fleet.caller.answers.size();
    fleet.caller.socket.send(fleet.caller.codec.encode(request), fleet.lookupA);
    runUntil([&] { return frameCount(target, wire::FrameKind::Request) == 1; });
    target.connections.clear();
    runUntil([&] { return fleet.caller.answers.size() > before; });
    CHECK(fleet.caller.answers.back().verdict == wire::Verdict::MayHaveRun);
}

// Guards against a graceful stop that interrupts running requests, starts new at-most-once requests or loses the records of
// earlier ones.
TEST_CASE("a graceful stop finishes requests and refuses new ones with a new token")
{
    Fleet fleet;
    const wire::CallerPacket opened = openTokenFlow(fleet, 1001, fleet.lookupA);
    wire::CallerPacket request = makePacket(wire::PacketKind::Request, 1001, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    CHECK(fleet.caller.sendAndWait(request, fleet.lookupA).verdict == wire::Verdict::Ran);
    fleet.nodeA.balancer->stop();
    runUntil([&] { return fleet.nodeA.lastMessage.leave && fleet.nodeA.lastMessage.report.stopping; });
    request.request = 2;
    const wire::CallerPacket refused = fleet.caller.sendAndWait(request, fleet.lookupA);
    CHECK(refused.verdict == wire::Verdict::NotRun);
    CHECK(refused.reason == wire::Reason::Stopping);
    REQUIRE(refused.__isset.token);
    CHECK(refused.token != opened.token);
    request.__set_token(refused.token);
    request.request = 3;
    CHECK(fleet.caller.sendAndWait(request, fleet.lookupB).verdict == wire::Verdict::Ran);
    runLoop(); // ends when the stop is complete
    fleet.nodeA.balancer.reset();
    // The record of the first request was handed over to the other balancer.
    request.request = 1;
    request.__set_token(opened.token);
    CHECK(fleet.caller.sendAndWait(request, fleet.lookupB).verdict == wire::Verdict::Ran);
}

// Guards against requests that are sent to another target because it now listens on the address of the expected one.
TEST_CASE("nothing but Identify is sent to a target with another identity")
{
    Fleet fleet;
    FakeTarget otherTarget;
    otherTarget.service = "list";
    otherTarget.instance = "t9";
    otherTarget.address = parseAddress("127.10.2.1:21029");
    startTarget(otherTarget);
    FakeTarget expected;
    expected.service = "lookup";
    expected.instance = "t9";
    expected.address = otherTarget.address;
    addTarget(fleet.view, expected);
    ++fleet.view.generation;
    fleet.nodeA.sendView(fleet.view);
    runUntil([&] { return otherTarget.frames.size() >= 2; });
    CHECK(frameCount(otherTarget, wire::FrameKind::Identify) == otherTarget.frames.size());
}

// Guards against error messages that don't name the file and the invalid field.
TEST_CASE("settings errors name the file and the field")
{
    const std::string good = R"({"node": "n", "dataCentre": "dc1", "team": "t", "ip": "127.10.1.1", "peerAddress": "127.10.1.1:21000",
        "viewAddress": "127.10.1.1:21001", "metricsAddress": "127.10.1.1:21002", "peerSecrets": ["0123456789abcdef"] /* one */})";
    CHECK(parseBalancerSettings(good, "b.json").drainLimit == 10 * second);
    struct Case {
        const char *from;
        const char *to;
        const char *field;
    };
    const Case cases[] = {{"\"127.10.1.1\",", "\"here\",", "ip"},
                          {"127.10.1.1:21000", "127.10.1.1", "peerAddress"},
                          {"0123456789abcdef", "short", "peerSecrets"},
                          {"\"node\"", "\"nodes\"", "node"},
                          {"\"team\"", "\"drainLimitMs\": -1, \"team\"", "drainLimitMs"}};
    for (const Case &it : cases) {
        std::string text = good;
        text.replace(text.find(it.from), std::string_view(it.from).size(), it.to);
        try {
            parseBalancerSettings(text, "b.json");
            FAIL("accepted: " << text);
        } catch (const SettingsError &error) {
            CHECK(error.file == "b.json");
            CHECK(error.field == it.field);
        }
    }
}
