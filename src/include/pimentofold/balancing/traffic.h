#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "edge_types.h"

/// Counts of the bytes that a node sends, by purpose and by whether they leave the data centre.
namespace pimentofold {

/// Purpose of a datagram between edge nodes.
enum class TrafficPurpose {
    Replication, ///< configuration and targets
    Membership, ///< which nodes run
    Placement, ///< opening packets and the answers to them
    FlowNotices, ///< what dispatchers learn of open flows
    Other,
};

constexpr std::size_t trafficPurposes = 5;

/// @return label value of the purpose in the metrics
std::string_view name(TrafficPurpose purpose);

/// @return the purpose of messages of this kind
TrafficPurpose purposeOf(wire::EdgeKind::type kind);

/// Bytes sent to the own data centre and to others. Bytes to an address whose data centre is unknown, such as that of a
/// seed that isn't a member yet, count as sent to another one.
struct ScopedBytes {
    std::int64_t sameDataCentre = 0;
    std::int64_t otherDataCentre = 0;
};

/// Payload bytes by TrafficPurpose, without the headers of IP and UDP.
struct PeerTraffic {
    std::array<ScopedBytes, trafficPurposes> byPurpose;
};

/// Adds bytes to the counts.
void countBytes(ScopedBytes &counts, bool sameDataCentre, std::size_t bytes);

/// @overload
void countBytes(PeerTraffic &traffic, TrafficPurpose purpose, bool sameDataCentre, std::size_t bytes);

} // namespace pimentofold
