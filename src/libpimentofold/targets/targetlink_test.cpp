#include <pimentofold/targetlink.h>

#include <pimentofold/retry.h>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

wire::TargetFrame frameOf(wire::FrameKind::type kind, std::int64_t call = 0)
{
    wire::TargetFrame frame;
    frame.kind = kind;
    frame.call = call;
    return frame;
}

wire::TargetFrame identityOf(const std::string &teamName, const std::string &serviceName, const std::string &instance)
{
    wire::TargetFrame frame = frameOf(wire::FrameKind::Identity);
    wire::TargetIdentity identity;
    identity.teamName = teamName;
    identity.serviceName = serviceName;
    identity.instance = instance;
    identity.incarnation = 9;
    frame.__set_identity(identity);
    return frame;
}

wire::TargetFrame statusOf(bool draining, bool healthy = true)
{
    wire::TargetFrame frame = frameOf(wire::FrameKind::Status);
    wire::TargetStatus status;
    status.draining = draining;
    status.healthy = healthy;
    frame.__set_status(status);
    return frame;
}

TargetLink linkOf()
{
    TargetLink link;
    link.teamName = "foundation";
    link.serviceName = "lookup";
    link.instance = "t1";
    return link;
}

TargetLink readyLink()
{
    TargetLink link = linkOf();
    connectLink(link, 0);
    onTargetFrame(link, identityOf("foundation", "lookup", "t1"), 0);
    return link;
}

} // namespace

// Guards against requests that reach a target of another service or team after an address was reused.
TEST_CASE("no call can start before the target has confirmed the expected identity")
{
    struct Case {
        wire::TargetFrame frame;
        FrameResult result;
    };
    const Case cases[] = {{identityOf("foundation", "lookup", "t1"), FrameResult::Identified},
                          {identityOf("shop", "lookup", "t1"), FrameResult::WrongIdentity},
                          {identityOf("foundation", "list", "t1"), FrameResult::WrongIdentity},
                          {identityOf("foundation", "lookup", "t2"), FrameResult::WrongIdentity},
                          {frameOf(wire::FrameKind::Identity), FrameResult::WrongIdentity},
                          {frameOf(wire::FrameKind::Answer, 1), FrameResult::Malformed},
                          {statusOf(false), FrameResult::Malformed}};
    for (const Case &it : cases) {
        TargetLink link = linkOf();
        CHECK_THROWS_AS(startCall(link, 1), std::logic_error);
        CHECK(connectLink(link, 0).kind == wire::FrameKind::Identify);
        CHECK(onTargetFrame(link, it.frame, 0).result == it.result);
        CHECK(acceptsNewWork(link, 0) == (it.result == FrameResult::Identified));
        if (it.result != FrameResult::Identified) {
            CHECK_THROWS_AS(startCall(link, 1), std::logic_error);
        }
    }
    TargetLink link = linkOf();
    connectLink(link, 0);
    CHECK_FALSE(isIdentifyOverdue(link, identifyTimeout - 1));
    CHECK(isIdentifyOverdue(link, identifyTimeout));
}

// Guards against an answer that is forwarded to the caller of another request.
TEST_CASE("answers match exactly one call in flight")
{
    TargetLink link = readyLink();
    const std::int64_t a = startCall(link, 10);
    const std::int64_t b = startCall(link, 20);
    CHECK(onTargetFrame(link, frameOf(wire::FrameKind::Answer, b), 1).context == 20);
    CHECK(onTargetFrame(link, frameOf(wire::FrameKind::Answer, b), 1).result == FrameResult::Unmatched);
    const std::int64_t c = startCall(link, 30);
    CHECK(c != b);
    abandonCall(link, a);
    for (const std::int64_t late : {a, b, std::int64_t{0}, std::int64_t{-1}, INT64_MAX}) {
        CHECK(onTargetFrame(link, frameOf(wire::FrameKind::Answer, late), 1).result == FrameResult::Unmatched);
    }
    CHECK(disconnectLink(link) == std::vector<std::uint64_t>{30});
    CHECK(link.inFlight == 0);
    CHECK(onTargetFrame(link, frameOf(wire::FrameKind::Answer, c), 1).result == FrameResult::Ignored);
}

