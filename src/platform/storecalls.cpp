#include <platform/storecalls.h>

#include <cctype>
#include <charconv>

#include <nlohmann/json.hpp>

#include <pimentofold/settings.h>

namespace pimentofold::platform {

namespace {

using nlohmann::json;

/// A field that is missing or has another type than it should.
struct FieldError {
    std::string problem;
};

const json &fieldOf(const json &object, const char *field)
{
    const auto it = object.find(field);
    if (it == object.end()) {
        throw FieldError{std::string("no field ") + field};
    }
    return *it;
}

std::string textOf(const json &object, const char *field)
{
    const json &value = fieldOf(object, field);
    if (!value.is_string()) {
        throw FieldError{std::string(field) + " is no string"};
    }
    return value.get<std::string>();
}

std::int64_t integerOf(const json &object, const char *field, std::int64_t least, std::int64_t most)
{
    const json &value = fieldOf(object, field);
    if (!value.is_number_integer()) {
        throw FieldError{std::string(field) + " is no integer"};
    }
    const bool tooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const auto n = tooLarge ? INT64_MAX : value.get<std::int64_t>();
    if (tooLarge || n < least || n > most) {
        throw FieldError{std::string(field) + " is out of range"};
    }
    return n;
}

std::int64_t integerOf(const json &object, const char *field, std::int64_t least, std::int64_t most, std::int64_t fallback)
{
    return object.contains(field) ? integerOf(object, field, least, most) : fallback;
}

/// @return the number whose hexadecimal digits stand behind the last '-' of a target's name; nothing when there is none
std::optional<std::uint64_t> idOfName(const std::string &name)
{
    const auto dash = name.rfind('-');
    const std::string digits = dash == std::string::npos ? name : name.substr(dash + 1);
    std::uint64_t id = 0;
    constexpr int hexadecimal = 16;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), id, hexadecimal);
    if (digits.empty() || result.ec != std::errc() || result.ptr != digits.data() + digits.size() || id == 0) {
        return std::nullopt;
    }
    return id;
}

constexpr std::int64_t mostMilliseconds = 86'400'000;

RouteType workKindOf(const std::string &word)
{
    for (const RouteType it : {RouteType::Safe, RouteType::Unsafe, RouteType::Download}) {
        if (name(it) == word) {
            return it;
        }
    }
    throw FieldError{"unknown type of route"};
}

/// The platform writes a route's address in two fields: the number as `host`, the port between slashes as `path_prefix`.
Address routeAddress(const json &route)
{
    std::string prefix = textOf(route, "path_prefix");
    std::erase(prefix, '/');
    const std::string text = textOf(route, "host") + ":" + prefix;
    if (!isAddress(text)) {
        throw FieldError{"address of a route"};
    }
    return parseAddress(text);
}

std::vector<WeightedService> routeShares(const json &route)
{
    std::vector<WeightedService> shares;
    if (route.contains("backends") && route["backends"].is_array()) {
        for (const json &it : route["backends"]) {
            const auto weight = it.find("weight");
            const double share = weight != it.end() && weight->is_number() ? weight->get<double>() : 1;
            if (share > 0) {
                shares.push_back({textOf(it, "service"), share});
            }
        }
    }
    if (shares.empty()) {
        shares.push_back({textOf(route, "service"), 1});
    }
    return shares;
}

EdgeRoute decodeRoute(const json &value)
{
    EdgeRoute route;
    route.name = textOf(value, "name");
    route.address = routeAddress(value);
    route.weightedServices = routeShares(value);
    route.type = workKindOf(textOf(value, "type"));
    constexpr int mostUrgency = 1000;
    route.urgency = static_cast<int>(integerOf(value, "priority", 0, mostUrgency, 0));
    route.responseTimeGoal = integerOf(value, "aim_ms", 0, mostMilliseconds, 0) * millisecond;
    return route;
}

EdgeConfig decodeConfig(const json &spec, std::int64_t revision)
{
    EdgeConfig config;
    config.revision = revision;
    config.version = integerOf(spec, "version", 0, INT64_MAX);
    const json &routes = fieldOf(spec, "routes");
    if (!routes.is_array()) {
        throw FieldError{"routes are no list"};
    }
    config.routes.reserve(routes.size());
    for (const json &it : routes) {
        config.routes.push_back(decodeRoute(it));
    }
    const auto limits = spec.find("limits");
    if (limits != spec.end() && limits->is_object()) {
        config.idleTimeout = integerOf(*limits, "idle_timeout_ms", 0, mostMilliseconds, 0) * millisecond;
    }
    return config;
}

TargetState targetStateOf(const std::string &word)
{
    for (const TargetState it : {TargetState::Ready, TargetState::Draining}) {
        if (name(it) == word) {
            return it;
        }
    }
    throw FieldError{"unknown state"};
}

TargetRecord decodeTarget(const json &spec, const std::string &objectName, std::int64_t revision)
{
    TargetRecord record;
    const std::optional<std::uint64_t> id = idOfName(objectName);
    if (!id) {
        throw FieldError{"name without a number"};
    }
    record.id = *id;
    record.name = objectName;
    record.revision = revision;
    record.service = textOf(spec, "service");
    const std::string address = textOf(spec, "address");
    if (!isAddress(address)) {
        throw FieldError{"address of a target"};
    }
    record.address = parseAddress(address);
    record.dataCentre = textOf(spec, "zone");
    constexpr int mostSlots = 1'000'000;
    record.slots = static_cast<int>(integerOf(spec, "slots", 1, mostSlots));
    record.state = targetStateOf(textOf(spec, "state"));
    record.warmup = integerOf(spec, "cold_remaining_ms", 0, mostMilliseconds, 0) * millisecond;
    // `born` is the wall time of the target's start.
    record.startedAt = integerOf(spec, "born", 0, INT64_MAX, 0);
    return record;
}

