#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <pimentofold/types.h>
#include <pimentofold/view.h>

/// Tokens: the route of a flow and its pair for requests that may not be repeated, held by the caller and
/// sealed by the balancers.
namespace pimentofold {

/// Time from minting until the token's right to requests that may not be repeated ends, in ms.
constexpr WallTime pairLifeMs = 120'000;
/// Time from minting until the token stops routing, in ms.
constexpr WallTime routeLifeMs = 24 * 3'600'000LL;
/// Wall clocks of balancers may differ by this much; a token from further ahead is refused.
constexpr WallTime clockToleranceMs = 60'000;

/// Content of a token. The flow number is sealed with it but not contained.
struct Token {
    Id serviceId = 0;
    Id target = 0; ///< 0 on services without sessions
    std::int64_t targetIncarnation = 0;
    InstanceKey home;
    InstanceKey witness;
    int epoch = 0;
    WallTime pairExpiry = 0;
    WallTime routeExpiry = 0;

    friend bool operator==(const Token &, const Token &) = default;
};

/// Size of a sealed token in bytes: format, epoch, nine 64-bit fields and the authenticator.
constexpr std::size_t tokenBytes = 1 + 4 + 9 * 8 + macBytes;
using SealedToken = std::array<char, tokenBytes>;

/// Why a token isn't accepted.
enum class TokenFault {
    None,
    Malformed, ///< wrong length or format
    UnknownEpoch, ///< the team has no valid key of this epoch
    Forged, ///< the authenticator doesn't fit service, team, flow and content
    OtherService,
    Expired, ///< past routeExpiry
};

/// @return the name as used in logs and metrics, for example "token_forged"
std::string_view name(TokenFault fault);

/// Result of openToken(); the token is valid only without a fault.
struct OpenedToken {
    TokenFault fault = TokenFault::None;
    Token token;
};

/// Seals a token for a flow.
/// @param key the key of the epoch that the token names
SealedToken sealToken(const Token &token, std::int64_t flow, const MacKey &key);

/// Checks and reads a token, cheap checks first.
/// @param bytes as the caller sent them
/// @param teamId team of the service on whose port the packet arrived
/// @param serviceId that service
/// @param flow number in the packet
/// @param keys all keys of the view
/// @param now wall time
OpenedToken openToken(std::string_view bytes, Id teamId, Id serviceId, std::int64_t flow, const std::vector<TokenKey> &keys, WallTime now);

/// Makes the content of a new token.
/// @param now wall time of minting
Token mintToken(Id serviceId, Id target, std::int64_t targetIncarnation, const InstanceKey &home, const InstanceKey &witness, int epoch, WallTime now);

/// @param view tells the newest epoch and whether home and witness still serve
/// @return whether the next answer should carry a fresh token: half of the pair's time has passed, the epoch is
/// old, or the home or the witness is leaving or gone
bool needsRefresh(const Token &token, const View &view, Id teamId, WallTime now);

} // namespace pimentofold
