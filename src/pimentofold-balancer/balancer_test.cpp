#include <algorithm>

#include <pimentofold-balancer/testbed.h>

#include <pimentofold/answer.h>
#include <pimentofold/settings.h>

using namespace pimentofold;
using namespace pimentofold::testbed;

namespace {

constexpr int lookupPort = 21010;
constexpr int invoicePort = 21011;

/// Two balancers, two targets of a service with sessions and one of a service without.
struct Fleet {
    Fleet()
    {
        const char *names[] = {"t1", "t2", "t3"};
        for (int i = 0; i < 3; ++i) {
            targets[i].service = i < 2 ? "lookup" : "invoice";
            targets[i].instance = names[i];
            targets[i].address = parseAddress("127.10.2.1:" + std::to_string(21020 + i));
            start(targets[i]);
        }
        view = emptyView(1);
        addService(view, "lookup", lookupPort, true);
        addService(view, "invoice", invoicePort, false);
        for (const FakeTarget &it : targets) {
            addTarget(view, it);
        }
        addMember(view, a, settingsOf("127.10.1.1"));
        addMember(view, b, settingsOf("127.10.1.2"));
        pushView();
    }

    void pushView()
    {
        for (Node *it : {&a, &b}) {
            it->push(view);
            it->settle(view, view.targets.size());
        }
    }

    FakeTarget &holderOf(std::int64_t flow)
    {
        return targets[0].flows.contains(flow) ? targets[0] : targets[1];
    }

    std::array<FakeTarget, 3> targets;
    Node a{settingsOf("127.10.1.1")};
    Node b{settingsOf("127.10.1.2")};
    wire::NodeView view;
    Caller caller{parseAddress("127.10.3.1:21030")};
    const Address lookupA = parseAddress("127.10.1.1:21010");
    const Address lookupB = parseAddress("127.10.1.2:21010");
    const Address invoiceA = parseAddress("127.10.1.1:21011");
    const Address invoiceB = parseAddress("127.10.1.2:21011");
};

wire::CallerPacket openWithToken(Fleet &fleet, std::int64_t flow, const Address &to)
{
    wire::CallerPacket open = packetOf(wire::PacketKind::Open, flow);
    open.wantsToken = true;
    return fleet.caller.ask(open, to);
}

} // namespace

// Guards against a flow that only the balancer that opened it can serve.
TEST_CASE("flows with and without a token are served by any balancer")
{
    Fleet fleet;
    for (const bool wantsToken : {true, false}) {
        CAPTURE(wantsToken);
        const std::int64_t flow = wantsToken ? 101 : 202;
        wire::CallerPacket open = packetOf(wire::PacketKind::Open, flow);
        open.wantsToken = wantsToken;
        const wire::CallerPacket opened = fleet.caller.ask(open, fleet.lookupA);
        CHECK(opened.kind == wire::PacketKind::Opened);
        CHECK(opened.__isset.token == wantsToken);
        wire::CallerPacket request = packetOf(wire::PacketKind::Request, flow, 1);
        request.token = opened.token;
        request.__isset.token = wantsToken;
        const wire::CallerPacket answer = fleet.caller.ask(request, fleet.lookupB);
        CHECK(answer.kind == wire::PacketKind::Answer);
        CHECK(answer.verdict == wire::Verdict::Ran);
        CHECK(answer.body == "answer");
        wire::CallerPacket close = packetOf(wire::PacketKind::Close, flow);
        close.token = request.token;
        close.__isset.token = wantsToken;
        CHECK(fleet.caller.ask(close, fleet.lookupA).kind == wire::PacketKind::Closed);
    }
}

