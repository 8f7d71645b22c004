#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include <testsupport/lossworld.h>

/// Helpers of the files that implement lossworld.h.
namespace pimentofold::testsupport {

constexpr Time transit = millisecond;
constexpr std::uint16_t requestBytes = 180;
constexpr std::uint32_t answerBytes = 1200;
constexpr std::uint32_t firstCallerIp = 0x64400001;

inline Id idOfNode(std::size_t node)
{
    return static_cast<Id>(node + 1);
}

/// @return the node for changes; other states keep theirs
inline EdgeForwarder &editNode(LossWorld &world, std::size_t node)
{
    std::shared_ptr<EdgeForwarder> &it = world.nodes[node];
    if (it.use_count() > 1) {
        it = std::make_shared<EdgeForwarder>(*it);
    }
    return *it;
}

inline void schedule(LossWorld &world, LossWorldEvent event)
{
    const auto later = std::ranges::upper_bound(world.events, event.at, {}, &LossWorldEvent::at);
    world.events.insert(later, std::move(event));
}

inline void scheduleFlow(LossWorld &world, LossEventKind kind, Time at, std::size_t flow)
{
    LossWorldEvent event;
    event.at = at;
    event.kind = kind;
    event.flow = flow;
    event.request = world.flows[flow].request;
    schedule(world, std::move(event));
}

inline void note(LossWorld &world, const std::string &what)
{
    world.trace += std::to_string(world.now / millisecond) + " ms: " + what + "\n";
}

inline FlowPacket makePacket(const LossFlow &flow, std::uint16_t payloadBytes)
{
    FlowPacket packet;
    packet.flow = flow.key;
    packet.token = tokenOf(judgedTarget);
    packet.sequence = flow.sequence;
    packet.acknowledgement = flow.acknowledgement;
    packet.payloadBytes = payloadBytes;
    return packet;
}

inline LossWorldEvent makeMessage(const LossWorld &world, LossEventKind kind, std::size_t from, std::size_t to)
{
    LossWorldEvent event;
    event.at = world.now + transit;
    event.kind = kind;
    event.from = from;
    event.node = to;
    event.verdict = world.verdicts;
    return event;
}

inline bool isAtNode(LossEventKind kind)
{
    return kind == LossEventKind::PacketAtNode || kind >= LossEventKind::Notice;
}

/// Applies a deviation, before its event is handled.
/// @return whether the event takes place now
bool applyDeviation(LossWorld &world, const LossDeviation &deviation, const LossWorldEvent &event);

} // namespace pimentofold::testsupport
