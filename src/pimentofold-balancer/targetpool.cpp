#include <pimentofold-balancer/targetpool.h>

#include <utility>

#include <pimentofold/retry.h>

namespace pimentofold {

namespace {

// Delays between connection attempts: long enough that an unreachable target costs little, short enough that a restarted
// target is used again soon.
constexpr Time baseReconnectDelay = 100 * millisecond;
constexpr Time maxReconnectDelay = 2 * second;

} // namespace

TargetPool::TargetPool(Callbacks callbacks, Metrics &metrics, Random &random)
    : m_callbacks(std::move(callbacks))
    , m_metrics(metrics)
    , m_random(random)
{
}

void TargetPool::apply(const View &view)
{
    std::vector<Id> removed;
    for (const auto &[id, target] : m_targets) {
        const ViewTarget *listed = findTarget(view, id);
        // A target with a new address needs a new connection: its old address may now belong to another target, which the
        // identity check would reject.
        if (listed == nullptr || parseAddress(listed->address) != target->address) {
            removed.push_back(id);
        }
    }
    for (const Id it : removed) {
        disconnect(*m_targets[it], "target or its address no longer in the view");
        m_targets.erase(it);
    }
    for (const ViewTarget &it : view.targets) {
        const ViewService *service = findService(view, it.serviceId);
        std::unique_ptr<PooledTarget> &target = m_targets[it.id];
        if (!target) {
            target = std::make_unique<PooledTarget>();
            target->address = parseAddress(it.address);
            target->link.targetId = it.id;
            target->link.serviceId = it.serviceId;
            target->link.teamName = service->teamName;
            target->link.serviceName = service->serviceName;
            target->link.instance = it.instance;
        }
        target->state = it.state;
        target->slots = it.slots;
        if (!target->connection && target->reconnectAt == 0) {
            connect(*target);
        }
    }
}

PooledTarget *TargetPool::find(Id target)
{
    const auto it = m_targets.find(target);
    return it == m_targets.end() ? nullptr : it->second.get();
}

const std::unordered_map<Id, std::unique_ptr<PooledTarget>> &TargetPool::targets() const
{
    return m_targets;
}

void TargetPool::connect(PooledTarget &target)
{
    FramedConnection::Callbacks callbacks;
    callbacks.onConnected = [this, &target] { send(target, connectLink(target.link, monotonicNow())); };
    callbacks.onFrame = [this, &target](std::string_view payload) { onFrame(target, payload); };
    callbacks.onClosed = [this, &target](const std::string &reason) { onClosed(target, reason); };
    target.connection = std::make_unique<FramedConnection>(target.address, std::move(callbacks));
}

void TargetPool::send(PooledTarget &target, const wire::TargetFrame &frame)
{
    target.connection->send(m_codec.encode(frame));
}

std::int64_t TargetPool::call(PooledTarget &target, wire::TargetFrame &frame, std::uint64_t context)
{
    if (target.link.state != LinkState::Ready) {
        return 0;
    }
    frame.call = startCall(target.link, context);
    frame.serviceId = target.link.serviceId;
    send(target, frame);
    return frame.call;
}

void TargetPool::notify(PooledTarget &target, const wire::TargetFrame &frame)
{
    if (target.link.state == LinkState::Ready) {
        send(target, frame);
    }
}

void TargetPool::onFrame(PooledTarget &target, std::string_view payload)
{
    m_frame = wire::TargetFrame();
    try {
        m_codec.decode(payload, m_frame);
    } catch (const DecodeError &error) {
        count(m_metrics, "target_frames_malformed_total");
        disconnect(target, error.what());
        return;
    }
    const bool wasDraining = target.link.draining;
    const bool wasHealthy = target.link.status.healthy;
    const FrameOutcome outcome = onTargetFrame(target.link, m_frame, monotonicNow());
    if (wasDraining != target.link.draining || wasHealthy != target.link.status.healthy) {
        m_callbacks.onChange(target, target.link.draining ? "draining" : "status");
    }
    handleOutcome(target, outcome);
}

void TargetPool::handleOutcome(PooledTarget &target, const FrameOutcome &outcome)
{
    switch (outcome.result) {
    case FrameResult::Ignored:
        return;
    case FrameResult::StatusChanged:
        m_callbacks.onStatus(target);
        return;
    case FrameResult::Identified:
        target.failedAttempts = 0;
        m_callbacks.onStatus(target);
        m_callbacks.onChange(target, "connected");
        return;
    case FrameResult::Answered:
        ++target.answered;
        if (m_frame.__isset.outcome && m_frame.outcome == wire::Outcome::Shed) {
            ++target.shed;
        }
        m_callbacks.onAnswer(outcome.context, m_frame, target);
        return;
    case FrameResult::Unmatched:
        count(m_metrics, "target_answers_unmatched_total");
        return;
    case FrameResult::WrongIdentity:
        count(m_metrics, "target_identities_wrong_total");
        disconnect(target, "identity mismatch: another target is listening on this address");
        return;
    case FrameResult::Malformed:
        count(m_metrics, "target_frames_malformed_total");
        disconnect(target, "unexpected frame from the target");
        return;
    }
}

void TargetPool::disconnect(PooledTarget &target, const std::string &reason)
{
    if (target.connection) {
        target.connection->close();
        onClosed(target, reason);
    }
}

void TargetPool::onClosed(PooledTarget &target, const std::string &reason)
{
    const bool wasReady = target.link.state == LinkState::Ready;
    const std::vector<std::uint64_t> lostCalls = loseLink(target.link);
    target.connection.reset();
    ++target.failedAttempts;
    target.reconnectAt = monotonicNow() + baseReconnectDelay / 2 + backOff(m_random, target.failedAttempts, baseReconnectDelay, maxReconnectDelay);
    for (const std::uint64_t it : lostCalls) {
        m_callbacks.onLost(it, target);
    }
    if (wasReady) {
        m_callbacks.onChange(target, reason);
    }
}

void TargetPool::tick()
{
    const Time now = monotonicNow();
    for (const auto &[id, target] : m_targets) {
        if (!target->connection) {
            if (now >= target->reconnectAt) {
                connect(*target);
            }
            continue;
        }
        if (isIdentifyOverdue(target->link, now)) {
            disconnect(*target, "identity check timed out: no answer to Identify");
            continue;
        }
        if (takeSubscribe(target->link, now)) {
            wire::TargetFrame frame;
            frame.kind = wire::FrameKind::Subscribe;
            send(*target, frame);
        }
    }
}

} // namespace pimentofold
