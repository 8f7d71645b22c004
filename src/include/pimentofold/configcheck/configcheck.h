#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/address.h>
#include <pimentofold/types.h>

/// Checks a configuration of the edge nodes before it is written, and compares two versions of it. The adapter in src/platform
/// decodes the platform's format into a ConfigDescription and reports what it can't decode.
///
///     platform::ConfigText text = platform::describeConfig(content);
///     std::vector<ConfigFinding> findings = std::move(text.findings);
///     addConfigFindings(text.config, findings);
///     sortFindings(findings);
namespace pimentofold {

enum class FindingSeverity {
    Error,
    Warning,
    Difference, ///< from another version of the configuration
};

/// What a finding is about. Each code has a fixed severity.
enum class FindingCode {
    NotJson,
    WrongType,
    MissingField,
    OutOfRange, ///< negative or too large
    InvalidHost,
    InvalidPort,
    UnknownType, ///< type of a route that this version doesn't know
    DuplicateField, ///< the last one counts
    DuplicateService,
    DuplicateRoute,
    UnknownService, ///< a route names a service that isn't listed
    ShadowedRoute,
    NoWeight, ///< the weights of a route's services are all 0
    NoListedService, ///< none of a route's services is listed
    UnusedService,
    NoHealthPath,
    GoalAboveTimeout,
    IdleTimeoutBelowTimeout,
    NoColdRate,
    NoConnections,
    Added,
    Removed,
    Changed,
};

/// @return name of the code, for example "missing_field"
std::string_view name(FindingCode code);

FindingSeverity severityOf(FindingCode code);

/// A field of a configuration file and its position in the text.
struct FieldLocation {
    std::size_t line = 0; ///< from 1; 0: the field isn't in the file
    std::size_t column = 0; ///< from 1, in bytes
    std::string field; ///< path, for example "routes[3].host"; empty for the whole configuration
};

/// One line of the result of a check or a comparison.
struct ConfigFinding {
    FindingCode code = FindingCode::NotJson;
    FieldLocation location;
    std::string message;
    std::string before; ///< differences only: previous value as compact JSON, truncated; empty when there was none
    std::string after; ///< differences only: new value in the same form
};

/// A field with its value, for comparison with another version.
struct DescribedField {
    std::string name; ///< relative to the service or route, for example "aim_ms"
    std::string value; ///< normalised JSON, the same for equal values
    FieldLocation location;
};

struct DescribedService {
    std::string name; ///< empty when it can't be decoded
    FieldLocation location;
    bool hasHealthPath = false;
    std::optional<std::int64_t> maxConnections; ///< nothing: not limited
    FieldLocation maxConnectionsLocation;
    Time coldTime = 0; ///< 0: targets are never cold
    double coldRate = 0; ///< openings per second that a cold target can take
    FieldLocation coldLocation; ///< of the rate, or of the cold time when the rate is missing
    std::vector<DescribedField> fields;
};

/// A service that a route names.
struct ServiceReference {
    std::string service;
    double weight = 1; ///< 0: gets no flows
    FieldLocation location;
};

struct DescribedRoute {
    std::string name; ///< empty when it can't be decoded
    FieldLocation location;
    std::optional<Address> address; ///< service address; nothing when it can't be decoded
    std::vector<ServiceReference> services; ///< those that could be decoded
    bool servicesDecoded = false; ///< whether `services` is complete
    FieldLocation servicesLocation;
    Time responseTimeGoal = 0; ///< 0: not set
    FieldLocation goalLocation;
    Time timeout = 0; ///< time until a request is given up; 0: not set
    std::vector<DescribedField> fields;
};

/// A decoded configuration with the positions of its fields.
struct ConfigDescription {
    std::vector<DescribedService> services;
    bool servicesDecoded = false; ///< whether `services` has the name of each service
    std::vector<DescribedRoute> routes;
    Time idleTimeout = 0; ///< 0: not set
    FieldLocation idleTimeoutLocation;
    std::vector<DescribedField> fields; ///< all others, for example the version
};

/// Adds entries that have no effect, and limits that contradict each other. Takes O(n log n) for n services and routes.
/// @param findings receives the errors and warnings
void addConfigFindings(const ConfigDescription &config, std::vector<ConfigFinding> &findings);

/// Compares two versions. Services and routes are matched by name. Takes O(n log n) for n fields.
/// @return differences in the order of @p after; those of removed entries and fields follow after them
std::vector<ConfigFinding> compareConfigs(const ConfigDescription &before, const ConfigDescription &after);

/// Sorts findings by their position, those at the same position by code.
void sortFindings(std::vector<ConfigFinding> &findings);

/// @return @p text as a JSON string literal, so that control characters in names don't reach a terminal
std::string quote(std::string_view text);

} // namespace pimentofold
