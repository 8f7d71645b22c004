#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <pimentofold/targetloss/targetloss.h>
#include <testsupport/lossmodel.h>

/// State of the model check in lossmodel.h, which can be copied cheaply, and the handling of its next event.
namespace pimentofold::testsupport {

constexpr std::size_t lossNodes = 3;
constexpr std::uint64_t judgedTarget = 1; ///< id
/// Start of a run on the nodes' clocks, late enough that the owner has owned the target for longer than any minimum.
constexpr Time lossStart = 100 * second;

enum class LossEventKind {
    Tick, ///< all nodes run their timers
    RequestStarts,
    CallerSends, ///< the caller sends its request, again unless it was acknowledged
    PacketAtNode,
    PacketAtTarget,
    Acknowledged, ///< the caller gets the acknowledgement of its request
    Answered, ///< the caller gets the answer
    ResetByTarget, ///< the caller learns that the target doesn't know the flow
    TimesOut, ///< the caller gives the request up
    Notice,
    Evidence,
    Verdicts,
    Entry, ///< a node gets the entry of the restarted target
    OwnerChanges, ///< a node learns of the new owner
    Resumes, ///< a paused node runs again
};

/// An event that is due at a time.
struct LossWorldEvent {
    Time at = 0;
    LossEventKind kind = LossEventKind::Tick;
    std::size_t node = 0; ///< that handles the event, if one does
    std::size_t from = 0; ///< node that has sent the message
    std::size_t flow = 0;
    int request = 0; ///< number; 0: the packet carries none
    FlowPacket packet; ///< without bytes
    FlowNotice notice;
    std::shared_ptr<const std::vector<TargetEvidence>> evidence;
    std::shared_ptr<const std::vector<LostTarget>> verdicts;
    int verdict = 0; ///< number of the latest verdict when the message was sent
};

/// What a run may do to the next event, or before it.
enum class LossDeviationKind {
    None,
    Lose,
    Delay,
    Repeat,
    MoveFlow, ///< the caller's packets arrive at the next node from now on
    PauseShortly, ///< too short to be detected
    Pause,
    HandOver,
    Silence,
    Restart,
};

struct LossDeviation {
    LossDeviationKind kind = LossDeviationKind::None;
    std::size_t node = 0; ///< only for pauses
};

/// A flow as its caller sees it.
struct LossFlow {
    FlowKey key;
    std::size_t node = 0;
    std::int64_t incarnation = 1; ///< of the target that has the flow
    std::uint32_t sequence = 1;
    std::uint32_t acknowledgement = 900;
    int request = 0; ///< number of the last request
    int acceptedRequest = 0; ///< last one that the target has got
    bool unsafe = false;
    bool working = false;
    bool delivered = false; ///< the target's acknowledgement has arrived
    bool atNode = false; ///< a node has got the request
    bool closed = false;
    Time startedAt = 0; ///< of the last request
};

/// A state of the world.
struct LossWorld {
    Time now = 0;
    std::array<std::shared_ptr<EdgeForwarder>, lossNodes> nodes; ///< shared between states; see editNode()
    std::array<Time, lossNodes> pausedSince{}; ///< 0: the node runs
    std::array<Time, lossNodes> pausedUntil{};
    std::array<int, lossNodes> withdrawnVerdict{}; ///< by node: verdicts up to this number don't come into force again
    std::vector<LossFlow> flows;
    std::vector<LossWorldEvent> events; ///< by time
    std::int64_t incarnation = 1; ///< of the target
    bool silent = false;
    bool handedOver = false;
    int verdicts = 0;
    std::array<std::int64_t, lossNodes> declared{}; ///< by node: incarnation that it has declared lost and not withdrawn since
    int deviations = 0;
    std::string trace;
};

/// What has happened while an event was handled.
struct LossStep {
    std::vector<LossProperty> violations;
    std::size_t verdicts = 0;
    std::size_t resets = 0;
};

/// @return the state in which a check starts: open flows of which each has had requests
LossWorld makeLossWorld(const LossModelOptions &options);

/// @return what a run may do to the next event, or in addition to it
std::vector<LossDeviation> possibleDeviations(const LossWorld &world, const LossModelOptions &options);

/// Handles the next event.
LossStep handleNextEvent(LossWorld &world, const LossModelOptions &options, const LossDeviation &deviation);

/// @return hash of the state that determines the further events, without the deviations so far
std::uint64_t fingerprint(const LossWorld &world);

} // namespace pimentofold::testsupport
