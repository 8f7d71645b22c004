#include <pimentofold-edge/storeclient.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

// Minimum time between a response with changes of targets and the next call, so that one call returns several changes. A
// target that is about to stop still serves for longer than this.
constexpr Time targetBatchDelay = second;

// The targets write their entries again within two seconds after the store has come back from an older copy. The operators' evacuations
// are read at the same time, so that none is taken back before it is requested again.
constexpr Time rewriteWait = 2 * second;

constexpr int statusOk = 200;

std::string_view kindName(platform::StoreKind kind)
{
    switch (kind) {
    case platform::StoreKind::Config:
        return "config";
    case platform::StoreKind::Targets:
        return "targets";
    case platform::StoreKind::Evacuations:
        break;
    }
    return "evacuations";
}

} // namespace

StoreClient::KindReader::KindReader(platform::StoreKind storeKind, const Address &store, std::function<void()> onTimer)
    : kind(storeKind)
    , connection(store)
    , timer(std::move(onTimer))
{
}

StoreClient::StoreClient(const Address &store, TargetTable &table, Random &random, EventLog &log, std::function<void()> onAnswered, EarlyRoutes earlyRoutes)
    : m_table(table)
    , m_random(random)
    , m_log(log)
    , m_onAnswered(std::move(onAnswered))
    , m_earlyRoutes(std::move(earlyRoutes))
    , m_configReader(platform::StoreKind::Config, store, [this] { startCall(m_configReader); })
    , m_targetsReader(platform::StoreKind::Targets, store, [this] { startCall(m_targetsReader); })
    , m_evacuationsReader(platform::StoreKind::Evacuations, store, [this] { startCall(m_evacuationsReader); })
{
    m_targetsReader.listWatch.settings.batchDelay = targetBatchDelay;
}

void StoreClient::setEvacuationBound(Time bound)
{
    const bool wasEnabled = std::exchange(m_evacuationsEnabled, bound > 0);
    if (wasEnabled && !m_evacuationsEnabled) {
        resetEvacuations();
    }
    m_evacuationsReader.listWatch.settings.watchTimeout = evacuationWatchTimeout(bound);
    if (m_evacuationsEnabled && m_watching) {
        startCall(m_evacuationsReader);
    }
}

void StoreClient::resetEvacuations()
{
    m_evacuationsReader.timer.stop();
    ListWatch fresh;
    fresh.callInFlight = m_evacuationsReader.listWatch.callInFlight;
    fresh.callCount = m_evacuationsReader.listWatch.callCount;
    m_evacuationsReader.listWatch = fresh;
    m_table.evacuations = {};
}

std::vector<StoreClient::KindReader *> StoreClient::readers()
{
    std::vector<KindReader *> result{&m_configReader, &m_targetsReader};
    if (m_evacuationsEnabled) {
        result.push_back(&m_evacuationsReader);
    }
    return result;
}

void StoreClient::start(const KnownRevisions &known)
{
    if (m_watching) {
        return;
    }
    m_watching = true;
    const Time now = monotonicNow();
    advanceTo(m_configReader.listWatch, known.config, 0);
    advanceTo(m_targetsReader.listWatch, known.targets, 0);
    advanceTo(m_evacuationsReader.listWatch, known.evacuations, 0);
    beginEra(eraOf(known), "peer", now);
    for (KindReader *it : readers()) {
        it->singleRead = false;
        it->listWatch.consecutiveFailures = 0;
        it->listWatch.probe = true;
        it->listWatch.nextCallAt = std::min(it->listWatch.nextCallAt, now);
        startCall(*it);
    }
}

void StoreClient::stop()
{
    m_watching = false;
    m_configReader.timer.stop();
    m_targetsReader.timer.stop();
    m_evacuationsReader.timer.stop();
}

void StoreClient::readOnce(const KnownRevisions &known)
{
    if (m_watching) {
        return;
    }
    advanceTo(m_configReader.listWatch, known.config, 0);
    advanceTo(m_targetsReader.listWatch, known.targets, 0);
    beginEra(eraOf(known), "peer", monotonicNow());
    for (KindReader *it : {&m_configReader, &m_targetsReader}) {
        if (!it->listWatch.callInFlight) {
            it->singleRead = true;
            it->listWatch.probe = true;
            startCall(*it);
        }
    }
}

