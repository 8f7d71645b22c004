#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

#include <pimentofold/types.h>

/// Cache of refused retransmissions. A refusal is kept for as long as an earlier copy of the request may still arrive.
///
/// After a refusal with NotRun the request must never run. A first transmission (`attempt` 1) can be refused without a
/// record: a caller that has retransmitted in the meantime ignores the refusal, since it contains an older attempt. A
/// retransmission can't: the first transmission may arrive after the refusal and run. Therefore
///
/// - an entry balancer refuses only first transmissions (mayRefuseWithoutRecord()) and silently drops other excess packets;
/// - the dispatcher records each retransmission that it refuses, and drops later copies.
namespace pimentofold {

/// Refused requests, oldest first. Beyond `maxEntries` the oldest are evicted.
struct RefusalCache {
    struct Entry {
        std::uint64_t request = 0;
        Time refusedAt = 0;
    };

    std::size_t maxEntries = 8192; ///< about 60 bytes each
    Time retention = 10 * second; ///< longer than a datagram can wait in sockets and queues
    std::deque<Entry> entries;
    std::unordered_set<std::uint64_t> requests; ///< the requests of the entries
};

/// @param attempt attempt number of the caller's packet, 1 for the first transmission
/// @return whether a balancer may answer NotRun without recording the refusal
bool mayRefuseWithoutRecord(int attempt);

/// Records a refused request and evicts entries that are older than the retention time.
/// @param request hash of service, flow and request number
void recordRefusal(RefusalCache &cache, std::uint64_t request, Time now);

/// @param request hash of service, flow and request number
/// @return whether a refusal of the request is recorded; the request must not run then
bool wasRefused(const RefusalCache &cache, std::uint64_t request);

} // namespace pimentofold
