#include <pimentofold/targetloss/flowprogress.h>

#include <algorithm>

namespace pimentofold {

namespace {

/// Compares sequence numbers, which wrap around.
bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

void recordProgress(FlowProgress &progress, ProgressObservation &observation, Time now)
{
    progress.progressAt = now;
    observation.progressed = true;
    if (!progress.inFlight.empty()) {
        // Which of several transmissions was answered isn't known, so only the first one counts as proven.
        observation.provenForwardAt = std::max(observation.provenForwardAt, progress.inFlight.front().firstSentAt);
    }
}

void observeAcknowledgement(FlowProgress &progress, const FlowPacket &packet, Time now, ProgressObservation &observation)
{
    if (!progress.acknowledgementKnown) {
        progress.acknowledgementKnown = true;
        progress.acknowledgement = packet.acknowledgement;
    } else if (isAfter(packet.acknowledgement, progress.acknowledgement)) {
        progress.acknowledgement = packet.acknowledgement;
        recordProgress(progress, observation, now);
        progress.inFlight.clear();
    }
}

void observeData(FlowProgress &progress, const FlowPacket &packet, Time now, ProgressObservation &observation)
{
    const auto known = std::ranges::find(progress.inFlight, packet.sequence, &ForwardedSegment::sequence);
    if (known == progress.inFlight.end()) {
        if (!progress.inFlight.empty() && !isAfter(packet.sequence, progress.inFlight.back().sequence)) {
            // An earlier packet that this node hasn't forwarded, or not since the last progress.
            return;
        }
        if (progress.inFlight.size() == maxPacketsInFlight) {
            recordProgress(progress, observation, now);
            progress.inFlight.erase(progress.inFlight.begin());
        }
        progress.inFlight.push_back({packet.sequence, now, now, 0, 0});
        return;
    }
    if (now - known->lastSentAt < minRetransmissionTime) {
        // It may be a retransmission that follows a delayed first packet, so the next one may be due after twice the usual time.
        known->lastSentAt = now;
        known->interval = std::max(known->interval, firstRetransmissionTime);
        return;
    }
    ++known->retransmissions;
    known->interval = now - known->lastSentAt;
    known->lastSentAt = now;
    observation.stalled = true;
    observation.stall = {packet.flow, known->firstSentAt, now, known->interval, known->retransmissions};
}

} // namespace

ProgressObservation observeProgress(FlowProgress &progress, const FlowPacket &packet, bool tracksData, Time now)
{
    ProgressObservation observation;
    observeAcknowledgement(progress, packet, now, observation);
    if (tracksData && packet.payloadBytes > 0) {
        observeData(progress, packet, now, observation);
    }
    return observation;
}

} // namespace pimentofold
