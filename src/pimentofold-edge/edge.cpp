#include <pimentofold-edge/edge.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <utility>

#include <pimentofold-edge/edgelog.h>
#include <platform/packetcodec.h>

namespace pimentofold {

namespace {

// The fabric takes a node out of rotation after two failed checks, half a second apart.
constexpr Time leastStopTime = 1200 * millisecond;
// No packet for this long shows that the fabric sends none any more.
constexpr Time quietTime = 400 * millisecond;
constexpr Time stopCheckInterval = 100 * millisecond;
// Left of the time that the platform gives, so that the process ends by itself.
constexpr Time stopReserve = second;
constexpr Time targetPace = second;

} // namespace

Edge::Follower::Follower(platform::StoreKind storeKind, const Address &store, std::function<void()> onTimer)
    : kind(storeKind)
    , connection(store)
    , timer(std::move(onTimer))
{
}

Edge::Edge(const EdgeSettings &settings)
    : m_settings(settings)
    , m_packets(
          settings.packets, [this](std::string_view bytes, const Address &) { onPacket(bytes); }, platform::mostPacketBytes + platform::targetPrefixBytes)
    , m_readiness(settings.readiness, [this](const HttpRequest &) { return ready(); })
    , m_config(platform::StoreKind::Config, settings.store, [this] { runFollower(m_config); })
    , m_targets(platform::StoreKind::Targets, settings.store, [this] { runFollower(m_targets); })
    , m_tick([this] { onTick(); })
    , m_stopTimer([this] { onStopTick(); })
{
    m_log.node = settings.node;
    m_forwarder.random.state = std::random_device{}();
    m_forwarder.settings.dataCentre = settings.dataCentre;
    m_targets.follow.settings.pace = targetPace;
    logEvent(m_log, "started", {{"data_centre", settings.dataCentre}, {"packets", toString(settings.packets)}, {"store", toString(settings.store)}});
    runFollower(m_config);
    runFollower(m_targets);
    scheduleTick();
}

HttpResponse Edge::ready() const
{
    HttpResponse response;
    response.status = m_stopAt == never && canPlace(m_forwarder) && m_listed ? 200 : 503;
    return response;
}

void Edge::onPacket(std::string_view bytes)
{
    const Time now = monotonicNow();
    m_packetAt = now;
    handle(bytes, now);
    scheduleTick();
}

void Edge::handle(std::string_view bytes, Time now)
{
    const std::optional<FlowPacket> packet = platform::decodePacket(bytes);
    if (!packet) {
        return;
    }
    ForwardOutput out;
    handlePacket(m_forwarder, *packet, now, out);
    send(out);
}

void Edge::send(const ForwardOutput &out)
{
    for (const ForwardedPacket &it : out.packets) {
        m_packets.send(platform::encodeForwarded(it), it.to);
    }
    for (const FlowReset &it : out.resets) {
        m_packets.send(platform::encodeReset(it), {it.flow.caller.ip, m_settings.packets.port});
    }
    for (const ForwardNote &it : out.notes) {
        logNote(m_log, it);
    }
}

void Edge::onTick()
{
    m_tickAt = never;
    ForwardOutput out;
    tickForwarder(m_forwarder, monotonicNow(), out);
    send(out);
    scheduleTick();
}

void Edge::scheduleTick()
{
    const Time due = nextTick(m_forwarder);
    if (due < m_tickAt) {
        m_tickAt = due;
        m_tick.start(std::max<Time>(due - monotonicNow(), 0));
    }
}

void Edge::runFollower(Follower &follower)
{
    const Time now = monotonicNow();
    const std::optional<StoreCall> call = nextCall(follower.follow, now);
    if (!call) {
        if (!follower.follow.busy) {
            follower.timer.start(std::max<Time>(follower.follow.nextAt - now, 0));
        }
        return;
    }
    const std::string target =
        call->watch ? platform::watchTarget(follower.kind, call->revision, call->wait) : platform::listTarget(follower.kind, call->after);
    follower.connection.start("GET", target, "", call->timeout, [this, &follower](const HttpResult &result) { onAnswer(follower, result); });
}

void Edge::onAnswer(Follower &follower, const HttpResult &result)
{
    const Time now = monotonicNow();
    CallResult call;
    std::optional<platform::StoreAnswer> answer;
    if (result.status == platform::statusHistoryGone) {
        call.outcome = CallOutcome::HistoryGone;
    } else if (result.status == 200) {
        answer = platform::decodeStoreAnswer(follower.kind, result.body);
    }
    if (answer) {
        call = {CallOutcome::Answered, answer->revision, answer->hasMore, answer->last, !answer->objects.empty()};
        for (const platform::StoreObject &it : answer->objects) {
            applyObject(follower, it, now);
        }
    } else {
        logEvent(m_log,
                 "store_call_failed",
                 {{"kind", static_cast<int>(follower.kind)}, {"status", result.status}, {"error", result.error}, {"failures", follower.follow.failures}});
    }
    if (finishCall(follower.follow, call, now, m_forwarder.random)) {
        finishList(follower, now);
    }
    releaseHeld();
    runFollower(follower);
}

void Edge::applyObject(Follower &follower, const platform::StoreObject &object, Time now)
{
    TargetTable &table = m_forwarder.table;
    if (const auto *config = std::get_if<EdgeConfig>(&object)) {
        if (applyConfig(table, *config)) {
            logEvent(m_log, "config_applied", {{"version", config->version}, {"revision", config->revision}, {"routes", config->routes.size()}});
        }
    } else if (const auto *record = std::get_if<TargetRecord>(&object)) {
        follower.follow.seen.insert(record->id);
        if (applyTarget(table, *record, now)) {
            logEvent(m_log,
                     "target_changed",
                     {{"target", record->name},
                      {"service", record->service},
                      {"address", toString(record->address)},
                      {"state", name(record->state)},
                      {"revision", record->revision}});
        }
    } else if (const auto *gone = std::get_if<platform::DeletedObject>(&object)) {
        if (gone->id != 0 && removeTarget(table, gone->id, gone->revision, now)) {
            logEvent(m_log, "target_removed", {{"target", gone->name}, {"revision", gone->revision}});
        }
    } else if (const auto *unreadable = std::get_if<platform::UnreadableObject>(&object)) {
        logEvent(m_log, "object_unreadable", {{"name", unreadable->name}, {"revision", unreadable->revision}, {"problem", unreadable->problem}});
    }
}

void Edge::finishList(Follower &follower, Time now)
{
    if (follower.kind != platform::StoreKind::Targets) {
        return;
    }
    m_listed = true;
    std::vector<std::uint64_t> missing;
    for (const auto &[id, target] : m_forwarder.table.targets) {
        if (target.listed && !follower.follow.seen.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::uint64_t id : missing) {
        removeTarget(m_forwarder.table, id, follower.follow.revision, now);
    }
    logEvent(m_log, "targets_listed", {{"targets", follower.follow.seen.size()}, {"missing", missing.size()}, {"revision", follower.follow.revision}});
    follower.follow.seen.clear();
}

void Edge::releaseHeld()
{
    if (!canPlace(m_forwarder) || m_forwarder.held.empty()) {
        return;
    }
    const Time now = monotonicNow();
    for (const HeldPacket &it : takeHeld(m_forwarder, now)) {
        handle(it.bytes, now);
    }
    scheduleTick();
}

void Edge::stop()
{
    m_stopAt = monotonicNow();
    logEvent(m_log, "stopping", {{"flows", m_forwarder.flows.size()}});
    m_stopTimer.start(stopCheckInterval, stopCheckInterval);
}

void Edge::onStopTick()
{
    const Time now = monotonicNow();
    const bool quiet = now - m_stopAt >= leastStopTime && now - m_packetAt >= quietTime;
    if (quiet || now - m_stopAt >= m_settings.stopLimit - stopReserve) {
        logEvent(m_log, "stopped", {{"flows", m_forwarder.flows.size()}, {"quiet", static_cast<int>(quiet)}});
        stopLoop();
    }
}

} // namespace pimentofold
