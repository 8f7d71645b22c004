#include <pimentofold-edge/storeclient.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

// Several changes of targets come with one call. A leaving target still serves for longer than this.
constexpr Time targetPace = second;

constexpr int statusOk = 200;

std::string_view kindName(platform::StoreKind kind)
{
    return kind == platform::StoreKind::Config ? "config" : "targets";
}

} // namespace

StoreLink::Follower::Follower(platform::StoreKind storeKind, const Address &store, std::function<void()> onTimer)
    : kind(storeKind)
    , connection(store)
    , timer(std::move(onTimer))
{
}

StoreLink::StoreLink(const Address &store, TargetTable &table, Random &random, EventLog &log, std::function<void()> onChange)
    : m_table(table)
    , m_random(random)
    , m_log(log)
    , m_onChange(std::move(onChange))
    , m_config(platform::StoreKind::Config, store, [this] { run(m_config); })
    , m_targets(platform::StoreKind::Targets, store, [this] { run(m_targets); })
{
    m_targets.follow.settings.pace = targetPace;
}

void StoreLink::start(const KnownRevisions &known)
{
    if (m_following) {
        return;
    }
    m_following = true;
    const Time now = monotonicNow();
    skipTo(m_config.follow, known.config, 0);
    skipTo(m_targets.follow, known.targets, 0);
    for (Follower *it : {&m_config, &m_targets}) {
        it->once = false;
        it->follow.failures = 0;
        it->follow.probe = true;
        it->follow.nextAt = std::min(it->follow.nextAt, now);
        run(*it);
    }
}

void StoreLink::stop()
{
    m_following = false;
    m_config.timer.stop();
    m_targets.timer.stop();
}

void StoreLink::readOnce(const KnownRevisions &known)
{
    if (m_following) {
        return;
    }
    skipTo(m_config.follow, known.config, 0);
    skipTo(m_targets.follow, known.targets, 0);
    for (Follower *it : {&m_config, &m_targets}) {
        if (!it->follow.busy) {
            it->once = true;
            it->follow.probe = true;
            run(*it);
        }
    }
}

bool StoreLink::isFollowing() const
{
    return m_following;
}

StoreContact StoreLink::contact() const
{
    const StoreFollow &config = m_config.follow;
    const StoreFollow &targets = m_targets.follow;
    if (config.failures > 0 || targets.failures > 0) {
        return StoreContact::Failing;
    }
    const bool answered = !config.probe && !targets.probe && config.revision > 0 && targets.revision > 0;
    return answered ? StoreContact::Answering : StoreContact::Unknown;
}

KnownRevisions StoreLink::known() const
{
    return {m_config.follow.revision, m_targets.follow.revision};
}

std::int64_t StoreLink::calls() const
{
    return m_config.follow.calls + m_targets.follow.calls;
}

void StoreLink::run(Follower &follower)
{
    if (!m_following && !follower.once) {
        return;
    }
    const Time now = monotonicNow();
    const std::optional<StoreCall> call = nextCall(follower.follow, now);
    if (!call) {
        if (!follower.follow.busy) {
            follower.timer.start(std::max<Time>(follower.follow.nextAt - now, 0));
        }
        return;
    }
    const std::string target = call->watch ? platform::watchPath(follower.kind, call->revision, call->wait) : platform::listPath(follower.kind, call->after);
    follower.connection.start("GET", target, "", call->timeout, [this, &follower](const HttpResult &result) { onAnswer(follower, result); });
}

void StoreLink::onAnswer(Follower &follower, const HttpResult &result)
{
    const Time now = monotonicNow();
    CallResult call;
    std::optional<platform::StoreResponse> answer;
    if (result.status == platform::statusGone) {
        call.outcome = CallOutcome::HistoryGone;
    } else if (result.status == statusOk) {
        answer = platform::decodeStoreResponse(follower.kind, result.body);
    }
    if (answer) {
        call = {CallOutcome::Answered, answer->revision, answer->hasMore, answer->lastName, answer->objects.size()};
        for (const platform::StoreObject &it : answer->objects) {
            apply(follower, it, now);
        }
    } else {
        logFailure(follower, result);
    }
    if (finishCall(follower.follow, call, now, m_random)) {
        finishList(follower, now);
    }
    follower.once = follower.once && follower.follow.listing && call.outcome != CallOutcome::Failed;
    m_onChange();
    run(follower);
}

void StoreLink::logFailure(const Follower &follower, const HttpResult &result)
{
    logEvent(m_log,
             "store_call_failed",
             {{"kind", kindName(follower.kind)},
              {"status", result.status},
              {"error", result.error},
              {"failures", follower.follow.failures + 1},
              {"revision", follower.follow.revision}});
}

void StoreLink::apply(Follower &follower, const platform::StoreObject &object, Time now)
{
    if (const auto *config = std::get_if<EdgeConfig>(&object)) {
        if (applyConfig(m_table, *config)) {
            logEvent(m_log,
                     "config_applied",
                     {{"source", "store"}, {"version", config->version}, {"revision", config->revision}, {"routes", config->routes.size()}});
        }
    } else if (const auto *record = std::get_if<TargetRecord>(&object)) {
        applyRecord(follower, *record, now);
    } else if (const auto *gone = std::get_if<platform::DeletedObject>(&object)) {
        remove(follower, gone->id, gone->name, gone->revision, now);
    } else if (const auto *unreadable = std::get_if<platform::UnreadableObject>(&object)) {
        logEvent(m_log, "object_unreadable", {{"name", unreadable->name}, {"revision", unreadable->revision}, {"problem", unreadable->problem}});
        remove(follower, unreadable->id, unreadable->name, unreadable->revision, now);
    }
}

void StoreLink::applyRecord(Follower &follower, const TargetRecord &record, Time now)
{
    follower.follow.seen.insert(record.id);
    if (applyTarget(m_table, record, now)) {
        logEvent(m_log,
                 "target_changed",
                 {{"target", record.name},
                  {"service", record.service},
                  {"address", toString(record.address)},
                  {"state", name(record.state)},
                  {"warmup_us", record.warmup},
                  {"revision", record.revision}});
    }
}

void StoreLink::remove(Follower &follower, std::uint64_t id, const std::string &name, std::int64_t revision, Time now)
{
    // A removal may carry the revision of the object's last change; it happened after what was known before the call.
    const std::int64_t least = follower.follow.listing ? revision : std::max(revision, follower.follow.revision + 1);
    if (id != 0 && removeTarget(m_table, id, least, now)) {
        logEvent(m_log, "target_removed", {{"target", name}, {"revision", least}});
    }
}

void StoreLink::finishList(Follower &follower, Time now)
{
    if (follower.kind != platform::StoreKind::Targets) {
        return;
    }
    setTargetHistoryStart(m_table, follower.follow.revision);
    std::vector<std::uint64_t> missing;
    for (const auto &[id, target] : m_table.targets) {
        if (target.registered && !follower.follow.seen.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::uint64_t id : missing) {
        remove(follower, id, findTarget(m_table, id)->record.name, follower.follow.revision, now);
    }
    logEvent(m_log, "targets_listed", {{"targets", follower.follow.seen.size()}, {"missing", missing.size()}, {"revision", follower.follow.revision}});
    follower.follow.seen.clear();
}

} // namespace pimentofold
