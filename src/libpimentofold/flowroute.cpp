#include <pimentofold/flowroute.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

constexpr std::size_t sets = FlowCache::maxEntries / FlowCache::ways;

std::size_t firstOfSet(std::uint64_t hash)
{
    return (hash % sets) * FlowCache::ways;
}

} // namespace

std::optional<std::size_t> nextCandidate(const View &view, const ViewService &service, std::int64_t flow, Id after)
{
    // Equal hashes are ordered by target id, so that the order is total.
    using Rank = std::pair<std::uint64_t, Id>;
    const auto rankOf = [flow](Id target) { return Rank(mix(static_cast<std::uint64_t>(flow), static_cast<std::uint64_t>(target)), target); };
    const Rank limit = rankOf(after);
    Rank bestRank;
    std::optional<std::size_t> best;
    for (const std::size_t it : service.targets) {
        const Rank rank = rankOf(view.targets[it].id);
        if ((after == 0 || rank < limit) && (!best || rank > bestRank)) {
            best = it;
            bestRank = rank;
        }
    }
    return best;
}

std::uint64_t flowHash(Id serviceId, std::int64_t flow)
{
    const std::uint64_t hash = mix(static_cast<std::uint64_t>(serviceId), static_cast<std::uint64_t>(flow));
    return hash == 0 ? 1 : hash;
}

std::optional<std::size_t> findRoute(const FlowCache &cache, std::uint64_t hash)
{
    if (cache.hashes.empty()) {
        return std::nullopt;
    }
    const std::size_t first = firstOfSet(hash);
    for (std::size_t i = first; i < first + FlowCache::ways; ++i) {
        if (cache.hashes[i] == hash) {
            return cache.targets[i];
        }
    }
    return std::nullopt;
}

void storeRoute(FlowCache &cache, std::uint64_t hash, std::size_t target)
{
    if (cache.hashes.empty()) {
        cache.hashes.resize(FlowCache::maxEntries);
        cache.targets.resize(FlowCache::maxEntries);
    }
    eraseRoute(cache, hash);
    const std::size_t first = firstOfSet(hash);
    const std::size_t last = first + FlowCache::ways - 1;
    for (std::size_t i = last; i > first; --i) {
        cache.hashes[i] = cache.hashes[i - 1];
        cache.targets[i] = cache.targets[i - 1];
    }
    cache.hashes[first] = hash;
    cache.targets[first] = static_cast<std::uint32_t>(target);
}

void eraseRoute(FlowCache &cache, std::uint64_t hash)
{
    if (cache.hashes.empty()) {
        return;
    }
    const std::size_t first = firstOfSet(hash);
    const std::size_t end = first + FlowCache::ways;
    std::size_t kept = first;
    for (std::size_t i = first; i < end; ++i) {
        if (cache.hashes[i] != hash && cache.hashes[i] != 0) {
            cache.hashes[kept] = cache.hashes[i];
            cache.targets[kept] = cache.targets[i];
            ++kept;
        }
    }
    std::fill(cache.hashes.begin() + static_cast<std::ptrdiff_t>(kept), cache.hashes.begin() + static_cast<std::ptrdiff_t>(end), 0);
}

void remapRoutes(FlowCache &cache, const View &before, const View &after)
{
    for (std::size_t i = 0; i < cache.hashes.size(); ++i) {
        if (cache.hashes[i] == 0) {
            continue;
        }
        const auto it = cache.targets[i] < before.targets.size() ? after.targetIndex.find(before.targets[cache.targets[i]].id) : after.targetIndex.end();
        if (it == after.targetIndex.end()) {
            cache.hashes[i] = 0;
        } else {
            cache.targets[i] = static_cast<std::uint32_t>(it->second);
        }
    }
}

} // namespace pimentofold
