#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <pimentofold/types.h>

/// Decides which share of a service's new flows leaves the data centre because its targets are full or slow.
namespace pimentofold {

/// Parameters of leaveShare().
struct LeaveSettings {
    /// Additional time that a flow takes through a dispatcher of another data centre: the longer way of its opening packet
    /// and of the caller's further packets.
    Time extraTransit = 3 * millisecond;
    Time reportValidity = second; ///< a data centre whose last report is older gets nothing
    /// A data centre has room for flows of others below this share of its slots in use. The rest is left for its own callers.
    double fullUtilisation = 0.95;
    /// The difference of the expected waits at which all new flows would leave if nothing else limited the share.
    Time waitScale = 300 * millisecond;
    Time integralTime = 500 * millisecond; ///< time constant of the part of the share that is kept while the waits are equal
    double maxChangePerSecond = 2; ///< limit on the change of the share
    /// Free slots of other data centres that may be taken in one roomInterval, as a share. Loads that others report are up to
    /// this old, so taking all of the room at once would fill it several times.
    double roomGain = 0.4;
    Time roomInterval = 200 * millisecond;
    double idleFlowWeight = 3; ///< extra transit counts this many times more for flows that stay open, as each of their requests takes it
    double idleFlowDamping = 0.75; ///< relative reduction of the gain when all flows stay open, since their load follows slowly
};

/// Load of a dispatcher's targets in its own data centre.
struct LocalLoad {
    int slots = 0; ///< of the targets that can be used
    int working = 0; ///< flows with a request at work
    int waiting = 0; ///< flows that wait for room
    Time workTime = 0; ///< mean time of one request at a target without a queue
    double idleShare = 0; ///< share of the open flows that have no request at work, 0 to 1
    double openingsPerSecond = 0; ///< new flows, including those that leave
    double part = 1; ///< share of the data centre's slots that the dispatcher owns, 0 to 1
};

/// Load of a service in another data centre, as last reported.
struct NeighbourLoad {
    std::string_view dataCentre;
    int slots = 0;
    int working = 0;
    int waiting = 0;
    Time expectedWait = 0; ///< until a further flow gets a slot
    Time age = 0; ///< time since the report was received
};

/// A data centre to which new flows leave.
struct LeaveDestination {
    std::string dataCentre;
    double weight = 0; ///< share of the leaving flows; the weights of all destinations add up to 1
};

/// The share of new flows that leaves, and the state for the next decision.
struct LeaveShare {
    double share = 0; ///< 0 to 1
    double integral = 0; ///< part of the share that is kept while the waits are equal
    std::vector<LeaveDestination> destinations; ///< ordered by data centre
};

/// @return time until a further flow gets one of the slots; unusableWait without slots
/// @param workTime mean time of one request
Time expectedWait(int slots, int working, int waiting, Time workTime);

/// Expected wait where no target can be used.
constexpr Time unusableWait = 10 * second;

/// @param rate moving average so far, in events per second
/// @param count events in the interval
/// @return moving average over about half a second
double updatedRate(double rate, int count, Time interval);

/// Decides which share of the new flows leaves, from the difference between the wait here and the shortest wait elsewhere
/// with the extra transit time. The share grows with the difference and no faster than the room elsewhere allows, and
/// returns to 0 when slots are free here. Without usable targets here, all flows leave at once.
/// @param others all data centres with dispatchers of the service, apart from the own one
/// @param before the previous decision
/// @param elapsed time since then
LeaveShare leaveShare(const LocalLoad &local, std::span<const NeighbourLoad> others, const LeaveShare &before, Time elapsed, const LeaveSettings &settings);

/// @param flowHash hash of the flow; the same flow gets the same answer while the decision stays the same
/// @return data centre to which the flow leaves; nothing when it stays
std::optional<std::string_view> destinationOf(const LeaveShare &decision, std::uint64_t flowHash);

} // namespace pimentofold
