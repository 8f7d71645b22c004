#pragma once

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

/// Checked settings in JSON with comments.
///
/// A program's parse function opens a SettingsObject, takes each field from it and ends with
/// finishSettings(), which refuses fields that nobody asked for:
///
///     SettingsObject top = parseSettings(text, "agent.json");
///     settings.node = takeString(top, "node");
///     settings.port = takeInteger(top, "port", 1, 65535);
///     finishSettings(top);
namespace pimentofold {

/// Exit status of a program whose settings or command line are wrong.
constexpr int exitBadSettings = 2;

/// A settings error; what() names file, field and what was expected.
struct SettingsError : std::runtime_error {
    SettingsError(const std::string &file, const std::string &field, const std::string &expected);

    std::string file;
    std::string field; ///< path of the field, for example "services[1].port"
    std::string expected;
};

/// An object of the settings whose fields are taken one by one.
struct SettingsObject {
    std::string file;
    std::string path; ///< path of this object, empty for the whole file
    nlohmann::json value;
    std::set<std::string> taken;
};

/// @param text JSON, in which // and /* */ comments are allowed
/// @param file name for error messages
/// @throws SettingsError when the text isn't a JSON object
SettingsObject parseSettings(const std::string &text, const std::string &file);

/// Reads and parses a settings file.
/// @throws SettingsError also when the file can't be read
SettingsObject readSettings(const std::string &file);

/// @return whether the field is present; doesn't count as taking it
bool hasField(const SettingsObject &object, const std::string &field);

/// @throws SettingsError when the field is missing, empty or not a string
std::string takeString(SettingsObject &object, const std::string &field);
/// @return the field, or @p fallback when it is missing
std::string takeString(SettingsObject &object, const std::string &field, const std::string &fallback);

/// @throws SettingsError when the field is missing, not an integer or outside [least, most]
std::int64_t takeInteger(SettingsObject &object, const std::string &field, std::int64_t least, std::int64_t most);
/// @return the field, or @p fallback when it is missing
std::int64_t takeInteger(SettingsObject &object, const std::string &field, std::int64_t least, std::int64_t most, std::int64_t fallback);

/// @throws SettingsError when the field isn't a number or outside [least, most]
double takeNumber(SettingsObject &object, const std::string &field, double least, double most, double fallback);

/// @throws SettingsError when the field isn't a boolean
bool takeBoolean(SettingsObject &object, const std::string &field, bool fallback);

/// Takes an address "ip:port" with an IPv4 number.
/// @throws SettingsError when the field is missing or isn't such an address
std::string takeAddress(SettingsObject &object, const std::string &field);

/// @return the strings of an array, empty when the field is missing
/// @throws SettingsError when the field isn't an array of strings
std::vector<std::string> takeStrings(SettingsObject &object, const std::string &field);

/// @return the objects of an array, empty when the field is missing; each one needs its own finishSettings()
/// @throws SettingsError when the field isn't an array of objects
std::vector<SettingsObject> takeObjects(SettingsObject &object, const std::string &field);

/// Ends the reading of an object.
/// @throws SettingsError when it has a field that wasn't taken
void finishSettings(const SettingsObject &object);

/// @return whether @p text is an IPv4 number and a port, "127.0.0.1:80"
bool isAddress(const std::string &text);

} // namespace pimentofold