void StoreClient::setAddress(const Address &store)
{
    const Time now = monotonicNow();
    for (KindReader *it : {&m_configReader, &m_targetsReader, &m_evacuationsReader}) {
        it->connection.setServer(store);
        it->timer.stop();
        restartCalls(it->listWatch, now);
        startCall(*it);
    }
}

bool StoreClient::isWatching() const
{
    return m_watching;
}

StoreHealth StoreClient::health() const
{
    const ListWatch &config = m_configReader.listWatch;
    const ListWatch &targets = m_targetsReader.listWatch;
    if (config.consecutiveFailures > 0 || targets.consecutiveFailures > 0) {
        return StoreHealth::Failing;
    }
    const bool answered = !config.probe && !targets.probe && config.revision > 0 && targets.revision > 0;
    return answered ? StoreHealth::Answering : StoreHealth::Unknown;
}

KnownRevisions StoreClient::known() const
{
    return {m_configReader.listWatch.revision, m_targetsReader.listWatch.revision, m_table.evacuations.revision};
}

std::int64_t StoreClient::era() const
{
    return m_era;
}

std::int64_t StoreClient::droppedResponseCount() const
{
    return m_droppedResponses;
}

std::int64_t StoreClient::olderCopyCount() const
{
    return m_olderCopies;
}

std::int64_t StoreClient::callCount() const
{
    return m_configReader.listWatch.callCount + m_targetsReader.listWatch.callCount + m_evacuationsReader.listWatch.callCount;
}

void StoreClient::startCall(KindReader &reader)
{
    const bool isOff = reader.kind == platform::StoreKind::Evacuations && !m_evacuationsEnabled;
    if (isOff || (!m_watching && !reader.singleRead)) {
        return;
    }
    const Time now = monotonicNow();
    const std::optional<StoreCall> call = nextCall(reader.listWatch, now);
    if (!call) {
        if (!reader.listWatch.callInFlight) {
            reader.timer.start(std::max<Time>(nextCallTime(reader.listWatch) - now, 0));
        }
        return;
    }
    const std::string target =
        call->watch ? platform::watchPath(reader.kind, call->revision.number, call->watchTimeout) : platform::listPath(reader.kind, call->startAfter);
    reader.listCall = !call->watch;
    reader.connection.start("GET", target, "", call->timeout, [this, &reader](const HttpResult &result) { onAnswer(reader, result); });
    if (reader.kind == platform::StoreKind::Config && reader.listCall && m_table.configRevision == 0 && m_earlyRoutes.areNeeded) {
        m_configStream = {};
        reader.connection.watchProgress([this](std::string_view body) { applyArrivedRoutes(body); });
    }
}

void StoreClient::applyArrivedRoutes(std::string_view body)
{
    // The routes are decoded again with the complete configuration, so it is worth it only for packets that wait.
    if (m_table.configRevision != 0 || !m_earlyRoutes.areNeeded()) {
        return;
    }
    const std::vector<EdgeRoute> routes = platform::decodeArrivedRoutes(m_configStream, body);
    if (routes.empty()) {
        return;
    }
    addFirstRoutes(m_table, routes);
    m_earlyRoutes.onArrived();
}

void StoreClient::onAnswer(KindReader &reader, const HttpResult &result)
{
    const Time now = monotonicNow();
    if (reader.kind == platform::StoreKind::Config) {
        dropFirstRoutes(m_table);
    }
    StoreCallResult call;
    std::optional<platform::StoreResponse> answer;
    const std::int64_t era = noteEra(result, now);
    if (result.status != 0 && !isOfKnownEra(reader.listWatch, era)) {
        call.outcome = era < m_era ? StoreCallOutcome::Failed : StoreCallOutcome::EarlierEra;
        ++m_droppedResponses;
    } else if (result.status == platform::statusGone) {
        call.outcome = StoreCallOutcome::HistoryGone;
    } else if (result.status == statusOk) {
        answer = platform::decodeStoreResponse(reader.kind, result.body);
    }
    if (answer) {
        platform::setEra(*answer, era);
        call = {StoreCallOutcome::Answered, answer->revision, answer->hasMore, answer->lastName, answer->objects.size()};
        for (const platform::StoreObject &it : answer->objects) {
            applyObject(reader, it, now);
        }
        if (reader.kind == platform::StoreKind::Evacuations) {
            applyEvacuations(*answer);
        }
        if (reader.listCall && !reader.listWatch.listing) {
            // A list that was in flight when this node got the state from a peer doesn't show what was removed since then, so the
            // watch has to start from the peer's revision.
            call.revision = {};
            call.changeCount = 0;
        } else if (!reader.listCall && reader.listWatch.listing) {
            call.outcome = StoreCallOutcome::Failed;
        }
    } else if (call.outcome != StoreCallOutcome::EarlierEra) {
        if (result.status == platform::statusNotFound && reader.kind == platform::StoreKind::Evacuations && m_evacuationsEnabled) {
            // A store that has never had an object of this kind may not know the kind. Any state that it returns later is newer.
            replaceEvacuations(m_table.evacuations, {{m_era, 1}, {}});
        }
        logFailure(reader, result);
    }
    const StoreRevision known = reader.listWatch.revision;
    if (finishCall(reader.listWatch, call, now, m_random)) {
        finishList(reader, known, now);
    }
    reader.singleRead = reader.singleRead && reader.listWatch.listing && call.outcome != StoreCallOutcome::Failed;
    m_onAnswered();
    startCall(reader);
}

