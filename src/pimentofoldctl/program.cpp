#include <pimentofoldctl/program.h>

#include <algorithm>

#include <sodium.h>

#include <pimentofold/eventlog.h>
#include <pimentofoldctl/changeid.h>
#include <pimentofoldctl/commands.h>

namespace pimentofold::ctl {

namespace {

constexpr std::size_t maxFileOperands = 10'000;

struct Command {
    CommandSyntax syntax;
    Report (*run)(Context &);
};

const std::vector<Command> &commands()
{
    static const std::vector<Command> all = {
        {{"validate", "FILE...", 1, maxFileOperands, false, false, "checks objects; with --platform also against the objects on the platform"}, validateFiles},
        {{"diff", "FILE...", 1, maxFileOperands, true, false, "shows what apply would change"}, diffFiles},
        {{"apply", "FILE...", 1, maxFileOperands, true, true, "writes objects"}, applyFiles},
        {{"get", "KIND NAME", 2, 2, true, false, "shows an object"}, getObject},
        {{"list", "[KIND]", 0, 1, true, false, "lists objects"}, listObjects},
        {{"history", "KIND NAME", 2, 2, true, false, "shows the latest changes of an object"}, showHistory},
        {{"status", "[TEAM]", 0, 1, true, false, "shows data centres and what is in force"}, showStatus},
        {{"drain", "TEAM SERVICE INSTANCE", 3, 3, true, true, "takes a target out of service"}, drainTarget},
        {{"undrain", "TEAM SERVICE INSTANCE", 3, 3, true, true, "puts a target back into service"}, undrainTarget},
        {{"delete", "KIND NAME", 2, 2, true, true, "deletes an object"}, deleteObject},
        {{"keys", "rotate TEAM", 2, 2, true, true, "adds an epoch to a team's keys"}, changeKeys},
        {{"config", "check FILE", 2, 2, false, false, "checks a configuration of the edge nodes"}, checkConfigFile},
        {{"timeline", "FILE...", 1, maxFileOperands, false, false, "merges the event lines of processes"}, showTimeline},
    };
    return all;
}

std::vector<CommandSyntax> syntaxes()
{
    std::vector<CommandSyntax> result;
    for (const Command &it : commands()) {
        result.push_back(it.syntax);
    }
    return result;
}

std::uint64_t randomBits()
{
    std::uint64_t bits = 0;
    randombytes_buf(&bits, sizeof bits);
    return bits;
}

Context contextFor(const Options &options, std::ostream &err)
{
    const auto nonce = static_cast<std::uint32_t>(randomBits());
    Connection connection;
    if (!options.platform.empty()) {
        connection = connectTo(options.platform, options.callTimeout, options.deadline, randomBits());
    }
    return {options,
            std::move(connection),
            err,
            wallNow,
            [](TeamSecret &secret) { randombytes_buf(secret.data(), secret.size()); },
            makeChangeEntry(wallNow(), options.author, nonce)};
}

Report errorReport(ExitCode exit, const std::string &text)
{
    return {exit, "error: " + text + "\n", {{"error", text}}};
}

Report runCommand(const Options &options, std::ostream &err)
{
    const auto command = std::find_if(commands().begin(), commands().end(), [&](const Command &it) { return it.syntax.name == options.command; });
    try {
        Context context = contextFor(options, err);
        return command->run(context);
    } catch (const UsageError &error) {
        return errorReport(ExitCode::Usage, error.what());
    } catch (const PlatformUnreachable &error) {
        return errorReport(ExitCode::Unreachable, error.what());
    } catch (const std::exception &error) {
        return errorReport(ExitCode::Error, error.what());
    }
}

void print(const Report &report, bool asJson, std::ostream &out, std::ostream &err)
{
    if (asJson) {
        nlohmann::json data = report.data;
        data["exitCode"] = static_cast<int>(report.exit);
        out << data.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
    } else {
        (report.text.starts_with("error: ") ? err : out) << report.text << std::flush;
    }
}

} // namespace

int runProgram(const std::vector<std::string> &arguments, const std::string &version, std::ostream &out, std::ostream &err)
{
    ParsedCommandLine parsed;
    try {
        if (sodium_init() < 0) {
            throw std::runtime_error("cannot initialise libsodium: no source of random numbers");
        }
        parsed = parseCommandLine(arguments, syntaxes(), version);
    } catch (const std::exception &error) {
        err << "error: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    if (parsed.text) {
        out << *parsed.text;
        return static_cast<int>(ExitCode::Ok);
    }
    if (parsed.options.checkOnly) {
        out << "the settings are valid\n";
        return static_cast<int>(ExitCode::Ok);
    }
    const Report report = runCommand(parsed.options, err);
    print(report, parsed.options.json, out, err);
    return static_cast<int>(report.exit);
}

} // namespace pimentofold::ctl
