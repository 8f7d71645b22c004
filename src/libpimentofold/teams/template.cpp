#include <pimentofold/teams/template.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <utility>

namespace pimentofold {

using nlohmann::json;

namespace {

/// Sums of shares may exceed 1 by this much because of rounding; 0.7 + 0.2 + 0.1, for example, can be above 1 in floating
/// point.
constexpr double shareTolerance = 1e-9;
constexpr int maxSlots = 65536;

struct ParameterTypeName {
    ParameterType type;
    std::string_view name; ///< value of the field "type" in a template
    std::string_view expected; ///< description of valid values for error messages
};

constexpr std::array<ParameterTypeName, 5> parameterTypes{{
    {ParameterType::Integer, "integer", "an integer"},
    {ParameterType::Number, "number", "a number"},
    {ParameterType::Boolean, "boolean", "true or false"},
    {ParameterType::String, "string", "a string"},
    {ParameterType::Strings, "strings", "an array of strings"},
}};

const ParameterTypeName &typeName(ParameterType type)
{
    return *std::find_if(parameterTypes.begin(), parameterTypes.end(), [type](const ParameterTypeName &it) { return it.type == type; });
}

std::string elementPath(const std::string &path, std::size_t i)
{
    return path + "[" + std::to_string(i) + "]";
}

std::string fieldPath(const std::string &path, const std::string &field)
{
    return path.empty() ? field : path + "." + field;
}

SettingsObject requireObject(const std::string &file, const std::string &path, const json &value)
{
    if (!value.is_object()) {
        throw SettingsError(file, path, "a JSON object");
    }
    return {file, path, value, {}};
}

[[noreturn]] void fail(const SettingsObject &object, const std::string &field, const std::string &expected)
{
    throw SettingsError(object.file, fieldPath(object.path, field), expected);
}

void checkObjectName(const std::string &file, const std::string &name)
{
    if (!isName(name)) {
        throw SettingsError(file, "", "a name of 1 to " + std::to_string(maxNameLength) + " lower-case letters, digits, '-' and '.'");
    }
}

std::string takeName(SettingsObject &object, const std::string &field)
{
    std::string name = takeString(object, field);
    if (!isName(name)) {
        fail(object, field, "1 to " + std::to_string(maxNameLength) + " lower-case letters, digits, '-' and '.'");
    }
    return name;
}

std::string takePlainName(SettingsObject &object, const std::string &field)
{
    std::string name = takeString(object, field);
    if (!isPlainName(name)) {
        fail(object, field, "1 to " + std::to_string(maxNameLength) + " lower-case letters, digits and '-'");
    }
    return name;
}

int takeInt(SettingsObject &object, const std::string &field, int minimum, int maximum)
{
    return static_cast<int>(takeInteger(object, field, minimum, maximum));
}

int takeInt(SettingsObject &object, const std::string &field, int minimum, int maximum, int fallback)
{
    return static_cast<int>(takeInteger(object, field, minimum, maximum, fallback));
}

bool hasType(const json &value, ParameterType type)
{
    switch (type) {
    case ParameterType::Integer:
        return value.is_number_integer();
    case ParameterType::Number:
        return value.is_number();
    case ParameterType::Boolean:
        return value.is_boolean();
    case ParameterType::String:
        return value.is_string();
    case ParameterType::Strings:
        return value.is_array() && std::all_of(value.begin(), value.end(), [](const json &it) { return it.is_string(); });
    }
    return false;
}

std::string boundText(ParameterType type, double bound)
{
    return type == ParameterType::Integer ? std::to_string(static_cast<std::int64_t>(bound)) : json(bound).dump();
}

std::string boundsText(const Parameter &parameter)
{
    std::string text(typeName(parameter.type).expected);
    if (parameter.minimum) {
        text += " of at least " + boundText(parameter.type, *parameter.minimum);
    }
    if (parameter.maximum) {
        text += (parameter.minimum ? " and" : " of") + std::string(" at most ") + boundText(parameter.type, *parameter.maximum);
    }
    return text;
}

void checkParameter(const std::string &file, const std::string &path, const Parameter &parameter, const json &value)
{
    const bool typed = hasType(value, parameter.type);
    const bool aboveMinimum = !typed || !parameter.minimum || value.get<double>() >= *parameter.minimum;
    const bool belowMaximum = !typed || !parameter.maximum || value.get<double>() <= *parameter.maximum;
    if (!typed || !aboveMinimum || !belowMaximum) {
        throw SettingsError(file, path, boundsText(parameter));
    }
}

ParameterType takeType(SettingsObject &object)
{
    const std::string text = takeString(object, "type");
    std::string names;
    for (const ParameterTypeName &it : parameterTypes) {
        if (it.name == text) {
            return it.type;
        }
        names += (names.empty() ? "" : ", ") + std::string(it.name);
    }
    fail(object, "type", "one of " + names);
}

std::optional<double> takeBound(SettingsObject &object, const std::string &field, ParameterType type)
{
    if (!hasField(object, field)) {
        return {};
    }
    if (type != ParameterType::Integer && type != ParameterType::Number) {
        fail(object, field, "no bound on a parameter that isn't an integer or a number");
    }
    constexpr double unlimited = 1e15;
    return takeNumber(object, field, -unlimited, unlimited, 0);
}

Parameter parseParameter(SettingsObject object, const std::string &name)
{
    Parameter parameter;
    parameter.name = name;
    parameter.type = takeType(object);
    parameter.minimum = takeBound(object, "least", parameter.type);
    parameter.maximum = takeBound(object, "most", parameter.type);
    if (parameter.minimum && parameter.maximum && *parameter.minimum > *parameter.maximum) {
        fail(object, "most", "a number that is at least 'least'");
    }
    object.taken.insert("default");
    if (!hasField(object, "default")) {
        fail(object, "default", boundsText(parameter) + ", but the field is missing");
    }
    parameter.fallback = object.value["default"];
    checkParameter(object.file, fieldPath(object.path, "default"), parameter, parameter.fallback);
    finishSettings(object);
    return parameter;
}

bool isParameterName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameLength
        && std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '_' || c == '-'; });
}

