#pragma once

#include <string>

#include <pimentofold/edgeforward.h>
#include <pimentofold/eventlog.h>

/// Log lines of an edge node.
namespace pimentofold {

/// @return "ip:port>ip:port", by which the log names a flow
std::string flowName(const FlowKey &key);

/// Writes what happened to a packet.
void logNote(EventLog &log, const ForwardNote &note);

} // namespace pimentofold