// Guards against a repeated Open that opens the flow on a second target, and against flows that are lost when their
// target isn't the first candidate.
TEST_CASE("a bare flow on a later candidate is found")
{
    Fleet fleet;
    constexpr std::int64_t wanted = 303;
    fleet.caller.ask(packetOf(wire::PacketKind::Open, wanted), fleet.lookupA);
    FakeTarget &first = fleet.holderOf(wanted);
    FakeTarget &other = &first == &fleet.targets[0] ? fleet.targets[1] : fleet.targets[0];
    first.flows.clear();
    other.flows.insert(wanted);
    wire::CallerPacket again = packetOf(wire::PacketKind::Open, wanted);
    again.attempt = 2;
    CHECK(fleet.caller.ask(again, fleet.lookupB).kind == wire::PacketKind::Opened);
    CHECK(first.flows.empty());
    for (int i = 1; i <= 2; ++i) {
        CHECK(fleet.caller.ask(packetOf(wire::PacketKind::Request, wanted, i), fleet.lookupB).verdict == wire::Verdict::Ran);
    }
    // The second request goes to the cached target without a miss.
    CHECK(countOf(first, wire::FrameKind::Request) == 1);
    const wire::CallerPacket unknown = fleet.caller.ask(packetOf(wire::PacketKind::Request, 304, 1), fleet.lookupB);
    CHECK(unknown.verdict == wire::Verdict::NotRun);
    CHECK(unknown.reason == wire::Reason::UnknownFlow);
}

// Guards against parts that are missing, doubled or out of place.
TEST_CASE("a large answer arrives in parts by ranges")
{
    Fleet fleet;
    std::string content;
    for (int i = 0; content.size() < 100'000; ++i) {
        content += std::to_string(i);
    }
    fleet.targets[0].answer = fleet.targets[1].answer = content;
    fleet.caller.ask(packetOf(wire::PacketKind::Open, 404), fleet.lookupA);
    AnswerAssembly assembly;
    while (!isComplete(assembly)) {
        const MissingRange range = missingRanges(assembly).front();
        wire::CallerPacket request = packetOf(wire::PacketKind::Request, 404, 1);
        request.offset = range.offset;
        request.limit = static_cast<std::int32_t>(range.length);
        fleet.caller.ask(request, fleet.lookupA);
        for (const wire::CallerPacket &it : fleet.caller.answers) {
            if (it.kind == wire::PacketKind::Answer) {
                CHECK(addPart(assembly, it.offset, it.total, it.entityTag, it.body, 1 << 20) != PartResult::Invalid);
            }
        }
        fleet.caller.answers.clear();
    }
    CHECK(assembly.bytes == content);
}

// Guards against packets that reach a target of another service under a token of this one.
TEST_CASE("tokens of another service or flow and malformed datagrams are dropped")
{
    Fleet fleet;
    const wire::CallerPacket opened = openWithToken(fleet, 505, fleet.lookupA);
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, 505, 1);
    request.__set_token(opened.token);
    const auto send = [&](const wire::CallerPacket &packet, const Address &to) { fleet.caller.socket.send(fleet.caller.codec.encode(packet), to); };
    send(request, fleet.invoiceA);
    wire::CallerPacket otherFlow = request;
    otherFlow.flow = 506;
    send(otherFlow, fleet.lookupA);
    fleet.caller.socket.send("not a packet", fleet.lookupA);
    // The valid request comes last, so that the others have been handled when its answer arrives.
    const std::size_t before = fleet.caller.answers.size();
    CHECK(fleet.caller.ask(request, fleet.lookupA).verdict == wire::Verdict::Ran);
    CHECK(fleet.caller.answers.size() == before + 1);
    CHECK(countOf(fleet.targets[2], wire::FrameKind::Request) == 0);
}

// Guards against a request that runs twice when its duplicates come through different balancers.
TEST_CASE("a request that may not be repeated runs once through any balancer")
{
    Fleet fleet;
    const wire::CallerPacket opened = openWithToken(fleet, 606, fleet.lookupA);
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, 606, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    for (const Address &to : {fleet.lookupB, fleet.lookupA, fleet.lookupB}) {
        const wire::CallerPacket answer = fleet.caller.ask(request, to);
        CHECK(answer.verdict == wire::Verdict::Ran);
        CHECK(answer.body == "answer");
        CHECK(answer.attempt == request.attempt);
        ++request.attempt;
    }
    CHECK(countOf(fleet.targets[0], wire::FrameKind::Request) + countOf(fleet.targets[1], wire::FrameKind::Request) == 1);
    // On a bare flow it is refused, with a token for the flow's target.
    fleet.caller.ask(packetOf(wire::PacketKind::Open, 607), fleet.lookupA);
    wire::CallerPacket bare = packetOf(wire::PacketKind::Request, 607, 1);
    bare.repeatable = false;
    const wire::CallerPacket refused = fleet.caller.ask(bare, fleet.lookupB);
    CHECK(refused.reason == wire::Reason::TokenRequired);
    bare.__set_token(refused.token);
    CHECK(fleet.caller.ask(bare, fleet.lookupB).verdict == wire::Verdict::Ran);
}

