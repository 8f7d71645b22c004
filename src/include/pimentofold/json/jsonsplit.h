#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splits the text of a JSON object or array into its direct members without decoding them. A JSON parser rejects a whole text
/// if one string in it can't be decoded; after the split the members can be parsed one by one.
namespace pimentofold {

/// A member of a JSON object.
struct JsonMember {
    std::string_view key; ///< including its quotes, not decoded
    std::string_view value; ///< text of the value, without surrounding white space; may be invalid JSON
};

/// @param begin position of a string's opening quote
/// @return position after the closing quote; npos when there is none
std::size_t endOfString(std::string_view text, std::size_t begin);

/// @param text JSON text of one object; the result refers to its characters
/// @return the members in order; nothing when @p text isn't one object with balanced brackets and quotes, or has more than 10,000 members
std::optional<std::vector<JsonMember>> splitObject(std::string_view text);

/// @param text JSON text of one array; the result refers to its characters
/// @return the elements in order; nothing when @p text isn't one array with balanced brackets and quotes
std::optional<std::vector<std::string_view>> splitArray(std::string_view text);

/// @param key name without quotes or escapes
/// @return text of the last member with this key, as JSON parsers do; nothing when there is none
std::optional<std::string_view> findMember(const std::vector<JsonMember> &members, std::string_view key);

} // namespace pimentofold
