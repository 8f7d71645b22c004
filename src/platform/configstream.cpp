#include <platform/configstream.h>

#include <optional>

#include <pimentofold/json/jsonsplit.h>
#include <platform/storecalls.h>

namespace pimentofold::platform {

namespace {

// Deeper than any part of a response; a text that is nested deeper isn't read any further.
constexpr std::size_t maxLevels = 32;

/// @return whether the innermost level is the array items[].spec.routes
bool isRoutes(const std::vector<JsonLevel> &levels)
{
    return levels.size() == 5 && levels[0].key == "items" && levels[1].isArray && levels[2].key == "spec" && levels[3].key == "routes" && levels[4].isArray;
}

/// Reads a string if it has arrived completely.
/// @return false when its end is missing
bool readString(ConfigStream &stream, std::string_view body)
{
    const std::size_t end = endOfString(body, stream.position);
    if (end == std::string_view::npos) {
        return false;
    }
    if (stream.expectsKey) {
        stream.levels.back().key = body.substr(stream.position + 1, end - stream.position - 2);
        stream.expectsKey = false;
    }
    stream.position = end;
    return true;
}

void openLevel(ConfigStream &stream, bool isArray)
{
    if (isRoutes(stream.levels)) {
        stream.routeBegin = stream.position;
    }
    stream.levels.push_back({isArray, ""});
    stream.expectsKey = !isArray;
}

/// @return whether an element of `routes` ends here
bool closeLevel(ConfigStream &stream)
{
    stream.levels.pop_back();
    stream.expectsKey = false;
    return isRoutes(stream.levels);
}

} // namespace

std::vector<EdgeRoute> decodeArrivedRoutes(ConfigStream &stream, std::string_view body)
{
    std::vector<EdgeRoute> routes;
    while (stream.position < body.size()) {
        const char c = body[stream.position];
        if (c == '"') {
            if (!readString(stream, body)) {
                return routes;
            }
            continue;
        }
        const bool closes = c == '}' || c == ']';
        if ((closes && stream.levels.empty()) || stream.levels.size() > maxLevels) {
            return routes;
        }
        if (c == '{' || c == '[') {
            openLevel(stream, c == '[');
        } else if (closes && closeLevel(stream)) {
            const std::string_view text = body.substr(stream.routeBegin, stream.position + 1 - stream.routeBegin);
            if (std::optional<EdgeRoute> route = decodeRoute(text)) {
                routes.push_back(std::move(*route));
            }
        } else if (c == ',') {
            stream.expectsKey = !stream.levels.empty() && !stream.levels.back().isArray;
        }
        ++stream.position;
    }
    return routes;
}

} // namespace pimentofold::platform