// Guards against a home that is gone: the witness must answer, and truthfully.
TEST_CASE("the witness answers for a home that is gone")
{
    Fleet fleet;
    const wire::CallerPacket opened = openWithToken(fleet, 707, fleet.lookupA);
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, 707, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    CHECK(fleet.caller.ask(request, fleet.lookupA).verdict == wire::Verdict::Ran);
    fleet.a.balancer.reset();
    CHECK(fleet.caller.ask(request, fleet.lookupB).verdict == wire::Verdict::Ran);
    request.request = 2;
    const wire::CallerPacket refused = fleet.caller.ask(request, fleet.lookupB);
    CHECK(refused.verdict == wire::Verdict::NotRun);
}

// Guards against refusals that go on until membership has noticed a crashed witness.
TEST_CASE("a silent witness is replaced by a fresh pair at once")
{
    Fleet fleet;
    const wire::CallerPacket opened = openWithToken(fleet, 717, fleet.lookupA);
    fleet.b.balancer.reset();
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, 717, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    const wire::CallerPacket refused = fleet.caller.ask(request, fleet.lookupA);
    CHECK(refused.verdict == wire::Verdict::NotRun);
    CHECK(refused.reason == wire::Reason::PairLost);
    REQUIRE(refused.__isset.token);
    request.request = 2;
    request.__set_token(refused.token);
    CHECK(fleet.caller.ask(request, fleet.lookupA).verdict == wire::Verdict::Ran);
}

// Guards against more requests on a target than its slots, and against queued requests that can't be cancelled or outlive
// their deadlines.
TEST_CASE("requests beyond the slots wait and are refused truthfully")
{
    Fleet fleet;
    const wire::CallerPacket opened = openWithToken(fleet, 818, fleet.lookupA);
    FakeTarget &target = fleet.holderOf(818);
    target.silent = true;
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, 818);
    request.__set_token(opened.token);
    for (request.request = 1; request.request <= 2; ++request.request) {
        fleet.caller.socket.send(fleet.caller.codec.encode(request), fleet.lookupA);
    }
    runUntil([&] { return countOf(target, wire::FrameKind::Request) == 2; });
    request.deadlineMs = 50;
    const wire::CallerPacket late = fleet.caller.ask(request, fleet.lookupA);
    CHECK(late.request == 3);
    CHECK(late.verdict == wire::Verdict::NotRun);
    request.request = 4;
    request.deadlineMs = 20'000;
    fleet.caller.socket.send(fleet.caller.codec.encode(request), fleet.lookupA);
    request.kind = wire::PacketKind::Cancel;
    const wire::CallerPacket cancelled = fleet.caller.ask(request, fleet.lookupA);
    CHECK(cancelled.request == 4);
    CHECK(cancelled.verdict == wire::Verdict::NotRun);
    CHECK(cancelled.reason == wire::Reason::Cancelled);
    CHECK(countOf(target, wire::FrameKind::Request) == 2);
}

// Guards against requests of services without sessions that are lost with their dispatcher.
TEST_CASE("requests without sessions are relayed to the dispatcher and survive its loss")
{
    Fleet fleet;
    CHECK(openWithToken(fleet, 808, fleet.invoiceA).kind == wire::PacketKind::Opened);
    for (const Address &to : {fleet.invoiceA, fleet.invoiceB}) {
        CHECK(fleet.caller.ask(packetOf(wire::PacketKind::Request, 808, to == fleet.invoiceA ? 1 : 2), to).verdict == wire::Verdict::Ran);
    }
    fleet.a.balancer.reset();
    CHECK(fleet.caller.ask(packetOf(wire::PacketKind::Request, 808, 3), fleet.invoiceB).verdict == wire::Verdict::Ran);
}

