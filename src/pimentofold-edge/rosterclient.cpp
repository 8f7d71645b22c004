#include <pimentofold-edge/rosterclient.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

constexpr Time callLimit = 800 * millisecond;
// Nodes that are added together come with one write.
constexpr Time collectTime = 400 * millisecond;
constexpr Time retryTime = 2 * second;
// A node that has been gone for this long is left out of the next write.
constexpr Time goneTime = minute;

constexpr int statusOk = 200;
constexpr int mostSuccess = 299;

} // namespace

RosterLink::RosterLink(const Address &store, EventLog &log, std::function<void(const std::vector<Address> &)> onNodes)
    : m_log(log)
    , m_onNodes(std::move(onNodes))
    , m_connection(store)
{
}

void RosterLink::read()
{
    if (!m_connection.isBusy()) {
        m_connection.start("GET", platform::rosterReadPath(), "", callLimit, [this](const HttpResult &result) { onRead(result); });
    }
}

void RosterLink::onRead(const HttpResult &result)
{
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
    logEvent(m_log, "roster_read", {{"nodes", roster->nodes.size()}, {"revision", roster->revision}});
    m_onNodes(roster->nodes);
}

bool RosterLink::isComplete(const std::vector<Address> &live) const
{
    return std::ranges::all_of(live, [&](const Address &it) { return std::ranges::find(m_roster.nodes, it) != m_roster.nodes.end(); });
}

void RosterLink::noteLive(const std::vector<Address> &live, Time now)
{
    for (const Address &it : m_roster.nodes) {
        m_seen.try_emplace(it, now);
    }
    for (const Address &it : live) {
        m_seen[it] = now;
    }
}

void RosterLink::keep(const std::vector<Address> &live, Time now)
{
    if (now < m_nextAt || m_connection.isBusy()) {
        return;
    }
    if (!m_isRead) {
        m_nextAt = now + retryTime;
        read();
        return;
    }
    noteLive(live, now);
    if (isComplete(live)) {
        m_changedAt = 0;
        return;
    }
    if (m_changedAt == 0) {
        m_changedAt = now;
    }
    if (now - m_changedAt < collectTime) {
        return;
    }
    m_changedAt = 0;
    m_nextAt = now + retryTime;
    std::erase_if(m_seen, [&](const auto &it) { return now - it.second > goneTime; });
    m_written.clear();
    for (const auto &[address, at] : m_seen) {
        m_written.push_back(address);
    }
    const platform::StoreWriteRequest write = platform::rosterWriteRequest({m_written, m_roster.revision});
    m_connection.start(write.method, write.path, write.body, callLimit, [this](const HttpResult &result) { onWritten(result); });
}

void RosterLink::onWritten(const HttpResult &result)
{
    logEvent(m_log, "roster_written", {{"nodes", m_written.size()}, {"status", result.status}, {"error", result.error}, {"revision", m_roster.revision}});
    const bool written = result.status >= statusOk && result.status <= mostSuccess;
    const std::optional<platform::Roster> roster = written || result.status == platform::statusConflict ? platform::decodeRoster(result.body) : std::nullopt;
    if (roster) {
        m_roster = *roster;
    } else {
        // The write may have been done, or may be done later; its condition keeps it from undoing another one.
        m_isRead = false;
    }
}

} // namespace pimentofold
