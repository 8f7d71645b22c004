#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

#include <pimentofold/types.h>

/// Refusals of retransmissions, remembered for as long as an earlier copy of the request may still be on its way.
///
/// A refusal as NotRun must stay true. A first sending (`attempt` 1) can be refused without memory: a caller that has
/// retransmitted meanwhile ignores the refusal, since it names an older attempt. A retransmission is different: the first
/// sending may arrive after the refusal and run. Therefore
///
/// - an entry balancer refuses only first sendings (mayRefuseWithoutRecord()) and drops other excess silently;
/// - the dispatcher remembers each retransmission that it refuses, and drops later copies.
namespace pimentofold {

/// Refused requests, oldest first. Bounded: beyond `most` the oldest are forgotten.
struct RefusalCache {
    struct Entry {
        std::uint64_t request = 0;
        Time refusedAt = 0;
    };

    std::size_t maxEntries = 8192; ///< about 60 bytes each
    Time retention = 10 * second; ///< longer than a datagram can wait in sockets and queues
    std::deque<Entry> entries;
    std::unordered_set<std::uint64_t> requests;
};

/// @param attempt of the caller's packet
/// @return whether a balancer may answer NotRun without remembering the request
bool mayRefuseWithoutRecord(int attempt);

/// Remembers a refused request.
/// @param request hash of service, flow and request number
void recordRefusal(RefusalCache &memory, std::uint64_t request, Time now);

/// @return whether the request was refused lately; it must not run
bool wasRefused(const RefusalCache &memory, std::uint64_t request);

} // namespace pimentofold
