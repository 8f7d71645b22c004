#pragma once

#include <string>

#include <libnet/logwriter.h>
#include <pimentofold/edgeforward.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/metrics.h>

/// Log lines and metrics of the events in packet forwarding.
namespace pimentofold {

/// @return the flow's name in the log: "ip:port>ip:port" of the caller and the service
std::string flowName(const FlowKey &key);

/// Counts an event, and logs it unless the log budget for events of that name is used up. The next line of that name states
/// the number of events that were not logged in its field `held_back`.
/// @param table for the name and revision of the event's target
/// @param now time for the log budget
void recordForwardNote(EventLog &log, LogBudget &budget, Metrics &metrics, const TargetTable &table, const ForwardEventRecord &note, Time now);

/// Counts and logs an event on lost targets, within the log budget.
void recordLossEvent(EventLog &log, LogBudget &budget, Metrics &metrics, const TargetTable &table, const LossEventRecord &note, Time now);

/// Sets the metrics of outlier detection.
void exportOutlierMetrics(Metrics &metrics, const OutlierDetection &outliers);

/// Logs the start or end of an ejection, within the log budget. OutlierDetection counts the ejections.
void recordOutlierEvent(EventLog &log, LogBudget &budget, const TargetTable &table, const OutlierEvent &note, Time now);

} // namespace pimentofold
