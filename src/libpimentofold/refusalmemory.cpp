#include <pimentofold/refusalmemory.h>

namespace pimentofold {

namespace {

void forgetOldest(RefusalMemory &memory)
{
    memory.requests.erase(memory.entries.front().request);
    memory.entries.pop_front();
}

} // namespace

bool mayRefuseWithoutMemory(int attempt)
{
    return attempt <= 1;
}

void rememberRefusal(RefusalMemory &memory, std::uint64_t request, Time now)
{
    while (!memory.entries.empty() && memory.entries.front().at + memory.keep <= now) {
        forgetOldest(memory);
    }
    if (!memory.requests.insert(request).second) {
        return;
    }
    memory.entries.push_back({request, now});
    if (memory.entries.size() > memory.most) {
        forgetOldest(memory);
    }
}

bool wasRefused(const RefusalMemory &memory, std::uint64_t request)
{
    return memory.requests.contains(request);
}

} // namespace pimentofold
