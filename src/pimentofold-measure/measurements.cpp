#include <pimentofold-measure/measurements.h>

#include <pimentofold-measure/converge.h>
#include <pimentofold-measure/datapath.h>

namespace pimentofold {

int measureBalance(const MeasureOptions &options);
int measureCapacity(const MeasureOptions &options);
int measureMembership(const MeasureOptions &options);
int measureSoak(const MeasureOptions &options);

const std::vector<Measurement> &measurements()
{
    static const std::vector<Measurement> table{
        {"balance", "use of slots and waits of a lookup-like service beside other placements", &measureBalance},
        {"bytes_per_flow", "memory of a balancer for each open flow", &measureBytesPerFlow},
        {"capacity", "slopes for docs/CAPACITY.md; size 1 for a smoke run", &measureCapacity},
        {"converge", "time until a change is in force on all agents", &measureConverge},
        {"flood", "service that is kept while one kind of work floods", &measureFlood},
        {"forward", "packets a second of a balancer against a bare loop", &measureForward},
        {"limits", "laws of the adaptive limit on a session service", &measureLimits},
        {"membership", "control cost and detection time of membership by number of members", &measureMembership},
        {"soak", "random runs of the at-most-once records with growing seeds", &measureSoak},
    };
    return table;
}

} // namespace pimentofold
