#include <platform/storecalls.h>

#include <cctype>
#include <charconv>

#include <nlohmann/json.hpp>

#include <pimentofold/json/jsonsplit.h>
#include <pimentofold/settings.h>
#include <platform/configlimits.h>

namespace pimentofold::platform {

namespace {

using nlohmann::json;

/// A missing field, or a field with an invalid type or value.
struct FieldError {
    std::string problem;
};

const json &requiredField(const json &object, const char *field)
{
    const auto it = object.find(field);
    if (it == object.end()) {
        throw FieldError{std::string("missing field ") + field};
    }
    return *it;
}

std::string stringField(const json &object, const char *field)
{
    const json &value = requiredField(object, field);
    if (!value.is_string()) {
        throw FieldError{std::string(field) + " is not a string"};
    }
    return value.get<std::string>();
}

std::int64_t integerField(const json &object, const char *field, std::int64_t min, std::int64_t max)
{
    const json &value = requiredField(object, field);
    if (!value.is_number_integer()) {
        throw FieldError{std::string(field) + " is not an integer"};
    }
    const bool tooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const auto n = tooLarge ? INT64_MAX : value.get<std::int64_t>();
    if (tooLarge || n < min || n > max) {
        throw FieldError{std::string(field) + " is out of range: allowed " + std::to_string(min) + " to " + std::to_string(max)};
    }
    return n;
}

std::int64_t integerField(const json &object, const char *field, std::int64_t min, std::int64_t max, std::int64_t fallback)
{
    return object.contains(field) ? integerField(object, field, min, max) : fallback;
}

/// @return the target id in an object's name: the hexadecimal number after the last '-', or the whole name when it has no
///         '-'; nothing when that is no such number or 0
std::optional<std::uint64_t> idFromName(const std::string &name)
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

/// Decodes the type of a route's requests. The configuration may use types that this version doesn't know.
RouteType routeType(const json &route, std::vector<std::string> &problems)
{
    const auto it = route.find("type");
    const std::string text = it != route.end() && it->is_string() ? it->get<std::string>() : "";
    if (const std::optional<RouteType> type = routeTypeFromName(text)) {
        return *type;
    }
    problems.push_back("type is unknown, treated as " + std::string(name(strictestRouteType)));
    return strictestRouteType;
}

/// Decodes a number that a route can do without.
std::int64_t optionalField(const json &object, const char *field, std::int64_t max, std::vector<std::string> &problems)
{
    try {
        return integerField(object, field, 0, max, 0);
    } catch (const FieldError &error) {
        problems.push_back(error.problem + ", treated as not set");
        return 0;
    }
}

/// Decodes a route's address, which the platform stores in two fields: the IP address in `host`, and the port between
/// slashes in `path_prefix`.
Address routeAddress(const json &route)
{
    std::string prefix = stringField(route, "path_prefix");
    std::erase(prefix, '/');
    const std::string text = stringField(route, "host") + ":" + prefix;
    if (!isAddress(text)) {
        throw FieldError{"host and path_prefix are not an IPv4 address and a port"};
    }
    return parseAddress(text);
}

std::vector<WeightedService> routeShares(const json &route)
{
    std::vector<WeightedService> shares;
    if (route.contains("backends") && route["backends"].is_array()) {
        for (const json &it : route["backends"]) {
            if (!it.is_object()) {
                throw FieldError{"backends has an entry that is not an object"};
            }
            const auto weight = it.find("weight");
            const double share = weight != it.end() && weight->is_number() ? weight->get<double>() : 1;
            if (share > 0) {
                shares.push_back({stringField(it, "service"), share});
            }
        }
    }
    if (shares.empty()) {
        shares.push_back({stringField(route, "service"), 1});
    }
    return shares;
}

/// @param problems gets a description of each invalid field for which a default is used
EdgeRoute decodeRoute(const json &value, std::vector<std::string> &problems)
{
    EdgeRoute route;
    route.name = stringField(value, "name");
    route.address = routeAddress(value);
    route.weightedServices = routeShares(value);
    route.type = routeType(value, problems);
    route.urgency = static_cast<int>(optionalField(value, "priority", maxUrgency, problems));
    route.responseTimeGoal = optionalField(value, "aim_ms", maxMilliseconds, problems) * millisecond;
    route.timeout = optionalField(value, "timeout_ms", maxMilliseconds, problems) * millisecond;
    return route;
}

/// Records a route that can't be decoded by whatever identifies it.
void addUnreadableRoute(EdgeConfig &config, const json &value, const std::string &problem)
{
    std::string label;
    try {
        label = toString(routeAddress(value));
        config.unreadableRoutes.push_back(label);
    } catch (const FieldError &) {
        label.clear();
    }
    const auto routeName = value.find("name");
    if (value.is_object() && routeName != value.end() && routeName->is_string()) {
        label = routeName->get<std::string>();
        config.unreadableRoutes.push_back(label);
    }
    config.problems.push_back({label, problem});
}

void addRoute(EdgeConfig &config, const json &value)
{
    std::vector<std::string> problems;
    try {
        if (!value.is_object()) {
            throw FieldError{"route is not an object"};
        }
        EdgeRoute route = decodeRoute(value, problems);
        for (std::string &it : problems) {
            config.problems.push_back({route.name, std::move(it)});
        }
        config.routes.push_back(std::move(route));
    } catch (const FieldError &error) {
        addUnreadableRoute(config, value, error.problem);
    }
}

/// @return the number of a service's field, 0 when it is missing or invalid
/// @param problems gets a description of an invalid field
double serviceNumber(const json &service, const char *field, double max, std::vector<std::string> &problems)
{
    const auto it = service.find(field);
    if (it == service.end()) {
        return 0;
    }
    const double value = it->is_number() ? it->get<double>() : -1;
    if (!(value >= 0 && value <= max)) {
        problems.push_back(std::string(field) + " is not a number from 0 to " + std::to_string(static_cast<std::int64_t>(max)));
        return 0;
    }
    return value;
}

void addService(EdgeConfig &config, const json &value)
{
    const auto serviceName = value.is_object() ? value.find("name") : value.end();
    if (serviceName == value.end() || !serviceName->is_string()) {
        config.problems.push_back({"", "services has an entry without a name"});
        return;
    }
    ServiceLimits limits;
    limits.name = serviceName->get<std::string>();
    std::vector<std::string> problems;
    limits.coldTime = static_cast<Time>(serviceNumber(value, "cold_start_s", maxColdSeconds, problems) * static_cast<double>(second));
    limits.coldRate = serviceNumber(value, "cold_per_s", maxColdRate, problems);
    if (!problems.empty()) {
        config.unreadableServices.push_back(limits.name);
    }
    for (const std::string &it : problems) {
        config.problems.push_back({"", "service " + limits.name + ": " + it});
    }
    config.services->push_back(std::move(limits));
}

void addServices(EdgeConfig &config, const json &spec)
{
    config.services.emplace();
    const auto services = spec.find("services");
    if (services == spec.end()) {
        return;
    }
    if (!services->is_array()) {
        config.problems.push_back({"", "services is not an array; the previous limits stay in force"});
        config.services.reset();
        return;
    }
    for (const json &it : *services) {
        addService(config, it);
    }
}

EdgeConfig decodeConfig(const json &spec, std::int64_t revision)
{
    EdgeConfig config;
    config.revision = revision;
    config.version = integerField(spec, "version", 0, INT64_MAX);
    const json &routes = requiredField(spec, "routes");
    if (!routes.is_array()) {
        throw FieldError{"routes is not an array"};
    }
    config.routes.reserve(routes.size());
    for (const json &it : routes) {
        addRoute(config, it);
    }
    addServices(config, spec);
    const auto limits = spec.find("limits");
    if (limits != spec.end() && limits->is_object()) {
        std::vector<std::string> problems;
        config.idleTimeout = optionalField(*limits, "idle_timeout_ms", maxMilliseconds, problems) * millisecond;
        for (std::string &it : problems) {
            config.problems.push_back({"", std::move(it)});
        }
    }
    return config;
}

TargetState targetStateFromName(const std::string &text)
{
    for (const TargetState it : {TargetState::Ready, TargetState::Draining}) {
        if (name(it) == text) {
            return it;
        }
    }
    throw FieldError{"state is not ready or draining"};
}

/// Decodes a text of a target's entry, which has to fit into the messages between nodes.
std::string targetText(const json &spec, const char *field)
{
    std::string text = stringField(spec, field);
    if (text.empty() || text.size() > maxTargetTextBytes) {
        throw FieldError{std::string(field) + " has an invalid length: allowed 1 to " + std::to_string(maxTargetTextBytes) + " bytes"};
    }
    return text;
}

TargetRecord decodeTarget(const json &spec, const std::string &objectName, std::int64_t revision)
{
    TargetRecord record;
    const std::optional<std::uint64_t> id = idFromName(objectName);
    if (!id) {
        throw FieldError{"object name does not end with a hexadecimal target id"};
    }
    if (objectName.size() > maxTargetTextBytes) {
        throw FieldError{"object name is longer than " + std::to_string(maxTargetTextBytes) + " bytes"};
    }
    record.id = *id;
    record.name = objectName;
    record.revision = revision;
    record.service = targetText(spec, "service");
    const std::string address = stringField(spec, "address");
    if (!isAddress(address)) {
        throw FieldError{"address is not an IPv4 address with port"};
    }
    record.address = parseAddress(address);
    record.dataCentre = targetText(spec, "zone");
    constexpr int maxSlots = 1'000'000;
    record.slots = static_cast<int>(integerField(spec, "slots", 1, maxSlots));
    record.state = targetStateFromName(stringField(spec, "state"));
    record.warmup = integerField(spec, "cold_remaining_ms", 0, maxMilliseconds) * millisecond;
    // `born` is the wall time at which the target's process started.
    record.startedAt = integerField(spec, "born", 0, INT64_MAX);
    record.sequence = integerField(spec, "seq", 0, INT64_MAX);
    // Not used here, but a target writes it into each of its entries. An entry without it is from another writer.
    stringField(spec, "version");
    return record;
}

// Longer than any field that is decoded by itself, also with each character as an escape sequence.
constexpr std::size_t maxFieldBytes = 4096;

/// Parses one member of an object.
json parseMember(const std::vector<JsonMember> &members, const char *field)
{
    const std::optional<std::string_view> text = findMember(members, field);
    if (!text) {
        throw FieldError{std::string("missing field ") + field};
    }
    if (text->size() > maxFieldBytes) {
        throw FieldError{std::string(field) + " is longer than " + std::to_string(maxFieldBytes) + " bytes"};
    }
    json value = json::parse(*text, nullptr, false);
    if (value.is_discarded()) {
        throw FieldError{std::string(field) + " can't be read"};
    }
    return value;
}

/// Splits an object that is a member of another one.
std::vector<JsonMember> splitMember(const std::vector<JsonMember> &members, const char *field)
{
    const std::optional<std::string_view> text = findMember(members, field);
    if (!text) {
        throw FieldError{std::string("missing field ") + field};
    }
    std::optional<std::vector<JsonMember>> parts = splitObject(*text);
    if (!parts) {
        throw FieldError{std::string(field) + " is not an object"};
    }
    return std::move(*parts);
}

/// Parses the fields of a target's entry that are used. A parsed value takes up to 40 times the memory of its text, and the store takes
/// entries of any shape up to a megabyte, so the rest is only checked.
json parseTargetFields(std::string_view spec)
{
    const std::optional<std::vector<JsonMember>> members = splitObject(spec);
    if (!members || !json::accept(spec)) {
        throw FieldError{"spec is not an object or can't be read"};
    }
    json fields = json::object();
    for (const char *field : {"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "born", "seq"}) {
        if (findMember(*members, field)) {
            fields[field] = parseMember(*members, field);
        }
    }
    return fields;
}

/// Parses the specification of the configuration, which only the operators write.
json parseConfigSpec(std::string_view text)
{
    json spec = json::parse(text, nullptr, false);
    if (!spec.is_object()) {
        throw FieldError{"spec is not an object or can't be read"};
    }
    return spec;
}

/// An object with its name, which the request for the next page of a list needs.
struct NamedObject {
    StoreObject object;
    std::string name; ///< empty when it can't be decoded
};

/// Decodes one object of a response. Its fields are parsed one by one, so that the name and the revision are known even if
/// the rest of the object can't be read.
NamedObject decodeObject(StoreKind kind, std::string_view text, bool deleted)
{
    std::string objectName;
    std::int64_t revision = 0;
    const auto id = [&] { return kind == StoreKind::Targets ? idFromName(objectName).value_or(0) : 0; };
    try {
        const std::optional<std::vector<JsonMember>> object = splitObject(text);
        if (!object) {
            throw FieldError{"object can't be read"};
        }
        const std::vector<JsonMember> meta = splitMember(*object, "meta");
        objectName = stringField({{"name", parseMember(meta, "name")}}, "name");
        revision = integerField({{"revision", parseMember(meta, "revision")}}, "revision", 0, INT64_MAX);
        if (deleted) {
            return {DeletedObject{id(), objectName, revision}, objectName};
        }
        if (kind == StoreKind::Evacuations) {
            return {EvacuationRecord{objectName, revision}, objectName};
        }
        const std::optional<std::string_view> spec = findMember(*object, "spec");
        if (!spec) {
            throw FieldError{"missing field spec"};
        }
        if (kind == StoreKind::Config) {
            return {decodeConfig(parseConfigSpec(*spec), revision), objectName};
        }
        return {decodeTarget(parseTargetFields(*spec), objectName, revision), objectName};
    } catch (const FieldError &error) {
        return {UnreadableObject{id(), objectName, revision, error.problem}, objectName};
    }
}

/// Decodes one change that a watch returned.
StoreObject decodeEvent(StoreKind kind, std::string_view text)
{
    const std::optional<std::vector<JsonMember>> event = splitObject(text);
    const std::optional<std::string_view> object = event ? findMember(*event, "object") : std::nullopt;
    if (!object) {
        return UnreadableObject{0, "", 0, "event has no object"};
    }
    return decodeObject(kind, *object, findMember(*event, "deleted") == "true").object;
}

// The roster is the only object of this kind, which belongs to this project.
constexpr const char *rosterCollectionPath = "/-/objects/pimentofold-edge";
constexpr const char *rosterName = "roster";

constexpr const char *kindPath(StoreKind kind)
{
    switch (kind) {
    case StoreKind::Config:
        return "/-/objects/config";
    case StoreKind::Targets:
        return "/-/objects/servers";
    case StoreKind::Evacuations:
        break;
    }
    return "/-/objects/evacuations";
}

void appendQuery(std::string &path, char separator, const std::string &key, const std::string &value)
{
    path += separator;
    path += key;
    path += '=';
    for (const char c : value) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.') {
            path += c;
        } else {
            constexpr char digits[] = "0123456789ABCDEF";
            path += '%';
            path += digits[static_cast<unsigned char>(c) >> 4U];
            path += digits[static_cast<unsigned char>(c) & 0xfU];
        }
    }
}

} // namespace

