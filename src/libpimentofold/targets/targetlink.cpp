#include <pimentofold/targetlink.h>

#include <stdexcept>

namespace pimentofold {

namespace {

// The lower bits of a call number are the index of its entry, the upper bits are the sequence number.
constexpr unsigned indexBits = 20;
constexpr std::int64_t indexMask = (1LL << indexBits) - 1;

LinkCall *findCall(TargetLink &link, std::int64_t number)
{
    const auto index = static_cast<std::size_t>(number & indexMask);
    if (number <= 0 || index >= link.calls.size() || link.calls[index].number != number) {
        return nullptr;
    }
    return &link.calls[index];
}

void freeCall(TargetLink &link, LinkCall &call)
{
    call.number = 0;
    call.nextFree = link.firstFree;
    link.firstFree = static_cast<std::uint32_t>(&call - link.calls.data()) + 1;
    --link.inFlight;
}

bool matchesIdentity(const TargetLink &link, const wire::TargetFrame &frame)
{
    const wire::TargetIdentity &identity = frame.identity;
    return frame.__isset.identity && identity.teamName == link.teamName && identity.serviceName == link.serviceName && identity.instance == link.instance;
}

void recordStatus(TargetLink &link, const wire::TargetFrame &frame, Time now)
{
    link.status = frame.status;
    link.statusAt = now;
    link.draining = frame.status.draining;
    link.subscribePending = false;
    link.wasSilent = false;
}

FrameOutcome onIdentifying(TargetLink &link, const wire::TargetFrame &frame, Time now)
{
    if (frame.kind != wire::FrameKind::Identity) {
        return {FrameResult::Malformed, 0};
    }
    if (!matchesIdentity(link, frame)) {
        return {FrameResult::WrongIdentity, 0};
    }
    link.state = LinkState::Ready;
    link.incarnation = frame.identity.incarnation;
    if (frame.__isset.status) {
        recordStatus(link, frame, now);
    }
    return {FrameResult::Identified, 0};
}

FrameOutcome onAnswer(TargetLink &link, const wire::TargetFrame &frame)
{
    LinkCall *call = findCall(link, frame.call);
    if (call == nullptr) {
        return {FrameResult::Unmatched, 0};
    }
    const std::uint64_t context = call->context;
    freeCall(link, *call);
    if (frame.__isset.outcome && frame.outcome == wire::Outcome::Draining) {
        link.draining = true;
    }
    return {FrameResult::Answered, context};
}

} // namespace

wire::TargetFrame connectLink(TargetLink &link, Time now)
{
    link.state = LinkState::Identifying;
    link.incarnation = 0;
    link.draining = false;
    link.status = {};
    link.statusAt = 0;
    link.lastFrameAt = now;
    link.connectedAt = now;
    link.subscribePending = false;
    link.wasSilent = false;
    wire::TargetFrame frame;
    frame.kind = wire::FrameKind::Identify;
    frame.serviceId = link.serviceId;
    return frame;
}

FrameOutcome onTargetFrame(TargetLink &link, const wire::TargetFrame &frame, Time now)
{
    link.wasSilent = link.wasSilent || now - link.lastFrameAt >= linkSilenceTimeout;
    link.lastFrameAt = now;
    if (link.state == LinkState::Disconnected) {
        return {FrameResult::Ignored, 0};
    }
    if (link.state == LinkState::Identifying) {
        return onIdentifying(link, frame, now);
    }
    switch (frame.kind) {
    case wire::FrameKind::Opened:
    case wire::FrameKind::Answer:
    case wire::FrameKind::Closed:
        return onAnswer(link, frame);
    case wire::FrameKind::Status:
        if (!frame.__isset.status) {
            return {FrameResult::Malformed, 0};
        }
        recordStatus(link, frame, now);
        return {FrameResult::StatusChanged, 0};
    default:
        return {FrameResult::Malformed, 0};
    }
}

std::int64_t startCall(TargetLink &link, std::uint64_t context)
{
    if (link.state != LinkState::Ready) {
        throw std::logic_error("cannot start a call on a target connection before the identity of the target is confirmed");
    }
    if (link.firstFree == 0) {
        if (link.calls.size() > static_cast<std::size_t>(indexMask)) {
            throw std::length_error("the maximum of 1048576 calls is in flight on one target connection");
        }
        link.calls.emplace_back();
        link.firstFree = static_cast<std::uint32_t>(link.calls.size());
    }
    LinkCall &call = link.calls[link.firstFree - 1];
    const std::int64_t index = link.firstFree - 1;
    link.firstFree = call.nextFree;
    call.number = (++link.callSequence << indexBits) | index;
    call.context = context;
    ++link.inFlight;
    return call.number;
}

void abandonCall(TargetLink &link, std::int64_t number)
{
    LinkCall *call = findCall(link, number);
    if (call != nullptr) {
        freeCall(link, *call);
    }
}

std::vector<std::uint64_t> disconnectLink(TargetLink &link)
{
    std::vector<std::uint64_t> contexts;
    for (const LinkCall &it : link.calls) {
        if (it.number != 0) {
            contexts.push_back(it.context);
        }
    }
    link.state = LinkState::Disconnected;
    link.calls.clear();
    link.firstFree = 0;
    link.inFlight = 0;
    return contexts;
}

bool subscribeIfDue(TargetLink &link, Time now)
{
    if (link.state != LinkState::Ready || now - link.lastFrameAt < subscribeIdleTime) {
        return false;
    }
    if (link.subscribePending && now - link.subscribedAt < subscribeInterval) {
        return false;
    }
    link.subscribePending = true;
    link.subscribedAt = now;
    return true;
}

bool isIdentifyOverdue(const TargetLink &link, Time now)
{
    return link.state == LinkState::Identifying && now - link.connectedAt >= identifyTimeout;
}

bool acceptsNewWork(const TargetLink &link, Time now)
{
    return link.state == LinkState::Ready && !link.draining && link.status.healthy && !link.wasSilent && now - link.lastFrameAt < linkSilenceTimeout;
}

CallVerdict callVerdict(wire::Outcome::type outcome)
{
    switch (outcome) {
    case wire::Outcome::Done:
        return {Verdict::Ran, Reason::None};
    case wire::Outcome::Shed:
    case wire::Outcome::Draining:
        return {Verdict::NotRun, Reason::Shed};
    case wire::Outcome::UnknownFlow:
        return {Verdict::NotRun, Reason::UnknownFlow};
    case wire::Outcome::Expired:
        return {Verdict::NotRun, Reason::TimedOut};
    case wire::Outcome::CancelledBeforeRun:
        return {Verdict::NotRun, Reason::Cancelled};
    case wire::Outcome::CancelledWhileRunning:
        return {Verdict::MayHaveRun, Reason::Cancelled};
    }
    return {Verdict::MayHaveRun, Reason::None};
}

} // namespace pimentofold