std::vector<Parameter> takeParameters(SettingsObject &top)
{
    std::vector<Parameter> parameters;
    top.taken.insert("parameters");
    if (!hasField(top, "parameters")) {
        return parameters;
    }
    const SettingsObject all = requireObject(top.file, "parameters", top.value["parameters"]);
    for (const auto &[name, value] : all.value.items()) {
        const std::string path = fieldPath(all.path, name);
        if (!isParameterName(name)) {
            throw SettingsError(top.file, path, "a parameter name of 1 to " + std::to_string(maxNameLength) + " letters, digits, '_' and '-'");
        }
        parameters.push_back(parseParameter(requireObject(top.file, path, value), name));
    }
    return parameters;
}

/// State of the substitution of a template's parameters.
struct Substitution {
    std::string file; ///< "template/NAME", for error messages
    std::map<std::string, json> values; ///< by name of the parameter
    std::map<std::string, std::string> origins; ///< parameter that a field's value came from, by path of the field
};

/// @return @p value with each string "${NAME}" replaced by the value of the parameter; records the origins

json substitute(Substitution &substitution, const std::string &path, const json &value)
{
    if (value.is_object()) {
        json result = json::object();
        for (const auto &[key, member] : value.items()) {
            result[key] = substitute(substitution, fieldPath(path, key), member);
        }
        return result;
    }
    if (value.is_array()) {
        json result = json::array();
        for (const json &it : value) {
            result.push_back(substitute(substitution, elementPath(path, result.size()), it));
        }
        return result;
    }
    const std::string text = value.is_string() ? value.get<std::string>() : std::string();
    if (!text.starts_with("${") || !text.ends_with("}")) {
        return value;
    }
    const std::string name = text.substr(2, text.size() - 3);
    const auto it = substitution.values.find(name);
    if (it == substitution.values.end()) {
        throw SettingsError(substitution.file, path, "a declared parameter in place of " + text);
    }
    substitution.origins[path] = name;
    return it->second;
}

struct Shares {
    double floorShare;
    double ceilingShare;
};

