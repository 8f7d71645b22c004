#pragma once

#include <string>

#include <libnet/logwriter.h>
#include <pimentofold/edgeforward.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/metrics.h>

/// Log lines and metrics of what happens to packets.
namespace pimentofold {

/// @return "ip:port>ip:port", by which the log names a flow
std::string flowName(const FlowKey &key);

/// Counts an event and writes it to the log as far as the budget allows. The first line after events that were held
/// back tells their number as `held_back`.
void recordNote(EventLog &log, LogBudget &budget, Metrics &metrics, const TargetTable &table, const ForwardEventRecord &note, Time now);

} // namespace pimentofold
