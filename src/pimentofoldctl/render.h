#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include <pimentofold/types.h>
#include <pimentofoldctl/objectwrite.h>

/// Formats the results of commands as text and JSON.
namespace pimentofold::ctl {

/// @param time in milliseconds since the Unix epoch
/// @return the time in UTC, for example "2026-12-04T06:53:06Z"; "-" for 0
std::string formatTime(WallTime time);

/// @return the version, with author and time from its change id: "version 4 by alice at 2026-12-04T06:53:06Z"
std::string describeVersion(const PlatformObject &object);

/// @return the object as {"kind", "name", "version", "deleted", "changeId", "value"}, without secrets
nlohmann::json toJson(const PlatformObject &object);

/// @return the outcome of a write as several lines, with the difference that it made or, after a conflict, the difference
///     between the current value and the requested one
std::string describeWrite(const ObjectWrite &write);

/// @return the outcome of a write as JSON, with the same information
nlohmann::json toJson(const ObjectWrite &write);

} // namespace pimentofold::ctl
