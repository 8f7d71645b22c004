#include <pimentofold/replayfilter.h>

namespace pimentofold {

ReplayCheckResult checkReplay(ReplayFilter &filter, const InstanceKey &sender, HlcTime clock, HlcTime now)
{
    constexpr unsigned counterBits = 16;
    if ((clock >> counterBits) < (now >> counterBits) - maxPeerMessageAgeMs) {
        return ReplayCheckResult::Stale;
    }
    if (filter.seenHashes.empty()) {
        filter.seenHashes.resize(ReplayFilter::tableSize);
    }
    const std::uint64_t hash = mix(std::hash<InstanceKey>()(sender), static_cast<std::uint64_t>(clock));
    std::uint64_t &entry = filter.seenHashes[hash % ReplayFilter::tableSize];
    if (entry == hash) {
        return ReplayCheckResult::Replayed;
    }
    entry = hash;
    return ReplayCheckResult::Fresh;
}

} // namespace pimentofold
