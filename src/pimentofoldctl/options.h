#pragma once

#include <optional>
#include <string>
#include <vector>

#include <pimentofold/settings.h>
#include <pimentofold/types.h>

/// Command-line options and settings of pimentofoldctl.
namespace pimentofold::ctl {

/// Options of a command, merged from the command line and the settings file.
struct Options {
    std::string command; ///< name of the command, the first argument
    std::vector<std::string> operands; ///< arguments that aren't options
    std::string platform; ///< address of the platform as "ip:port"; empty when none is given
    std::string author = "operator"; ///< name of the operator in change ids
    bool json = false; ///< print JSON instead of text
    bool dryRun = false; ///< show the difference and write nothing
    bool wait = false; ///< wait until written versions are in force everywhere
    bool checkOnly = false; ///< only check the settings, then exit
    Time callTimeout = 2 * second; ///< time after which the response to one call counts as lost
    Time deadline = 10 * second; ///< time after which one read or write is no longer retried
    Time waitLimit = 15 * second; ///< time limit of --wait
    std::optional<std::int64_t> ifVersion; ///< version that a write must replace; 0: the object must not exist
    std::string reason; ///< reason of a drain
    std::string html; ///< path of the HTML page that the timeline command writes; empty for text output
    std::string against; ///< path of the configuration that another one is compared with; empty for none
    bool strict = false; ///< report warnings and differences of a configuration by the exit code
    std::string flow; ///< caller's "ip:port"; limits the timeline to the flow of this caller, empty for all events
};

/// Thrown when the command line is invalid; what() describes the expected usage.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Command-line syntax of one command.
struct CommandSyntax {
    std::string name; ///< first argument
    std::string operands; ///< operands as shown in the help, for example "FILE..."
    std::size_t minOperands = 0;
    std::size_t maxOperands = 0;
    bool needsPlatform = false; ///< --platform or the setting is required
    bool changesObjects = false; ///< --dry-run, --wait and --if-version are allowed
    std::string summary; ///< one-line description for the help
};

/// Parsed command line: either options, or a text to print instead of running a command (help or version).
struct ParsedCommandLine {
    Options options;
    std::optional<std::string> text;
};

/// Parses the settings {"platform", "operator", "callTimeoutMs", "deadlineMs", "waitLimitMs"}, all optional.
/// @throws SettingsError when a setting is unknown or invalid
Options parseCtlSettings(SettingsObject top);

/// Parses the command line. Options take precedence over the settings file.
/// @param arguments arguments without the program name
/// @param commands the known commands
/// @param version version of the program, for --version
/// @throws UsageError when the command line is invalid
/// @throws SettingsError when the settings file is invalid
ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments, const std::vector<CommandSyntax> &commands, const std::string &version);

} // namespace pimentofold::ctl
