#include <pimentofold/replication/relaygroups.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

std::vector<RelayGroup> makeRelayGroups(const std::vector<Address> &alive, const std::vector<Address> &unreliable, std::size_t rotation)
{
    const std::size_t receivers = alive.size() + unreliable.size();
    std::vector<RelayGroup> groups;
    if (receivers <= maxDirectReceivers || alive.empty()) {
        for (const std::vector<Address> *addresses : {&alive, &unreliable}) {
            for (const Address &it : *addresses) {
                groups.push_back({it, {}});
            }
        }
        return groups;
    }
    const auto groupLimit = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(receivers))));
    const std::size_t count = std::min(groupLimit, alive.size());
    for (std::size_t i = 0; i < alive.size(); ++i) {
        const Address &it = alive[(rotation * count + i) % alive.size()];
        if (i < count) {
            groups.push_back({it, {}});
        } else {
            groups[i % count].relayTo.push_back(it);
        }
    }
    for (std::size_t i = 0; i < unreliable.size(); ++i) {
        groups[(alive.size() + i) % count].relayTo.push_back(unreliable[i]);
    }
    return groups;
}

} // namespace pimentofold
