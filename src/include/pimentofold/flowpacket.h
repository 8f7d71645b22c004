#pragma once

#include <cstdint>
#include <string_view>

#include <pimentofold/address.h>
#include <pimentofold/types.h>

/// Packets of flows whose targets answer their callers directly, so that a node sees only what callers send.
namespace pimentofold {

/// Names a flow's target in each packet of the flow after the first one; see targettable.h. 0 means none.
using FlowToken = std::uint32_t;

/// The two ends of a flow.
struct FlowKey {
    Address caller;
    Address service;

    friend bool operator==(const FlowKey &, const FlowKey &) = default;
};

/// A caller's packet, decoded.
struct FlowPacket {
    FlowKey flow;
    bool opens = false; ///< asks for a new flow; further copies of it may follow
    bool finishes = false; ///< the caller sends nothing more
    bool resets = false; ///< the caller has given up the flow
    FlowToken token = 0; ///< the last one that the caller received on this flow
    Time openingAge = 0; ///< of an opening packet: since the first copy of it was sent
    std::uint16_t payloadBytes = 0;
    std::string_view bytes; ///< the packet as received
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