std::int64_t StoreClient::noteEra(const HttpResult &result, Time now)
{
    if (result.status == 0) {
        return m_era;
    }
    const auto header = result.headers.find(platform::eraHeader);
    const std::optional<std::int64_t> era = header == result.headers.end() ? std::nullopt : platform::decodeEra(header->second);
    const bool isMissing = !era && m_era > 0;
    if (isMissing && !m_isEraMissing) {
        logEvent(m_log, "store_era_missing", {{"status", result.status}, {"era", m_era}});
    }
    m_isEraMissing = isMissing;
    beginEra(era.value_or(m_era), "store", now);
    return era.value_or(m_era);
}

void StoreClient::beginEra(std::int64_t era, std::string_view source, Time now)
{
    if (era <= m_era) {
        return;
    }
    logEvent(m_log, "store_era_changed", {{"before", m_era}, {"era", era}, {"source", source}});
    m_era = era;
    for (KindReader *it : {&m_configReader, &m_targetsReader, &m_evacuationsReader}) {
        const Time listAt = it->kind == platform::StoreKind::Config ? now : now + rewriteWait;
        if (pimentofold::beginEra(it->listWatch, era, listAt)) {
            startCall(*it);
        }
    }
}

void StoreClient::logOlderCopy(std::string_view kind, const std::string &name, const StoreRevision &revision)
{
    ++m_olderCopies;
    logEvent(m_log, "older_copy_ignored", {{"kind", kind}, {"name", name}, {"era", revision.era}, {"revision", revision.number}});
}

void StoreClient::logFailure(const KindReader &reader, const HttpResult &result)
{
    logEvent(m_log,
             "store_call_failed",
             {{"kind", kindName(reader.kind)},
              {"status", result.status},
              {"error", result.error},
              {"failures", reader.listWatch.consecutiveFailures + 1},
              {"era", m_era},
              {"revision", reader.listWatch.revision.number}});
}

void StoreClient::applyObject(KindReader &reader, const platform::StoreObject &object, Time now)
{
    if (const auto *config = std::get_if<EdgeConfig>(&object)) {
        if (applyConfig(m_table, *config)) {
            logEvent(m_log,
                     "config_applied",
                     {{"source", "store"},
                      {"version", config->version},
                      {"era", config->revision.era},
                      {"revision", config->revision.number},
                      {"routes", config->routes.size()}});
            logConfigProblems(config->problems);
        } else if (config->revision > m_table.configRevision) {
            logOlderCopy("config", std::to_string(config->version), config->revision);
        }
    } else if (const auto *record = std::get_if<TargetRecord>(&object)) {
        TargetRecord dated = *record;
        if (record->state == TargetState::Draining && reader.listWatch.confirmedAt > 0) {
            // The entry wasn't there when the store last answered.
            dated.drainingFor = now - reader.listWatch.confirmedAt;
        }
        applyTargetRecord(reader, dated, now);
    } else if (const auto *deleted = std::get_if<platform::DeletedObject>(&object)) {
        removeEntry(reader, deleted->id, deleted->name, deleted->revision, now);
    } else if (const auto *unreadable = std::get_if<platform::UnreadableObject>(&object)) {
        logEvent(m_log, "object_unreadable", {{"name", unreadable->name}, {"revision", unreadable->revision.number}, {"problem", unreadable->problem}});
        removeEntry(reader, unreadable->id, unreadable->name, unreadable->revision, now);
    }
}

