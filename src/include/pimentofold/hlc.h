#pragma once

#include <cstdint>

#include <pimentofold/types.h>

/// Hybrid logical clock: wall time that never steps back and respects the order of messages.
namespace pimentofold {

/// A reading: wall time in milliseconds in the upper 48 bits, a counter in the lower 16.
using HlcTime = std::int64_t;

/// State of the clock of one process.
struct Hlc {
    HlcTime last = 0;
};

/// Readings further ahead of the local wall time than this are not taken over, so that one process with a
/// wrong clock can't move the others.
constexpr WallTime hlcMaxAheadMs = 60'000;

/// Advances the clock for a local event or a message to be sent.
/// @param now wall time
/// @return a reading above all earlier ones
HlcTime tick(Hlc &clock, WallTime now);

/// Advances the clock past a reading that came in a message.
/// @param seen the sender's reading
/// @param now wall time
/// @return a reading above all earlier ones and, unless it is too far ahead, above @p seen
HlcTime observe(Hlc &clock, HlcTime received, WallTime now);

} // namespace pimentofold