std::optional<EdgeRoute> decodeRoute(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        std::vector<std::string> problems;
        return decodeRoute(value, problems);
    } catch (const FieldError &) {
        return std::nullopt;
    }
}

std::optional<std::int64_t> decodeEra(std::string_view text)
{
    std::int64_t era = 0;
    const auto [end, ec] = std::from_chars(text.begin(), text.end(), era);
    return ec == std::errc() && end == text.end() && era >= 0 ? std::optional(era) : std::nullopt;
}

void setEra(StoreResponse &response, std::int64_t era)
{
    response.revision.era = era;
    for (StoreObject &it : response.objects) {
        std::visit([&](auto &object) { object.revision.era = era; }, it);
    }
}

std::string rosterReadPath()
{
    // A read that may return stale data costs a tenth of a normal read.
    return std::string(rosterCollectionPath) + "/" + rosterName + "?allow_stale=1";
}

std::optional<Roster> decodeRoster(const std::string &body)
{
    const std::optional<std::vector<JsonMember>> object = splitObject(body);
    if (!object) {
        return std::nullopt;
    }
    try {
        Roster roster;
        roster.revision = integerField({{"revision", parseMember(splitMember(*object, "meta"), "revision")}}, "revision", 1, INT64_MAX);
        const std::vector<JsonMember> spec = splitMember(*object, "spec");
        const std::optional<std::vector<std::string_view>> nodes = splitArray(findMember(spec, "nodes").value_or(""));
        if (!nodes) {
            return std::nullopt;
        }
        for (const std::string_view it : *nodes) {
            const json node = it.size() <= maxFieldBytes ? json::parse(it, nullptr, false) : json();
            if (node.is_string() && isAddress(node.get<std::string>())) {
                roster.nodes.push_back(parseAddress(node.get<std::string>()));
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
    object["meta"]["revision"] = roster.revision.number;
    return {"PUT", std::string(rosterCollectionPath) + "/" + rosterName, object.dump()};
}

std::string listPath(StoreKind kind, const std::string &after)
{
    std::string path = kindPath(kind);
    if (!after.empty()) {
        appendQuery(path, '?', "after", after);
    }
    return path;
}

std::string watchPath(StoreKind kind, std::int64_t revision, Time wait)
{
    std::string path = kindPath(kind);
    appendQuery(path, '?', "watch", std::to_string(revision));
    appendQuery(path, '&', "wait_ms", std::to_string(wait / millisecond));
    return path;
}

std::optional<StoreResponse> decodeStoreResponse(StoreKind kind, const std::string &body)
{
    const std::optional<std::vector<JsonMember>> response = splitObject(body);
    if (!response) {
        return std::nullopt;
    }
    const std::optional<std::string_view> items = findMember(*response, "items");
    const std::optional<std::vector<std::string_view>> entries = splitArray(items.value_or(findMember(*response, "events").value_or("")));
    if (!entries) {
        return std::nullopt;
    }
    try {
        StoreResponse result;
        result.revision = integerField({{"store_revision", parseMember(*response, "store_revision")}}, "store_revision", 1, INT64_MAX);
        for (const std::string_view it : *entries) {
            if (!items) {
                result.objects.push_back(decodeEvent(kind, it));
                continue;
            }
            NamedObject read = decodeObject(kind, it, false);
            result.objects.push_back(std::move(read.object));
            // The next page starts after the last name that could be read. Objects behind it are sent again.
            result.lastName = read.name.empty() ? result.lastName : std::move(read.name);
        }
        result.hasMore = items && findMember(*response, "has_more") == "true";
        if (result.hasMore && result.lastName.empty()) {
            return std::nullopt;
        }
        return result;
    } catch (const FieldError &) {
        return std::nullopt;
    }
}

} // namespace pimentofold::platform
