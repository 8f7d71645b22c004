#pragma once

#include <string>

#include <pimentofold/edgesettings.h>

/// Parser of the settings file that the platform writes for each process. Each line has the form a.b=value.
namespace pimentofold::platform {

/// Environment variable with the path of the settings file.
constexpr const char *settingsPathVariable = "PIMENTOFOLD_CONFIG";
/// Path of the settings file when the variable is not set.
constexpr const char *defaultSettingsPath = "/etc/pimentofold/local.conf";

/// @param text content of the file; unknown fields and lines without '=' are ignored
/// @param file name of the file for error messages
/// @throws SettingsError when a required field is missing or empty, or when a field has an invalid value
EdgeSettings parseSettingsLines(const std::string &text, const std::string &file);

} // namespace pimentofold::platform
