#include <pimentofold/flowreport.h>

#include <algorithm>
#include <array>
#include <set>

namespace pimentofold {

namespace {

/// Events of nodes and targets are included from this time before the flow to the same time after it, in ms.
constexpr WallTime contextWindowMs = 5'000;

constexpr std::array<std::string_view, 4> nodeEvents{"started", "stopping", "stopped", "paused"};

std::string_view fieldOf(const TimelineEvent &event, std::string_view name)
{
    const auto it = std::ranges::find_if(event.fields, [&](const auto &field) { return field.first == name; });
    return it == event.fields.end() ? std::string_view() : std::string_view(it->second);
}

bool belongsToFlow(const TimelineEvent &event, std::string_view caller)
{
    const std::string_view flow = fieldOf(event, "flow");
    return flow.size() > caller.size() && flow.starts_with(caller) && flow[caller.size()] == '>';
}

bool isTargetEvent(const TimelineEvent &event)
{
    return event.event == "target_changed" || event.event == "target_removed";
}

const TimelineEvent *findEvent(const Timeline &flow, std::string_view name)
{
    const auto it = std::ranges::find_if(flow.events, [&](const TimelineEvent &event) { return event.event == name; });
    return it == flow.events.end() ? nullptr : &*it;
}

/// Formats the time between two events. It is approximate, since the events may come from nodes whose clocks differ.
std::string elapsedBetween(const TimelineEvent &from, const TimelineEvent &to)
{
    return std::to_string(std::max<WallTime>(to.time - from.time, 0)) + " ms";
}

std::string unendedOutcome(const Timeline &flow, const TimelineEvent &opened)
{
    const std::string target(fieldOf(opened, "target"));
    const auto removed = std::ranges::find_if(
        flow.events, [&](const TimelineEvent &it) { return it.event == "target_removed" && fieldOf(it, "target") == target && it.hlc > opened.hlc; });
    if (removed != flow.events.end()) {
        return "cut: target " + target + " was lost " + elapsedBetween(opened, *removed) + " after the flow had opened; the request may have run";
    }
    return "open at target " + target + "; no end was seen, and the request may have run";
}

std::string endedOutcome(const Timeline &flow, const TimelineEvent &ended)
{
    std::string text = "ended at target " + std::string(fieldOf(ended, "target"));
    const TimelineEvent *placed = findEvent(flow, "flow_placed");
    const TimelineEvent *waiting = findEvent(flow, "flow_waiting");
    if (waiting != nullptr && placed != nullptr) {
        text += " after it had waited " + elapsedBetween(*waiting, *placed) + " for free capacity";
    }
    if (findEvent(flow, "flow_offered_again") != nullptr) {
        text += " after an earlier target had given no answer";
    }
    if (placed != nullptr) {
        text += "; from the first offer to the end " + elapsedBetween(*placed, ended);
    }
    return text;
}

} // namespace

Timeline eventsOfFlow(const Timeline &timeline, std::string_view caller)
{
    std::set<std::string_view> targets;
    WallTime first = 0;
    WallTime last = 0;
    for (const TimelineEvent &it : timeline.events) {
        if (belongsToFlow(it, caller)) {
            first = first == 0 ? it.time : std::min(first, it.time);
            last = std::max(last, it.time);
            targets.insert(fieldOf(it, "target"));
        }
    }
    Timeline flow;
    for (const TimelineEvent &it : timeline.events) {
        const bool near = last > 0 && it.time >= first - contextWindowMs && it.time <= last + contextWindowMs;
        const bool ofTarget = isTargetEvent(it) && targets.contains(fieldOf(it, "target"));
        const bool ofNode = std::ranges::find(nodeEvents, it.event) != nodeEvents.end();
        if (belongsToFlow(it, caller) || (near && (ofTarget || ofNode))) {
            flow.events.push_back(it);
        }
    }
    return flow;
}

std::string flowOutcome(const Timeline &flow)
{
    if (findEvent(flow, "flow_refused") != nullptr) {
        return "refused: no target of the service takes new flows; the request hasn't run";
    }
    if (findEvent(flow, "no_route") != nullptr) {
        return "dropped: the configuration has no route for the address; the request hasn't run";
    }
    if (const TimelineEvent *ended = findEvent(flow, "flow_ended")) {
        return endedOutcome(flow, *ended);
    }
    if (const TimelineEvent *opened = findEvent(flow, "flow_opened")) {
        return unendedOutcome(flow, *opened);
    }
    if (findEvent(flow, "flow_given_up") != nullptr || findEvent(flow, "flow_waiting") != nullptr) {
        return "given up: no target had free capacity in time; the request hasn't run";
    }
    if (findEvent(flow, "flow_placed") != nullptr) {
        return "never opened: no target's answer reached the caller; the request hasn't run";
    }
    return "no event shows how the flow ended";
}

} // namespace pimentofold
