#include <pimentofold-measure/measurements.h>

#include <pimentofold-measure/converge.h>

namespace pimentofold {

const std::vector<Measurement> &measurements()
{
    static const std::vector<Measurement> table{
        {"converge", "time until a change is in force on all agents", &measureConverge},
    };
    return table;
}

} // namespace pimentofold
