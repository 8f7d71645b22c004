#include <pimentofold/types.h>

#include <cstdio>

#include <xxhash.h>

namespace pimentofold {

Id idOf(std::string_view name)
{
    const auto hash = static_cast<Id>(XXH3_64bits(name.data(), name.size()));
    return hash == 0 ? 1 : hash;
}

Id idOf(std::string_view team, std::string_view service)
{
    std::string name(team);
    name += '/';
    name += service;
    return idOf(name);
}

Id idOf(std::string_view team, std::string_view service, std::string_view instance)
{
    std::string name(team);
    name += '/';
    name += service;
    name += '/';
    name += instance;
    return idOf(name);
}

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    // The finaliser of SplitMix64, applied to a combination of both arguments.
    std::uint64_t x = a + 0x9e3779b97f4a7c15ULL * (b | 1) + (b >> 32U);
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x ^= b;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

std::string toString(const InstanceKey &key)
{
    char buf[40];
    const int n = std::snprintf(buf, sizeof buf, "%llx@%llx", static_cast<unsigned long long>(key.instance), static_cast<unsigned long long>(key.incarnation));
    return std::string(buf, static_cast<std::size_t>(n));
}

} // namespace pimentofold
