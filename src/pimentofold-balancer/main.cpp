#include <iostream>

#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <pimentofold-balancer/balancer.h>

#include <pimentofold/settings.h>

INITIALIZE_EASYLOGGINGPP

using namespace pimentofold;

namespace {

int serve(const BalancerSettings &settings)
{
    holdStopSignals();
    setUpLogging();
    Balancer balancer(settings);
    setLoopErrorHandler([&balancer](const std::exception &error) { balancer.logUnexpectedError(error); });
    const StopSignals signals([&balancer] { balancer.stop(); });
    runLoop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Balancer of an entry instance: forwards callers' packets to targets.", ' ', PIMENTOFOLD_VERSION);
        TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
        TCLAP::UnlabeledValueArg<std::string> file("settings", "settings file, JSON with comments", true, "", "file", command);
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        const BalancerSettings settings = readBalancerSettings(file.getValue());
        if (check.getValue()) {
            std::cout << file.getValue() << ": settings are correct\n";
            return 0;
        }
        return serve(settings);
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "error: " << error.error() << " for " << error.argId() << '\n';
        return exitBadSettings;
    } catch (const SettingsError &error) {
        std::cerr << "error: " << error.what() << '\n';
        return exitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << '\n';
        return 1;
    }
}
