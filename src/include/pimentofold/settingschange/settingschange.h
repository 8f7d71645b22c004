#pragma once

#include <optional>
#include <string>

#include <pimentofold/edgesettings.h>

/// Decides whether changed settings can be applied while an edge node runs. A change is applied as a whole or not at all.
namespace pimentofold {

/// Why changed settings are not applied.
struct RefusedSettings {
    std::string field; ///< name of the field in the platform's settings file; empty when the file can't be read
    std::string value; ///< the new value; empty when it is unknown
    std::string reason;
};

/// @param current settings in force
/// @param changed settings of the same process, as read again
/// @return the first field that needs a new process to change; nothing when all changes can be applied
std::optional<RefusedSettings> findRefusedChange(const EdgeSettings &current, const EdgeSettings &changed);

} // namespace pimentofold
