#include <pimentofold-measure/measurements.h>

#include <pimentofold-measure/datapath.h>

namespace pimentofold {

const std::vector<Measurement> &measurements()
{
    static const std::vector<Measurement> table{
        {"bytes_per_flow", "memory of a balancer for each open flow", &measureBytesPerFlow},
        {"forward", "packets a second of a balancer against a bare loop", &measureForward},
    };
    return table;
}

} // namespace pimentofold
