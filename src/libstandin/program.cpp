#include <libstandin/program.h>

#include <iostream>

#include <tclap/CmdLine.h>

#include <libnet/loop.h>
#include <pimentofold/eventlog.h>

namespace pimentofold {

namespace {

int parseAndServe(int argc, char **argv, const Program &program)
{
    TCLAP::CmdLine command(program.description, ' ', program.version);
    command.setExceptionHandling(false);
    TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
    TCLAP::UnlabeledValueArg<std::string> file("settings", "settings file, JSON with comments", true, "", "file", command);
    command.parse(argc, argv);
    SettingsObject top = readSettings(file.getValue());
    program.readFields(top);
    finishSettings(top);
    if (!check.getValue()) {
        program.serve();
    }
    return 0;
}

} // namespace

int runProgram(int argc, char **argv, const Program &program)
{
    try {
        holdStopSignals();
        setUpLogging();
        return parseAndServe(argc, argv, program);
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus(); // --help and --version
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "error: " << error.error() << ' ' << error.argId() << '\n';
        return exitBadSettings;
    } catch (const SettingsError &error) {
        std::cerr << "error: " << error.what() << '\n';
        return exitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << '\n';
        return 1;
    }
}

} // namespace pimentofold
