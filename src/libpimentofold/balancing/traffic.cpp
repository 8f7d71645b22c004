#include <pimentofold/balancing/traffic.h>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, trafficPurposes> purposeNames{"replication", "membership", "placement", "flow_notices", "other"};

} // namespace

std::string_view name(TrafficPurpose purpose)
{
    return purposeNames.at(static_cast<std::size_t>(purpose));
}

TrafficPurpose purposeOf(wire::EdgeKind::type kind)
{
    switch (kind) {
    case wire::EdgeKind::Beat:
    case wire::EdgeKind::Fetch:
    case wire::EdgeKind::Changes:
        return TrafficPurpose::Replication;
    case wire::EdgeKind::Place:
    case wire::EdgeKind::Held:
    case wire::EdgeKind::Settled:
    case wire::EdgeKind::Refused:
        return TrafficPurpose::Placement;
    case wire::EdgeKind::Ended:
    case wire::EdgeKind::Opened:
    case wire::EdgeKind::WorkStarted:
    case wire::EdgeKind::WorkEnded:
    case wire::EdgeKind::Locate:
    case wire::EdgeKind::Located:
        return TrafficPurpose::FlowNotices;
    default:
        return TrafficPurpose::Other;
    }
}

void countBytes(ScopedBytes &counts, bool sameDataCentre, std::size_t bytes)
{
    std::int64_t &count = sameDataCentre ? counts.sameDataCentre : counts.otherDataCentre;
    count += static_cast<std::int64_t>(bytes);
}

void countBytes(PeerTraffic &traffic, TrafficPurpose purpose, bool sameDataCentre, std::size_t bytes)
{
    countBytes(traffic.byPurpose.at(static_cast<std::size_t>(purpose)), sameDataCentre, bytes);
}

} // namespace pimentofold
