#pragma once

#include <cstdint>
#include <vector>

#include <pimentofold/hlc.h>
#include <pimentofold/types.h>

/// Refuses repeated and stale datagrams of peers. The authenticator alone doesn't tell a message from a copy of it.
namespace pimentofold {

/// Messages older than this by the hybrid logical clock are refused, in ms.
constexpr WallTime maxPeerMessageAgeMs = 60'000;

/// Recently seen messages; a direct-mapped table with one entry for each hash.
struct ReplayFilter {
    static constexpr std::size_t tableSize = 65'536;

    std::vector<std::uint64_t> seenHashes;
};

enum class ReplayCheckResult { Fresh, Replayed, Stale };

/// Checks a message and remembers it. Senders give each message its own reading of their clock.
/// @param sender and @p clock as in the message
/// @param now the own clock
ReplayCheckResult checkReplay(ReplayFilter &filter, const InstanceKey &sender, HlcTime clock, HlcTime now);

} // namespace pimentofold
