#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <pimentofold/settings.h>
#include <pimentofold/types.h>

/// Templates and teams, and their expansion to services; key and drain objects.
///
/// Every function that checks an object throws SettingsError: `file` is "KIND/NAME", `field` the path of the
/// field in the object's value, `expected` what is allowed there. Errors never contain values, so that none
/// of them shows a secret. docs/formats.md has the schema of each kind.
namespace pimentofold {

/// Largest value that is written, in bytes of compact JSON. The platform refuses bodies above 1,000,000 bytes;
/// the difference leaves room for what surrounds the value there.
constexpr std::size_t maxObjectValueBytes = 950'000;
/// Longest name of a team, service, data centre, instance, kind of work or parameter, in characters.
constexpr std::size_t maxNameLength = 64;
/// The least urgent level; 0 is the most urgent.
constexpr int leastUrgency = 9;
/// Longest deadline of a request, in milliseconds.
constexpr int maxDeadlineMs = 30'000;

enum class ParameterType { Integer, Number, Boolean, String, Strings };

/// A declared parameter of a template.
struct Parameter {
    std::string name;
    ParameterType type = ParameterType::Integer;
    nlohmann::json fallback; ///< value for teams that don't set the parameter
    std::optional<double> least; ///< bounds of integers and numbers
    std::optional<double> most;
};

/// A checked template. Its services still contain references to parameters.
struct Template {
    std::string name;
    std::vector<Parameter> parameters;
    nlohmann::json services;
};

/// A checked team; its parameters are checked by expandTeam().
struct Team {
    std::string name;
    std::string templateName;
    nlohmann::json parameters; ///< an object
};

/// A kind of work of a service. Its index in the service is CallerPacket::workKind.
struct WorkKindSpec {
    std::string name;
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< share of the service's capacity that is kept for this kind
    double ceilingShare = 1;
};

/// A target that is named in the template, besides those of the platform's instance list.
struct TargetSpec {
    std::string instance;
    std::string dataCentre;
    std::string address;
    int slots = 1;
};

struct ServiceSpec {
    std::string name;
    int port = 0; ///< UDP port on each entry instance of the team
    bool session = true; ///< a flow stays with its target
    std::vector<std::string> dataCentres;
    int slots = 1; ///< of each target that doesn't state its own
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< share of the team's work that is kept for this service
    double ceilingShare = 1;
    int defaultDeadlineMs = 2000;
    std::vector<WorkKindSpec> workKinds; ///< at least one
    std::vector<TargetSpec> targets;
};

/// A team's services with all parameters filled in.
struct TeamSpec {
    std::string name;
    std::vector<ServiceSpec> services;
};

/// Checks a template, including its expansion with the defaults of all parameters.
/// @param name of the object
/// @param value of the object
/// @throws SettingsError
Template parseTemplate(const std::string &name, const nlohmann::json &value);

/// Checks what can be checked of a team without its template.
/// @throws SettingsError
Team parseTeam(const std::string &name, const nlohmann::json &value);

/// Fills in the parameters and checks the result, also across fields.
/// @throws SettingsError for "team/NAME" when a parameter is wrong, for "template/NAME" when the result is wrong;
///     the text then names the parameter that a wrong value came from
TeamSpec expandTeam(const Template &from, const Team &team);

/// @param name "KIND/NAME" for the error
/// @throws SettingsError when the value is larger than maxObjectValueBytes
void checkValueSize(const std::string &name, const nlohmann::json &value);

/// @return whether the text has 1 to maxNameLength lower-case letters, digits, '-' and '.'
bool isName(std::string_view text);
/// @return whether the text is a name without '.'; teams, services and data centres have such names, so that
///     the names of drain and status objects can be taken apart
bool isPlainName(std::string_view text);

/// The target that a drain object names.
struct DrainName {
    std::string team;
    std::string service;
    std::string instance;
};

/// @return "TEAM.SERVICE.INSTANCE"
std::string toString(const DrainName &drain);
/// @return the parts, or nothing when the text isn't the name of a drain object
std::optional<DrainName> parseDrainName(std::string_view text);

/// @throws SettingsError when the value isn't that of a drain object
/// @return the reason
std::string parseDrain(const std::string &name, const nlohmann::json &value);

constexpr std::size_t teamSecretBytes = 32;
/// Most epochs of a team's key that are valid at a time.
constexpr std::size_t maxKeyEpochs = 8;
/// How long a replaced epoch stays valid: as long as a token routes.
constexpr WallTime replacedKeyValidMs = 24LL * 60 * 60 * 1000;
/// Delay between writing a new epoch and its use for new tokens. It is above the 7 s in which an object is in
/// force everywhere, so that no balancer gets a token of an epoch that it doesn't know.
constexpr WallTime keyUseDelayMs = 15'000;

/// Secret of one epoch. Never write one to a log or to a terminal.
using TeamSecret = std::array<std::uint8_t, teamSecretBytes>;
/// Fills a secret with random bytes.
using SecretSource = std::function<void(TeamSecret &secret)>;

struct KeyEpoch {
    std::int32_t epoch = 0;
    TeamSecret secret{};
    WallTime validUntil = 0; ///< 0: no end
    WallTime useFrom = 0; ///< new tokens use the epoch from then on
};

/// The epochs of one team, newest first.
struct TeamKeys {
    std::string team;
    std::vector<KeyEpoch> epochs;
};

/// @throws SettingsError when the value isn't that of a keys object
TeamKeys parseKeys(const std::string &team, const nlohmann::json &value);

/// @return the value of the keys object, which contains the secrets
nlohmann::json keysValue(const TeamKeys &keys);

/// Adds an epoch. The former newest one stays valid for replacedKeyValidMs after the new one comes into use;
/// ended epochs are dropped.
/// @param keys of the team; no epochs for a team without keys
/// @param now wall time
/// @param source gives the new secret
/// @throws SettingsError when maxKeyEpochs epochs are valid already: dropping one would end its tokens early
TeamKeys rotateKeys(const TeamKeys &keys, WallTime now, const SecretSource &source);

/// @return the epochs that are valid at @p now, first the one that new tokens use, then the others newest first:
///     the order of NodeView::keys
std::vector<KeyEpoch> keysInUse(const TeamKeys &keys, WallTime now);

/// @return the next time at which the result of keysInUse() changes; nothing when it stays as it is
std::optional<WallTime> nextKeyChange(const TeamKeys &keys, WallTime now);

} // namespace pimentofold