StoreObject decodeObject(StoreKind kind, const json &object, bool deleted)
{
    std::string objectName;
    std::int64_t revision = 0;
    try {
        const json &meta = fieldOf(object, "meta");
        objectName = textOf(meta, "name");
        revision = integerOf(meta, "revision", 0, INT64_MAX);
        if (deleted) {
            return DeletedObject{kind == StoreKind::Targets ? idOfName(objectName).value_or(0) : 0, objectName, revision};
        }
        const json &spec = fieldOf(object, "spec");
        if (!spec.is_object()) {
            throw FieldError{"no object"};
        }
        if (kind == StoreKind::Config) {
            return decodeConfig(spec, revision);
        }
        return decodeTarget(spec, objectName, revision);
    } catch (const FieldError &error) {
        return UnreadableObject{kind == StoreKind::Targets ? idOfName(objectName).value_or(0) : 0, objectName, revision, error.problem};
    }
}

// One object of a kind of the project's own.
constexpr const char *rosterCollectionPath = "/-/objects/pimentofold-edge";
constexpr const char *rosterName = "roster";

constexpr const char *kindPath(StoreKind kind)
{
    return kind == StoreKind::Config ? "/-/objects/config" : "/-/objects/servers";
}

void appendQuery(std::string &target, char separator, const std::string &key, const std::string &value)
{
    target += separator;
    target += key;
    target += '=';
    for (const char c : value) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.') {
            target += c;
        } else {
            constexpr char digits[] = "0123456789ABCDEF";
            target += '%';
            target += digits[static_cast<unsigned char>(c) >> 4U];
            target += digits[static_cast<unsigned char>(c) & 0xfU];
        }
    }
}

} // namespace

std::string rosterReadPath()
{
    // A stale read costs a tenth.
    return std::string(rosterCollectionPath) + "/" + rosterName + "?allow_stale=1";
}

std::optional<Roster> decodeRoster(const std::string &body)
{
    const json object = json::parse(body, nullptr, false);
    try {
        Roster roster;
        roster.revision = integerOf(fieldOf(object, "meta"), "revision", 1, INT64_MAX);
        const json &nodes = fieldOf(fieldOf(object, "spec"), "nodes");
        if (!nodes.is_array()) {
            return std::nullopt;
        }
        for (const json &it : nodes) {
            if (it.is_string() && isAddress(it.get<std::string>())) {
                roster.nodes.push_back(parseAddress(it.get<std::string>()));
            }
        }
        return roster;
    } catch (const FieldError &) {
        return std::nullopt;
    }
}

StoreWriteRequest rosterWriteRequest(const Roster &roster)
{
    json nodes = json::array();
    for (const Address &it : roster.nodes) {
        nodes.push_back(toString(it));
    }
    json object{{"meta", {{"name", rosterName}}}, {"spec", {{"nodes", nodes}}}};
    if (roster.revision == 0) {
        return {"POST", rosterCollectionPath, object.dump()};
    }
    object["meta"]["revision"] = roster.revision;
    return {"PUT", std::string(rosterCollectionPath) + "/" + rosterName, object.dump()};
}

std::string listPath(StoreKind kind, const std::string &after)
{
    std::string target = kindPath(kind);
    if (!after.empty()) {
        appendQuery(target, '?', "after", after);
    }
    return target;
}

std::string watchPath(StoreKind kind, std::int64_t revision, Time wait)
{
    std::string target = kindPath(kind);
    appendQuery(target, '?', "watch", std::to_string(revision));
    appendQuery(target, '&', "wait_ms", std::to_string(wait / millisecond));
    return target;
}

std::optional<StoreResponse> decodeStoreResponse(StoreKind kind, const std::string &body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return std::nullopt;
    }
    try {
        StoreResponse result;
        result.revision = integerOf(answer, "store_revision", 1, INT64_MAX);
        const bool isList = answer.contains("items");
        const json &entries = fieldOf(answer, isList ? "items" : "events");
        if (!entries.is_array()) {
            return std::nullopt;
        }
        for (const json &it : entries) {
            if (isList) {
                result.objects.push_back(decodeObject(kind, it, false));
                if (it.is_object() && it.contains("meta") && it["meta"].is_object() && it["meta"].contains("name") && it["meta"]["name"].is_string()) {
                    result.lastName = it["meta"]["name"].get<std::string>();
                }
                continue;
            }
            if (!it.is_object()) {
                return std::nullopt;
            }
            const auto deleted = it.find("deleted");
            const bool gone = deleted != it.end() && deleted->is_boolean() && deleted->get<bool>();
            result.objects.push_back(decodeObject(kind, fieldOf(it, "object"), gone));
        }
        if (isList) {
            const auto more = answer.find("has_more");
            result.hasMore = more != answer.end() && more->is_boolean() && more->get<bool>();
        }
        return result;
    } catch (const FieldError &) {
        return std::nullopt;
    }
}

} // namespace pimentofold::platform
