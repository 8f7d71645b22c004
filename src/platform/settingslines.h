#pragma once

#include <string>

#include <pimentofold/edgesettings.h>

/// The settings file that the platform writes for each process: lines of the form a.b=value.
namespace pimentofold::platform {

/// Environment variable that holds the path of the file.
constexpr const char *settingsPathVariable = "PIMENTOFOLD_CONFIG";
/// Path when the variable is not set.
constexpr const char *defaultSettingsPath = "/etc/pimentofold/local.conf";

/// @param text the whole file; unknown fields are ignored
/// @param file name for error messages
/// @throws SettingsError when a field that is needed is missing or has a wrong value
EdgeSettings parseSettingsLines(const std::string &text, const std::string &file);

} // namespace pimentofold::platform
