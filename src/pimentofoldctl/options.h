#pragma once

#include <optional>
#include <string>
#include <vector>

#include <pimentofold/settings.h>
#include <pimentofold/types.h>

/// Command line and settings of pimentofoldctl.
namespace pimentofold::ctl {

/// What the command line and the settings file say together.
struct Options {
    std::string command; ///< first word of the command line
    std::vector<std::string> operands;
    std::string platform; ///< "ip:port"; empty when none is given
    std::string author = "operator"; ///< name of the operator in change ids
    bool json = false;
    bool dryRun = false;
    bool wait = false;
    bool checkOnly = false; ///< check the settings and end
    Time callTimeout = 2 * second; ///< after which the answer to one call counts as lost
    Time deadline = 10 * second; ///< for settling a write or a read
    Time waitLimit = 15 * second; ///< for --wait
    std::optional<std::int64_t> ifVersion;
    std::string reason; ///< of a drain
    std::string html; ///< file for the timeline's page
    std::string flow; ///< caller's address and port of the flow that the timeline is limited to
};

/// A wrong command line; what() says what was expected.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A command of pimentofoldctl as far as the command line is concerned.
struct CommandSyntax {
    std::string name;
    std::string operands; ///< as shown in the help, for example "FILE..."
    std::size_t minOperands = 0;
    std::size_t maxOperands = 0;
    bool needsPlatform = false;
    bool changesObjects = false; ///< takes the options of writes
    std::string summary;
};

/// Either options, or a text that the command line asks for (help or version).
struct ParsedCommandLine {
    Options options;
    std::optional<std::string> text;
};

/// Reads the settings {"platform", "operator", "callTimeoutMs", "deadlineMs", "waitLimitMs"}, all optional.
/// @throws SettingsError
Options parseCtlSettings(SettingsObject top);

/// Parses the arguments after the program's name. Options override the settings file.
/// @param commands the known commands
/// @param version of the program
/// @throws UsageError, SettingsError
ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments, const std::vector<CommandSyntax> &commands, const std::string &version);

} // namespace pimentofold::ctl
