#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <netinet/in.h>

/// IPv4 socket addresses: parsing, formatting and conversion to the socket API's type.
namespace pimentofold {

/// An IPv4 address and a port, both in host byte order.
struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    // False positive: clang-tidy reports the 0 in the generated comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Address &, const Address &) = default;
};

/// Parses an address.
/// @param text IPv4 address and port as "127.0.0.1:4000"; host names aren't resolved
/// @throws std::invalid_argument when @p text doesn't have this form
Address parseAddress(const std::string &text);

/// @return the address as "127.0.0.1:4000"
std::string toString(const Address &address);

/// @return the address in the form that bind(), connect() and sendto() expect
sockaddr_in toSockaddr(const Address &address);

/// @param socketAddress an AF_INET address, as from recvfrom() or getsockname()
Address fromSockaddr(const sockaddr_in &socketAddress);

} // namespace pimentofold
