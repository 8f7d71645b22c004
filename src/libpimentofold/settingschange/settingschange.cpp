#include <pimentofold/settingschange/settingschange.h>

#include <array>

namespace pimentofold {

std::optional<RefusedSettings> findRefusedChange(const EdgeSettings &current, const EdgeSettings &changed)
{
    struct FixedField {
        const char *name;
        std::string before;
        std::string after;
    };
    const std::array<FixedField, 5> fields{{
        {"node", current.node, changed.node},
        {"zone", current.dataCentre, changed.dataCentre},
        {"listen.packets", toString(current.packetAddress), toString(changed.packetAddress)},
        {"listen.readiness", toString(current.readinessAddress), toString(changed.readinessAddress)},
        // Messages between nodes use the first port of the range.
        {"port_range", std::to_string(current.peerAddress.port), std::to_string(changed.peerAddress.port)},
    }};
    for (const FixedField &it : fields) {
        if (it.before != it.after) {
            return RefusedSettings{it.name, it.after, "is " + it.before + " and can only change at a restart"};
        }
    }
    return std::nullopt;
}

} // namespace pimentofold
