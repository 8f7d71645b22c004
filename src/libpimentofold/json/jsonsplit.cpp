#include <pimentofold/json/jsonsplit.h>

#include <algorithm>

namespace pimentofold {

namespace {

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Finds the end of a value: the next comma or closing bracket outside of strings and nested brackets.
/// @param begin position at which the value starts
/// @return position of that character; npos when brackets or quotes are not balanced
std::size_t endOfValue(std::string_view text, std::size_t begin)
{
    std::string open; // closing brackets that are still expected
    for (std::size_t i = begin; i < text.size();) {
        const char c = text[i];
        if (c == '"') {
            i = endOfString(text, i);
            continue;
        }
        const bool closes = c == '}' || c == ']';
        if (open.empty() && (closes || c == ',')) {
            return i;
        }
        if (c == '{' || c == '[') {
            open += c == '{' ? '}' : ']';
        } else if (closes && open.back() != c) {
            return std::string_view::npos;
        } else if (closes) {
            open.pop_back();
        }
        ++i;
    }
    return std::string_view::npos;
}

// More than any object has that is split. It bounds the memory that the members of an odd object take.
constexpr std::size_t maxMembers = 10'000;

/// Splits the text between a pair of brackets at its commas.
/// @param maxParts a text with more parts isn't split
std::optional<std::vector<std::string_view>> splitBetween(std::string_view text, char open, char close, std::size_t maxParts)
{
    text = trim(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    std::vector<std::string_view> parts;
    if (trim(text.substr(1, text.size() - 2)).empty()) {
        return parts;
    }
    std::size_t begin = 1;
    while (true) {
        const std::size_t end = endOfValue(text, begin);
        if (end == std::string_view::npos || parts.size() == maxParts) {
            return std::nullopt;
        }
        parts.push_back(trim(text.substr(begin, end - begin)));
        if (text[end] != ',') {
            return end + 1 == text.size() ? std::optional(std::move(parts)) : std::nullopt;
        }
        begin = end + 1;
    }
}

} // namespace

std::size_t endOfString(std::string_view text, std::size_t begin)
{
    for (std::size_t i = begin + 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i + 1;
        }
    }
    return std::string_view::npos;
}

std::optional<std::vector<std::string_view>> splitArray(std::string_view text)
{
    return splitBetween(text, '[', ']', text.size());
}

std::optional<std::vector<JsonMember>> splitObject(std::string_view text)
{
    const std::optional<std::vector<std::string_view>> parts = splitBetween(text, '{', '}', maxMembers);
    if (!parts) {
        return std::nullopt;
    }
    std::vector<JsonMember> members;
    for (const std::string_view part : *parts) {
        const std::size_t keyEnd = part.empty() || part.front() != '"' ? std::string_view::npos : endOfString(part, 0);
        if (keyEnd == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view rest = trim(part.substr(keyEnd));
        if (rest.empty() || rest.front() != ':') {
            return std::nullopt;
        }
        members.push_back({part.substr(0, keyEnd), trim(rest.substr(1))});
    }
    return members;
}

std::optional<std::string_view> findMember(const std::vector<JsonMember> &members, std::string_view key)
{
    const auto hasKey = [&](const JsonMember &it) { return it.key.substr(1, it.key.size() - 2) == key; };
    const auto found = std::find_if(members.rbegin(), members.rend(), hasKey);
    return found == members.rend() ? std::nullopt : std::optional(found->value);
}

} // namespace pimentofold
