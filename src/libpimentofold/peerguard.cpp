#include <pimentofold/peerguard.h>

namespace pimentofold {

PeerFreshness checkFreshness(PeerGuard &guard, const InstanceKey &sender, HlcTime clock, HlcTime now)
{
    constexpr unsigned counterBits = 16;
    if ((clock >> counterBits) < (now >> counterBits) - peerMessageLifeMs) {
        return PeerFreshness::Stale;
    }
    if (guard.seen.empty()) {
        guard.seen.resize(PeerGuard::entries);
    }
    const std::uint64_t hash = mix(std::hash<InstanceKey>()(sender), static_cast<std::uint64_t>(clock));
    std::uint64_t &entry = guard.seen[hash % PeerGuard::entries];
    if (entry == hash) {
        return PeerFreshness::Replayed;
    }
    entry = hash;
    return PeerFreshness::Fresh;
}

} // namespace pimentofold