void StoreClient::logConfigProblems(const std::vector<ConfigProblem> &problems)
{
    std::set<ConfigProblem> current(problems.begin(), problems.end());
    for (const ConfigProblem &it : current) {
        if (!m_configProblems.contains(it)) {
            logEvent(m_log, "config_problem", {{"route", it.route}, {"problem", it.problem}});
        }
    }
    m_configProblems = std::move(current);
}

std::size_t StoreClient::configProblemCount() const
{
    return m_configProblems.size();
}

void StoreClient::applyTargetRecord(KindReader &reader, const TargetRecord &record, Time now)
{
    reader.listWatch.listedIds.insert(record.id);
    if (reader.listCall && isOlderCopy(m_table, record)) {
        logOlderCopy("target", record.name, record.revision);
        return;
    }
    if (contradictsService(m_table, record)) {
        if (applyTarget(m_table, record, now)) {
            logEvent(
                m_log,
                "object_unreadable",
                {{"name", record.name}, {"revision", record.revision.number}, {"problem", "service differs from the one of the same start of the target"}});
        }
    } else if (applyTarget(m_table, record, now)) {
        logEvent(m_log,
                 "target_changed",
                 {{"target", record.name},
                  {"service", record.service},
                  {"address", toString(record.address)},
                  {"state", name(record.state)},
                  {"warmup_us", record.warmup},
                  {"revision", record.revision.number}});
    }
}

void StoreClient::removeEntry(KindReader &reader, std::uint64_t id, const std::string &name, const StoreRevision &revision, Time now)
{
    // The store may report a removal with the revision of the object's last change. The removal itself is newer than the
    // revision known before the call.
    const StoreRevision next{reader.listWatch.revision.era, reader.listWatch.revision.number + 1};
    const StoreRevision minRevision = reader.listCall ? revision : std::max(revision, next);
    if (id != 0 && !reader.listCall && findTarget(m_table, id) == nullptr) {
        // The store has left out the change that added it, or it was never readable. Other nodes may know it.
        recordTargetGap(m_table, reader.listWatch.revision, minRevision);
    }
    if (id != 0 && removeTarget(m_table, id, minRevision, now)) {
        logEvent(m_log, "target_removed", {{"target", name}, {"revision", minRevision.number}});
    }
}

void StoreClient::applyEvacuations(const platform::StoreResponse &response)
{
    const ListWatch &listWatch = m_evacuationsReader.listWatch;
    if (!m_evacuationsEnabled || m_evacuationsReader.listCall != listWatch.listing) {
        return;
    }
    std::vector<EvacuationChange> changes;
    for (const platform::StoreObject &it : response.objects) {
        if (const auto *record = std::get_if<platform::EvacuationRecord>(&it)) {
            changes.push_back({record->dataCentre, record->revision, false});
        } else if (const auto *deleted = std::get_if<platform::DeletedObject>(&it)) {
            changes.push_back({deleted->name, deleted->revision, true});
        }
    }
    if (!listWatch.listing) {
        applyEvacuationChanges(m_table.evacuations, changes, response.revision);
        return;
    }
    if (listWatch.startAfter.empty()) {
        m_listedEvacuations = {};
    }
    addListedEvacuations(m_listedEvacuations, changes, response.revision);
}

void StoreClient::finishList(KindReader &reader, const StoreRevision &known, Time now)
{
    if (reader.kind == platform::StoreKind::Evacuations) {
        replaceEvacuations(m_table.evacuations, std::move(m_listedEvacuations));
    }
    if (reader.kind != platform::StoreKind::Targets) {
        return;
    }
    const StoreRevision &revision = reader.listWatch.revision;
    const std::vector<std::uint64_t> missing = finishTargetList(m_table, reader.listWatch.listedIds, known, revision, now);
    for (const std::uint64_t id : missing) {
        logEvent(m_log, "target_removed", {{"target", findTarget(m_table, id)->record.name}, {"revision", revision.number}});
    }
    logEvent(
        m_log, "targets_listed", {{"targets", reader.listWatch.listedIds.size()}, {"missing", missing.size()}, {"era", m_era}, {"revision", revision.number}});
    reader.listWatch.listedIds.clear();
}

} // namespace pimentofold
