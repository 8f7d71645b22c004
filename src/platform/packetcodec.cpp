#include <platform/packetcodec.h>

#include <algorithm>
#include <array>

namespace pimentofold::platform {

namespace {

// Offsets of the header fields, in bytes.
constexpr std::size_t flagsOffset = 0;
constexpr std::size_t lengthOffset = 4;
constexpr std::size_t destinationPortOffset = 6;
constexpr std::size_t destinationOffset = 8;
constexpr std::size_t sourceOffset = 12;
constexpr std::size_t sourcePortOffset = 16;
constexpr std::size_t tokenEchoOffset = 18;
constexpr std::size_t sequenceOffset = 26;
constexpr std::size_t acknowledgementOffset = 30;

constexpr unsigned finFlag = 1;
constexpr unsigned synFlag = 2;
constexpr unsigned ackFlag = 8;
constexpr unsigned resetFlag = 16;

std::uint32_t readNumber(std::string_view bytes, std::size_t offset, std::size_t width)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < width; ++i) {
        value = value << 8U | static_cast<unsigned char>(bytes[offset + i]);
    }
    return value;
}

void writeNumber(std::string &bytes, std::size_t offset, std::size_t width, std::uint64_t value)
{
    for (std::size_t i = 0; i < width; ++i) {
        bytes[offset + width - 1 - i] = static_cast<char>(value >> (8U * i) & 0xffU);
    }
}

} // namespace

std::optional<FlowPacket> decodePacket(std::string_view bytes)
{
    if (bytes.size() < packetHeaderBytes || bytes.size() > maxPacketBytes) {
        return std::nullopt;
    }
    const std::uint32_t length = readNumber(bytes, lengthOffset, 2);
    if (length != bytes.size() - packetHeaderBytes) {
        return std::nullopt;
    }
    const std::uint32_t flags = readNumber(bytes, flagsOffset, 1);
    FlowPacket packet;
    packet.opens = (flags & synFlag) != 0;
    packet.finishes = (flags & finFlag) != 0;
    packet.resets = (flags & resetFlag) != 0;
    if (packet.opens && (flags & ackFlag) != 0) {
        // SYN with ACK is a target's answer, which goes to the caller directly and never to an edge node.
        return std::nullopt;
    }
    packet.flow.caller = {readNumber(bytes, sourceOffset, 4), static_cast<std::uint16_t>(readNumber(bytes, sourcePortOffset, 2))};
    packet.flow.service = {readNumber(bytes, destinationOffset, 4), static_cast<std::uint16_t>(readNumber(bytes, destinationPortOffset, 2))};
    packet.token = readNumber(bytes, tokenEchoOffset, 4);
    packet.sequence = readNumber(bytes, sequenceOffset, 4);
    if (!packet.opens) {
        packet.acknowledgement = readNumber(bytes, acknowledgementOffset, 4);
    } else {
        // The acknowledgement field of an opening packet holds the number of the retransmission, 0 for the first packet.
        packet.openingAge = openingCopyAges[std::min<std::size_t>(readNumber(bytes, acknowledgementOffset, 4), openingCopyAges.size() - 1)];
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
    writeNumber(bytes, targetPrefixBytes + tokenEchoOffset, 4, packet.token);
    return bytes;
}

std::string encodeReset(const FlowReset &reset)
{
    std::string bytes(packetHeaderBytes, '\0');
    writeNumber(bytes, flagsOffset, 1, resetFlag);
    writeNumber(bytes, destinationPortOffset, 2, reset.flow.caller.port);
    writeNumber(bytes, destinationOffset, 4, reset.flow.caller.ip);
    writeNumber(bytes, sourceOffset, 4, reset.flow.service.ip);
    writeNumber(bytes, sourcePortOffset, 2, reset.flow.service.port);
    writeNumber(bytes, sequenceOffset, 4, reset.sequence);
    return bytes;
}

} // namespace pimentofold::platform
