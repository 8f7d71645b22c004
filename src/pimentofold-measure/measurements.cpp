#include <pimentofold-measure/measurements.h>

namespace pimentofold {

int measureMembership(const MeasureOptions &options);
int measureSoak(const MeasureOptions &options);

const std::vector<Measurement> &measurements()
{
    static const std::vector<Measurement> table{
        {"membership", "control cost and detection time of membership by number of members", measureMembership},
        {"soak", "random runs of the at-most-once records with growing seeds", measureSoak},
    };
    return table;
}

} // namespace pimentofold
