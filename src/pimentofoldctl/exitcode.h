#pragma once

/// Exit codes of pimentofoldctl, as documented in docs/operators.md.
namespace pimentofold::ctl {

enum class ExitCode {
    Ok = 0,
    Error = 1, ///< an object is invalid or does not exist, or the platform rejected a call
    Usage = 2, ///< the command line or the settings file is invalid
    Conflict = 3, ///< another change was written first
    Unreachable = 4, ///< the platform can't be reached, or the outcome of a write couldn't be determined
    NotConverged = 5, ///< versions are not in force everywhere (within the time limit of --wait)
    ConfigDiffers = 1, ///< config check --strict: the configuration has warnings, or differs from another one
    ConfigInvalid = 2, ///< config check: the configuration has errors
};

} // namespace pimentofold::ctl
