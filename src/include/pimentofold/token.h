#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <pimentofold/types.h>
#include <pimentofold/view.h>

/// Tokens name the target of a flow, and the pair of balancers (home and witness) for requests that may not be repeated. A
/// balancer makes the token and seals it, that is, adds an authenticator; the caller stores it and sends it with each packet, so
/// that any balancer can route the flow without stored state.
namespace pimentofold {

/// Time from the creation of a token until it no longer permits requests that may not be repeated, in ms.
constexpr WallTime pairLifeMs = 120'000;
/// Time from the creation of a token until it is no longer accepted for routing, in ms.
constexpr WallTime routeLifeMs = 24 * 3'600'000LL;
/// Tolerated difference between the wall clocks of balancers, in ms. A token created further in the future is refused as expired.
constexpr WallTime clockToleranceMs = 60'000;

/// Content of a token. The authenticator also covers the number of the flow, which isn't part of the content.
struct Token {
    Id serviceId = 0;
    Id target = 0; ///< 0 for services without sessions
    std::int64_t targetIncarnation = 0; ///< distinguishes the processes that ran under the target's id
    InstanceKey home; ///< the only balancer that dispatches the flow's requests that may not be repeated
    InstanceKey witness; ///< instance 0 when there was no other balancer
    int epoch = 0; ///< of the team's key that seals the token
    WallTime pairExpiry = 0; ///< wall time in ms; see pairLifeMs
    WallTime routeExpiry = 0; ///< wall time in ms; see routeLifeMs

    friend bool operator==(const Token &, const Token &) = default;
};

/// Size of a sealed token in bytes: format (1 byte), epoch (4 bytes), nine 64-bit fields and the authenticator.
constexpr std::size_t tokenBytes = 1 + 4 + 9 * 8 + sealBytes;
using SealedToken = std::array<char, tokenBytes>;

/// Why a token is refused.
enum class TokenFault {
    None,
    Malformed, ///< wrong length or format
    UnknownEpoch, ///< the team has no valid key of this epoch
    Forged, ///< the authenticator doesn't match the team's key, the flow and the content
    OtherService, ///< the token was made for another service of the team
    Expired, ///< routeExpiry has passed, or lies too far in the future
};

/// @return the name in logs and metrics, for example "token_forged"
std::string_view name(TokenFault fault);

/// Result of openToken().
struct OpenedToken {
    TokenFault fault = TokenFault::None;
    Token token; ///< valid only when fault is None
};

/// Encodes a token and adds the authenticator.
/// @param token content
/// @param flow number of the flow that may use the token
/// @param key the team's key of the epoch that the token names
SealedToken sealToken(const Token &token, std::int64_t flow, const SealKey &key);

/// Verifies and decodes a token. Cheap checks come first.
/// @param bytes the token as received
/// @param teamId team of the service on whose port the packet arrived
/// @param serviceId the service on whose port the packet arrived
/// @param flow number of the flow in the packet
/// @param keys all keys of the view
/// @param now wall time in ms
OpenedToken openToken(std::string_view bytes, Id teamId, Id serviceId, std::int64_t flow, const std::vector<TokenKey> &keys, WallTime now);

/// Makes the content of a new token, which expires pairLifeMs and routeLifeMs after @p now.
/// @param now wall time in ms
Token mintToken(Id serviceId, Id target, std::int64_t targetIncarnation, const InstanceKey &home, const InstanceKey &witness, int epoch, WallTime now);

/// Checks whether the next answer should carry a new token.
/// @param token the caller's present token
/// @param view has the team's newest epoch and the states of home and witness
/// @param teamId team of the service
/// @param now wall time in ms
/// @return true when half of pairLifeMs has passed since the token was made, the team has a newer epoch, the home or the witness no longer
///         serves, or a witness is available for a token that names none
bool needsRefresh(const Token &token, const View &view, Id teamId, WallTime now);

} // namespace pimentofold