// Guards against new work on targets that are draining, unhealthy or were silent.
TEST_CASE("draining, bad health and silence stop new work until a status reports the opposite")
{
    TargetLink link = readyLink();
    onTargetFrame(link, statusOf(true), 1);
    CHECK_FALSE(acceptsNewWork(link, 1));
    onTargetFrame(link, statusOf(false, false), 1);
    CHECK_FALSE(acceptsNewWork(link, 1));
    onTargetFrame(link, statusOf(false), 1);
    CHECK(acceptsNewWork(link, 1));
    wire::TargetFrame refused = frameOf(wire::FrameKind::Opened, startCall(link, 1));
    refused.__set_outcome(wire::Outcome::Draining);
    onTargetFrame(link, refused, 1);
    CHECK_FALSE(acceptsNewWork(link, 1));
    onTargetFrame(link, statusOf(false), 1);
    CHECK_FALSE(subscribeIfDue(link, subscribeIdleTime));
    CHECK(subscribeIfDue(link, 1 + subscribeIdleTime));
    CHECK_FALSE(subscribeIfDue(link, 1 + subscribeIdleTime));
    CHECK(acceptsNewWork(link, linkSilenceTimeout));
    CHECK_FALSE(acceptsNewWork(link, 1 + linkSilenceTimeout));
    // A late answer doesn't show whether the target accepts new work after the silence; a status does.
    onTargetFrame(link, frameOf(wire::FrameKind::Answer, startCall(link, 2)), 2 + linkSilenceTimeout);
    CHECK_FALSE(acceptsNewWork(link, 2 + linkSilenceTimeout));
    onTargetFrame(link, statusOf(false), 2 + linkSilenceTimeout);
    CHECK(acceptsNewWork(link, 2 + linkSilenceTimeout));
}

// Guards against a verdict of NotRun for a request that may have run.
TEST_CASE("only outcomes before a run are reported as not run")
{
    struct Case {
        wire::Outcome::type outcome;
        Verdict verdict;
    };
    const Case cases[] = {{wire::Outcome::Done, Verdict::Ran},
                          {wire::Outcome::Shed, Verdict::NotRun},
                          {wire::Outcome::UnknownFlow, Verdict::NotRun},
                          {wire::Outcome::Draining, Verdict::NotRun},
                          {wire::Outcome::Expired, Verdict::NotRun},
                          {wire::Outcome::CancelledBeforeRun, Verdict::NotRun},
                          {wire::Outcome::CancelledWhileRunning, Verdict::MayHaveRun},
                          {static_cast<wire::Outcome::type>(99), Verdict::MayHaveRun}};
    for (const Case &it : cases) {
        CHECK(callVerdict(it.outcome).verdict == it.verdict);
    }
}

// Guards against retries that amplify an overload, and against back-off delays that synchronise callers.
TEST_CASE("retries are limited to a tenth of the requests plus one per second")
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 100'000; ++i) {
        const Time now = i * millisecond;
        recordRequest(budget, now);
        retries += consumeRetry(budget, now) ? 1 : 0;
    }
    CHECK(retries >= 10'000);
    CHECK(retries <= 10'000 + 100 + 1);
    // An idle period accumulates no more than retriesPerSecond over retryWindow.
    int burst = 0;
    while (consumeRetry(budget, 10'000 * second)) {
        ++burst;
    }
    CHECK(burst <= 10);
    Random random{3};
    double sum = 0;
    for (int i = 0; i < 10'000; ++i) {
        const Time delay = backoffDelay(random, 3, 100, 1000);
        CHECK(delay <= 400);
        sum += static_cast<double>(delay);
        CHECK(backoffDelay(random, 100, 100, 1000) <= 1000);
    }
    CHECK(sum / 10'000 == doctest::Approx(200).epsilon(0.05));
}
