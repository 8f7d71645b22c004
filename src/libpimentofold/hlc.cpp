#include <pimentofold/hlc.h>

#include <algorithm>

namespace pimentofold {

namespace {
constexpr int counterBits = 16;
} // namespace

HlcTime tick(Hlc &clock, WallTime now)
{
    clock.last = std::max(clock.last + 1, static_cast<HlcTime>(now) << counterBits);
    return clock.last;
}

HlcTime observe(Hlc &clock, HlcTime received, WallTime now)
{
    const HlcTime limit = static_cast<HlcTime>(now + hlcMaxAheadMs) << counterBits;
    if (received <= limit) {
        clock.last = std::max(clock.last, received);
    }
    return tick(clock, now);
}

} // namespace pimentofold
