#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Authentication of datagrams between instances with SipHash-2-4-128.
namespace pimentofold {

constexpr std::size_t sealKeyBytes = 16;
constexpr std::size_t sealBytes = 16;

/// A key for sealing. Never write one to a log.
using SealKey = std::array<std::uint8_t, sealKeyBytes>;
/// The authenticator of some bytes under a key.
using Seal = std::array<std::uint8_t, sealBytes>;

/// @param secret any bytes, at least 16 for full strength
/// @param purpose keeps keys for different uses apart, for example "peer" or "token"
/// @return a key derived from the secret with BLAKE2b
SealKey deriveKey(std::string_view secret, std::string_view purpose);

/// @return the authenticator of @p bytes
Seal sealOf(std::string_view bytes, const SealKey &key);

/// Compares in constant time.
bool sameSeal(const Seal &a, const Seal &b);

/// @param keys at least one; the first one signs
/// @return the authenticator followed by @p payload
std::string sealDatagram(std::string_view payload, const std::vector<SealKey> &keys);

/// @param datagram as made by sealDatagram()
/// @param keys any of them may have signed
/// @param payload set to the content, which points into @p datagram
/// @return false when no key fits; @p payload is then unchanged
bool openDatagram(std::string_view datagram, const std::vector<SealKey> &keys, std::string_view &payload);

} // namespace pimentofold
