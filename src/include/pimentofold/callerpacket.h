#pragma once

#include <string_view>

#include <pimentofold/codec.h>
#include <pimentofold/token.h>
#include <pimentofold/view.h>

#include "caller_types.h"

/// Decoding and checking of callers' datagrams, cheap checks first. The same checks are applied to datagrams that
/// another balancer relays.
namespace pimentofold {

/// Longest deadline of a request; longer ones are shortened to it.
constexpr Time maxDeadline = 30 * second;
/// Highest number of a kind of work in a packet.
constexpr int maxWorkKind = 255;

/// Why a datagram is dropped.
enum class PacketFault {
    None,
    Oversized,
    Malformed, ///< not a CallerPacket
    NotForBalancer, ///< a kind that only balancers send
    BadField, ///< a field is out of range or doesn't fit the kind
    Token, ///< see CheckedPacket::tokenFault
};

/// @return the name as used in logs and metrics
std::string_view name(PacketFault fault);

/// Result of checkPacket().
struct CheckedPacket {
    PacketFault fault = PacketFault::None;
    TokenFault tokenFault = TokenFault::None;
    bool hasToken = false; ///< @c token is authentic and not expired
    Token token;
};

/// Decodes and checks a datagram.
/// @param codec for decoding
/// @param bytes as received
/// @param service the service on whose port it arrived
/// @param keys all keys of the view
/// @param now wall time
/// @param packet set to the content; meaningful unless the fault is Oversized or Malformed
CheckedPacket
checkPacket(Codec &codec, std::string_view bytes, const ViewService &service, const std::vector<TokenKey> &keys, WallTime now, wire::CallerPacket &packet);

/// @return time until the caller gives up
Time deadlineOf(const wire::CallerPacket &packet, const ViewService &service);

} // namespace pimentofold
