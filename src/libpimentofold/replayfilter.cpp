#include <pimentofold/replayfilter.h>

namespace pimentofold {

ReplayCheckResult checkReplay(ReplayFilter &guard, const InstanceKey &sender, HlcTime clock, HlcTime now)
{
    constexpr unsigned counterBits = 16;
    if ((clock >> counterBits) < (now >> counterBits) - maxPeerMessageAgeMs) {
        return ReplayCheckResult::Stale;
    }
    if (guard.seen.empty()) {
        guard.seen.resize(ReplayFilter::entries);
    }
    const std::uint64_t hash = mix(std::hash<InstanceKey>()(sender), static_cast<std::uint64_t>(clock));
    std::uint64_t &entry = guard.seen[hash % ReplayFilter::entries];
    if (entry == hash) {
        return ReplayCheckResult::Replayed;
    }
    entry = hash;
    return ReplayCheckResult::Fresh;
}

} // namespace pimentofold