Shares takeShares(SettingsObject &object)
{
    const Shares shares{takeNumber(object, "floorShare", 0, 1, 0), takeNumber(object, "ceilingShare", 0, 1, 1)};
    if (shares.ceilingShare < shares.floorShare) {
        fail(object, "ceilingShare", "a number that is at least the floorShare");
    }
    if (shares.ceilingShare <= 0) {
        fail(object, "ceilingShare", "a number above 0");
    }
    return shares;
}

WorkKindSpec parseWorkKind(SettingsObject &object)
{
    WorkKindSpec kind;
    kind.name = takeName(object, "name");
    kind.urgency = takeInt(object, "urgency", 0, lowestUrgency, 0);
    const Shares shares = takeShares(object);
    kind.floorShare = shares.floorShare;
    kind.ceilingShare = shares.ceilingShare;
    finishSettings(object);
    return kind;
}

TargetSpec parseTarget(SettingsObject &object, const ServiceSpec &service)
{
    TargetSpec target;
    target.instance = takeName(object, "instance");
    target.dataCentre = takeString(object, "dataCentre");
    if (std::find(service.dataCentres.begin(), service.dataCentres.end(), target.dataCentre) == service.dataCentres.end()) {
        fail(object, "dataCentre", "one of the service's data centres");
    }
    target.address = takeAddress(object, "address");
    target.slots = takeInt(object, "slots", 1, maxSlots, service.slots);
    finishSettings(object);
    return target;
}

std::vector<std::string> takeDataCentres(SettingsObject &object)
{
    std::vector<std::string> names = takeStrings(object, "dataCentres");
    if (names.empty()) {
        fail(object, "dataCentres", "at least one data centre");
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (!isPlainName(names[i])) {
            fail(object, elementPath("dataCentres", i), "lower-case letters, digits and '-'");
        }
        if (!seen.insert(names[i]).second) {
            fail(object, elementPath("dataCentres", i), "a data centre that isn't named twice");
        }
    }
    return names;
}

template<typename T>
void checkFloors(const SettingsObject &owner, const std::string &field, const std::vector<T> &parts)
{
    double sum = 0;
    for (const T &it : parts) {
        sum += it.floorShare;
    }
    if (sum > 1 + shareTolerance) {
        fail(owner, field, "floorShares that sum to at most 1");
    }
}

void takeWorkKinds(SettingsObject &object, ServiceSpec &service)
{
    std::set<std::string> names;
    for (SettingsObject &it : takeObjects(object, "workKinds")) {
        service.workKinds.push_back(parseWorkKind(it));
        if (!names.insert(service.workKinds.back().name).second) {
            fail(it, "name", "a name that no other kind of work of the service has");
        }
    }
    if (service.workKinds.empty()) {
        fail(object, "workKinds", "at least one kind of work");
    }
    checkFloors(object, "workKinds", service.workKinds);
}

ServiceSpec parseService(SettingsObject &object)
{
    ServiceSpec service;
    service.name = takePlainName(object, "name");
    service.port = takeInt(object, "port", 1, 65535);
    service.session = takeBoolean(object, "session", service.session);
    service.dataCentres = takeDataCentres(object);
    service.slots = takeInt(object, "slots", 1, maxSlots);
    service.urgency = takeInt(object, "urgency", 0, lowestUrgency, service.urgency);
    const Shares shares = takeShares(object);
    service.floorShare = shares.floorShare;
    service.ceilingShare = shares.ceilingShare;
    service.defaultDeadlineMs = takeInt(object, "defaultDeadlineMs", 1, maxDeadlineMs, service.defaultDeadlineMs);
    takeWorkKinds(object, service);
    std::set<std::string> instances;
    for (SettingsObject &it : takeObjects(object, "targets")) {
        service.targets.push_back(parseTarget(it, service));
        if (!instances.insert(service.targets.back().instance).second) {
            fail(it, "instance", "a name that no other target of the service has");
        }
    }
    finishSettings(object);
    return service;
}

