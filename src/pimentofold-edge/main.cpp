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
        throw SettingsError(path, "", "a file that can be read");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// The platform may change the file without a signal.
constexpr Time fileInterval = 5 * second;

/// Takes over the settings file if it has changed, or in any case.
/// @param text the file as it was read last
void reloadSettings(Edge &edge, const std::string &path, std::string &text, bool always)
{
    try {
        const std::string now = readFile(path);
        if (always || now != text) {
            edge.reload(platform::parseSettingsLines(now, path));
        }
        text = now;
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
        TCLAP::SwitchArg check("", "check", "check the settings and end", command);
        TCLAP::ValueArg<std::string> file("", "platform-settings", "file that the platform writes", false, defaultPath(), "file", command);
        TCLAP::ValueArg<std::string> optionsFile("", "settings", "own settings, JSON with comments", false, "", "file", command);
        command.parse(argc, argv);
        const EdgeOptions options = optionsFile.isSet() ? parseEdgeOptions(readSettings(optionsFile.getValue())) : EdgeOptions();
        const EdgeSettings settings = platform::parseSettingsLines(readFile(file.getValue()), file.getValue());
        if (check.getValue()) {
            return 0;
        }
        holdStopSignals();
        std::signal(SIGHUP, SIG_IGN); // until ReloadSignal exists; the settings are read after this line
        setUpLogging();
        LogWriter log(STDOUT_FILENO);
        Edge edge(settings, options);
        const StopSignals stop([&] { edge.stop(); });
        std::string text = readFile(file.getValue());
        const ReloadSignal reload([&] { reloadSettings(edge, file.getValue(), text, true); });
        Timer look([&] { reloadSettings(edge, file.getValue(), text, false); });
        look.start(fileInterval, fileInterval);
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
