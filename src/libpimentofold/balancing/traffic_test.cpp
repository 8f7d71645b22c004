#include <doctest/doctest.h>

#include <pimentofold/balancing/traffic.h>

using namespace pimentofold;

// Guards against a kind of message that is counted under the wrong purpose: the largest purpose would be looked for in the
// wrong place.
TEST_CASE("traffic: each kind of message has its purpose")
{
    struct Row {
        wire::EdgeKind::type kind;
        std::string_view purpose;
    };
    const Row rows[] = {
        {wire::EdgeKind::Beat, "replication"},
        {wire::EdgeKind::Fetch, "replication"},
        {wire::EdgeKind::Changes, "replication"},
        {wire::EdgeKind::Place, "placement"},
        {wire::EdgeKind::Held, "placement"},
        {wire::EdgeKind::Settled, "placement"},
        {wire::EdgeKind::Refused, "placement"},
        {wire::EdgeKind::Opened, "flow_notices"},
        {wire::EdgeKind::Ended, "flow_notices"},
        {wire::EdgeKind::WorkStarted, "flow_notices"},
        {wire::EdgeKind::WorkEnded, "flow_notices"},
        {wire::EdgeKind::Locate, "flow_notices"},
        {wire::EdgeKind::Located, "flow_notices"},
        {wire::EdgeKind::TargetSuspected, "other"},
        {wire::EdgeKind::TargetLost, "other"},
        {wire::EdgeKind::DispatchLoad, "other"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.kind);
        CHECK(name(purposeOf(row.kind)) == row.purpose);
    }
}

// Guards against bytes that are counted under the wrong scope.
TEST_CASE("traffic: bytes are counted by purpose and data centre")
{
    PeerTraffic traffic;
    countBytes(traffic, TrafficPurpose::Placement, true, 100);
    countBytes(traffic, TrafficPurpose::Placement, false, 30);
    countBytes(traffic, TrafficPurpose::Membership, false, 5);
    const ScopedBytes &placement = traffic.byPurpose.at(static_cast<std::size_t>(TrafficPurpose::Placement));
    CHECK(placement.sameDataCentre == 100);
    CHECK(placement.otherDataCentre == 30);
    CHECK(traffic.byPurpose.at(static_cast<std::size_t>(TrafficPurpose::Membership)).otherDataCentre == 5);
}
