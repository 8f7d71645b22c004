#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Authentication of datagrams between instances with SipHash-2-4-128.
namespace pimentofold {

constexpr std::size_t macKeyBytes = 16;
constexpr std::size_t macBytes = 16;

/// A key for sealing. Never write one to a log.
using MacKey = std::array<std::uint8_t, macKeyBytes>;
/// The authenticator of some bytes under a key.
using Mac = std::array<std::uint8_t, macBytes>;

/// @param secret any bytes, at least 16 for full strength
/// @param purpose keeps keys for different uses apart, for example "peer" or "token"
/// @return a key derived from the secret with BLAKE2b
MacKey deriveKey(std::string_view secret, std::string_view purpose);

/// @return the authenticator of @p bytes
Mac computeMac(std::string_view bytes, const MacKey &key);

/// Compares in constant time.
bool macsEqual(const Mac &a, const Mac &b);

/// @param keys at least one; the first one signs
/// @return the authenticator followed by @p payload
std::string signDatagram(std::string_view payload, const std::vector<MacKey> &keys);

/// @param datagram as made by signDatagram()
/// @param keys any of them may have signed
/// @param payload set to the content, which points into @p datagram
/// @return false when no key fits; @p payload is then unchanged
bool verifyDatagram(std::string_view datagram, const std::vector<MacKey> &keys, std::string_view &payload);

} // namespace pimentofold
