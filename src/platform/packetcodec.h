#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <pimentofold/edgeforward.h>
#include <pimentofold/flowpacket.h>

/// The platform's packets: a header of 34 bytes in network byte order and up to 1,200 bytes of data.
namespace pimentofold::platform {

constexpr std::size_t packetHeaderBytes = 34;
constexpr std::size_t maxPayloadBytes = 1200;
constexpr std::size_t maxPacketBytes = packetHeaderBytes + maxPayloadBytes;
/// In front of each packet to a target: the id of the target that is meant.
constexpr std::size_t targetPrefixBytes = 8;

/// @param bytes a datagram; must outlive the result
/// @return nothing when the bytes are not a packet of a caller
std::optional<FlowPacket> decodePacket(std::string_view bytes);

/// @return the datagram for the target: the packet unchanged but for the token, which the packet's checksum leaves out
std::string encodeForwarded(const ForwardedPacket &packet);

/// @return the datagram that ends a flow at its caller
std::string encodeReset(const FlowReset &reset);

} // namespace pimentofold::platform
