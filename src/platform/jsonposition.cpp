#include <platform/jsonposition.h>

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include <pimentofold/json/jsonsplit.h>

namespace pimentofold::platform {

namespace {

using nlohmann::json;

/// Keeps the first error of a parse, and no values.
class SyntaxErrorHandler : public nlohmann::json_sax<json>
{
public:
    std::size_t offset = 0; ///< of the last character that was read
    std::string token; ///< that was read last
    std::string error;

    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return true;
    }
    bool string(string_t &) override
    {
        return true;
    }
    bool binary(binary_t &) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return true;
    }
    bool key(string_t &) override
    {
        return true;
    }
    bool end_object() override
    {
        return true;
    }
    bool start_array(std::size_t) override
    {
        return true;
    }
    bool end_array() override
    {
        return true;
    }
    bool parse_error(std::size_t position, const std::string &lastToken, const json::exception &ex) override
    {
        offset = position == 0 ? 0 : position - 1;
        token = lastToken;
        error = ex.what();
        return false;
    }
};

/// @return offset of the string or number that is in error; for other errors offset of the last character that was read
std::size_t offsetOfError(std::string_view text, const SyntaxErrorHandler &handler)
{
    constexpr const char *tokenErrors[] = {"invalid string", "invalid number", "number overflow", "unexpected string literal", "unexpected number literal"};
    const bool hasToken = std::ranges::any_of(tokenErrors, [&](const char *it) { return handler.error.find(it) != std::string::npos; });
    const std::size_t n = handler.token.size();
    // The parser counts the character after a number as read in some cases.
    for (const std::size_t end : {handler.offset + 1, handler.offset}) {
        if (hasToken && n <= end && end <= text.size() && text.substr(end - n, n) == handler.token) {
            return end - n;
        }
    }
    return std::min(handler.offset, text.size());
}

/// @return the library's message without its number and position, truncated, since it quotes the last token
std::string shortened(const std::string &message)
{
    constexpr std::size_t maxBytes = 200;
    for (const char *it : {"syntax error ", "number overflow"}) {
        const auto begin = message.find(it);
        if (begin != std::string::npos) {
            return message.size() - begin <= maxBytes ? message.substr(begin) : message.substr(begin, maxBytes) + "...";
        }
    }
    return message;
}

/// @return the text outside of strings without white space
std::string withoutSpace(std::string_view text)
{
    std::string result;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString && c == '\\' && i + 1 < text.size()) {
            result += c;
            result += text[++i];
            continue;
        }
        inString = inString != (c == '"');
        if (inString || (c != ' ' && c != '\t' && c != '\n' && c != '\r')) {
            result += c;
        }
    }
    return result;
}

std::string decodeKey(std::string_view key)
{
    if (key.find('\\') == std::string_view::npos) {
        return std::string(key.substr(1, key.size() - 2));
    }
    const json value = json::parse(key, nullptr, false);
    return value.is_string() ? value.get<std::string>() : std::string(key);
}

} // namespace

LineIndex indexLines(std::string_view text)
{
    LineIndex lines{text, {0}};
    for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', end + 1)) {
        lines.starts.push_back(end + 1);
    }
    return lines;
}

FieldLocation locate(const LineIndex &lines, std::string_view at, const std::string &field)
{
    const auto offset = static_cast<std::size_t>(at.data() - lines.text.data());
    const auto next = std::ranges::upper_bound(lines.starts, offset);
    return {static_cast<std::size_t>(next - lines.starts.begin()), offset - *(next - 1) + 1, field};
}

std::optional<std::vector<JsonField>> fieldsOf(const JsonValue &object)
{
    const std::optional<std::vector<JsonMember>> members = splitObject(object.text);
    if (!members) {
        return std::nullopt;
    }
    std::vector<JsonField> fields;
    for (const JsonMember &it : *members) {
        std::string key = decodeKey(it.key);
        std::string path = object.field.empty() ? key : object.field + "." + key;
        fields.push_back({std::move(key), {it.value, std::move(path)}});
    }
    return fields;
}

std::optional<std::vector<JsonValue>> elementsOf(const JsonValue &array)
{
    const std::optional<std::vector<std::string_view>> parts = splitArray(array.text);
    if (!parts) {
        return std::nullopt;
    }
    std::vector<JsonValue> elements;
    for (const std::string_view it : *parts) {
        elements.push_back({it, array.field + "[" + std::to_string(elements.size()) + "]"});
    }
    return elements;
}

std::string normalised(const JsonValue &value)
{
    if (value.text.starts_with('{') || value.text.starts_with('[')) {
        return withoutSpace(value.text);
    }
    const json scalar = json::parse(value.text, nullptr, false);
    constexpr double exactIntegers = 9'007'199'254'740'992; // 2^53: doubles up to here represent each integer
    if (scalar.is_number_float()) {
        const auto number = scalar.get<double>();
        if (std::abs(number) <= exactIntegers && number == std::floor(number)) {
            return std::to_string(static_cast<std::int64_t>(number));
        }
    }
    return scalar.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ConfigFinding> findSyntaxError(const LineIndex &lines)
{
    SyntaxErrorHandler handler;
    if (json::sax_parse(lines.text, &handler)) {
        return std::nullopt;
    }
    const std::string_view rest = lines.text.substr(offsetOfError(lines.text, handler));
    return ConfigFinding{FindingCode::NotJson, locate(lines, rest, ""), shortened(handler.error), "", ""};
}

} // namespace pimentofold::platform
