#include <pimentofold/timeline.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <tuple>

namespace pimentofold {

namespace {

using Pair = std::pair<std::string, std::string>;

char unescape(char c)
{
    if (c == 'n') {
        return '\n';
    }
    return c == 'r' ? '\r' : c;
}

/// Parses a quoted value at the front of @p rest and removes it from there.
/// @param value the unescaped text is appended here
/// @return false when the closing quote is missing or isn't followed by a space or the end of the line
bool parseQuoted(std::string_view &rest, std::string &value)
{
    rest.remove_prefix(1);
    while (!rest.empty()) {
        char c = rest.front();
        rest.remove_prefix(1);
        if (c == '"') {
            return rest.empty() || rest.front() == ' ';
        }
        if (c == '\\') {
            if (rest.empty()) {
                return false;
            }
            c = unescape(rest.front());
            rest.remove_prefix(1);
        }
        value += c;
    }
    return false;
}

/// Parses one key=value pair at the front of @p rest and removes it from there.
/// @return false when there is no complete pair
bool parsePair(std::string_view &rest, Pair &pair)
{
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos || equals == 0 || rest.substr(0, equals).find_first_of(" \"") != std::string_view::npos) {
        return false;
    }
    pair = {std::string(rest.substr(0, equals)), ""};
    rest.remove_prefix(equals + 1);
    if (!rest.empty() && rest.front() == '"') {
        return parseQuoted(rest, pair.second);
    }
    const auto end = std::min(rest.find(' '), rest.size());
    pair.second = rest.substr(0, end);
    rest.remove_prefix(end);
    // The writer quotes empty values and values with quotes, so an unquoted one means a truncated line or two interleaved lines.
    return !pair.second.empty() && pair.second.find('"') == std::string::npos;
}

bool parseNumber(const std::string &text, std::int64_t &value)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && value >= 0;
}

bool parsePairs(std::string_view rest, std::vector<Pair> &pairs)
{
    while (!rest.empty()) {
        Pair pair;
        if (!parsePair(rest, pair)) {
            return false;
        }
        pairs.push_back(std::move(pair));
        if (!rest.empty()) {
            rest.remove_prefix(1);
        }
    }
    return true;
}

/// Removes the prefix that log collectors put before a line, such as their own timestamp and the node name.
/// @return the event line, or @p line itself when it has no such prefix
std::string_view withoutCollectorPrefix(std::string_view line)
{
    constexpr std::string_view start = "time=";
    constexpr std::size_t maxPrefixLength = 100;
    const std::size_t at = line.find(start);
    const bool isPrefix =
        at != std::string_view::npos && at > 0 && at <= maxPrefixLength && line[at - 1] == ' ' && line.substr(0, at).find('=') == std::string_view::npos;
    return isPrefix ? line.substr(at) : line;
}

} // namespace

std::optional<TimelineEvent> parseEventLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    std::vector<Pair> pairs;
    constexpr std::size_t headPairs = 4;
    if (!parsePairs(line, pairs) || pairs.size() < headPairs) {
        return {};
    }
    TimelineEvent event;
    const bool hasHeadKeys = pairs[0].first == "time" && pairs[1].first == "hlc" && pairs[2].first == "node" && pairs[3].first == "event";
    if (!hasHeadKeys || !parseNumber(pairs[0].second, event.time) || !parseNumber(pairs[1].second, event.hlc)) {
        return {};
    }
    event.node = pairs[2].second;
    event.event = pairs[3].second;
    event.fields.assign(std::make_move_iterator(pairs.begin() + headPairs), std::make_move_iterator(pairs.end()));
    return event;
}

void addLine(Timeline &timeline, std::string_view line)
{
    if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
        return;
    }
    auto event = parseEventLine(withoutCollectorPrefix(line));
    if (event) {
        timeline.events.push_back(std::move(*event));
    } else {
        ++timeline.brokenLines;
    }
}

void sortEvents(Timeline &timeline)
{
    std::stable_sort(timeline.events.begin(), timeline.events.end(), [](const TimelineEvent &a, const TimelineEvent &b) {
        return std::tie(a.hlc, a.node) < std::tie(b.hlc, b.node);
    });
}

std::vector<std::string> processNames(const Timeline &timeline)
{
    std::set<std::string> names;
    for (const TimelineEvent &it : timeline.events) {
        names.insert(it.node);
    }
    return {names.begin(), names.end()};
}

} // namespace pimentofold