// Guards against an untrue NotRun: a dispatcher that doesn't acknowledge a relay may hold the request all the same.
TEST_CASE("a request whose relay wasn't acknowledged isn't refused as not run")
{
    Fleet fleet;
    const std::vector<InstanceKey> members{keyOf(fleet.a), keyOf(fleet.b)};
    const Id service = idOf(team, "invoice");
    const bool firstDispatches = rankForService(service, members).front() == members.front();
    const Address entry = firstDispatches ? fleet.invoiceB : fleet.invoiceA;
    (firstDispatches ? fleet.a : fleet.b).balancer.reset();
    FakeTarget &target = fleet.targets[2];
    target.silent = true;
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, 820);
    constexpr int most = 8; // more than the target's slots and the requests sent ahead
    for (request.request = 1; request.request <= most + 2; ++request.request) {
        // The last two wait for a slot until their deadline.
        request.deadlineMs = request.request <= most ? 20'000 : 400;
        fleet.caller.socket.send(fleet.caller.codec.encode(request), entry);
    }
    runUntil([&] { return countOf(target, wire::FrameKind::Request) >= 2; });
    const Time begun = monotonicNow();
    runUntil([begun] { return monotonicNow() - begun > second; });
    const std::size_t sent = countOf(target, wire::FrameKind::Request);
    CHECK(sent <= most);
    const auto refused = [](const wire::CallerPacket &it) { return it.verdict == wire::Verdict::NotRun; };
    CHECK(std::ranges::none_of(fleet.caller.answers, refused));
}

// Guards against a crashed target that leaves callers waiting, and against a MayHaveRun reported as NotRun.
TEST_CASE("a lost connection under a request is reported as may have run")
{
    Fleet fleet;
    const wire::CallerPacket opened = openWithToken(fleet, 909, fleet.lookupA);
    FakeTarget &target = fleet.holderOf(909);
    target.silent = true;
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, 909, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    const std::size_t before = fleet.caller.answers.size();
    fleet.caller.socket.send(fleet.caller.codec.encode(request), fleet.lookupA);
    runUntil([&] { return countOf(target, wire::FrameKind::Request) == 1; });
    target.connections.clear();
    runUntil([&] { return fleet.caller.answers.size() > before; });
    CHECK(fleet.caller.answers.back().verdict == wire::Verdict::MayHaveRun);
}

// Guards against a stop that cuts a running request or that starts new work that must run at most once.
TEST_CASE("a graceful stop finishes requests and refuses new ones with a fresh token")
{
    Fleet fleet;
    const wire::CallerPacket opened = openWithToken(fleet, 1001, fleet.lookupA);
    wire::CallerPacket request = packetOf(wire::PacketKind::Request, 1001, 1);
    request.repeatable = false;
    request.__set_token(opened.token);
    CHECK(fleet.caller.ask(request, fleet.lookupA).verdict == wire::Verdict::Ran);
    fleet.a.balancer->stop();
    runUntil([&] { return fleet.a.last.leave && fleet.a.last.report.stopping; });
    request.request = 2;
    const wire::CallerPacket refused = fleet.caller.ask(request, fleet.lookupA);
    CHECK(refused.verdict == wire::Verdict::NotRun);
    CHECK(refused.reason == wire::Reason::Stopping);
    REQUIRE(refused.__isset.token);
    CHECK(refused.token != opened.token);
    request.__set_token(refused.token);
    request.request = 3;
    CHECK(fleet.caller.ask(request, fleet.lookupB).verdict == wire::Verdict::Ran);
    runLoop(); // ends when the stop is complete
    fleet.a.balancer.reset();
    // The record of the first request was handed over.
    request.request = 1;
    request.__set_token(opened.token);
    CHECK(fleet.caller.ask(request, fleet.lookupB).verdict == wire::Verdict::Ran);
}

// Guards against a balancer that sends requests to whoever answers on a reused address.
TEST_CASE("nothing but Identify is sent to a target with another identity")
{
    Fleet fleet;
    FakeTarget stranger;
    stranger.service = "list";
    stranger.instance = "t9";
    stranger.address = parseAddress("127.10.2.1:21029");
    start(stranger);
    FakeTarget expected;
    expected.service = "lookup";
    expected.instance = "t9";
    expected.address = stranger.address;
    addTarget(fleet.view, expected);
    ++fleet.view.generation;
    fleet.a.push(fleet.view);
    runUntil([&] { return stranger.frames.size() >= 2; });
    CHECK(countOf(stranger, wire::FrameKind::Identify) == stranger.frames.size());
}

// Guards against settings errors that don't name the file, the field and what was expected.
TEST_CASE("settings errors name file, field and expectation")
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
