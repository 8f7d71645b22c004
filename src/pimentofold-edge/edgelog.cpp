#include <pimentofold-edge/edgelog.h>

#include <cstdio>

namespace pimentofold {

namespace {

std::string toHex(std::uint64_t number)
{
    char buf[17];
    const int n = std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(number));
    return std::string(buf, static_cast<std::size_t>(n));
}

} // namespace

std::string flowName(const FlowKey &key)
{
    return toString(key.caller) + ">" + toString(key.service);
}

void recordForwardNote(EventLog &log, LogBudget &budget, Metrics &metrics, const TargetTable &table, const ForwardEventRecord &note, Time now)
{
    const std::string_view event = name(note.event);
    count(metrics, std::string(event) + "_total");
    const bool isRefusal = note.event == ForwardEvent::Refused;
    if (isRefusal) {
        count(metrics, "flows_refused_total{reason=\"" + std::string(name(note.reason)) + "\"}");
    }
    if (note.event == ForwardEvent::Opened) {
        recordDuration(metrics, "flow_open_seconds", static_cast<double>(note.elapsed) / static_cast<double>(second));
    } else if (note.event == ForwardEvent::Ended && note.attempts > 0) {
        recordDuration(metrics, "flow_seconds", static_cast<double>(note.elapsed) / static_cast<double>(second));
    }
    if (!takeLogShare(budget, event, now)) {
        return;
    }
    const EdgeTarget *target = findTarget(table, note.target);
    logEvent(log,
             event,
             {{"flow", flowName(note.flow)},
              {"target", target == nullptr ? "none" : target->record.name},
              {"token", toHex(note.token)},
              {"attempts", note.attempts},
              {"load", note.load},
              {"unanswered", target == nullptr ? 0 : target->unansweredOpenings},
              {"node", toHex(static_cast<std::uint64_t>(note.node))},
              {"elapsed_us", note.elapsed},
              {"reason", isRefusal ? name(note.reason) : "none"},
              {"config", table.configVersion},
              {"target_revision", target == nullptr ? 0 : target->record.revision.number},
              {"held_back", takeHeldCount(budget, event)}});
}

void recordLossEvent(EventLog &log, LogBudget &budget, Metrics &metrics, const TargetTable &table, const LossEventRecord &note, Time now)
{
    const std::string_view event = name(note.event);
    if (note.event == LossEvent::FlowReset) {
        count(metrics, "flows_reset_total{reason=\"" + std::string(name(note.reason)) + "\"}");
    } else if (note.event == LossEvent::Lost) {
        count(metrics, "targets_lost_total");
    }
    if (!takeLogShare(budget, event, now)) {
        return;
    }
    const EdgeTarget *target = findTarget(table, note.target);
    logEvent(log,
             event,
             {{"target", target == nullptr ? "none" : target->record.name},
              {"flow", note.event == LossEvent::FlowReset ? flowName(note.flow) : "none"},
              {"reason", note.event == LossEvent::FlowReset ? name(note.reason) : "none"},
              {"data_centre", target == nullptr ? "" : target->record.dataCentre},
              {"unreachable_from", note.dataCentre},
              {"stalled_flows", note.stalledFlows},
              {"reporting_nodes", note.reportingNodes},
              {"registered", target != nullptr && target->registered ? 1 : 0},
              {"held_back", takeHeldCount(budget, event)}});
}

void exportOutlierMetrics(Metrics &metrics, const OutlierDetection &outliers)
{
    setGauge(metrics, "targets_ejected", static_cast<double>(outliers.ejectedCount));
    for (std::size_t i = 0; i < ejectionReasonCount; ++i) {
        counter(metrics, "targets_ejected_total{reason=\"" + std::string(name(static_cast<EjectionReason>(i))) + "\"}") = outliers.ejections[i];
    }
}

void recordOutlierEvent(EventLog &log, LogBudget &budget, const TargetTable &table, const OutlierEvent &note, Time now)
{
    const std::string_view event = note.ejected ? "target_ejected" : "target_returned";
    if (!takeLogShare(budget, event, now)) {
        return;
    }
    const EdgeTarget *target = findTarget(table, note.target);
    std::string_view cause = "none";
    if (!note.ejected) {
        cause = note.byTrials ? "trials" : "room";
    }
    logEvent(log,
             event,
             {{"target", target == nullptr ? "none" : target->record.name},
              {"service", note.service},
              {"data_centre", target == nullptr ? "" : target->record.dataCentre},
              {"reason", name(note.reason)},
              {"cause", cause},
              {"relative_time", note.relativeTime},
              {"share", note.overdueShare},
              {"peers", note.peers},
              {"held_back", takeHeldCount(budget, event)}});
}

} // namespace pimentofold
