#include <easylogging++.h>

#include <libstandin/program.h>

#include <caller-standin/callerprocess.h>

INITIALIZE_EASYLOGGINGPP

using namespace pimentofold;

int main(int argc, char **argv)
{
    CallerSettings settings;
    Program program;
    program.description = "Stand-in for callers and the fabric; holds flows, makes load and counts what breaks.";
    program.version = PIMENTOFOLD_VERSION;
    program.readFields = [&settings](SettingsObject &top) { settings = readCallerSettings(top); };
    program.serve = [&settings] { serveCallers(settings); };
    return runProgram(argc, argv, program);
}
