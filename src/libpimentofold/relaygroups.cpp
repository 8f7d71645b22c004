#include <pimentofold/relaygroups.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

std::vector<RelayGroup> makeRelayGroups(const std::vector<Address> &alive, const std::vector<Address> &doubtful, std::size_t turn)
{
    const std::size_t receivers = alive.size() + doubtful.size();
    std::vector<RelayGroup> groups;
    if (receivers <= mostDirectReceivers || alive.empty()) {
        for (const std::vector<Address> *part : {&alive, &doubtful}) {
            for (const Address &it : *part) {
                groups.push_back({it, {}});
            }
        }
        return groups;
    }
    const auto root = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(receivers))));
    const std::size_t count = std::min(root, alive.size());
    for (std::size_t i = 0; i < alive.size(); ++i) {
        const Address &it = alive[(turn * count + i) % alive.size()];
        if (i < count) {
            groups.push_back({it, {}});
        } else {
            groups[i % count].others.push_back(it);
        }
    }
    for (std::size_t i = 0; i < doubtful.size(); ++i) {
        groups[(alive.size() + i) % count].others.push_back(doubtful[i]);
    }
    return groups;
}

} // namespace pimentofold
