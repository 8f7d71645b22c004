#pragma once

#include <pimentofoldctl/commands.h>
#include <pimentofoldctl/convergence.h>
#include <pimentofoldctl/objectfile.h>

/// Reading what teams consist of, and waiting until versions are in force.
namespace pimentofold::ctl {

/// @return the values of the team and of its template, as far as they exist
ObjectValues readTeam(Connection &connection, const std::string &team);

/// @return the values of all templates and teams
ObjectValues readTemplatesAndTeams(Connection &connection);

/// @return what has to be in force where, for a version of an object; no status names when no team is concerned
Expectation expectationFor(const ObjectKey &key, std::int64_t version, const ObjectValues &values);

/// Waits until everything is in force or Options::waitLimit has passed, and shows the progress.
/// @param since platform revision before which no status can report the versions
/// @param report gets the result, and ExitCode::NotConverged when something lags
void waitUntilInForce(Context &context, std::vector<Expectation> expectations, std::int64_t since, Report &report);

/// @return laggards as JSON
nlohmann::json toJson(const std::vector<LaggingVersion> &lagging);

} // namespace pimentofold::ctl
