#include <platform/configtext.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include <nlohmann/json.hpp>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/settings.h>
#include <platform/configlimits.h>
#include <platform/jsonposition.h>

namespace pimentofold::platform {

namespace {

using nlohmann::json;

// Nodes don't use these counts, and take any weight. The limits only reject values that are evidently mistakes.
constexpr double maxCount = std::numeric_limits<std::int32_t>::max();
constexpr double maxWeight = 1e9;

/// Allowed values of a numeric field; the least is 0.
struct NumberRule {
    std::string_view name;
    double max = 0;
    bool integer = true;
};

constexpr NumberRule versionRule{"version", static_cast<double>(INT64_MAX)};
constexpr NumberRule idleTimeoutRule{"idle_timeout_ms", maxMilliseconds};
constexpr NumberRule weightRule{"weight", maxWeight, false};
constexpr NumberRule goalRule{"aim_ms", maxMilliseconds};
constexpr NumberRule timeoutRule{"timeout_ms", maxMilliseconds};
constexpr NumberRule priorityRule{"priority", maxUrgency};
constexpr NumberRule attemptsRule{"max_attempts", maxCount};
constexpr NumberRule connectionsRule{"max_conns", maxCount};
constexpr NumberRule coldTimeRule{"cold_start_s", maxColdSeconds, false};
constexpr NumberRule coldRateRule{"cold_per_s", maxColdRate, false};

/// 2^53: doubles up to here represent each integer.
constexpr double maxExactInteger = 9'007'199'254'740'992;

constexpr std::size_t maxShownDigits = 40;

/// State of the decoding of one configuration.
struct Reader {
    LineIndex lines;
    std::vector<ConfigFinding> findings;
};

/// An object whose members are read by name.
struct ObjectReader {
    JsonValue self;
    std::vector<JsonField> fields; ///< in order, without the earlier ones of equal name
};

FieldLocation locationOf(const Reader &reader, const JsonValue &value)
{
    return locate(reader.lines, value.text, value.field);
}

void report(Reader &reader, FindingCode code, const JsonValue &value, std::string message)
{
    reader.findings.push_back({code, locationOf(reader, value), std::move(message), "", ""});
}

bool isNested(const JsonValue &value)
{
    return value.text.starts_with('{') || value.text.starts_with('[');
}

/// Reports a wrong type, unless the value is of the wanted one.
bool expectType(Reader &reader, const JsonValue &value, bool matches, const std::string &type)
{
    if (!matches) {
        report(reader, FindingCode::WrongType, value, "is not " + type);
    }
    return matches;
}

/// Removes the earlier ones of members with the same name, as JSON parsers do.
void removeDuplicates(Reader &reader, std::vector<JsonField> &fields)
{
    std::map<std::string, std::size_t> last;
    for (std::size_t n = 0; n < fields.size(); ++n) {
        const auto [it, added] = last.try_emplace(fields[n].name, n);
        if (!added) {
            report(reader, FindingCode::DuplicateField, fields[n].value, "is given more than once; the last one counts");
            it->second = n;
        }
    }
    if (last.size() < fields.size()) {
        std::vector<JsonField> kept;
        for (std::size_t n = 0; n < fields.size(); ++n) {
            if (last.at(fields[n].name) == n) {
                kept.push_back(std::move(fields[n]));
            }
        }
        fields = std::move(kept);
    }
}

std::optional<ObjectReader> openObject(Reader &reader, const JsonValue &value)
{
    std::optional<std::vector<JsonField>> fields = fieldsOf(value);
    if (!expectType(reader, value, fields.has_value(), "an object")) {
        return std::nullopt;
    }
    removeDuplicates(reader, *fields);
    return ObjectReader{value, std::move(*fields)};
}

const JsonValue *find(const ObjectReader &object, std::string_view name)
{
    const auto it = std::ranges::find(object.fields, name, &JsonField::name);
    return it == object.fields.end() ? nullptr : &it->value;
}

const JsonValue *findRequired(Reader &reader, const ObjectReader &object, const std::string &name)
{
    const JsonValue *value = find(object, name);
    if (value == nullptr) {
        const std::string path = object.self.field.empty() ? name : object.self.field + "." + name;
        report(reader, FindingCode::MissingField, {object.self.text, path}, "is missing");
    }
    return value;
}

std::optional<std::vector<JsonValue>> readArray(Reader &reader, const JsonValue *value)
{
    std::optional<std::vector<JsonValue>> elements = value == nullptr ? std::nullopt : elementsOf(*value);
    if (value != nullptr) {
        expectType(reader, *value, elements.has_value(), "an array");
    }
    return elements;
}

/// @param value may be null, for a field that is missing
std::optional<std::string> readString(Reader &reader, const JsonValue *value)
{
    if (value == nullptr || !expectType(reader, *value, value->text.starts_with('"'), "a string")) {
        return std::nullopt;
    }
    return json::parse(value->text).get<std::string>();
}

std::optional<std::string> readName(Reader &reader, const ObjectReader &object, const std::string &field)
{
    const JsonValue *value = findRequired(reader, object, field);
    std::optional<std::string> text = readString(reader, value);
    if (text && text->empty()) {
        report(reader, FindingCode::MissingField, *value, "is empty");
        return std::nullopt;
    }
    return text;
}

/// @return whether a number is above the maximum, or an integer beyond the largest signed one
bool isTooLarge(const json &number, double max)
{
    return number.get<double>() > max || (number.is_number_unsigned() && number.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
}

/// @return the number of a field; nothing when the field is missing or invalid
std::optional<double> readNumber(Reader &reader, const ObjectReader &object, const NumberRule &rule)
{
    const JsonValue *value = find(object, rule.name);
    if (value == nullptr) {
        return std::nullopt;
    }
    const json number = isNested(*value) ? json() : json::parse(value->text, nullptr, false);
    if (!expectType(reader, *value, number.is_number(), rule.integer ? "an integer" : "a number")) {
        return std::nullopt;
    }
    if (number.get<double>() < 0 || isTooLarge(number, rule.max)) {
        const std::string max = rule.max > maxExactInteger ? "2^63 - 1" : std::to_string(static_cast<std::int64_t>(rule.max));
        report(reader, FindingCode::OutOfRange, *value, std::string(value->text.substr(0, maxShownDigits)) + " is out of range: allowed 0 to " + max);
        return std::nullopt;
    }
    if (rule.integer && !expectType(reader, *value, number.is_number_integer(), "an integer")) {
        return std::nullopt;
    }
    return number.get<double>();
}

Time millisecondsOf(std::optional<double> number)
{
    return static_cast<Time>(number.value_or(0)) * millisecond;
}

/// @return the members as fields for the comparison, with their names after @p prefix
std::vector<DescribedField> describeFields(const Reader &reader, const ObjectReader &object, const std::string &prefix = "")
{
    std::vector<DescribedField> fields;
    for (const JsonField &it : object.fields) {
        fields.push_back({prefix + it.name, normalised(it.value), locationOf(reader, it.value)});
    }
    return fields;
}

/// Reads one entry of a route's `backends`. An invalid weight counts as 1, so that it isn't reported as 0 too.
/// @return nothing when the entry names no service
std::optional<ServiceReference> readBackend(Reader &reader, const JsonValue &value, std::vector<DescribedField> &fields)
{
    const std::optional<ObjectReader> object = openObject(reader, value);
    if (!object) {
        return std::nullopt;
    }
    const std::optional<std::string> service = readName(reader, *object, "service");
    const std::optional<double> weight = readNumber(reader, *object, weightRule);
    // Entries are compared by service, so that a changed order is no difference.
    const std::string label = service ? quote(*service) : value.field.substr(value.field.rfind('[') + 1);
    for (DescribedField &it : describeFields(reader, *object, "backends[" + label + "].")) {
        fields.push_back(std::move(it));
    }
    if (!service) {
        return std::nullopt;
    }
    return ServiceReference{*service, weight.value_or(1), locationOf(reader, *find(*object, "service"))};
}

void readBackends(Reader &reader, const JsonValue *value, DescribedRoute &route)
{
    const std::optional<std::vector<JsonValue>> elements = readArray(reader, value);
    route.servicesDecoded = elements.has_value() || value == nullptr;
    if (!elements || elements->empty()) {
        return;
    }
    route.servicesLocation = locationOf(reader, *value);
    std::erase_if(route.fields, [](const DescribedField &it) { return it.name == "backends"; });
    for (const JsonValue &it : *elements) {
        if (std::optional<ServiceReference> reference = readBackend(reader, it, route.fields)) {
            route.services.push_back(std::move(*reference));
        } else {
            route.servicesDecoded = false;
        }
    }
}

/// Reads `backends`, or `service` of a route without them.
void readServices(Reader &reader, const ObjectReader &object, DescribedRoute &route)
{
    readBackends(reader, find(object, "backends"), route);
    const JsonValue *service = find(object, "service");
    const bool hasBackends = route.servicesLocation.line > 0;
    if (service == nullptr && (hasBackends || !route.servicesDecoded)) {
        return;
    }
    const std::optional<std::string> text = readName(reader, object, "service");
    if (!text) {
        route.servicesDecoded = false;
        return;
    }
    // Next to backends, the service gets no flows.
    const FieldLocation location = locationOf(reader, *service);
    route.services.push_back({*text, hasBackends ? 0.0 : 1.0, location});
    route.servicesLocation = hasBackends ? route.servicesLocation : location;
}

void readRouteAddress(Reader &reader, const ObjectReader &object, DescribedRoute &route)
{
    const JsonValue *hostValue = findRequired(reader, object, "host");
    const JsonValue *portValue = findRequired(reader, object, "path_prefix");
    const std::optional<std::string> host = readString(reader, hostValue);
    std::optional<std::string> port = readString(reader, portValue);
    const bool hostValid = host && isAddress(*host + ":1");
    if (host && !hostValid) {
        report(reader, FindingCode::InvalidHost, *hostValue, quote(*host) + " is not an IPv4 address");
    }
    if (!port) {
        return;
    }
    std::erase(*port, '/');
    const bool portValid = isAddress("0.0.0.0:" + *port);
    if (!portValid) {
        report(reader, FindingCode::InvalidPort, *portValue, normalised(*portValue) + " is not a port from 1 to 65535 between slashes");
    }
    if (hostValid && portValid) {
        route.address = parseAddress(*host + ":" + *port);
    }
}

void readRouteType(Reader &reader, const ObjectReader &object)
{
    const JsonValue *value = findRequired(reader, object, "type");
    const std::optional<std::string> text = readString(reader, value);
    if (text && !routeTypeFromName(*text)) {
        report(reader, FindingCode::UnknownType, *value, quote(*text) + " is unknown, treated as " + std::string(name(strictestRouteType)));
    }
}

void readRoute(Reader &reader, const JsonValue &value, ConfigDescription &config)
{
    const std::optional<ObjectReader> object = openObject(reader, value);
    if (!object) {
        return;
    }
    DescribedRoute route;
    route.location = locationOf(reader, value);
    route.fields = describeFields(reader, *object);
    route.name = readName(reader, *object, "name").value_or("");
    readRouteAddress(reader, *object, route);
    readRouteType(reader, *object);
    readServices(reader, *object, route);
    readNumber(reader, *object, priorityRule);
    readNumber(reader, *object, attemptsRule);
    route.responseTimeGoal = millisecondsOf(readNumber(reader, *object, goalRule));
    if (const JsonValue *goal = find(*object, goalRule.name)) {
        route.goalLocation = locationOf(reader, *goal);
    }
    route.timeout = millisecondsOf(readNumber(reader, *object, timeoutRule));
    config.routes.push_back(std::move(route));
}

void readService(Reader &reader, const JsonValue &value, ConfigDescription &config)
{
    const std::optional<ObjectReader> object = openObject(reader, value);
    if (!object) {
        config.servicesDecoded = false;
        return;
    }
    DescribedService service;
    service.location = locationOf(reader, value);
    service.fields = describeFields(reader, *object);
    const std::optional<std::string> text = readName(reader, *object, "name");
    config.servicesDecoded = config.servicesDecoded && text;
    service.name = text.value_or("");
    const std::optional<std::string> path = readString(reader, find(*object, "health_path"));
    service.hasHealthPath = path && !path->empty();
    if (const std::optional<double> n = readNumber(reader, *object, connectionsRule)) {
        service.maxConnections = static_cast<std::int64_t>(*n);
        service.maxConnectionsLocation = locationOf(reader, *find(*object, connectionsRule.name));
    }
    service.coldTime = static_cast<Time>(readNumber(reader, *object, coldTimeRule).value_or(0) * static_cast<double>(second));
    const JsonValue *rate = find(*object, coldRateRule.name);
    // An invalid rate is reported as such, and not as 0 too.
    service.coldRate = readNumber(reader, *object, coldRateRule).value_or(rate == nullptr ? 0 : 1);
    const JsonValue *place = rate == nullptr ? find(*object, coldTimeRule.name) : rate;
    service.coldLocation = place == nullptr ? service.location : locationOf(reader, *place);
    config.services.push_back(std::move(service));
}

void readLimits(Reader &reader, const JsonValue *value, ConfigDescription &config)
{
    const std::optional<ObjectReader> limits = value == nullptr ? std::nullopt : openObject(reader, *value);
    if (!limits) {
        return;
    }
    config.idleTimeout = millisecondsOf(readNumber(reader, *limits, idleTimeoutRule));
    if (const JsonValue *idle = find(*limits, idleTimeoutRule.name)) {
        config.idleTimeoutLocation = locationOf(reader, *idle);
    }
    for (DescribedField &it : describeFields(reader, *limits, "limits.")) {
        config.fields.push_back(std::move(it));
    }
}

void readSpec(Reader &reader, const ObjectReader &spec, ConfigDescription &config)
{
    config.fields = describeFields(reader, spec);
    std::erase_if(config.fields, [](const DescribedField &it) { return it.name == "services" || it.name == "routes" || it.name == "limits"; });
    findRequired(reader, spec, std::string(versionRule.name));
    readNumber(reader, spec, versionRule);
    const std::optional<std::vector<JsonValue>> services = readArray(reader, findRequired(reader, spec, "services"));
    config.servicesDecoded = services.has_value();
    for (const JsonValue &it : services.value_or(std::vector<JsonValue>{})) {
        readService(reader, it, config);
    }
    const std::optional<std::vector<JsonValue>> routes = readArray(reader, findRequired(reader, spec, "routes"));
    for (const JsonValue &it : routes.value_or(std::vector<JsonValue>{})) {
        readRoute(reader, it, config);
    }
    readLimits(reader, find(spec, "limits"), config);
}

/// @return the value without surrounding white space
std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view spaces = " \t\r\n";
    const auto begin = std::min(text.find_first_not_of(spaces), text.size());
    return text.substr(begin, text.find_last_not_of(spaces) + 1 - begin);
}

} // namespace

ConfigText describeConfig(std::string_view text)
{
    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
    text.remove_prefix(text.starts_with(byteOrderMark) ? byteOrderMark.size() : 0);
    Reader reader{indexLines(text), {}};
    ConfigText result;
    if (std::optional<ConfigFinding> error = findSyntaxError(reader.lines)) {
        return {{}, {std::move(*error)}};
    }
    std::optional<ObjectReader> object = openObject(reader, {trimmed(text), ""});
    if (const JsonValue *spec = object ? find(*object, "spec") : nullptr) {
        object = openObject(reader, {spec->text, ""});
    }
    if (object) {
        readSpec(reader, *object, result.config);
    }
    result.findings = std::move(reader.findings);
    return result;
}

} // namespace pimentofold::platform
