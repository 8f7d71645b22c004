#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/balancing/dispatchload.h>
#include <pimentofold/balancing/leaveshare.h>
#include <pimentofold/balancing/localdispatch.h>
#include <pimentofold/dispatch.h>

/// Load reports between dispatchers of different data centres, and the flows that leave a data centre.
///
/// For each service, the first dispatcher of a data centre reports the load to the first dispatchers of other data centres.
/// The other dispatchers of the data centre send their own load to it while they aren't idle, and get the reports of the
/// others from it. Each dispatcher decides for the flows that it places.
namespace pimentofold {

/// A data centre reports to this many others on each side in the order of their names, so that the number of messages is
/// proportional to the number of data centres. Flows leave only to these.
constexpr std::size_t neighboursPerSide = 3;

/// Settings of the reports.
struct BalancingSettings {
    LeaveSettings leave;
    Time reportInterval = 200 * millisecond; ///< while any of the data centres that report to each other isn't idle
    /// While all are idle. A little less than reportValidity, so that reports don't expire between two of them.
    Time idleReportInterval = 900 * millisecond;
    double idleUtilisation = 0.5; ///< a dispatcher is idle below this share of its slots in use
    Time tickInterval = 50 * millisecond; ///< between two decisions
};

/// A load with the time at which it was received.
struct ReceivedLoad {
    DispatchLoad load;
    Time receivedAt = 0;
};

/// Balancing of one service at one of its dispatchers.
struct ServiceBalance {
    std::map<std::string, DispatcherTable, std::less<>> dataCentres; ///< data centres with dispatchers of their own, including this one
    std::vector<std::uint64_t> targets; ///< ids of this node's targets in its own data centre
    LocalLoad local; ///< at the last tick
    int openings = 0; ///< new flows since the last tick
    std::map<std::string, ReceivedLoad, std::less<>> others; ///< last reports by data centre
    std::map<Id, ReceivedLoad> parts; ///< at the first dispatcher: loads of the other dispatchers of the data centre
    LeaveShare decision;
    double loggedShare = 0; ///< share at the last LeaveShareChange
    Time loggedAt = 0;
    Time reportedAt = 0; ///< when the load was last reported
};

/// Balancing at one node.
struct Balancing {
    BalancingSettings settings;
    std::string dataCentre; ///< of this node
    Id self = 0;
    std::map<std::string, ServiceBalance, std::less<>> services; ///< services that this node dispatches for its data centre
    Time tickedAt = 0;
    Time nextTickAt = never;
    std::int64_t flowsLeft = 0; ///< openings relayed to other data centres since the start
};

/// Updates the dispatchers of a service after a change of members or targets.
/// @param found dispatchers of the service
/// @param targets ids of the targets that this node owns in its own data centre
void updateBalance(Balancing &balancing, const std::string &service, const ServiceDispatchers &found, const std::vector<std::uint64_t> &targets);

/// Removes the services that have no targets any more.
void removeServicesWithoutTargets(Balancing &balancing, const std::map<std::string, DispatcherTable, std::less<>> &services);

/// Measures the own load, decides which share of the new flows leaves, and reports the load when that is due.
void tickBalancing(Balancing &balancing, const Dispatcher &dispatcher, const TargetTable &table, Time now, ForwardOutput &out);

/// Records a load that another dispatcher has sent, and passes reports of other data centres on to the dispatchers of the
/// own one that aren't idle. Loads of unknown services or data centres, and those with negative numbers, are ignored.
void handleDispatchLoad(Balancing &balancing, Id sender, const DispatchLoad &load, Time now, ForwardOutput &out);

/// Counts a new flow of a service that this node dispatches.
void countOpening(Balancing &balancing, std::string_view service);

/// @param flowHash hash of the flow
/// @return dispatcher of another data centre to which a new flow leaves; nothing when it stays
std::optional<Id> remoteDispatcherFor(const Balancing &balancing, std::string_view service, std::uint64_t flowHash);

} // namespace pimentofold
