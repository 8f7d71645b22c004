#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <pimentofold/edgeforward.h>
#include <pimentofold/flowpacket.h>

/// Encoding of the platform's packets: a header of 34 bytes in network byte order and up to 1,200 bytes of payload.
namespace pimentofold::platform {

constexpr std::size_t packetHeaderBytes = 34;
constexpr std::size_t maxPayloadBytes = 1200;
constexpr std::size_t maxPacketBytes = packetHeaderBytes + maxPayloadBytes;
/// Size of the target id that precedes each packet to a target.
constexpr std::size_t targetPrefixBytes = 8;

/// Decodes a datagram from a caller.
/// @param bytes the datagram; it must outlive the result, which refers to it
/// @return nothing when the bytes are no packet or a packet that only targets send
std::optional<FlowPacket> decodePacket(std::string_view bytes);

/// @return the datagram for the target: the target's id and the packet. Only the token of the packet is replaced; the
///         packet's checksum doesn't cover the token.
std::string encodeForwarded(const ForwardedPacket &packet);

/// @return the datagram that resets a flow at its caller
std::string encodeReset(const FlowReset &reset);

} // namespace pimentofold::platform
