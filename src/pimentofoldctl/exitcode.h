#pragma once

/// Exit codes of pimentofoldctl, as in docs/operators.md.
namespace pimentofold::ctl {

enum class ExitCode {
    Ok = 0,
    Error = 1, ///< an object is wrong, or the platform refuses the change
    Usage = 2, ///< the command line or the settings are wrong
    Conflict = 3, ///< another change came first
    Unreachable = 4, ///< the platform can't be reached, or the fate of a change couldn't be found out
    NotConverged = 5, ///< written, but not in force everywhere in time
};

} // namespace pimentofold::ctl
