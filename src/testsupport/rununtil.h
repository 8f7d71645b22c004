#pragma once

#include <doctest/doctest.h>

#include <libnet/loop.h>

namespace pimentofold::testsupport {

/// Runs the event loop until the condition holds; fails the test after a generous bound.
template<typename Condition>
void runUntil(Condition condition)
{
    constexpr Time bound = 30 * second;
    const Time start = monotonicNow();
    while (!condition()) {
        REQUIRE(monotonicNow() - start < bound);
        ev_run(EV_DEFAULT, EVRUN_ONCE);
    }
}

} // namespace pimentofold::testsupport
