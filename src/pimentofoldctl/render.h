#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include <pimentofold/types.h>
#include <pimentofoldctl/objectwrite.h>

/// Texts and JSON of the commands' results.
namespace pimentofold::ctl {

/// @return wall time as "2026-12-04T06:53:06Z"; "-" for 0
std::string formatTime(WallTime time);

/// @return "version 4 by alice at 2026-12-04T06:53:06Z", from the change id
std::string describeVersion(const PlatformObject &object);

/// @return the object as {"kind", "name", "version", "changeId", "value"} without secrets
nlohmann::json toJson(const PlatformObject &object);

/// @return what became of a write, with the difference that it made or, after a conflict, the difference between
///     the present version and the wanted one; several lines
std::string describeWrite(const ObjectWrite &write);

/// @return the same as JSON
nlohmann::json toJson(const ObjectWrite &write);

} // namespace pimentofold::ctl
