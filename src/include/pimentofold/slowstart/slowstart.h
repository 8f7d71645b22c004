#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pimentofold/edgeconfig.h>
#include <pimentofold/edgesettings.h>
#include <pimentofold/types.h>

/// Slow start of cold targets on edge nodes. A target that has just started is cold: it gets a limited number of openings
/// (opening packets of flows) in each sliding second, counted over all nodes.
///
/// Only the owner of a cold target, the dispatcher that places its flows, sends openings to it. An owner uses at most half of
/// the limit, so that two nodes that both believe they own a target stay within it. It starts a window length after it became
/// the owner, when the previous owner's openings have left the window, and only while it sees the majority of the members that
/// it has seen recently. No messages are exchanged; each owner counts its own openings.
///
///     updateColdOwners(table, {members, avoiding}, now);  // after each change of members or targets
///     ColdUse use = coldUseOf(table, target, now);              // before a target is chosen
///     recordColdOpening(table, target, now);                    // for each opening packet that is sent
namespace pimentofold {

struct EdgeTarget;
struct TargetEntry;
struct TargetTable;

/// Length of the window in which openings are counted: the second of the limit, and 50 ms by which the transit times of two
/// openings to one target may differ.
constexpr Time coldWindow = 1050 * millisecond;
/// A node has the majority while it sees more than half of the members that it has seen within this time.
constexpr Time memberMemory = 30 * second;
/// A node that sees no other member uses no cold targets until this long after its start: it may only not have found the
/// others yet.
constexpr Time aloneWaitTime = 5 * second;

/// Limits of slow start that apply to all services.
struct SlowStartSettings {
    bool enabled = false; ///< false: targets are used without limit
    double overshoot = 1; ///< factor on the openings per second that a cold target can take
    double slack = 0; ///< further openings in each second
    Time entryAge = 0; ///< possible age of a target's entry in the store, by which its cold time may end later
};

/// @return the limits in the node's settings; enabled if the settings have at least one of them
SlowStartSettings slowStartSettings(const EdgeSettings &settings);

/// Openings of one cold target at its owner.
struct ColdBudget {
    Time ownedSince = 0;
    Time lastOpeningAt = never;
    std::vector<Time> openings; ///< times of the openings within the window, oldest first
};

/// The end of an evacuation, from which on a data centre's targets count as cold.
struct ColdDataCentre {
    StoreRevision revision = 0; ///< of the store at the end; target entries with a higher revision are not affected
    Time since = 0;
};

/// State of slow start at one node. Part of TargetTable.
struct SlowStart {
    SlowStartSettings settings;
    std::map<std::string, ServiceLimits, std::less<>> services; ///< of the configuration in force, by name
    StoreRevision servicesRevision = 0; ///< revision of the configuration that changed `services` last; 0: none did
    std::map<std::string, ColdDataCentre, std::less<>> dataCentres; ///< by name; while they may be cold
    std::unordered_map<std::uint64_t, ColdBudget> budgets; ///< by id; of the targets that this node owns
    std::unordered_map<Id, Time> membersSeen; ///< when each member was last seen, within memberMemory
    std::vector<Id> members; ///< live members at the last update
    bool majority = false; ///< at the last update or tick
    Time startedAt = never; ///< first update; never: none yet
    std::int64_t openings = 0; ///< openings sent to cold targets
    std::int64_t limited = 0; ///< flows that had to wait, and repeated opening packets that were dropped, because of the limit
};

/// How a target may be used for a new flow.
enum class ColdUse {
    Warm, ///< without limit
    WithinRate, ///< cold, below its rate: chosen by its load
    AboveRate, ///< cold, within the limit: chosen when no warm target has room
    Excluded, ///< cold, and not to be used by this node now
};

/// Replaces the limits of the services. Services that are listed in @p config as unreadable keep their previous limits.
/// A configuration without services, which a node of an earlier version has sent, changes nothing.
void applyServices(SlowStart &slowStart, const EdgeConfig &config);

/// @return the services with a cold time, for replication
std::vector<ServiceLimits> servicesOf(const SlowStart &slowStart);

/// Makes all targets of a data centre cold for the cold time of their service, because an evacuation has ended. Target
/// entries with a higher revision than the end override this.
/// @param revision store revision of the end of the evacuation
void markDataCentreCold(TargetTable &table, std::string_view dataCentre, const StoreRevision &revision, Time now);

/// @return when the target's cold time ends; 0 for a target that isn't cold or to which no limit applies
Time coldUntil(const TargetTable &table, const EdgeTarget &target);

/// @return time that is left of the warm-up of the target's entry or of the cold time after an evacuation, whichever is longer,
///         without the possible age of the entry; 1 when the target is cold only for that age
Time coldTimeLeft(const TargetTable &table, const EdgeTarget &target, Time now);

/// @return whether the target is cold now and a limit applies to it
bool isCold(const TargetTable &table, const EdgeTarget &target, Time now);

/// @return number of targets with an entry that are cold
std::size_t countColdTargets(const TargetTable &table, Time now);

/// @return openings that one owner may send to a cold target of the service within a window: half of the limit, rounded down
std::size_t ownerLimit(const SlowStartSettings &settings, double coldRate);

/// @return how this node may use the target for a new flow
ColdUse coldUseOf(const TargetTable &table, const EdgeTarget &target, Time now);

/// Counts an opening packet that is sent to the target. Has no effect for a target that isn't cold.
void recordColdOpening(TargetTable &table, const EdgeTarget &target, Time now);

/// What updateColdOwners() needs to know of the members.
struct MemberView {
    std::vector<Id> members; ///< live members, including this node
    bool leavesOutLiveNodes = false; ///< this node ignores live dispatchers that don't answer it, which therefore may own targets that seem to be owned here
};

/// Starts or ends the ownership of targets. Has to be called after each change of members, targets or services, once
/// EdgeTarget::owner is up to date.
void updateColdOwners(TargetTable &table, const MemberView &view, Time now);

/// Determines again whether this node has the majority, because members that it no longer sees are forgotten after a while, and
/// forgets ends of evacuations whose cold time is over. Has to be called about every second.
void tickSlowStart(TargetTable &table, Time now);

/// Treats all targets as owned from now on only. Has to be called after a pause of the process, in which other nodes may have
/// become owners.
void restartOwnership(TargetTable &table, Time now);

/// Reduces the share of flows that dispatchers with many cold targets get. Cold targets count a quarter of their slots.
/// Has no effect when all targets are warm.
/// @param entries targets of one service, whose slots are multiplied by a common factor
void weighColdTargets(const TargetTable &table, std::vector<TargetEntry> &entries, Time now);

} // namespace pimentofold
