#pragma once

#include <functional>
#include <string>

#include <pimentofold/settings.h>

/// The frame of a stand-in's main function.
namespace pimentofold {

/// What a stand-in program consists of.
struct Program {
    std::string description; ///< for --help
    std::string version;
    std::function<void(SettingsObject &)> readFields; ///< takes all fields of the settings file; throws SettingsError
    std::function<void()> serve; ///< runs until a signal stops the program
};

/// Parses the command line, reads the settings and serves unless --check is given.
/// @return the exit status: 0, 1 after an error at run time, or exitBadSettings
int runProgram(int argc, char **argv, const Program &program);

} // namespace pimentofold
