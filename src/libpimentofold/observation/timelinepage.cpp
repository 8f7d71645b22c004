#include <pimentofold/timeline.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

#include <pimentofold/eventlog.h>

namespace pimentofold {

namespace {

constexpr int hlcCounterBits = 16;
constexpr int timeColumnWidth = 90;
constexpr int rowHeight = 16;
constexpr int gapHeight = 22;
constexpr int headerHeight = 110;
constexpr int labelWidth = 420; ///< space right of the last lane for its event labels
constexpr int maxLaneWidth = 150;
constexpr int minLaneWidth = 34;
constexpr int preferredWidth = 1400;
/// Maximum number of rows in one SVG element. Browsers redraw a whole element at a time, so large elements are slow.
constexpr std::size_t rowsPerSvg = 400;
/// Time without events from which on the page shows the gap as a row of its own.
constexpr WallTime minGapMs = 1000;

struct Layout {
    std::map<std::string, int> laneX; ///< horizontal centre of each lane in pixels, by process name
    int width = 0; ///< of the page in pixels
    WallTime start = 0; ///< wall time of the first event
};

WallTime wallTimeOf(const TimelineEvent &event)
{
    return event.hlc >> hlcCounterBits;
}

std::string secondsText(WallTime ms)
{
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%.3f", static_cast<double>(ms) / 1000.0);
    return {buf.data(), static_cast<std::size_t>(n)};
}

/// Escapes text for XML content and attributes. Control characters, which XML doesn't allow, are replaced by '?'.
std::string escape(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += static_cast<unsigned char>(c) < 0x20 && c != '\n' && c != '\t' ? '?' : c;
        }
    }
    return result;
}

/// @return an attribute as ` name="value"`
std::string attribute(const char *name, int value)
{
    return std::string(" ") + name + "=\"" + std::to_string(value) + "\"";
}

Layout computeLayout(const Timeline &timeline)
{
    Layout layout;
    const std::vector<std::string> names = processNames(timeline);
    const int lanes = std::max<int>(1, static_cast<int>(names.size()));
    const int laneWidth = std::clamp(preferredWidth / lanes, minLaneWidth, maxLaneWidth);
    int x = timeColumnWidth + laneWidth / 2;
    for (const std::string &it : names) {
        layout.laneX[it] = x;
        x += laneWidth;
    }
    layout.width = x + labelWidth;
    layout.start = timeline.events.empty() ? 0 : wallTimeOf(timeline.events.front());
    return layout;
}

std::string header(const Layout &layout)
{
    std::string text = "<div class=\"head\"><svg" + attribute("width", layout.width) + attribute("height", headerHeight) + ">\n";
    for (const auto &[name, x] : layout.laneX) {
        text += "<text transform=\"translate(" + std::to_string(x) + "," + std::to_string(headerHeight - 6) + ") rotate(-40)\">" + escape(name) + "</text>\n";
    }
    return text + "</svg></div>\n";
}

/// @return the hue for an event name in degrees, derived from a hash so that all pages use the same colour
int hueOf(const std::string &event)
{
    return static_cast<int>(static_cast<std::uint64_t>(idOf(event)) % 360);
}

std::string tooltip(const TimelineEvent &event)
{
    std::string text = event.node + " " + event.event + "\ntime=" + std::to_string(event.time) + "\nhlc=" + std::to_string(event.hlc);
    for (const auto &[key, value] : event.fields) {
        text.append("\n").append(key).append("=").append(value);
    }
    return escape(text);
}

std::string row(const Layout &layout, const TimelineEvent &event, int y)
{
    const int x = layout.laneX.at(event.node);
    std::string text =
        "<g><title>" + tooltip(event) + "</title><rect" + attribute("y", y) + attribute("width", layout.width) + attribute("height", rowHeight) + "/>";
    const int middle = y + rowHeight / 2;
    text += "<text class=\"t\"" + attribute("x", timeColumnWidth - 12) + attribute("y", middle + 4) + ">" + secondsText(wallTimeOf(event) - layout.start)
        + "</text>";
    text += "<circle" + attribute("cx", x) + attribute("cy", middle) + " r=\"5\" fill=\"hsl(" + std::to_string(hueOf(event.event)) + ",65%,45%)\"/>";
    return text + "<text" + attribute("x", x + 9) + attribute("y", middle + 4) + ">" + escape(event.event) + "</text></g>\n";
}

std::string gapRow(const Layout &layout, WallTime pause, int y)
{
    return "<text class=\"gap\"" + attribute("x", layout.width / 3) + attribute("y", y + gapHeight - 8) + ">" + secondsText(pause)
        + " s without events</text>\n";
}

std::string lanes(const Layout &layout, int height)
{
    std::string text;
    for (const auto &[name, x] : layout.laneX) {
        text += "<line" + attribute("x1", x) + attribute("x2", x) + attribute("y2", height) + "/>\n";
    }
    return text;
}

/// @return the rows [begin, end) as one SVG element
std::string block(const Timeline &timeline, const Layout &layout, std::size_t begin, std::size_t end)
{
    std::string rows;
    int y = 0;
    for (std::size_t i = begin; i < end; ++i) {
        const WallTime pause = i == 0 ? 0 : wallTimeOf(timeline.events[i]) - wallTimeOf(timeline.events[i - 1]);
        if (pause >= minGapMs) {
            rows += gapRow(layout, pause, y);
            y += gapHeight;
        }
        rows += row(layout, timeline.events[i], y);
        y += rowHeight;
    }
    return "<svg" + attribute("width", layout.width) + attribute("height", y) + ">\n" + lanes(layout, y) + rows + "</svg>\n";
}

constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Timeline</title>
<style>
body { margin: 0; font: 12px sans-serif; background: #fff; color: #222; }
p { margin: 8px 12px; }
svg { display: block; }
.head { position: sticky; top: 0; background: #fff; border-bottom: 1px solid #999; width: max-content; }
line { stroke: #ddd; }
rect { fill: transparent; }
g:hover rect { fill: #ff03; }
.t { text-anchor: end; fill: #777; }
.gap { fill: #a40; font-style: italic; }
</style>
</head>
<body>
)";

} // namespace

std::string timelineText(const Timeline &timeline)
{
    std::string text;
    const WallTime start = timeline.events.empty() ? 0 : wallTimeOf(timeline.events.front());
    for (const TimelineEvent &it : timeline.events) {
        std::string seconds = secondsText(wallTimeOf(it) - start);
        seconds.insert(0, seconds.size() < 10 ? 10 - seconds.size() : 0, ' ');
        text += seconds + " " + it.node + " " + it.event;
        for (const auto &[key, value] : it.fields) {
            appendPair(text, key, value);
        }
        text += "\n";
    }
    return text;
}

std::string timelinePage(const Timeline &timeline)
{
    const Layout layout = computeLayout(timeline);
    std::string page(pageHead);
    page += "<p>" + std::to_string(timeline.events.size()) + " events of " + std::to_string(layout.laneX.size()) + " processes, "
        + std::to_string(timeline.brokenLines) + " broken lines. Time in seconds since the first event, in causal order.</p>\n";
    page += header(layout);
    for (std::size_t i = 0; i < timeline.events.size(); i += rowsPerSvg) {
        page += block(timeline, layout, i, std::min(timeline.events.size(), i + rowsPerSvg));
    }
    return page + "</body>\n</html>\n";
}

} // namespace pimentofold