/// Checks that names and ports of services and addresses of targets are unique within a team.
class UniqueInTeam
{
public:
    void add(const SettingsObject &object, const ServiceSpec &service)
    {
        if (!m_names.insert(service.name).second) {
            fail(object, "name", "a name that no other service of the team has");
        }
        if (!m_ports.insert(service.port).second) {
            fail(object, "port", "a port that no other service of the team has");
        }
        for (std::size_t i = 0; i < service.targets.size(); ++i) {
            if (!m_addresses.insert(service.targets[i].address).second) {
                fail(object, elementPath("targets", i) + ".address", "an address that no other target of the team has");
            }
        }
    }

private:
    std::set<std::string> m_names;
    std::set<int> m_ports;
    std::set<std::string> m_addresses;
};

std::vector<ServiceSpec> parseServices(SettingsObject &top)
{
    std::vector<ServiceSpec> services;
    UniqueInTeam unique;
    for (SettingsObject &it : takeObjects(top, "services")) {
        services.push_back(parseService(it));
        unique.add(it, services.back());
    }
    if (services.empty()) {
        fail(top, "services", "at least one service");
    }
    checkFloors(top, "services", services);
    return services;
}

std::string parameterNames(const Template &from)
{
    std::string names;
    for (const Parameter &it : from.parameters) {
        names += (names.empty() ? "" : ", ") + it.name;
    }
    return names.empty() ? "none" : names;
}

void checkKnownParameters(const Template &from, const Team &team)
{
    for (const auto &it : team.parameters.items()) {
        const std::string &name = it.key();
        if (std::none_of(from.parameters.begin(), from.parameters.end(), [&name](const Parameter &known) { return known.name == name; })) {
            throw SettingsError("team/" + team.name,
                                "parameters." + name,
                                "a parameter of template '" + from.name + "' (" + parameterNames(from) + "), but there is no such parameter");
        }
    }
}

Substitution substitutionFor(const Template &from, const Team &team)
{
    Substitution substitution;
    substitution.file = "template/" + from.name;
    checkKnownParameters(from, team);
    for (const Parameter &it : from.parameters) {
        const auto own = team.parameters.find(it.name);
        if (own != team.parameters.end()) {
            checkParameter("team/" + team.name, "parameters." + it.name, it, *own);
        }
        substitution.values[it.name] = own == team.parameters.end() ? it.fallback : *own;
    }
    return substitution;
}

/// @return the name of the parameter that the field, or an array that contains the field, came from; an empty string when
///     the field's value doesn't come from a parameter
std::string originOf(const Substitution &substitution, const std::string &field)
{
    for (const auto &[path, name] : substitution.origins) {
        if (field == path || field.starts_with(path + "[")) {
            return name;
        }
    }
    return {};
}

} // namespace

Template parseTemplate(const std::string &name, const json &value)
{
    const std::string file = "template/" + name;
    checkObjectName(file, name);
    checkValueSize(file, value);
    SettingsObject top = requireObject(file, "", value);
    Template result;
    result.name = name;
    result.parameters = takeParameters(top);
    takeObjects(top, "services");
    result.services = value.value("services", json::array());
    finishSettings(top);
    expandTeam(result, {"defaults", name, json::object()});
    return result;
}

Team parseTeam(const std::string &name, const json &value)
{
    const std::string file = "team/" + name;
    if (!isPlainName(name)) {
        throw SettingsError(file, "", "a name of 1 to " + std::to_string(maxNameLength) + " lower-case letters, digits and '-'");
    }
    checkValueSize(file, value);
    SettingsObject top = requireObject(file, "", value);
    Team team;
    team.name = name;
    team.templateName = takeName(top, "template");
    top.taken.insert("parameters");
    team.parameters = hasField(top, "parameters") ? requireObject(file, "parameters", top.value["parameters"]).value : json::object();
    finishSettings(top);
    return team;
}

TeamSpec expandTeam(const Template &from, const Team &team)
{
    Substitution substitution = substitutionFor(from, team);
    const json services = substitute(substitution, "services", from.services);
    SettingsObject top{substitution.file, "", {{"services", services}}, {}};
    try {
        return {team.name, parseServices(top)};
    } catch (const SettingsError &error) {
        const std::string origin = originOf(substitution, error.field);
        if (origin.empty()) {
            throw;
        }
        throw SettingsError(error.file, error.field, error.expected + " (the value comes from parameter '" + origin + "' of team '" + team.name + "')");
    }
}

} // namespace pimentofold
