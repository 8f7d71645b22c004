#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <pimentofold/address.h>
#include <pimentofold/types.h>

/// Settings of an edge node that the platform provides when it starts the process.
namespace pimentofold {

/// Identity, addresses and limits of one edge node.
struct EdgeSettings {
    std::string node; ///< name of the instance
    std::string dataCentre;
    Address packetAddress; ///< receives callers' packets; resets to callers are sent to the same port on the caller's side
    Address readinessAddress; ///< the platform's network fabric checks here whether the node is ready for packets
    Address peerAddress; ///< for messages between edge nodes; all nodes use the same port
    std::vector<Address> seeds; ///< peer addresses of a few nodes, some of which may no longer exist
    Address storeAddress; ///< of the platform's store
    bool firstStart = false; ///< all nodes of the system start for the first time, a few seconds before any traffic
    Time evacuationBound = 0; ///< an evacuation of a data centre has to be in force within this time; 0: evacuations are off
    int dataCentreCount = 0; ///< data centres that the settings name; 0: none
    std::optional<double> coldOvershoot; ///< factor on the openings per second that a cold target can take; nothing: not set
    std::optional<double> coldSlack; ///< further openings in each second, added to coldOvershoot times the cold rate; nothing: not set
    Time targetHeartbeat = 1200 * millisecond; ///< interval at which targets renew their entries in the store
    Time drainBound = 0; ///< a draining target must get no flow later than this after the store took its entry; 0: not set
    Time maxFlowAge = 0; ///< a flow that has been open for longer may be discarded; 0: not set
    Time stopGracePeriod = 6 * second; ///< the platform kills a process that is still running this long after the request to stop
};

} // namespace pimentofold
