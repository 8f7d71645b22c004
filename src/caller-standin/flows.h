#pragma once

#include <caller-standin/callers.h>

/// Opening, closing and loss of flows.
namespace pimentofold {

/// Opens flows as far as the group's number and rate allow.
/// @param elapsed time since the last call
void openFlows(Callers &callers, std::size_t group, Time elapsed, Time now);

/// Handles Opened, or another answer to an Open.
void onOpened(Callers &callers, std::int64_t number, const wire::CallerPacket &packet, Time now);

/// Ends a flow from the callers' side.
void closeFlow(Callers &callers, std::int64_t number, Time now);

/// Closes the flows of one server, each after a random time of at most @p within, as when its sessions end.
/// @param instance name of the server
/// @return how many flows will be closed
std::size_t closeFlowsOf(Callers &callers, const std::string &instance, Time within, Time now);

/// Forgets a flow, whatever its phase.
void removeFlow(Callers &callers, std::int64_t number);

/// Counts a flow as broken and forgets it.
/// @param cause for example "unknown_flow"
void breakFlow(Callers &callers, std::int64_t number, const std::string &cause);

/// Retransmits Open and Close, or gives up.
void onFlowAlarm(Callers &callers, std::int64_t number, Time now);

/// @return a random open flow of the group, or 0
/// @param needsToken whether it has to have a token
std::int64_t pickFlow(Callers &callers, std::size_t group, bool needsToken);

} // namespace pimentofold
