#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/address.h>
#include <pimentofold/types.h>

/// What an edge node learns from the platform that starts it.
namespace pimentofold {

/// Place, addresses and bounds of one edge node.
struct EdgeSettings {
    std::string node; ///< name of the instance
    std::string dataCentre;
    Address packetAddress; ///< packets of flows arrive here; packets to callers go to this port
    Address readinessAddress; ///< the fabric asks here whether the node takes packets
    Address peerAddress; ///< for messages between nodes; the port is the same on all nodes
    std::vector<Address> seeds; ///< peers' addresses of a few nodes, which may be gone
    Address storeAddress; ///< of the platform
    bool firstStart = false; ///< the whole system starts for the first time, some seconds before traffic
    Time stopGracePeriod = 6 * second; ///< a process is killed when it hasn't ended by then after the request to stop
};

} // namespace pimentofold
