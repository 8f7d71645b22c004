#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/edgeconfig.h>

/// Decoding of the configuration's routes while the response that contains them still arrives. A configuration of some hundred
/// kilobytes takes a good part of a second on the link of a small instance, and callers wait for a node that restarts.
namespace pimentofold::platform {

/// An object or array that is still open at the current position.
struct JsonLevel {
    bool isArray = false;
    std::string key; ///< object: the last key read, not decoded
};

/// Position in the body of a response to the list request for the configuration.
struct ConfigStream {
    std::size_t position = 0; ///< in the body, of the first character that hasn't been read
    std::size_t routeBegin = 0; ///< in the body, of the current element of `routes`
    std::vector<JsonLevel> levels; ///< from the outermost to the innermost one
    bool expectsKey = false; ///< the next string is a key
};

/// Decodes the routes that have arrived completely since the last call.
/// @param stream updated; a new one for each response
/// @param body the response's body so far; each call gets the same text with more characters at its end
/// @return the routes in the order of the configuration, without unreadable ones; they are a part of the configuration, and the
///         complete response replaces them
std::vector<EdgeRoute> decodeArrivedRoutes(ConfigStream &stream, std::string_view body);

} // namespace pimentofold::platform
