#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include <easylogging++.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <libnet/logwriter.h>
#include <pimentofold-edge/edge.h>
#include <pimentofold/settings.h>
#include <platform/settingslines.h>

INITIALIZE_EASYLOGGINGPP

using namespace pimentofold;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    if (!in) {
        throw SettingsError(path, "", "a readable file");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// Interval at which the settings file is checked: the platform may change it without sending a signal.
constexpr Time fileCheckInterval = 2 * second;

/// Contents of the settings file.
struct SettingsFile {
    std::string path;
    std::string applied; ///< contents when they were last applied or refused
    std::string seen; ///< contents at the last check
};

void applySettings(Edge &edge, SettingsFile &file)
{
    file.applied = file.seen;
    try {
        edge.reload(platform::parseSettingsLines(file.seen, file.path));
    } catch (const SettingsError &error) {
        edge.refuseReload({error.field, "", error.what()});
    }
}

/// Applies the settings file after a signal, also if its contents have not changed.
void reloadSettings(Edge &edge, SettingsFile &file)
{
    try {
        file.seen = readFile(file.path);
    } catch (const SettingsError &error) {
        edge.refuseReload({"", "", error.what()});
        return;
    }
    applySettings(edge, file);
}

/// Applies the settings file if its contents have changed and were the same at the last check, since a file that is being written
/// may be read in part.
void checkSettings(Edge &edge, SettingsFile &file)
{
    std::string text;
    try {
        text = readFile(file.path);
    } catch (const SettingsError &) {
        return; // the file may be replaced at this moment
    }
    const bool isStable = text == file.seen;
    file.seen = std::move(text);
    if (isStable && file.seen != file.applied) {
        applySettings(edge, file);
    }
}

std::string defaultPath()
{
    const char *path = std::getenv(platform::settingsPathVariable);
    return path != nullptr ? path : platform::defaultSettingsPath;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Edge node: forwards the packets of callers' flows to targets that answer directly.", ' ', PIMENTOFOLD_VERSION);
        TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
        TCLAP::ValueArg<std::string> file("", "platform-settings", "settings file that the platform writes", false, defaultPath(), "file", command);
        TCLAP::ValueArg<std::string> optionsFile("", "settings", "settings file of this program, JSON with comments", false, "", "file", command);
        command.parse(argc, argv);
        const EdgeOptions options = optionsFile.isSet() ? parseEdgeOptions(readSettings(optionsFile.getValue())) : EdgeOptions();
        const std::string settingsText = readFile(file.getValue());
        const EdgeSettings settings = platform::parseSettingsLines(settingsText, file.getValue());
        if (check.getValue()) {
            return 0;
        }
        holdStopSignals();
        std::signal(SIGHUP, SIG_IGN); // until ReloadSignal exists: the default action ends the process. A change is noticed at the next check of the file.
        setUpLogging();
        LogWriter log(STDOUT_FILENO);
        Edge edge(settings, options);
        setLoopErrorHandler([&](const std::exception &error) { edge.logUnexpectedError(error); });
        const StopSignals stop([&] { edge.stop(); });
        SettingsFile settingsFile{file.getValue(), settingsText, settingsText};
        const ReloadSignal reload([&] { reloadSettings(edge, settingsFile); });
        Timer fileCheckTimer([&] { checkSettings(edge, settingsFile); });
        fileCheckTimer.start(fileCheckInterval, fileCheckInterval);
        runLoop();
        return 0;
    } catch (const SettingsError &error) {
        std::cerr << "error: " << error.what() << '\n';
        return exitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << '\n';
        return 1;
    }
}
