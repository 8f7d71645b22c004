#include <pimentofold/flowreport.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace pimentofold {

namespace {

/// Events of nodes and targets are included from this time before the flow to the same time after it, in ms.
constexpr WallTime contextWindowMs = 5'000;

constexpr std::array<std::string_view, 4> nodeEvents{"started", "stopping", "stopped", "paused"};

constexpr std::array<std::string_view, 8> targetEvents{
    "target_changed", "target_removed", "target_suspected", "target_lost", "target_unreachable", "target_recovered", "target_ejected", "target_returned"};

/// What an event means for a flow. Fields of the event stand in braces.
struct StepText {
    std::string_view event;
    std::string_view text;
};

constexpr std::array<StepText, 27> stepTexts{{
    {"packet_early", "received, and kept until the flow can be placed"},
    {"packet_stale", "dropped, since the packet had waited while the node was paused"},
    {"no_route", "dropped: no route to the address in configuration {config}"},
    {"flow_relayed", "received, and passed to the dispatcher {node}"},
    {"flow_waiting", "waits, since no target has room"},
    {"flow_given_up", "dropped, since no target had room in time"},
    {"no_target", "not placed: no target takes new flows"},
    {"flow_refused", "refused {reason}"},
    {"flow_placed", "placed on target {target}, which had {load} flows at work"},
    {"flow_offered_again", "offered to target {target}, since the previous target gave no answer"},
    {"flow_opened", "opened at target {target}"},
    {"flow_location_asked", "received without knowing the flow; other nodes are asked for its target"},
    {"flow_located", "forwarded to target {target}, which another node has named"},
    {"flow_location_unknown", "forwarded by its token, since no other node knew its target"},
    {"unknown_token", "packet dropped, since its target isn't known"},
    {"flow_ended", "ended by the caller, at target {target}"},
    {"flow_reset", "reset, since target {target} is lost ({reason})"},
    {"target_changed", "target {target} has changed: {state}"},
    {"target_removed", "the entry of target {target} is gone"},
    {"target_suspected", "target {target} is suspected: {stalled_flows} stalled flows"},
    {"target_lost", "target {target} is declared lost: {stalled_flows} stalled flows, reported by {reporting_nodes} nodes"},
    {"target_unreachable", "target {target} is out of reach from data centre {unreachable_from}"},
    {"target_recovered", "target {target} makes progress again; the verdict is withdrawn"},
    {"target_ejected", "target {target} gets no new flows: {reason}"},
    {"target_returned", "target {target} gets new flows again"},
    {"started", "the node has started"},
    {"paused", "the node was paused for {length_us} us"},
}};

std::string_view fieldOf(const TimelineEvent &event, std::string_view name)
{
    const auto it = std::ranges::find_if(event.fields, [&](const auto &field) { return field.first == name; });
    return it == event.fields.end() ? std::string_view() : std::string_view(it->second);
}

bool belongsToFlow(const TimelineEvent &event, std::string_view id)
{
    const std::string_view flow = fieldOf(event, "flow");
    return flow == id || (flow.size() > id.size() && flow.starts_with(id) && flow[id.size()] == '>');
}

bool isTargetEvent(const TimelineEvent &event)
{
    return std::ranges::find(targetEvents, event.event) != targetEvents.end();
}

std::string toHex(std::uint64_t number)
{
    std::array<char, 16> buf{};
    const auto result = std::to_chars(buf.data(), buf.data() + buf.size(), number, 16);
    return {buf.data(), result.ptr};
}

/// @return the name of the node with this id, or the id itself
std::string nodeName(const Timeline &flow, std::string_view id)
{
    const auto it = std::ranges::find_if(flow.events, [&](const TimelineEvent &event) { return toHex(static_cast<std::uint64_t>(idOf(event.node))) == id; });
    return it == flow.events.end() ? std::string(id) : it->node;
}

/// Replaces the names in braces by the event's fields.
std::string fillIn(std::string_view text, const TimelineEvent &event, const Timeline &flow)
{
    std::string result;
    while (!text.empty()) {
        const std::size_t open = std::min(text.find('{'), text.size());
        result += text.substr(0, open);
        text.remove_prefix(open);
        if (const std::size_t close = text.find('}'); close != std::string_view::npos) {
            const std::string_view key = text.substr(1, close - 1);
            const std::string_view value = fieldOf(event, key);
            result += key == "node" ? nodeName(flow, value) : std::string(value);
            text.remove_prefix(close + 1);
        }
    }
    while (result.ends_with(' ')) {
        result.pop_back();
    }
    return result;
}

/// @return the verdict that led to the reset of a flow; nullptr when its line is missing
const TimelineEvent *verdictBefore(const Timeline &flow, const TimelineEvent &reset)
{
    const TimelineEvent *found = nullptr;
    for (const TimelineEvent &it : flow.events) {
        if (it.event == "target_lost" && fieldOf(it, "target") == fieldOf(reset, "target") && it.hlc <= reset.hlc) {
            found = &it;
        }
    }
    return found;
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

std::string resetOutcome(const Timeline &flow, const TimelineEvent &reset)
{
    const std::string target(fieldOf(reset, "target"));
    std::string text = "reset by " + reset.node + ": target " + target + " was declared lost";
    if (const TimelineEvent *verdict = verdictBefore(flow, reset)) {
        text += " by " + verdict->node + " " + elapsedBetween(*verdict, reset) + " before";
        const std::string_view nodes = fieldOf(*verdict, "reporting_nodes");
        if (nodes == "0") {
            text += ", since its entry was gone";
        } else if (!nodes.empty()) {
            text += ", on " + std::string(fieldOf(*verdict, "stalled_flows")) + " stalled flows that " + std::string(nodes) + " nodes had reported";
        }
    }
    return text + (fieldOf(reset, "reason") == "idle" ? "; no request was in progress" : "; the request may have run");
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

Timeline eventsOfFlow(const Timeline &timeline, std::string_view id)
{
    std::set<std::string_view> targets;
    WallTime first = 0;
    WallTime last = 0;
    for (const TimelineEvent &it : timeline.events) {
        if (belongsToFlow(it, id)) {
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
        if (belongsToFlow(it, id) || (near && (ofTarget || ofNode))) {
            flow.events.push_back(it);
        }
    }
    return flow;
}

std::vector<std::string> flowSteps(const Timeline &flow)
{
    std::vector<std::string> steps;
    for (const TimelineEvent &it : flow.events) {
        const auto text = std::ranges::find(stepTexts, it.event, &StepText::event);
        if (text != stepTexts.end()) {
            steps.push_back(elapsedBetween(flow.events.front(), it) + " " + it.node + ": " + fillIn(text->text, it, flow));
        }
    }
    return steps;
}

std::string flowOutcome(const Timeline &flow)
{
    if (const TimelineEvent *reset = findEvent(flow, "flow_reset")) {
        return resetOutcome(flow, *reset);
    }
    if (const TimelineEvent *refused = findEvent(flow, "flow_refused")) {
        const std::string reason(fieldOf(*refused, "reason"));
        return "refused: " + (reason.empty() ? "no target of the service takes new flows" : reason) + "; the request hasn't run";
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
