#include <easylogging++.h>

#include <libstandin/program.h>

#include <target-standin/targetprocess.h>

INITIALIZE_EASYLOGGINGPP

using namespace pimentofold;

int main(int argc, char **argv)
{
    TargetSettings settings;
    Program program;
    program.description = "Stand-in for backend servers; one process runs one or several of them.";
    program.version = PIMENTOFOLD_VERSION;
    program.readFields = [&settings](SettingsObject &top) { settings = readTargetSettings(top); };
    program.serve = [&settings] { serveTargets(settings); };
    return runProgram(argc, argv, program);
}
