#include <iostream>

#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <pimentofold-agent/agent.h>

INITIALIZE_EASYLOGGINGPP

using namespace pimentofold;

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Control plane of an entry instance: membership, configuration and the view of its balancer.", ' ', PIMENTOFOLD_VERSION);
        TCLAP::SwitchArg check("", "check", "check the settings file and exit", command);
        TCLAP::UnlabeledValueArg<std::string> file("settings", "settings file in JSON with comments", true, "", "file", command);
        command.parse(argc, argv);
        const AgentSettings settings = parseAgentSettings(readSettings(file.getValue()));
        if (check.getValue()) {
            return 0;
        }
        holdStopSignals();
        setUpLogging();
        Agent agent(settings);
        setLoopErrorHandler([&](const std::exception &error) { agent.logUnexpectedError(error); });
        const StopSignals stop([&] { agent.stop(); });
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
