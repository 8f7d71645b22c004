#include <pimentofold/refusalcache.h>

namespace pimentofold {

namespace {

void evictOldest(RefusalCache &cache)
{
    cache.requests.erase(cache.entries.front().request);
    cache.entries.pop_front();
}

} // namespace

bool mayRefuseWithoutRecord(int attempt)
{
    return attempt <= 1;
}

void recordRefusal(RefusalCache &cache, std::uint64_t request, Time now)
{
    while (!cache.entries.empty() && cache.entries.front().refusedAt + cache.retention <= now) {
        evictOldest(cache);
    }
    if (!cache.requests.insert(request).second) {
        return;
    }
    cache.entries.push_back({request, now});
    if (cache.entries.size() > cache.maxEntries) {
        evictOldest(cache);
    }
}

bool wasRefused(const RefusalCache &cache, std::uint64_t request)
{
    return cache.requests.contains(request);
}

} // namespace pimentofold
