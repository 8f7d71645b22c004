#include <pimentofold-edge/rosterclient.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

constexpr Time callTimeout = 800 * millisecond;
// Wait before a write, so that one write adds several nodes.
constexpr Time batchDelay = 400 * millisecond;
constexpr Time retryInterval = 2 * second;
// A node that has not been live for this long is omitted from the next write.
constexpr Time nodeExpiry = minute;

constexpr int statusOk = 200;
constexpr int maxSuccessStatus = 299;

} // namespace

RosterClient::RosterClient(const Address &store, EventLog &log, std::function<void(const std::vector<Address> &)> onNodes)
    : m_log(log)
    , m_onNodes(std::move(onNodes))
    , m_connection(store)
{
}

void RosterClient::setAddress(const Address &store)
{
    m_connection.setServer(store);
    m_isRead = false;
    m_nextCallAt = 0;
}

void RosterClient::beginEra(std::int64_t era)
{
    if (era <= m_era) {
        return;
    }
    m_era = era;
    m_isRead = false;
    m_nextCallAt = 0;
}

bool RosterClient::isOfKnownEra(const HttpResult &result)
{
    const auto header = result.headers.find(platform::eraHeader);
    const std::int64_t era = header == result.headers.end() ? m_era : platform::decodeEra(header->second).value_or(m_era);
    beginEra(era);
    return era == m_era;
}

void RosterClient::read()
{
    if (!m_connection.isBusy()) {
        m_connection.start("GET", platform::rosterReadPath(), "", callTimeout, [this](const HttpResult &result) { onRead(result); });
    }
}

void RosterClient::onRead(const HttpResult &result)
{
    if (!isOfKnownEra(result)) {
        logEvent(m_log, "roster_read_failed", {{"status", result.status}, {"error", "the response is of an earlier era of the store"}});
        return;
    }
    if (result.status == platform::statusNotFound) {
        m_isRead = true;
        m_roster = {};
        return;
    }
    const std::optional<platform::Roster> roster = result.status == statusOk ? platform::decodeRoster(result.body) : std::nullopt;
    if (!roster) {
        logEvent(m_log, "roster_read_failed", {{"status", result.status}, {"error", result.error}});
        return;
    }
    m_isRead = true;
    m_roster = *roster;
    logEvent(m_log, "roster_read", {{"nodes", roster->nodes.size()}, {"revision", roster->revision.number}});
    m_onNodes(roster->nodes);
}

bool RosterClient::isComplete(const std::vector<Address> &live) const
{
    return std::ranges::all_of(live, [&](const Address &it) { return std::ranges::find(m_roster.nodes, it) != m_roster.nodes.end(); });
}

void RosterClient::recordLiveNodes(const std::vector<Address> &live, Time now)
{
    for (const Address &it : m_roster.nodes) {
        m_lastLiveAt.try_emplace(it, now);
    }
    for (const Address &it : live) {
        m_lastLiveAt[it] = now;
    }
}

void RosterClient::update(const std::vector<Address> &live, Time now)
{
    if (now < m_nextCallAt || m_connection.isBusy()) {
        return;
    }
    if (!m_isRead) {
        m_nextCallAt = now + retryInterval;
        read();
        return;
    }
    recordLiveNodes(live, now);
    if (isComplete(live)) {
        m_incompleteSince = 0;
        return;
    }
    if (m_incompleteSince == 0) {
        m_incompleteSince = now;
    }
    if (now - m_incompleteSince < batchDelay) {
        return;
    }
    m_incompleteSince = 0;
    m_nextCallAt = now + retryInterval;
    std::erase_if(m_lastLiveAt, [&](const auto &it) { return now - it.second > nodeExpiry; });
    m_writtenNodes.clear();
    for (const auto &[address, at] : m_lastLiveAt) {
        m_writtenNodes.push_back(address);
    }
    const platform::StoreWriteRequest write = platform::rosterWriteRequest({m_writtenNodes, m_roster.revision});
    m_writeEra = m_era;
    m_connection.start(write.method, write.path, write.body, callTimeout, [this](const HttpResult &result) { onWritten(result); });
}

void RosterClient::onWritten(const HttpResult &result)
{
    logEvent(
        m_log,
        "roster_written",
        {{"nodes", m_writtenNodes.size()}, {"status", result.status}, {"error", result.error}, {"era", m_writeEra}, {"revision", m_roster.revision.number}});
    const bool written = result.status >= statusOk && result.status <= maxSuccessStatus;
    const std::optional<platform::Roster> roster = written || result.status == platform::statusConflict ? platform::decodeRoster(result.body) : std::nullopt;
    if (roster && isOfKnownEra(result) && m_writeEra == m_era) {
        m_roster = *roster;
    } else {
        // The outcome is unknown, also of a write that was made before the store came back from a copy: the write may take effect later. It is conditional on
        // the roster's revision, so it can't overwrite another node's write.
        m_isRead = false;
    }
}

} // namespace pimentofold
