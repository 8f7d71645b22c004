#include <iostream>

#include <easylogging++.h>

#include <pimentofoldctl/program.h>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char **argv)
{
    return pimentofold::ctl::runProgram({argv + 1, argv + argc}, PIMENTOFOLD_VERSION, std::cout, std::cerr);
}
