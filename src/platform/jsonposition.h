#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/configcheck/configcheck.h>

/// JSON values with their positions in the text.
namespace pimentofold::platform {

/// Offsets at which the lines of a text start.
struct LineIndex {
    std::string_view text;
    std::vector<std::size_t> starts;
};

/// @param text must outlive the result, which refers to it
LineIndex indexLines(std::string_view text);

/// @param at must be a view into the text of @p lines
/// @param field path of the field at this position
/// @return line and column of the start of @p at
FieldLocation locate(const LineIndex &lines, std::string_view at, const std::string &field);

/// A value of a JSON text. Nested values are decoded only when they are asked for.
struct JsonValue {
    std::string_view text; ///< without surrounding white space
    std::string field; ///< path of the value
};

/// A member of a JSON object with its decoded name.
struct JsonField {
    std::string name;
    JsonValue value;
};

/// @return the members of an object in order, with the object's path in front of their names; nothing when it is no object
std::optional<std::vector<JsonField>> fieldsOf(const JsonValue &object);

/// @return the elements of an array in order; nothing when it is no array
std::optional<std::vector<JsonValue>> elementsOf(const JsonValue &array);

/// @return the value without white space, and numbers and strings in the form in which they are usually written
std::string normalised(const JsonValue &value);

/// Checks the syntax of a whole text, also the encoding of its strings and the size of its numbers.
/// @return the first error with its position; nothing when the text is valid
std::optional<ConfigFinding> findSyntaxError(const LineIndex &lines);

} // namespace pimentofold::platform
