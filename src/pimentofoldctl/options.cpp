#include <pimentofoldctl/options.h>

#include <algorithm>
#include <sstream>

#include <tclap/CmdLine.h>

#include <pimentofold/settings.h>
#include <pimentofoldctl/changeid.h>

namespace pimentofold::ctl {

namespace {

constexpr std::int64_t maxTimeMs = 600'000;

std::string overview(const std::vector<CommandSyntax> &commands)
{
    std::string text = "usage: pimentofoldctl COMMAND [options] [operands]\n\ncommands:\n";
    for (const CommandSyntax &it : commands) {
        std::string line = "  " + it.name + " " + it.operands;
        line.resize(std::max<std::size_t>(line.size() + 1, 38), ' ');
        text += line + it.summary + "\n";
    }
    text += "\npimentofoldctl COMMAND --help shows the options of a command.\n"
            "exit codes: 0 ok, 1 error, 2 usage or settings, 3 conflict, 4 platform unreachable or outcome unknown,\n"
            "5 not in force everywhere in time; config check: 1 warnings or differences with --strict, 2 errors\n";
    return text;
}

/// Writes the help and version texts of TCLAP to a string stream instead of standard output.
class TextOutput : public TCLAP::StdOutput
{
public:
    explicit TextOutput(std::ostringstream &out)
        : m_out(out)
    {
    }
    void usage(TCLAP::CmdLineInterface &command) override
    {
        m_out << "usage: " << command.getProgramName() << " [options] operands\n\n" << command.getMessage() << "\n\n";
        for (TCLAP::Arg *it : command.getArgList()) {
            m_out << "  " << it->longID() << "\n      " << it->getDescription() << "\n";
        }
    }
    void version(TCLAP::CmdLineInterface &command) override
    {
        m_out << "pimentofoldctl " << command.getVersion() << "\n";
    }

private:
    std::ostringstream &m_out;
};

Time takeMs(SettingsObject &top, const std::string &field, Time fallback)
{
    return takeInteger(top, field, 1, maxTimeMs, fallback / millisecond) * millisecond;
}

/// The TCLAP arguments, which are the same for every command.
struct Arguments {
    TCLAP::CmdLine &command;
    TCLAP::ValueArg<std::string> settings{"", "settings", "settings file in JSON", false, "", "FILE", command};
    TCLAP::SwitchArg check{"", "check", "check the settings and exit", command};
    TCLAP::ValueArg<std::string> platform{"", "platform", "address of the platform", false, "", "IP:PORT", command};
    TCLAP::ValueArg<std::string> author{"", "operator", "name in the change ids", false, "", "NAME", command};
    TCLAP::SwitchArg json{"", "json", "print JSON", command};
    TCLAP::SwitchArg dryRun{"", "dry-run", "show the difference and write nothing", command};
    TCLAP::SwitchArg wait{"", "wait", "wait until the change is in force everywhere", command};
    TCLAP::ValueArg<std::int64_t> callTimeout{"", "call-timeout-ms", "time after which the response to one call counts as lost", false, 0, "MS", command};
    TCLAP::ValueArg<std::int64_t> deadline{"", "deadline-ms", "time limit of one read or write, including retries", false, 0, "MS", command};
    TCLAP::ValueArg<std::int64_t> waitLimit{"", "wait-limit-ms", "time limit of --wait", false, 0, "MS", command};
    TCLAP::ValueArg<std::int64_t> ifVersion{
        "", "if-version", "write only if this version is the current one; 0: the object must not exist", false, -1, "N", command};
    TCLAP::ValueArg<std::string> reason{"", "reason", "reason of a drain", false, "", "TEXT", command};
    TCLAP::ValueArg<std::string> html{"", "html", "write the timeline to this file as an HTML page", false, "", "FILE", command};
    TCLAP::ValueArg<std::string> against{"", "against", "compare with the configuration in this file", false, "", "FILE", command};
    TCLAP::SwitchArg strict{"", "strict", "exit with 1 on warnings or differences", command};
    TCLAP::ValueArg<std::string> flow{"",
                                      "flow",
                                      "show only the events of this flow, its steps and its outcome; the caller's address, or both addresses as in the logs",
                                      false,
                                      "",
                                      "IP:PORT[>IP:PORT]",
                                      command};
    TCLAP::UnlabeledMultiArg<std::string> operands{"operands", "operands of the command", false, "operand", command};
};

void overrideTime(const TCLAP::ValueArg<std::int64_t> &argument, Time &time)
{
    if (!argument.isSet()) {
        return;
    }
    if (argument.getValue() < 1 || argument.getValue() > maxTimeMs) {
        throw UsageError("--" + argument.getName() + ": expected a number from 1 to " + std::to_string(maxTimeMs));
    }
    time = argument.getValue() * millisecond;
}

Options mergeOptions(const Arguments &arguments)
{
    Options options = arguments.settings.isSet() ? parseCtlSettings(readSettings(arguments.settings.getValue())) : Options();
    options.operands = arguments.operands.getValue();
    options.json = arguments.json.getValue();
    options.dryRun = arguments.dryRun.getValue();
    options.wait = arguments.wait.getValue();
    options.checkOnly = arguments.check.getValue();
    options.reason = arguments.reason.getValue();
    options.html = arguments.html.getValue();
    options.against = arguments.against.getValue();
    options.strict = arguments.strict.getValue();
    options.flow = arguments.flow.getValue();
    if (arguments.platform.isSet()) {
        options.platform = arguments.platform.getValue();
    }
    if (arguments.author.isSet()) {
        options.author = arguments.author.getValue();
    }
    if (arguments.ifVersion.isSet()) {
        options.ifVersion = arguments.ifVersion.getValue();
    }
    overrideTime(arguments.callTimeout, options.callTimeout);
    overrideTime(arguments.deadline, options.deadline);
    overrideTime(arguments.waitLimit, options.waitLimit);
    return options;
}

void rejectOption(bool given, const std::string &option, const CommandSyntax &syntax)
{
    if (given) {
        throw UsageError(option + ": not an option of '" + syntax.name + "'");
    }
}

/// @return whether the text is a caller's address, or a caller's and a service's with ">" between them
bool isFlow(const std::string &text)
{
    const std::size_t at = text.find('>');
    return isAddress(text.substr(0, at)) && (at == std::string::npos || isAddress(text.substr(at + 1)));
}

/// Rejects options that have no effect on the command, so that they aren't ignored silently.
void checkApplicable(const Options &options, const CommandSyntax &syntax)
{
    rejectOption(options.dryRun && !syntax.changesObjects, "--dry-run", syntax);
    rejectOption(options.wait && !syntax.changesObjects, "--wait", syntax);
    rejectOption(options.ifVersion && !syntax.changesObjects, "--if-version", syntax);
    rejectOption(!options.reason.empty() && syntax.name != "drain", "--reason", syntax);
    rejectOption(!options.html.empty() && syntax.name != "timeline", "--html", syntax);
    rejectOption(!options.against.empty() && syntax.name != "config", "--against", syntax);
    rejectOption(options.strict && syntax.name != "config", "--strict", syntax);
    rejectOption(!options.flow.empty() && syntax.name != "timeline", "--flow", syntax);
    if (!options.flow.empty() && !isFlow(options.flow)) {
        throw UsageError("--flow: expected the caller's IPv4 address and port, such as 100.66.0.14:1372, or the flow, such as "
                         "100.66.0.14:1372>198.18.0.1:8443");
    }
    for (const std::string &it : options.operands) {
        // TCLAP parses unknown options as operands.
        rejectOption(it.starts_with("-"), it, syntax);
    }
}

void check(const Options &options, const CommandSyntax &syntax)
{
    checkApplicable(options, syntax);
    const std::size_t n = options.operands.size();
    if (n < syntax.minOperands || n > syntax.maxOperands) {
        throw UsageError("expected: pimentofoldctl " + syntax.name + " " + syntax.operands);
    }
    if (options.platform.empty() && syntax.needsPlatform) {
        throw UsageError("--platform: expected the platform's address, here or in the settings file");
    }
    if (!options.platform.empty() && !isAddress(options.platform)) {
        throw UsageError("--platform: expected an IPv4 address and a port as \"127.0.0.1:8080\"");
    }
    if (options.ifVersion && *options.ifVersion < 0) {
        throw UsageError("--if-version: expected a number that is at least 0");
    }
    if (options.author.find('.') != std::string::npos || !isChangeEntry(options.author) || options.author.size() > 64) {
        throw UsageError("--operator: expected 1 to 64 letters, digits, '-' and '_'");
    }
}

ParsedCommandLine parseCommand(const std::vector<std::string> &arguments, const CommandSyntax &syntax, const std::string &version)
{
    TCLAP::CmdLine command(syntax.summary, ' ', version);
    command.setExceptionHandling(false);
    std::ostringstream text;
    TextOutput output(text);
    command.setOutput(&output);
    Arguments all{command};
    std::vector<std::string> words = arguments;
    words.front() = "pimentofoldctl " + syntax.name;
    try {
        command.parse(words);
    } catch (const TCLAP::ExitException &) {
        return {{}, text.str()};
    } catch (const TCLAP::ArgException &error) {
        throw UsageError(error.argId() + ": " + error.error());
    }
    ParsedCommandLine result{mergeOptions(all), std::nullopt};
    result.options.command = syntax.name;
    if (!result.options.checkOnly) {
        check(result.options, syntax);
    }
    return result;
}

} // namespace

Options parseCtlSettings(SettingsObject top)
{
    Options options;
    options.platform = hasField(top, "platform") ? takeAddress(top, "platform") : "";
    options.author = takeString(top, "operator", options.author);
    options.callTimeout = takeMs(top, "callTimeoutMs", options.callTimeout);
    options.deadline = takeMs(top, "deadlineMs", options.deadline);
    options.waitLimit = takeMs(top, "waitLimitMs", options.waitLimit);
    finishSettings(top);
    return options;
}

ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments, const std::vector<CommandSyntax> &commands, const std::string &version)
{
    if (arguments.empty()) {
        throw UsageError("expected a command\n" + overview(commands));
    }
    if (arguments.front() == "--help" || arguments.front() == "-h" || arguments.front() == "help") {
        return {{}, overview(commands)};
    }
    if (arguments.front() == "--version") {
        return {{}, "pimentofoldctl " + version + "\n"};
    }
    const auto syntax = std::find_if(commands.begin(), commands.end(), [&](const CommandSyntax &it) { return it.name == arguments.front(); });
    if (syntax == commands.end()) {
        throw UsageError("no command named '" + arguments.front() + "'\n" + overview(commands));
    }
    return parseCommand(arguments, *syntax, version);
}

} // namespace pimentofold::ctl
