#pragma once

#include <cstdint>
#include <vector>

#include <pimentofold/flowpacket.h>
#include <pimentofold/types.h>

/// Tells from a caller's packets whether a flow stalls: the caller sends data again that this node has forwarded before,
/// so its target hasn't acknowledged it. Targets answer callers directly, so the only signs of life of a target are that
/// the caller acknowledges more bytes of it, or that the caller's window has moved on.
namespace pimentofold {

/// A caller keeps at most this many packets without an acknowledgement in flight. A further packet proves that the oldest
/// one was acknowledged.
constexpr std::size_t maxPacketsInFlight = 16;
/// Callers repeat data without an acknowledgement after this time. Data that isn't repeated then was acknowledged.
constexpr Time firstRetransmissionTime = 200 * millisecond;
/// A packet that comes again earlier than this was duplicated on the way. Callers retransmit after 200 ms at the earliest.
constexpr Time minRetransmissionTime = 150 * millisecond;

/// A data packet that this node has forwarded and that the caller may still have in flight.
struct ForwardedSegment {
    std::uint32_t sequence = 0;
    Time firstSentAt = 0;
    Time lastSentAt = 0;
    Time interval = 0; ///< between the last two times; 0: sent once
    int retransmissions = 0;
};

/// What the packets of one flow at this node show about its target.
struct FlowProgress {
    bool acknowledgementKnown = false;
    std::uint32_t acknowledgement = 0; ///< highest acknowledgement of the caller
    Time progressAt = 0; ///< last sign of life of the target on this flow; 0: none at this node
    int requests = 0; ///< requests that have started at this node
    std::vector<ForwardedSegment> inFlight; ///< in the order of their first transmission; at most maxPacketsInFlight
};

/// A flow whose caller has repeated data without any progress since.
struct FlowStall {
    FlowKey flow;
    Time since = 0; ///< when the data was forwarded first
    Time repeatedAt = 0; ///< when it was forwarded last
    Time interval = 0; ///< time between the last two transmissions
    int retransmissions = 0;
};

/// What one packet has shown.
struct ProgressObservation {
    bool progressed = false; ///< the target has acknowledged or answered something
    /// Time at which this node forwarded data that is answered now, which proves its path to the target up to then; 0: not known.
    Time provenForwardAt = 0;
    bool stalled = false; ///< `stall` is valid
    FlowStall stall;
};

/// Updates a flow's progress by a packet after the opening one.
/// @param tracksData whether data is recorded, which is needed to see stalls
ProgressObservation observeProgress(FlowProgress &progress, const FlowPacket &packet, bool tracksData, Time now);

} // namespace pimentofold
