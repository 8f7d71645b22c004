#pragma once

#include <string_view>

#include <pimentofold/codec.h>
#include <pimentofold/token.h>
#include <pimentofold/view.h>

#include "caller_types.h"

/// Decoding and validation of datagrams from callers. Cheap checks come first. The same checks apply to datagrams that another
/// balancer relays.
namespace pimentofold {

/// Longest deadline of a request; a longer one is reduced to it.
constexpr Time maxDeadline = 30 * second;
/// Highest index of a kind of work in a packet.
constexpr int maxWorkKind = 255;

/// Why a datagram is dropped.
enum class PacketFault {
    None,
    Oversized,
    Malformed, ///< not a CallerPacket
    NotForBalancer, ///< a kind of packet that only balancers send
    BadField, ///< a field is out of range or not valid for the kind of packet
    Token, ///< the token is refused; see CheckedPacket::tokenFault
};

/// @return the name in logs and metrics, for example "bad_field"
std::string_view name(PacketFault fault);

/// Result of checkPacket().
struct CheckedPacket {
    PacketFault fault = PacketFault::None;
    TokenFault tokenFault = TokenFault::None;
    bool hasToken = false; ///< true when the packet has a token that is authentic and not expired
    Token token; ///< valid only when hasToken is true
};

/// Decodes and validates a datagram.
/// @param codec decoder, reused between calls
/// @param bytes the datagram as received
/// @param service the service on whose port the datagram arrived
/// @param keys all keys of the view
/// @param now wall time in ms
/// @param packet set to the content; not valid when the fault is Oversized or Malformed
CheckedPacket
checkPacket(Codec &codec, std::string_view bytes, const ViewService &service, const std::vector<TokenKey> &keys, WallTime now, wire::CallerPacket &packet);

/// @return time within which the caller wants the answer, at most maxDeadline. A packet without a deadline gets the service's
///         default, or 2 s when the service has none.
Time deadlineOf(const wire::CallerPacket &packet, const ViewService &service);

} // namespace pimentofold
