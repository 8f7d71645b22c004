#include <iostream>

#include <easylogging++.h>
#include <tclap/CmdLine.h>

#include <pimentofold-measure/measurements.h>

INITIALIZE_EASYLOGGINGPP

using namespace pimentofold;

namespace {

std::string summary()
{
    std::string text = "Measures parts of the library; the last line of output is JSON. Measurements:";
    for (const Measurement &it : measurements()) {
        text += " ";
        text += it.name;
        text += " (";
        text += it.summary;
        text += ")";
    }
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command(summary(), ' ', PIMENTOFOLD_VERSION);
        TCLAP::UnlabeledValueArg<std::string> name("name", "measurement to run", true, "", "name", command);
        TCLAP::ValueArg<double> seconds("", "seconds", "bound on real time", false, 10, "seconds", command);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the random numbers", false, 1, "seed", command);
        TCLAP::ValueArg<std::int64_t> size("", "size", "main size; 0 for the default", false, 0, "size", command);
        command.parse(argc, argv);
        const MeasureOptions options{seconds.getValue(), seed.getValue(), size.getValue()};
        for (const Measurement &it : measurements()) {
            if (it.name == name.getValue()) {
                return it.run(options);
            }
        }
        std::cerr << "no measurement named '" << name.getValue() << "'\n";
        return 2;
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << '\n';
        return 1;
    }
}
