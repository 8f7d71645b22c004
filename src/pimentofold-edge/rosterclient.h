#pragma once

#include <functional>
#include <map>
#include <vector>

#include <libnet/streamhttp.h>
#include <pimentofold/eventlog.h>
#include <platform/storecalls.h>

namespace pimentofold {

/// Reads and writes the roster, an object in the platform's store with the addresses of the edge nodes. Nodes use it to find
/// each other when all of them start at the same time or the seeds no longer run. The leader updates it, only when a live node
/// is missing from it.
class RosterClient
{
public:
    /// @param store address of the store
    /// @param onNodes called with the roster's addresses after each successful read
    RosterClient(const Address &store, EventLog &log, std::function<void(const std::vector<Address> &)> onNodes);

    /// Closes the connection and abandons a call in flight. The roster is read again before it is next written.
    void setAddress(const Address &store);

    /// Takes over a later era of the store. The roster is read again before it is next written, since its revision may have been
    /// given out again for another change.
    void beginEra(std::int64_t era);

    /// Reads the roster, unless a call is in flight.
    void read();
    /// Writes the roster if live nodes have been missing from it for some time. The leader calls this periodically.
    /// @param live addresses of the live nodes
    void update(const std::vector<Address> &live, Time now);

private:
    /// Takes over a later era that a response names.
    /// @return false when the response is of an earlier era than the known one
    bool isOfKnownEra(const HttpResult &result);
    void onRead(const HttpResult &result);
    void onWritten(const HttpResult &result);
    void recordLiveNodes(const std::vector<Address> &live, Time now);
    bool isComplete(const std::vector<Address> &live) const;

    EventLog &m_log;
    std::function<void(const std::vector<Address> &)> m_onNodes;
    HttpConnection m_connection;
    platform::Roster m_roster;
    std::int64_t m_era = 0; ///< latest known era of the store; 0: it has named none
    std::int64_t m_writeEra = 0; ///< the era when the last write was made
    bool m_isRead = false; ///< m_roster holds the store's roster
    std::map<Address, Time> m_lastLiveAt; ///< when a node was last live; for a node that is only on the roster, when it was first seen there
    std::vector<Address> m_writtenNodes; ///< contents of the last write
    Time m_incompleteSince = 0; ///< 0: no live node is missing from the roster
    Time m_nextCallAt = 0;
};

} // namespace pimentofold
