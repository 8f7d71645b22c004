#pragma once

#include <pimentofold/dispatch.h>

/// Flows that start or cease to wait at a dispatcher without being placed.
namespace pimentofold {

/// Interval of tickDispatcher() while flows wait, because targets may gain room without the end of a flow being reported.
constexpr Time waitingSweepInterval = 20 * millisecond;

/// Lets a flow wait, or refuses it. With fair queueing, a flow for which the queue has no place may also have to ask again: the result
/// is Waiting then too.
/// @return the result of its placement
PlaceResult enqueueFlow(Dispatcher &dispatcher, const TargetTable &table, const OpeningFlow &flow, const EdgeRoute &route, Time now, ForwardOutput &out);

/// Drops flows that have waited too long.
void dropExpiredWaiting(Dispatcher &dispatcher, Time now, ForwardOutput &out);

/// With fair queueing, refuses waiting flows that can't be placed while their callers still wait.
void refuseHopeless(Dispatcher &dispatcher, Time now, ForwardOutput &out);

/// Answers a repeated request for a flow that was refused lately, whose notice may have been lost.
/// @return whether the flow stays refused
bool refuseAgain(Dispatcher &dispatcher, const OpeningFlow &flow, Time now, ForwardOutput &out);

} // namespace pimentofold
