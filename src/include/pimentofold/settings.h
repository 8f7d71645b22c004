#pragma once

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

/// Reading and validation of settings in JSON with comments.
///
/// A parse function opens a SettingsObject, reads each field with one of the take functions and ends with
/// finishSettings(), which rejects fields that weren't read, such as misspelt ones:
///
///     SettingsObject top = parseSettings(text, "agent.json");
///     settings.node = takeString(top, "node");
///     settings.port = takeInteger(top, "port", 1, 65535);
///     finishSettings(top);
namespace pimentofold {

/// Exit status of a program whose settings or command line are invalid.
constexpr int exitBadSettings = 2;

/// An invalid setting; what() names the file, the field and what was expected there.
struct SettingsError : std::runtime_error {
    SettingsError(const std::string &file, const std::string &field, const std::string &expected);

    std::string file;
    std::string field; ///< path of the field, for example "services[1].port"
    std::string expected;
};

/// A JSON object whose fields are read one by one by the take functions.
struct SettingsObject {
    std::string file;
    std::string path; ///< path of this object within the file, empty for the top-level object
    nlohmann::json value;
    std::set<std::string> taken; ///< names of the fields read so far
};

/// Parses settings.
/// @param text JSON object, in which // and /* */ comments are allowed
/// @param file file name for error messages
/// @throws SettingsError when @p text isn't a JSON object
SettingsObject parseSettings(const std::string &text, const std::string &file);

/// Reads and parses a settings file.
/// @throws SettingsError when the file can't be read or doesn't contain a JSON object
SettingsObject readSettings(const std::string &file);

/// @return whether the field is present; doesn't mark the field as read
bool hasField(const SettingsObject &object, const std::string &field);

/// Reads a string.
/// @throws SettingsError when the field is missing, empty or not a string
std::string takeString(SettingsObject &object, const std::string &field);
/// @overload
/// @return the value of the field, or @p fallback when the field is missing
/// @throws SettingsError when the field is present, but empty or not a string
std::string takeString(SettingsObject &object, const std::string &field, const std::string &fallback);

/// Reads an integer.
/// @throws SettingsError when the field is missing, not an integer or outside [min, max]
std::int64_t takeInteger(SettingsObject &object, const std::string &field, std::int64_t min, std::int64_t max);
/// @overload
/// @return the value of the field, or @p fallback when the field is missing
/// @throws SettingsError when the field is present, but not an integer or outside [min, max]
std::int64_t takeInteger(SettingsObject &object, const std::string &field, std::int64_t min, std::int64_t max, std::int64_t fallback);

/// Reads a number.
/// @return the value of the field, or @p fallback when the field is missing
/// @throws SettingsError when the field is present, but not a number or outside [min, max]
double takeNumber(SettingsObject &object, const std::string &field, double min, double max, double fallback);

/// Reads a boolean.
/// @return the value of the field, or @p fallback when the field is missing
/// @throws SettingsError when the field is present, but not true or false
bool takeBoolean(SettingsObject &object, const std::string &field, bool fallback);

/// Reads an IPv4 address and port of the form "127.0.0.1:4000".
/// @throws SettingsError when the field is missing or doesn't have this form
std::string takeAddress(SettingsObject &object, const std::string &field);

/// Reads an array of strings.
/// @return the strings; empty when the field is missing
/// @throws SettingsError when the field is present, but not an array of strings
std::vector<std::string> takeStrings(SettingsObject &object, const std::string &field);

/// Reads an array of objects.
/// @return the objects, each of which needs a finishSettings() call of its own; empty when the field is missing
/// @throws SettingsError when the field is present, but not an array of objects
std::vector<SettingsObject> takeObjects(SettingsObject &object, const std::string &field);

/// Ends the reading of an object by checking that every field of the object has been read.
/// @throws SettingsError when the object has a field that no take function read
void finishSettings(const SettingsObject &object);

/// @return whether @p text is an IPv4 address and a port of the form "127.0.0.1:80"
bool isAddress(const std::string &text);

} // namespace pimentofold
