#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Authentication of the datagrams between instances with a message authentication code (MAC), SipHash-2-4-128.
namespace pimentofold {

constexpr std::size_t macKeyBytes = 16;
constexpr std::size_t macBytes = 16;

/// Key for computing authenticators. Must never be logged.
using MacKey = std::array<std::uint8_t, macKeyBytes>;
/// Authenticator of a byte string under a key.
using Mac = std::array<std::uint8_t, macBytes>;

/// Derives a key with BLAKE2b.
/// @param secret any bytes; at least macKeyBytes for full strength
/// @param purpose separates keys for different uses, for example "peer" or "token"
/// @throws std::runtime_error if the derivation fails
MacKey deriveKey(std::string_view secret, std::string_view purpose);

/// @return the authenticator of @p bytes under @p key
Mac computeMac(std::string_view bytes, const MacKey &key);

/// Compares two authenticators in constant time, so that the duration doesn't reveal how many bytes match.
bool macsEqual(const Mac &a, const Mac &b);

/// @param keys at least one; the first one is used
/// @return the authenticator followed by @p payload
std::string signDatagram(std::string_view payload, const std::vector<MacKey> &keys);

/// Verifies the authenticator of a datagram.
/// @param datagram in the format of signDatagram()
/// @param keys accepted keys, tried in this order
/// @param[out] payload the content, as a view into @p datagram; unchanged on failure
/// @return false if the datagram is too short or was signed with none of the keys
bool verifyDatagram(std::string_view datagram, const std::vector<MacKey> &keys, std::string_view &payload);

} // namespace pimentofold
