#pragma once

#include <cstdint>

#include <pimentofold/types.h>

/// Hybrid logical clock: wall time that never goes backwards and orders a message after its sender's earlier events.
namespace pimentofold {

/// Timestamp of the clock: wall time in milliseconds in the upper 48 bits, a counter in the lower 16 bits.
using HlcTime = std::int64_t;

/// Clock state of one process.
struct Hlc {
    HlcTime last = 0; ///< last timestamp issued
};

/// Received timestamps further ahead of the local wall time than this are ignored, so that one process with a wrong
/// clock can't advance the clocks of the others.
constexpr WallTime hlcMaxAheadMs = 60'000;

/// Advances the clock for a local event or a message to be sent.
/// @param now wall time in milliseconds
/// @return a timestamp greater than all earlier ones
HlcTime tick(Hlc &clock, WallTime now);

/// Advances the clock past the timestamp of a received message.
/// @param received timestamp set by the sender
/// @param now wall time in milliseconds
/// @return a timestamp greater than all earlier ones and, unless hlcMaxAheadMs excludes it, greater than @p received
HlcTime observe(Hlc &clock, HlcTime received, WallTime now);

} // namespace pimentofold
