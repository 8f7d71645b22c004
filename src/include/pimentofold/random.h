#pragma once

#include <cstdint>

/// Seeded random numbers. The library never makes its own generator: callers pass one in, so that a
/// randomised run can be repeated from its seed.
namespace pimentofold {

/// State of the SplitMix64 generator.
struct Random {
    std::uint64_t state = 0;
};

/// @return 64 random bits; advances the generator
std::uint64_t next(Random &random);

/// @param bound exclusive upper bound, above 0
/// @return a number in [0, bound)
std::uint64_t below(Random &random, std::uint64_t bound);

/// @return a number in [0, 1)
double unit(Random &random);

/// @param probability of true, 0 to 1
bool chance(Random &random, double probability);

/// @param mean of the distribution, above 0
/// @return an exponentially distributed number
double exponential(Random &random, double mean);

} // namespace pimentofold
