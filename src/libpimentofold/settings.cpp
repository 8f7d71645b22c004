#include <pimentofold/settings.h>

#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>

#include <arpa/inet.h>

namespace pimentofold {

using nlohmann::json;

namespace {

std::string fieldPathOf(const SettingsObject &object, const std::string &field)
{
    return object.path.empty() ? field : object.path + "." + field;
}

[[noreturn]] void fail(const SettingsObject &object, const std::string &field, const std::string &expected)
{
    throw SettingsError(object.file, fieldPathOf(object, field), expected);
}

const json &takeRequired(SettingsObject &object, const std::string &field, const std::string &expected)
{
    object.taken.insert(field);
    const auto it = object.value.find(field);
    if (it == object.value.end()) {
        fail(object, field, expected + ", but the field is missing");
    }
    return *it;
}

std::string numberText(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

template<typename T>
std::string rangeText(const std::string &what, T min, T max)
{
    return what + " from " + numberText(static_cast<double>(min)) + " to " + numberText(static_cast<double>(max));
}

} // namespace

SettingsError::SettingsError(const std::string &fileName, const std::string &fieldPath, const std::string &expectedText)
    : std::runtime_error(fileName + ": " + (fieldPath.empty() ? std::string() : "field '" + fieldPath + "': ") + "expected " + expectedText)
    , file(fileName)
    , field(fieldPath)
    , expected(expectedText)
{
}

SettingsObject parseSettings(const std::string &text, const std::string &file)
{
    SettingsObject object{file, "", {}, {}};
    try {
        object.value = json::parse(text, nullptr, true, true);
    } catch (const json::parse_error &error) {
        throw SettingsError(file, "", std::string("JSON with comments; ") + error.what());
    }
    if (!object.value.is_object()) {
        throw SettingsError(file, "", "a JSON object");
    }
    return object;
}

SettingsObject readSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        throw SettingsError(file, "", "a readable file");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

bool hasField(const SettingsObject &object, const std::string &field)
{
    return object.value.contains(field);
}

std::string takeString(SettingsObject &object, const std::string &field)
{
    const std::string expected = "a string that isn't empty";
    const json &value = takeRequired(object, field, expected);
    if (!value.is_string() || value.get_ref<const std::string &>().empty()) {
        fail(object, field, expected);
    }
    return value.get<std::string>();
}

std::string takeString(SettingsObject &object, const std::string &field, const std::string &fallback)
{
    return hasField(object, field) ? takeString(object, field) : fallback;
}

std::int64_t takeInteger(SettingsObject &object, const std::string &field, std::int64_t min, std::int64_t max)
{
    const std::string expected = rangeText("an integer", min, max);
    const json &value = takeRequired(object, field, expected);
    if (!value.is_number_integer()) {
        fail(object, field, expected);
    }
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        fail(object, field, expected);
    }
    const auto n = value.get<std::int64_t>();
    if (n < min || n > max) {
        fail(object, field, expected);
    }
    return n;
}

std::int64_t takeInteger(SettingsObject &object, const std::string &field, std::int64_t min, std::int64_t max, std::int64_t fallback)
{
    return hasField(object, field) ? takeInteger(object, field, min, max) : fallback;
}

double takeNumber(SettingsObject &object, const std::string &field, double min, double max, double fallback)
{
    if (!hasField(object, field)) {
        return fallback;
    }
    const std::string expected = rangeText("a number", min, max);
    const json &value = takeRequired(object, field, expected);
    if (!value.is_number() || value.get<double>() < min || value.get<double>() > max) {
        fail(object, field, expected);
    }
    return value.get<double>();
}

bool takeBoolean(SettingsObject &object, const std::string &field, bool fallback)
{
    if (!hasField(object, field)) {
        return fallback;
    }
    const json &value = takeRequired(object, field, "true or false");
    if (!value.is_boolean()) {
        fail(object, field, "true or false");
    }
    return value.get<bool>();
}

std::string takeAddress(SettingsObject &object, const std::string &field)
{
    std::string address = takeString(object, field);
    if (!isAddress(address)) {
        fail(object, field, "an IPv4 address and a port as \"127.0.0.1:4000\"");
    }
    return address;
}

std::vector<std::string> takeStrings(SettingsObject &object, const std::string &field)
{
    if (!hasField(object, field)) {
        return {};
    }
    const json &value = takeRequired(object, field, "an array of strings");
    if (!value.is_array()) {
        fail(object, field, "an array of strings");
    }
    std::vector<std::string> strings;
    for (const json &it : value) {
        if (!it.is_string()) {
            fail(object, field + "[" + std::to_string(strings.size()) + "]", "a string");
        }
        strings.push_back(it.get<std::string>());
    }
    return strings;
}

std::vector<SettingsObject> takeObjects(SettingsObject &object, const std::string &field)
{
    if (!hasField(object, field)) {
        return {};
    }
    const json &value = takeRequired(object, field, "an array of objects");
    if (!value.is_array()) {
        fail(object, field, "an array of objects");
    }
    std::vector<SettingsObject> objects;
    for (const json &it : value) {
        const std::string element = field + "[" + std::to_string(objects.size()) + "]";
        if (!it.is_object()) {
            fail(object, element, "an object");
        }
        objects.push_back({object.file, fieldPathOf(object, element), it, {}});
    }
    return objects;
}

void finishSettings(const SettingsObject &object)
{
    for (const auto &it : object.value.items()) {
        if (!object.taken.contains(it.key())) {
            fail(object, it.key(), "no such field (unknown field)");
        }
    }
}

bool isAddress(const std::string &text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr number{};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &number) != 1) {
        return false;
    }
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, port);
    return result.ec == std::errc() && result.ptr == end && port >= 1 && port <= 65535;
}

} // namespace pimentofold
