#pragma once

#include <cstdint>
#include <vector>

#include <pimentofold/hlc.h>
#include <pimentofold/types.h>

/// Replay protection for the datagrams of peers. It rejects repeated and stale messages, which carry a valid
/// authenticator and can't be told from the original by it.
namespace pimentofold {

/// Maximum age of a message in milliseconds, by the hybrid logical clock. Older messages are rejected.
constexpr WallTime maxPeerMessageAgeMs = 60'000;

/// Hashes of recently received messages in a direct-mapped table. A later message with the same table index overwrites
/// the entry.
struct ReplayFilter {
    static constexpr std::size_t tableSize = 65'536;

    std::vector<std::uint64_t> seenHashes; ///< empty until the first message, then tableSize entries
};

enum class ReplayCheckResult { Fresh, Replayed, Stale };

/// Checks a message and records it. Senders stamp each message with a different timestamp of their clock, so sender
/// and timestamp together identify a message.
/// @param sender from the message
/// @param clock timestamp from the message
/// @param now timestamp of the local clock
ReplayCheckResult checkReplay(ReplayFilter &filter, const InstanceKey &sender, HlcTime clock, HlcTime now);

} // namespace pimentofold
