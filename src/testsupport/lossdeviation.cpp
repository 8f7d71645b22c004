#include <testsupport/lossworld.h>

#include <array>
#include <string_view>

#include <testsupport/lossworldparts.h>

namespace pimentofold::testsupport {

namespace {

constexpr Time lateTime = 200 * millisecond; ///< of a delayed or repeated message
constexpr Time entryDelay = 5 * millisecond;
constexpr Time shortPause = 200 * millisecond;
constexpr Time longPause = 300 * millisecond;
constexpr Time oldOwnerDelay = 300 * millisecond; ///< until the old owner knows that another node owns the target

bool isMessage(LossEventKind kind)
{
    return kind == LossEventKind::Notice || kind == LossEventKind::Evidence || kind == LossEventKind::Verdicts;
}

void pauseNode(LossWorld &world, std::size_t node, Time length)
{
    world.pausedSince[node] = world.now;
    world.pausedUntil[node] = world.now + length;
    LossWorldEvent event = makeMessage(world, LossEventKind::Resumes, node, node);
    event.at = world.now + length;
    schedule(world, std::move(event));
}

void scheduleAtNodes(LossWorld &world, LossEventKind kind, const std::array<Time, lossNodes> &delays)
{
    for (std::size_t node = 0; node < lossNodes; ++node) {
        LossWorldEvent event = makeMessage(world, kind, node, node);
        event.at = world.now + delays[node];
        schedule(world, std::move(event));
    }
}

/// Applies a deviation that concerns the world and not the next event.
void changeWorld(LossWorld &world, const LossDeviation &deviation, const LossWorldEvent &event)
{
    switch (deviation.kind) {
    case LossDeviationKind::MoveFlow:
        world.flows[event.flow].node = (world.flows[event.flow].node + 1) % lossNodes;
        break;
    case LossDeviationKind::PauseShortly:
        pauseNode(world, deviation.node, shortPause);
        break;
    case LossDeviationKind::Pause:
        pauseNode(world, deviation.node, longPause);
        break;
    case LossDeviationKind::HandOver:
        world.handedOver = true;
        scheduleAtNodes(world, LossEventKind::OwnerChanges, {oldOwnerDelay, transit, 2 * transit});
        break;
    case LossDeviationKind::Silence:
        world.silent = true;
        break;
    case LossDeviationKind::Restart:
        world.silent = false;
        ++world.incarnation;
        scheduleAtNodes(world, LossEventKind::Entry, {entryDelay, entryDelay, entryDelay});
        break;
    default:
        break;
    }
}

std::string describe(const LossDeviation &deviation, const LossWorldEvent &event)
{
    static constexpr std::array<std::string_view, 10> kinds{
        "in time", "lost", "late", "repeated", "flow moved", "short pause", "pause", "hand-over", "target silent", "target restarted"};
    static constexpr std::array<std::string_view, 15> events{"timer",
                                                             "start of a request",
                                                             "caller's packet",
                                                             "packet at a node",
                                                             "packet to the target",
                                                             "acknowledgement",
                                                             "answer",
                                                             "reset by the target",
                                                             "timeout",
                                                             "notice",
                                                             "evidence",
                                                             "verdict",
                                                             "entry",
                                                             "new owner",
                                                             "end of a pause"};
    std::string text(kinds.at(static_cast<std::size_t>(deviation.kind)));
    if (event.kind == LossEventKind::Tick) {
        return text
            + (deviation.kind == LossDeviationKind::Pause || deviation.kind == LossDeviationKind::PauseShortly ? " of node " + std::to_string(deviation.node)
                                                                                                               : "");
    }
    text += ": " + std::string(events.at(static_cast<std::size_t>(event.kind)));
    return text
        + (isAtNode(event.kind) ? ", node " + std::to_string(event.from) + " to " + std::to_string(event.node) : ", flow " + std::to_string(event.flow));
}

} // namespace

std::vector<LossDeviation> possibleDeviations(const LossWorld &world, const LossModelOptions &options)
{
    const LossWorldEvent &next = world.events.front();
    std::vector<LossDeviation> found;
    if (isMessage(next.kind)) {
        return {{LossDeviationKind::Lose}, {LossDeviationKind::Delay}, {LossDeviationKind::Repeat}};
    }
    switch (next.kind) {
    case LossEventKind::CallerSends:
        return options.movesFlows ? std::vector<LossDeviation>{{LossDeviationKind::MoveFlow}} : found;
    case LossEventKind::PacketAtTarget:
        return world.silent ? found : std::vector<LossDeviation>{{LossDeviationKind::Lose}};
    case LossEventKind::Acknowledged:
        return {{LossDeviationKind::Lose}};
    case LossEventKind::Answered:
    case LossEventKind::Entry:
        return {{LossDeviationKind::Delay}};
    case LossEventKind::PacketAtNode:
        return next.request > 0 ? found : std::vector<LossDeviation>{{LossDeviationKind::Lose}, {LossDeviationKind::Delay}};
    case LossEventKind::Tick:
        break;
    default:
        return found;
    }
    for (std::size_t node = 0; node < lossNodes; ++node) {
        if (next.at >= world.pausedUntil[node]) {
            found.push_back({LossDeviationKind::PauseShortly, node});
            found.push_back({LossDeviationKind::Pause, node});
        }
    }
    if (!world.handedOver) {
        found.push_back({LossDeviationKind::HandOver});
    }
    if (world.incarnation == 1) {
        found.push_back({LossDeviationKind::Restart});
        if (!world.silent) {
            found.push_back({LossDeviationKind::Silence});
        }
    }
    return found;
}

bool applyDeviation(LossWorld &world, const LossDeviation &deviation, const LossWorldEvent &event)
{
    ++world.deviations;
    note(world, describe(deviation, event));
    changeWorld(world, deviation, event);
    if (deviation.kind == LossDeviationKind::Delay || deviation.kind == LossDeviationKind::Repeat) {
        LossWorldEvent late = event;
        late.at = world.now + lateTime;
        schedule(world, std::move(late));
    }
    return deviation.kind != LossDeviationKind::Lose && deviation.kind != LossDeviationKind::Delay;
}

} // namespace pimentofold::testsupport
