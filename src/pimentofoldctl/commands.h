#pragma once

#include <functional>
#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

#include <pimentofold/teams/template.h>
#include <pimentofoldctl/connection.h>
#include <pimentofoldctl/exitcode.h>
#include <pimentofoldctl/options.h>

/// The commands of pimentofoldctl. Commands that only read are in queries.cpp, commands that write objects in changes.cpp, and the
/// check of a configuration in configfile.cpp.
namespace pimentofold::ctl {

/// Result of a command.
struct Report {
    ExitCode exit = ExitCode::Ok;
    std::string text; ///< human-readable output
    nlohmann::json data = nlohmann::json::object(); ///< output of --json
};

/// Options and services that are passed to a command.
struct Context {
    Options options;
    Connection connection; ///< its functions are empty when no platform address is given
    std::ostream &progress; ///< receives progress lines while the command runs
    std::function<WallTime()> wallNow; ///< wall clock in milliseconds since the Unix epoch
    SecretSource secrets; ///< generates the secrets of new key epochs
    std::string entry; ///< entry for the change ids of this command's writes, see makeChangeEntry()
};

/// Checks the objects in files, together with the templates and teams on the platform if one is given.
/// @throws SettingsError
Report validateFiles(Context &context);
/// Reports how applying the files would change the objects on the platform.
Report diffFiles(Context &context);
/// Reports the current version of an object.
Report getObject(Context &context);
/// Lists all objects, or those of one kind.
Report listObjects(Context &context);
/// Reports the latest changes of an object, from its change id.
Report showHistory(Context &context);
/// Reports the data centres' status objects and the versions that are not in force everywhere.
Report showStatus(Context &context);
/// Checks a file with a configuration of the edge nodes, and compares it with another version if --against names one.
/// @throws UsageError when a file can't be read, or the file of --against isn't JSON
Report checkConfigFile(Context &context);
/// Merges log files into a timeline, as text or as an HTML page.
Report showTimeline(Context &context);

/// Writes the objects in files; stops at the first write that fails.
Report applyFiles(Context &context);
/// Deletes an object, unless other objects still need it.
Report deleteObject(Context &context);
/// Writes the drain object of a target, which takes the target out of service.
Report drainTarget(Context &context);
/// Deletes the drain object of a target, which puts the target back into service.
Report undrainTarget(Context &context);
/// Adds a new epoch to the keys of a team.
Report changeKeys(Context &context);

} // namespace pimentofold::ctl
