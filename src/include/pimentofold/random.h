#pragma once

#include <cstdint>

/// Seeded random numbers. The library never creates a generator of its own: callers pass one in, so that a
/// randomised run can be repeated from its seed. The generator isn't cryptographically secure.
namespace pimentofold {

/// State of a SplitMix64 generator.
struct Random {
    std::uint64_t state = 0; ///< the seed, until the first number is drawn
};

/// Draws the next number and advances the generator, as all functions of this file do.
/// @return 64 random bits
std::uint64_t next(Random &random);

/// @param bound exclusive upper bound, above 0
/// @return a uniformly distributed integer in [0, bound)
std::uint64_t below(Random &random, std::uint64_t bound);

/// @return a uniformly distributed number in [0, 1)
double unit(Random &random);

/// @param probability of the result true, 0 to 1
bool chance(Random &random, double probability);

/// @param mean of the distribution, above 0
/// @return an exponentially distributed number, 0 or above
double exponential(Random &random, double mean);

} // namespace pimentofold
