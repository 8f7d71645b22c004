#pragma once

#include <ostream>
#include <string>
#include <vector>

/// Entry point of the program, called by main().
namespace pimentofold::ctl {

/// Runs one command.
/// @param arguments command-line arguments without the program name
/// @param version version of the program
/// @param out receives the result
/// @param err receives progress lines and errors
/// @return the exit status, see ExitCode
int runProgram(const std::vector<std::string> &arguments, const std::string &version, std::ostream &out, std::ostream &err);

} // namespace pimentofold::ctl
