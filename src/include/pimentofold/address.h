#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <netinet/in.h>

/// IPv4 addresses with port.
namespace pimentofold {

/// An IPv4 number and a port, both in host byte order.
struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    // clang-tidy takes the 0 of the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Address &, const Address &) = default;
};

/// @param text "127.0.0.1:4000"
/// @throws std::invalid_argument when the text isn't such an address
Address parseAddress(const std::string &text);

/// @return the address as "127.0.0.1:4000"
std::string toString(const Address &address);

/// @return the address for socket calls
sockaddr_in toSockaddr(const Address &address);

/// @return the address from a socket call
Address fromSockaddr(const sockaddr_in &socketAddress);

} // namespace pimentofold
