#pragma once

#include <pimentofoldctl/commands.h>
#include <pimentofoldctl/convergence.h>
#include <pimentofoldctl/objectfile.h>

/// Reads teams with their templates, and waits until versions are in force.
namespace pimentofold::ctl {

/// @return the values of the team and of its template; missing objects are left out
ObjectValues readTeam(Connection &connection, const std::string &team);

/// @return the values of all existing templates and teams
ObjectValues readTemplatesAndTeams(Connection &connection);

/// @param key key of the object
/// @param version version that must be in force
/// @param values values that include the affected teams and their templates
/// @return the version and the names of the status objects that must report it; no names when the object affects no team
Expectation expectationFor(const ObjectKey &key, std::int64_t version, const ObjectValues &values);

/// Waits until all expected versions are in force or Options::waitLimit has passed. Writes progress lines to
/// Context::progress.
/// @param expectations versions to wait for
/// @param since platform revision; status objects written up to it can't report the versions yet and aren't read
/// @param report receives the result, and ExitCode::NotConverged when a version isn't in force everywhere
void waitUntilInForce(Context &context, std::vector<Expectation> expectations, std::int64_t since, Report &report);

/// @return the lagging versions as a JSON array
nlohmann::json toJson(const std::vector<LaggingVersion> &lagging);

} // namespace pimentofold::ctl
