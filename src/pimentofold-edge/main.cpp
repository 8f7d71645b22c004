#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <easylogging++.h>
#include <tclap/CmdLine.h>

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

std::string defaultPath()
{
    const char *path = std::getenv(platform::settingsVariable);
    return path != nullptr ? path : platform::settingsPath;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Edge node: forwards the packets of callers' flows to targets that answer directly.", ' ', PIMENTOFOLD_VERSION);
        TCLAP::SwitchArg check("", "check", "check the settings and end", command);
        TCLAP::ValueArg<std::string> file("", "platform-settings", "file that the platform writes", false, defaultPath(), "file", command);
        command.parse(argc, argv);
        const EdgeSettings settings = platform::parseSettingsLines(readFile(file.getValue()), file.getValue());
        if (check.getValue()) {
            return 0;
        }
        holdStopSignals();
        setUpLogging();
        Edge edge(settings);
        const StopSignals stop([&] { edge.stop(); });
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
