#pragma once

#include <string_view>
#include <vector>

#include <pimentofold/configcheck/configcheck.h>

/// Decodes the text of the object `config/main` for a check. Unlike decodeStoreResponse(), which uses what is valid, it reports
/// each field that is missing or invalid, with its position.
namespace pimentofold::platform {

/// A decoded configuration, and what is wrong with its fields.
struct ConfigText {
    ConfigDescription config; ///< without the parts that can't be decoded
    std::vector<ConfigFinding> findings; ///< errors and warnings
};

/// @param text the object as the store returns it, with `meta` and `spec`, or only its `spec`. Paths of fields start within `spec`.
ConfigText describeConfig(std::string_view text);

} // namespace pimentofold::platform
