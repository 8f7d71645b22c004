#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

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
constexpr Time fileCheckInterval = 5 * second;

/// Applies the settings file if its contents have changed.
/// @param text contents of the file when it was last applied; updated
/// @param force apply the file even if its contents have not changed
void reloadSettings(Edge &edge, const std::string &path, std::string &text, bool force)
{
    try {
        const std::string newText = readFile(path);
        if (force || newText != text) {
            edge.reload(platform::parseSettingsLines(newText, path));
        }
        text = newText;
    } catch (const SettingsError &error) {
        edge.refuseReload(error.what());
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
        const EdgeSettings settings = platform::parseSettingsLines(readFile(file.getValue()), file.getValue());
        if (check.getValue()) {
            return 0;
        }
        holdStopSignals();
        std::signal(SIGHUP, SIG_IGN); // until ReloadSignal exists: the default action ends the process. The file is read again after this line.
        setUpLogging();
        LogWriter log(STDOUT_FILENO);
        Edge edge(settings, options);
        setLoopErrorHandler([&](const std::exception &error) { edge.logUnexpectedError(error); });
        const StopSignals stop([&] { edge.stop(); });
        std::string text = readFile(file.getValue());
        const ReloadSignal reload([&] { reloadSettings(edge, file.getValue(), text, true); });
        Timer fileCheckTimer([&] { reloadSettings(edge, file.getValue(), text, false); });
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
