#include <pimentofold-measure/measurements.h>

#include <pimentofold-measure/converge.h>
#include <pimentofold-measure/datapath.h>

namespace pimentofold {

int measureMembership(const MeasureOptions &options);

const std::vector<Measurement> &measurements()
{
    static const std::vector<Measurement> table{
        {"bytes_per_flow", "memory of a balancer for each open flow", &measureBytesPerFlow},
        {"converge", "time until a change is in force on all agents", measureConverge},
        {"forward", "packets a second of a balancer against a bare loop", &measureForward},
        {"membership", "control cost and detection time of membership by number of members", measureMembership},
    };
    return table;
}

} // namespace pimentofold
