#include <pimentofold/random.h>

#include <cmath>

namespace pimentofold {

std::uint64_t next(Random &random)
{
    random.state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t x = random.state;
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

std::uint64_t below(Random &random, std::uint64_t bound)
{
    __extension__ using Wide = unsigned __int128;
    return static_cast<std::uint64_t>((static_cast<Wide>(next(random)) * bound) >> 64U);
}

double unit(Random &random)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53: a double has 53 bits of precision
    return static_cast<double>(next(random) >> 11U) * scale;
}

bool chance(Random &random, double probability)
{
    return unit(random) < probability;
}

double exponential(Random &random, double mean)
{
    return -mean * std::log1p(-unit(random));
}

} // namespace pimentofold
