#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

#include <pimentofold/address.h>
#include <pimentofold/types.h>

/// Packets of callers' flows. Targets answer callers directly (direct server return), so an edge node sees only the
/// packets that callers send.
namespace pimentofold {

/// Callers send an opening packet again when no answer has arrived: ages of the flow at which its copies are sent.
constexpr std::array<Time, 3> openingCopyAges{0, 200 * millisecond, 600 * millisecond};

/// @param age time since the caller has sent the first opening packet of a flow
/// @return number of opening packets that the caller has sent by then if none was answered
constexpr int openingCopiesSent(Time age)
{
    return static_cast<int>(std::ranges::count_if(openingCopyAges, [&](Time it) { return it <= age; }));
}

/// Identifies a flow's target in each packet after the opening one, so that any node can forward the packet; see
/// targettable.h for the mapping. 0 means no token.
using FlowToken = std::uint32_t;

/// The addresses of a flow's two ends.
struct FlowKey {
    Address caller;
    Address service; ///< address of the route

    friend bool operator==(const FlowKey &, const FlowKey &) = default;
};

/// A decoded packet of a caller.
struct FlowPacket {
    FlowKey flow;
    bool opens = false; ///< opening packet (SYN): asks for a new flow; the caller retransmits it when no answer arrives
    bool finishes = false; ///< FIN: the caller sends no more data on this flow
    bool resets = false; ///< RST: the caller has aborted the flow
    FlowToken token = 0; ///< the token that the caller received last on this flow
    Time openingAge = 0; ///< only for opening packets: time since the caller sent the first one of this flow
    Time heldFor = 0; ///< time since the packet has arrived at this node
    std::uint32_t sequence = 0; ///< of the first byte of the payload
    std::uint32_t acknowledgement = 0; ///< only for packets after the opening one: the next byte that the caller expects from the target
    std::uint16_t payloadBytes = 0;
    std::string_view bytes; ///< the whole packet as received
};

} // namespace pimentofold

template<>
struct std::hash<pimentofold::FlowKey> {
    std::size_t operator()(const pimentofold::FlowKey &key) const noexcept
    {
        const auto pack = [](const pimentofold::Address &it) { return static_cast<std::uint64_t>(it.ip) << 16 | it.port; };
        return pimentofold::mix(pack(key.caller), pack(key.service));
    }
};
