// Compiles easylogging++ once for all programs.
#include <easylogging++.cc>
