#pragma once

#include <string>
#include <vector>

#include <pimentofold/types.h>

/// Messages about the load of dispatchers.
namespace pimentofold {

/// Load of one service in one data centre, or of one dispatcher's part of it.
struct DispatchLoad {
    std::string service;
    std::string dataCentre;
    int slots = 0; ///< of the targets that can be used
    int working = 0; ///< flows with a request at work
    int waiting = 0; ///< flows that wait for room
    Time expectedWait = 0; ///< until a further flow gets a slot
};

/// A message to be sent to a dispatcher.
struct LoadReport {
    Id to = 0;
    DispatchLoad load;
};

/// A change of the share of a service's new flows that leaves the data centre.
struct LeaveShareChange {
    std::string service;
    double before = 0;
    double share = 0;
    std::string mainDestination; ///< data centre that most of the leaving flows go to; empty without a share
    int working = 0; ///< load of this dispatcher at the change
    int waiting = 0;
    int slots = 0;
};

} // namespace pimentofold
