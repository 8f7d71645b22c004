#pragma once

#include <set>
#include <string>

#include <libpimentofold/edgetestdata.h>

/// Sample region of several data centres for the tests of local dispatch and balancing.
namespace pimentofold::testdata {

inline std::string dataCentreName(int dataCentre)
{
    return "dc" + std::to_string(dataCentre);
}

/// @return node @p n, from 1, of a data centre
inline InstanceKey makeNode(int dataCentre, int n)
{
    return {1000 * (dataCentre + 1) + n, n};
}

/// @return the data centre of a node
inline int dataCentreOf(Id node)
{
    return static_cast<int>(node / 1000) - 1;
}

/// Size of a region.
struct RegionSize {
    int dataCentres = 3;
    int nodes = 10; ///< of each data centre
    int targets = 40; ///< of each data centre, with two slots; target id belongs to data centre id % dataCentres
    std::set<int> gone = {}; ///< data centres whose nodes are no longer members
};

/// @return forwarder of a node with local dispatch
inline EdgeForwarder makeRegionForwarder(const RegionSize &size, const InstanceKey &self, bool localDispatch = true)
{
    const int targets = size.dataCentres * size.targets;
    EdgeForwarder forwarder = makeForwarder(targets, 0);
    forwarder.settings.localDispatch = localDispatch;
    if (localDispatch) {
        forwarder.dispatcher.settings.placement.otherDataCentreCost = localDispatchDistanceCost;
        forwarder.dispatcher.settings.placement.maxLocalAttempts = localDispatchAttempts;
    }
    forwarder.dispatcher.settings.dataCentre = dataCentreName(dataCentreOf(self.instance));
    forwarder.self = self;
    forwarder.members.clear();
    for (int d = 0; d < size.dataCentres; ++d) {
        for (int n = 1; n <= size.nodes && !size.gone.contains(d); ++n) {
            forwarder.members.push_back(makeNode(d, n));
            forwarder.memberDataCentres[makeNode(d, n).instance] = dataCentreName(d);
        }
    }
    for (int id = 1; id <= targets; ++id) {
        TargetRecord record = makeTarget(static_cast<std::uint64_t>(id), 10'000 + id);
        record.dataCentre = dataCentreName(id % size.dataCentres);
        applyTarget(forwarder.table, record, 0);
    }
    updateDispatchers(forwarder, 0);
    return forwarder;
}

} // namespace pimentofold::testdata
