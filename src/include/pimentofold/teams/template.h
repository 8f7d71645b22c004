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

/// Parsing and validation of the configuration objects that operators write: templates, teams, keys and drains; the
/// expansion of a team's template to its services; rotation of keys.
///
/// Every function that validates an object throws SettingsError: `file` is "KIND/NAME", `field` the path of the
/// field in the object's value, `expected` what is allowed there. Errors never contain values, so no error can
/// disclose a secret. docs/formats.md has the schema of each kind.
namespace pimentofold {

/// Largest value of an object, in bytes of compact JSON. The platform refuses request bodies above 1,000,000 bytes;
/// the difference leaves room for the other fields of the request.
constexpr std::size_t maxObjectValueBytes = 950'000;
/// Maximum length of the name of a team, service, data centre, instance, kind of work or parameter, in characters.
constexpr std::size_t maxNameLength = 64;
/// Highest number of an urgency level, which is the least urgent one; 0 is the most urgent.
constexpr int lowestUrgency = 9;
/// Largest default deadline that a service may set for its requests, in milliseconds.
constexpr int maxDeadlineMs = 30'000;

/// Type of a parameter's value; Strings is an array of strings.
enum class ParameterType { Integer, Number, Boolean, String, Strings };

/// A parameter that a template declares.
struct Parameter {
    std::string name;
    ParameterType type = ParameterType::Integer;
    nlohmann::json fallback; ///< value for teams that don't set the parameter
    std::optional<double> minimum; ///< inclusive lower bound; only for Integer and Number
    std::optional<double> maximum; ///< inclusive upper bound; only for Integer and Number
};

/// A validated template. Its services still contain references to parameters, "${NAME}".
struct Template {
    std::string name;
    std::vector<Parameter> parameters;
    nlohmann::json services;
};

/// A validated team. Only expandTeam() validates its parameters, because this needs the template.
struct Team {
    std::string name;
    std::string templateName;
    nlohmann::json parameters; ///< JSON object: values by name of the parameter
};

/// A kind of work of a service. CallerPacket::workKind is an index into ServiceSpec::workKinds.
struct WorkKindSpec {
    std::string name;
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< share of the service's capacity that is reserved for this kind, 0 to 1
    double ceilingShare = 1; ///< largest share of the service's capacity that this kind may use, 0 to 1
};

/// A target that the template lists, in addition to the targets in the platform's instance list.
struct TargetSpec {
    std::string instance;
    std::string dataCentre;
    std::string address; ///< "ip:port"
    int slots = 1; ///< number of requests that the target runs at a time
};

/// A service of a team, with all parameters filled in.
struct ServiceSpec {
    std::string name;
    int port = 0; ///< UDP port on each entry instance of the team
    bool session = true; ///< true: all requests of a flow go to the same target
    std::vector<std::string> dataCentres; ///< data centres whose targets serve the service; at least one
    int slots = 1; ///< slots of each target that doesn't set its own number
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< share of the team's work that is reserved for this service, 0 to 1
    double ceilingShare = 1; ///< largest share of the team's work that this service may use, 0 to 1
    int defaultDeadlineMs = 2000; ///< deadline of requests that don't set one
    std::vector<WorkKindSpec> workKinds; ///< at least one
    std::vector<TargetSpec> targets;
};

/// A team's services with all parameters filled in.
struct TeamSpec {
    std::string name;
    std::vector<ServiceSpec> services;
};

/// Parses and validates a template, including its expansion with the default values of all parameters.
/// @param name name of the object
/// @param value value of the object
/// @throws SettingsError when the name or the value is invalid
Template parseTemplate(const std::string &name, const nlohmann::json &value);

/// Parses a team and validates everything that doesn't depend on its template.
/// @param name name of the object
/// @param value value of the object
/// @throws SettingsError when the name or the value is invalid
Team parseTeam(const std::string &name, const nlohmann::json &value);

/// Replaces the references to parameters in a template by the team's values and validates the resulting services, each
/// field by itself and the fields in relation to each other.
/// @throws SettingsError for "team/NAME" when a parameter of the team is invalid, for "template/NAME" when a resulting
///     service is invalid; `expected` then names the parameter that the invalid value came from, if it came from one
TeamSpec expandTeam(const Template &from, const Team &team);

/// Checks the size of a value as compact JSON.
/// @param name "KIND/NAME" of the object, for the error message
/// @throws SettingsError when the value is larger than maxObjectValueBytes
void checkValueSize(const std::string &name, const nlohmann::json &value);

/// @return whether the text consists of 1 to maxNameLength lower-case letters, digits, '-' and '.'
bool isName(std::string_view text);
/// @return whether the text is a name without '.'. Teams, services and data centres have such names, so that the names
///     of drain and status objects, which join them by '.', can be split again.
bool isPlainName(std::string_view text);

/// Name of a drain object, split into the parts that identify the drained target.
struct DrainName {
    std::string team;
    std::string service;
    std::string instance;
};

/// @return "TEAM.SERVICE.INSTANCE"
std::string toString(const DrainName &drain);
/// @return the parts of "TEAM.SERVICE.INSTANCE", or nothing when the text doesn't have this form
std::optional<DrainName> parseDrainName(std::string_view text);

/// Validates a drain object.
/// @param name name of the object, "TEAM.SERVICE.INSTANCE"
/// @param value value of the object
/// @return the reason that the operator gave, possibly empty
/// @throws SettingsError when the name or the value is invalid
std::string parseDrain(const std::string &name, const nlohmann::json &value);

/// Size of the secret of a key epoch, in bytes.
constexpr std::size_t teamSecretBytes = 32;
/// Maximum number of epochs of a team's key that are valid at a time.
constexpr std::size_t maxKeyEpochs = 8;
/// Time for which a replaced epoch stays valid, in milliseconds. It equals the time for which a token can be used for routing.
constexpr WallTime replacedKeyValidMs = 24LL * 60 * 60 * 1000;
/// Delay between the creation of an epoch and its use for new tokens, in milliseconds. It is longer than the 7 s within
/// which an object is in force on all balancers, so that no balancer receives a token of an epoch that it doesn't have yet.
constexpr WallTime keyUseDelayMs = 15'000;

/// Secret of one epoch. It must never be written to a log or a terminal.
using TeamSecret = std::array<std::uint8_t, teamSecretBytes>;
/// Fills a secret with random bytes.
using SecretSource = std::function<void(TeamSecret &secret)>;

/// One version of a team's key.
struct KeyEpoch {
    std::int32_t epoch = 0; ///< number of the epoch, 1 or above; a newer epoch has a higher number
    TeamSecret secret{};
    WallTime validUntil = 0; ///< tokens of this epoch are refused from this time on; 0: no limit
    WallTime useFrom = 0; ///< new tokens are sealed under this epoch from this time on
};

/// The epochs of one team, newest first.
struct TeamKeys {
    std::string team;
    std::vector<KeyEpoch> epochs;
};

/// Parses and validates a keys object.
/// @param team name of the object, which is the name of the team
/// @param value value of the object
/// @throws SettingsError when the name or the value is invalid
TeamKeys parseKeys(const std::string &team, const nlohmann::json &value);

/// @return the value of the keys object for parseKeys(); it contains the secrets in plain text
nlohmann::json keysValue(const TeamKeys &keys);

/// Adds an epoch with a new secret and removes expired epochs. The previous newest epoch stays valid for
/// replacedKeyValidMs after the new one comes into use.
/// @param keys present keys of the team; without epochs for a team that has no keys yet
/// @param now wall-clock time
/// @param source generates the new secret
/// @return the new keys
/// @throws SettingsError when maxKeyEpochs epochs are still valid: removing one would invalidate its tokens early
TeamKeys rotateKeys(const TeamKeys &keys, WallTime now, const SecretSource &source);

/// @return the epochs that are valid at @p now in the order of NodeView::keys: first the epoch that new tokens use, then
///     the others, newest first
std::vector<KeyEpoch> keysInUse(const TeamKeys &keys, WallTime now);

} // namespace pimentofold
