#include <pimentofold/callerpacket.h>

#include <algorithm>
#include <array>

#include <pimentofold/answer.h>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 6> faultNames{"none", "oversized", "malformed", "not_for_balancer", "bad_field", "token"};

// Size of the smallest valid packet: the kind and the flow number.
constexpr std::size_t minPacketBytes = 5;

// Deadline when neither the packet nor the service has one.
constexpr Time fallbackDeadline = 2 * second;

PacketFault checkFields(const wire::CallerPacket &packet)
{
    switch (packet.kind) {
    case wire::PacketKind::Open:
    case wire::PacketKind::Close:
        break;
    case wire::PacketKind::Request:
    case wire::PacketKind::Cancel:
        if (packet.request < 1) {
            return PacketFault::BadField;
        }
        break;
    case wire::PacketKind::Opened:
    case wire::PacketKind::Answer:
    case wire::PacketKind::Closed:
        return PacketFault::NotForBalancer;
    default:
        return PacketFault::BadField;
    }
    const bool good = packet.attempt >= 1 && packet.workKind >= 0 && packet.workKind <= maxWorkKind && packet.deadlineMs >= 0 && packet.offset >= 0
        && packet.limit >= 0 && packet.limit <= static_cast<std::int32_t>(maxRangeBytes);
    return good ? PacketFault::None : PacketFault::BadField;
}

} // namespace

std::string_view name(PacketFault fault)
{
    const auto i = static_cast<std::size_t>(fault);
    return i < faultNames.size() ? faultNames[i] : "unknown";
}

CheckedPacket
checkPacket(Codec &codec, std::string_view bytes, const ViewService &service, const std::vector<TokenKey> &keys, WallTime now, wire::CallerPacket &packet)
{
    CheckedPacket checked;
    if (bytes.size() > maxDatagramBytes) {
        checked.fault = PacketFault::Oversized;
        return checked;
    }
    if (bytes.size() < minPacketBytes) {
        checked.fault = PacketFault::Malformed;
        return checked;
    }
    try {
        codec.decode(bytes, packet);
    } catch (const DecodeError &) {
        checked.fault = PacketFault::Malformed;
        return checked;
    }
    checked.fault = checkFields(packet);
    if (checked.fault != PacketFault::None || !packet.__isset.token) {
        return checked;
    }
    const OpenedToken opened = openToken(packet.token, service.teamId, service.id, packet.flow, keys, now);
    checked.tokenFault = opened.fault;
    checked.token = opened.token;
    checked.hasToken = opened.fault == TokenFault::None;
    if (!checked.hasToken) {
        checked.fault = PacketFault::Token;
    }
    return checked;
}

Time deadlineOf(const wire::CallerPacket &packet, const ViewService &service)
{
    const Time wanted = packet.deadlineMs > 0 ? packet.deadlineMs * millisecond : service.defaultDeadlineMs * millisecond;
    return std::min(wanted > 0 ? wanted : fallbackDeadline, maxDeadline);
}

} // namespace pimentofold
