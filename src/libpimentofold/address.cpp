#include <pimentofold/address.h>

#include <stdexcept>

#include <arpa/inet.h>

#include <pimentofold/settings.h>

namespace pimentofold {

Address parseAddress(const std::string &text)
{
    if (!isAddress(text)) {
        throw std::invalid_argument("not an IPv4 address with port: '" + text + "'");
    }
    const auto colon = text.find(':');
    in_addr number{};
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &number);
    return {ntohl(number.s_addr), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

std::string toString(const Address &address)
{
    char buf[INET_ADDRSTRLEN] = {};
    const in_addr number{htonl(address.ip)};
    inet_ntop(AF_INET, &number, buf, sizeof buf);
    return std::string(buf) + ":" + std::to_string(address.port);
}

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(address.ip);
    return result;
}

Address fromSockaddr(const sockaddr_in &socketAddress)
{
    return {ntohl(socketAddress.sin_addr.s_addr), ntohs(socketAddress.sin_port)};
}

} // namespace pimentofold
