#include <iostream>

#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <pimentofold/eventlog.h>

#include <platform-standin/service.h>

INITIALIZE_EASYLOGGINGPP

using namespace pimentofold;

namespace {

void serve(const standin::PlatformSettings &settings)
{
    setUpLogging();
    EventLog log{"platform-standin", {}};
    standin::PlatformService service(settings);
    const StopSignals stop([&] {
        logEvent(log, "stop", {});
        service.finishWatches();
        stopLoop();
    });
    logEvent(log, "start", {{"listen", settings.listen}});
    runLoop();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Stand-in for the platform's object API over HTTP, with faults that can be switched on.", ' ', PIMENTOFOLD_VERSION);
        TCLAP::SwitchArg check("", "check", "check the settings file and end", command);
        TCLAP::UnlabeledValueArg<std::string> file("settings", "settings file in JSON", true, "", "file", command);
        command.parse(argc, argv);
        const standin::PlatformSettings settings = standin::parsePlatformSettings(readSettings(file.getValue()));
        if (!check.getValue()) {
            serve(settings);
        }
        return 0;
    } catch (const SettingsError &error) {
        std::cerr << "error: " << error.what() << '\n';
        return exitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << '\n';
        return 1;
    }
}
