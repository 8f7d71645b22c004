#include <platform/packetcodec.h>

#include <algorithm>
#include <array>

namespace pimentofold::platform {

namespace {

// Offsets of the fields, in bytes.
constexpr std::size_t flagsAt = 0;
constexpr std::size_t lengthAt = 4;
constexpr std::size_t destinationPortAt = 6;
constexpr std::size_t destinationAt = 8;
constexpr std::size_t sourceAt = 12;
constexpr std::size_t sourcePortAt = 16;
constexpr std::size_t echoAt = 18;
constexpr std::size_t sequenceAt = 26;
constexpr std::size_t acknowledgementAt = 30;

// A caller repeats an opening packet after these times.
constexpr std::array<Time, 3> openAges{0, 200 * millisecond, 600 * millisecond};

constexpr unsigned finFlag = 1;
constexpr unsigned synFlag = 2;
constexpr unsigned ackFlag = 8;
constexpr unsigned resetFlag = 16;

std::uint32_t readNumber(std::string_view bytes, std::size_t at, std::size_t width)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < width; ++i) {
        value = value << 8U | static_cast<unsigned char>(bytes[at + i]);
    }
    return value;
}

void writeNumber(std::string &bytes, std::size_t at, std::size_t width, std::uint64_t value)
{
    for (std::size_t i = 0; i < width; ++i) {
        bytes[at + width - 1 - i] = static_cast<char>(value >> (8U * i) & 0xffU);
    }
}

} // namespace

std::optional<FlowPacket> decodePacket(std::string_view bytes)
{
    if (bytes.size() < packetHeaderBytes || bytes.size() > maxPacketBytes) {
        return std::nullopt;
    }
    const std::uint32_t length = readNumber(bytes, lengthAt, 2);
    if (length != bytes.size() - packetHeaderBytes) {
        return std::nullopt;
    }
    const std::uint32_t flags = readNumber(bytes, flagsAt, 1);
    FlowPacket packet;
    packet.opens = (flags & synFlag) != 0;
    packet.finishes = (flags & finFlag) != 0;
    packet.resets = (flags & resetFlag) != 0;
    if (packet.opens && (flags & ackFlag) != 0) {
        // Only targets send this, and never to a node.
        return std::nullopt;
    }
    packet.flow.caller = {readNumber(bytes, sourceAt, 4), static_cast<std::uint16_t>(readNumber(bytes, sourcePortAt, 2))};
    packet.flow.service = {readNumber(bytes, destinationAt, 4), static_cast<std::uint16_t>(readNumber(bytes, destinationPortAt, 2))};
    packet.token = readNumber(bytes, echoAt, 4);
    if (packet.opens) {
        // In an opening packet the acknowledgement counts the copies.
        packet.openingAge = openAges[std::min<std::size_t>(readNumber(bytes, acknowledgementAt, 4), openAges.size() - 1)];
    }
    packet.payloadBytes = static_cast<std::uint16_t>(length);
    packet.bytes = bytes;
    return packet;
}

std::string encodeForwarded(const ForwardedPacket &packet)
{
    std::string bytes(targetPrefixBytes, '\0');
    writeNumber(bytes, 0, targetPrefixBytes, packet.target);
    bytes += packet.bytes;
    writeNumber(bytes, targetPrefixBytes + echoAt, 4, packet.token);
    return bytes;
}

std::string encodeReset(const FlowReset &reset)
{
    std::string bytes(packetHeaderBytes, '\0');
    writeNumber(bytes, flagsAt, 1, resetFlag);
    writeNumber(bytes, destinationPortAt, 2, reset.flow.caller.port);
    writeNumber(bytes, destinationAt, 4, reset.flow.caller.ip);
    writeNumber(bytes, sourceAt, 4, reset.flow.service.ip);
    writeNumber(bytes, sourcePortAt, 2, reset.flow.service.port);
    writeNumber(bytes, sequenceAt, 4, reset.sequence);
    return bytes;
}

} // namespace pimentofold::platform
