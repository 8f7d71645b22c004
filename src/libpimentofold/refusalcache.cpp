#include <pimentofold/refusalcache.h>

namespace pimentofold {

namespace {

void forgetOldest(RefusalCache &memory)
{
    memory.requests.erase(memory.entries.front().request);
    memory.entries.pop_front();
}

} // namespace

bool mayRefuseWithoutRecord(int attempt)
{
    return attempt <= 1;
}

void recordRefusal(RefusalCache &memory, std::uint64_t request, Time now)
{
    while (!memory.entries.empty() && memory.entries.front().refusedAt + memory.retention <= now) {
        forgetOldest(memory);
    }
    if (!memory.requests.insert(request).second) {
        return;
    }
    memory.entries.push_back({request, now});
    if (memory.entries.size() > memory.maxEntries) {
        forgetOldest(memory);
    }
}

bool wasRefused(const RefusalCache &memory, std::uint64_t request)
{
    return memory.requests.contains(request);
}

} // namespace pimentofold
