#pragma once

#include <functional>
#include <map>
#include <vector>

#include <libnet/streamhttp.h>
#include <pimentofold/eventlog.h>
#include <platform/storecalls.h>

/// The roster of edge nodes in the platform's store, by which nodes find each other when all of them start at once or
/// the seeds are gone. The node that follows the store keeps it; it changes only when a node has a new address.
namespace pimentofold {

class RosterLink
{
public:
    /// @param onNodes called with the addresses that were read
    RosterLink(const Address &store, EventLog &log, std::function<void(const std::vector<Address> &)> onNodes);

    /// Reads the roster, unless a call is under way.
    void read();
    /// Writes the roster when live nodes are missing from it; to be called now and then by the node that follows the store.
    /// @param live addresses of the live nodes
    void keep(const std::vector<Address> &live, Time now);

private:
    void onRead(const HttpResult &result);
    void onWritten(const HttpResult &result);
    void noteLive(const std::vector<Address> &live, Time now);
    bool isComplete(const std::vector<Address> &live) const;

    EventLog &m_log;
    std::function<void(const std::vector<Address> &)> m_onNodes;
    HttpConnection m_connection;
    platform::Roster m_roster;
    bool m_isRead = false;
    std::map<Address, Time> m_seen; ///< when a node on the roster was last live
    std::vector<Address> m_written;
    Time m_changedAt = 0;
    Time m_nextAt = 0;
};

} // namespace pimentofold
