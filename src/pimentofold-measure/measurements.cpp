#include <pimentofold-measure/measurements.h>

#include <pimentofold-measure/converge.h>

namespace pimentofold {

int measureMembership(const MeasureOptions &options);

const std::vector<Measurement> &measurements()
{
    static const std::vector<Measurement> table{
        {"converge", "time until a change is in force on all agents", measureConverge},
        {"membership", "control cost and detection time of membership by number of members", measureMembership},
    };
    return table;
}

} // namespace pimentofold
