#pragma once

#include <functional>
#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

#include <pimentofold/template.h>
#include <pimentofoldctl/connection.h>
#include <pimentofoldctl/exitcode.h>
#include <pimentofoldctl/options.h>

/// The commands of pimentofoldctl. Queries are in queries.cpp, commands that change something in changes.cpp.
namespace pimentofold::ctl {

/// What a command gives back: text for people, the same as JSON, and the exit code.
struct Report {
    ExitCode exit = ExitCode::Ok;
    std::string text;
    nlohmann::json data = nlohmann::json::object();
};

/// What a command works with.
struct Context {
    Options options;
    Connection connection; ///< without functions when no platform is given
    std::ostream &progress; ///< lines while a command runs
    std::function<WallTime()> wallNow;
    SecretSource secrets;
    std::string entry; ///< id of this change
};

Report validateFiles(Context &context);
Report diffFiles(Context &context);
Report getObject(Context &context);
Report listObjects(Context &context);
Report showHistory(Context &context);
Report showStatus(Context &context);
Report showTimeline(Context &context);

Report applyFiles(Context &context);
Report deleteObject(Context &context);
Report drainTarget(Context &context);
Report undrainTarget(Context &context);
Report changeKeys(Context &context);

} // namespace pimentofold::ctl
