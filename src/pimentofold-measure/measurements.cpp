#include <pimentofold-measure/measurements.h>

namespace pimentofold {

const std::vector<Measurement> &measurements()
{
    static const std::vector<Measurement> table{
        {"balance", "use of slots and waits of a lookup-like service beside other placements", measureBalance},
        {"flood", "service that is kept while one kind of work floods", measureFlood},
        {"limits", "laws of the adaptive limit on a session service", measureLimits},
    };
    return table;
}

} // namespace pimentofold
