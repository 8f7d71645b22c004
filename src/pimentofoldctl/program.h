#pragma once

#include <ostream>
#include <string>
#include <vector>

/// The whole program behind main().
namespace pimentofold::ctl {

/// Runs one command.
/// @param arguments after the program's name
/// @param version of the program
/// @param out gets the result
/// @param err gets progress and errors
/// @return the exit status, see ExitCode
int runProgram(const std::vector<std::string> &arguments, const std::string &version, std::ostream &out, std::ostream &err);

} // namespace pimentofold::ctl
