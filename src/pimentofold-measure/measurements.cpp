#include <pimentofold-measure/measurements.h>

#include <pimentofold-measure/datapath.h>

namespace pimentofold {

const std::vector<Measurement> &measurements()
{
    static const std::vector<Measurement> table{
        {"balance", "use of slots and waits of a lookup-like service beside other placements", measureBalance},
        {"bytes_per_flow", "memory of a balancer for each open flow", &measureBytesPerFlow},
        {"flood", "service that is kept while one kind of work floods", measureFlood},
        {"forward", "packets a second of a balancer against a bare loop", &measureForward},
        {"membership", "control cost and detection time of membership by number of members", measureMembership},
        {"soak", "random runs of at-most-once records and flows with growing seeds", measureSoak},
    };
    return table;
}

} // namespace pimentofold
