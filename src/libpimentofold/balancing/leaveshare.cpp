#include <pimentofold/balancing/leaveshare.h>

#include <algorithm>
#include <cmath>

namespace pimentofold {

namespace {

// Time for which free local slots, as a share of all, count as a negative difference of the waits.
constexpr Time freeSlotsScale = 150 * millisecond;
// A share below this is rounded to 0 while it falls, so that it ends.
constexpr double minShare = 0.005;
constexpr double maxShareInUse = 0.95; // bounds the estimate of the load that is offered here

double toSeconds(Time duration)
{
    return static_cast<double>(duration) / static_cast<double>(second);
}

double freeSlots(const NeighbourLoad &load, const LeaveSettings &settings)
{
    return settings.fullUtilisation * load.slots - load.working - load.waiting;
}

std::vector<NeighbourLoad> freshLoads(std::span<const NeighbourLoad> others, const LeaveSettings &settings)
{
    std::vector<NeighbourLoad> fresh;
    for (const NeighbourLoad &it : others) {
        if (it.age < settings.reportValidity && it.slots > 0) {
            fresh.push_back(it);
        }
    }
    return fresh;
}

const LeaveDestination *findDestination(const LeaveShare &decision, std::string_view dataCentre)
{
    const auto it = std::ranges::find(decision.destinations, dataCentre, &LeaveDestination::dataCentre);
    return it == decision.destinations.end() ? nullptr : &*it;
}

/// @return the part of the leaving flows that went to data centres whose reports are still fresh, 0 to 1
double freshPart(const LeaveShare &before, std::span<const NeighbourLoad> fresh)
{
    double part = 0;
    for (const NeighbourLoad &it : fresh) {
        const LeaveDestination *found = findDestination(before, it.dataCentre);
        part += found == nullptr ? 0 : found->weight;
    }
    return part;
}

/// Difference between the wait here and the shortest wait elsewhere, in seconds. Negative when flows should return.
double waitDifference(const LocalLoad &local, std::span<const NeighbourLoad> fresh, const LeaveSettings &settings)
{
    const Time here = expectedWait(local.slots, local.working, local.waiting, local.workTime);
    if (here == 0) {
        const double utilisation = static_cast<double>(local.working + local.waiting) / local.slots;
        return std::min(0.0, utilisation - settings.fullUtilisation) * toSeconds(freeSlotsScale);
    }
    Time elsewhere = unusableWait;
    for (const NeighbourLoad &it : fresh) {
        elsewhere = std::min(elsewhere, it.expectedWait);
    }
    const auto transit = static_cast<Time>(static_cast<double>(settings.extraTransit) * (1 + settings.idleFlowWeight * local.idleShare));
    return toSeconds(here - elsewhere - transit);
}

/// @return slots that all new flows take or would take here, including those that leave. The backlog isn't included, since
///         it is the result of past flows.
double offeredSlots(const LocalLoad &local, double share)
{
    const double working = std::min(local.working, local.slots) / (1 - std::min(share, maxShareInUse));
    return std::max({1.0, working, local.openingsPerSecond * toSeconds(local.workTime)});
}

/// Highest share that the room elsewhere allows.
double roomLimit(const LocalLoad &local, std::span<const NeighbourLoad> fresh, const LeaveShare &before, Time elapsed, const LeaveSettings &settings)
{
    double room = 0;
    double excess = 0;
    int senders = 1;
    for (const NeighbourLoad &it : fresh) {
        const double slots = freeSlots(it, settings);
        room += std::max(0.0, slots);
        excess += std::max(0.0, -slots);
        senders += slots <= 0 ? 1 : 0;
    }
    // Other data centres without room may send flows to the same places.
    const double change = room > 0 ? room / senders : -excess;
    const double offered = offeredSlots(local, before.share);
    const double intervals = static_cast<double>(elapsed) / static_cast<double>(settings.roomInterval);
    return std::max(0.0, before.share + settings.roomGain * intervals * change * local.part / offered);
}

/// Divides the leaving flows by free slots, or by slots when nothing is free. The weights follow gradually, since other data
/// centres see the same free slots.
std::vector<LeaveDestination> divide(std::span<const NeighbourLoad> fresh, const LeaveShare &before, Time elapsed, const LeaveSettings &settings)
{
    double room = 0;
    double slots = 0;
    for (const NeighbourLoad &it : fresh) {
        room += std::max(0.0, freeSlots(it, settings));
        slots += it.slots;
    }
    const double known = freshPart(before, fresh);
    const double gain = known > 0 ? std::min(1.0, static_cast<double>(elapsed) / static_cast<double>(2 * settings.roomInterval)) : 1;
    std::vector<LeaveDestination> result;
    for (const NeighbourLoad &it : fresh) {
        const double wanted = room > 0 ? std::max(0.0, freeSlots(it, settings)) / room : it.slots / slots;
        const LeaveDestination *found = findDestination(before, it.dataCentre);
        const double previous = found == nullptr || known == 0 ? 0 : found->weight / known;
        result.push_back({std::string(it.dataCentre), previous + gain * (wanted - previous)});
    }
    std::ranges::sort(result, {}, &LeaveDestination::dataCentre);
    return result;
}

} // namespace

Time expectedWait(int slots, int working, int waiting, Time workTime)
{
    if (slots <= 0) {
        return unusableWait;
    }
    const double ahead = std::max(0, working + waiting + 1 - slots);
    return std::min(unusableWait, static_cast<Time>(ahead * static_cast<double>(workTime) / slots));
}

double updatedRate(double rate, int count, Time interval)
{
    constexpr Time averagingTime = 500 * millisecond;
    if (interval <= 0) {
        return rate;
    }
    const double gain = std::min(1.0, toSeconds(interval) / toSeconds(averagingTime));
    return rate + gain * (count / toSeconds(interval) - rate);
}

LeaveShare leaveShare(const LocalLoad &local, std::span<const NeighbourLoad> others, const LeaveShare &before, Time elapsed, const LeaveSettings &settings)
{
    LeaveShare result;
    const std::vector<NeighbourLoad> fresh = freshLoads(others, settings);
    if (fresh.empty()) {
        return result;
    }
    result.destinations = divide(fresh, before, elapsed, settings);
    if (local.slots <= 0) {
        result.share = 1;
        result.integral = 1;
        return result;
    }
    LeaveShare kept = before;
    // Flows to data centres that have become silent return at once. The others don't get them in addition.
    kept.share *= freshPart(before, fresh);
    kept.integral = std::min(kept.integral, kept.share);
    const double gain = 1 - settings.idleFlowDamping * local.idleShare;
    const double difference = gain * waitDifference(local, fresh, settings) / toSeconds(settings.waitScale);
    const double integral = std::clamp(kept.integral + difference * static_cast<double>(elapsed) / static_cast<double>(settings.integralTime), 0.0, 1.0);
    const double wanted = std::clamp(integral + difference, 0.0, std::min(1.0, roomLimit(local, fresh, kept, elapsed, settings)));
    const double maxChange = settings.maxChangePerSecond * toSeconds(elapsed);
    result.share = std::clamp(wanted, kept.share - maxChange, kept.share + maxChange);
    if (result.share < minShare && result.share <= kept.share) {
        result.share = 0;
    }
    result.integral = std::min(integral, result.share);
    return result;
}

std::optional<std::string_view> destinationOf(const LeaveShare &decision, std::uint64_t flowHash)
{
    constexpr std::uint64_t salt = 0x6c65617665; // the flow's dispatcher was chosen by the same hash
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    const double position = static_cast<double>(mix(flowHash, salt)) / hashRange;
    if (position >= decision.share) {
        return std::nullopt;
    }
    double rest = position / decision.share;
    for (const LeaveDestination &it : decision.destinations) {
        rest -= it.weight;
        if (rest < 0) {
            return it.dataCentre;
        }
    }
    return decision.destinations.empty() ? std::nullopt : std::optional<std::string_view>(decision.destinations.back().dataCentre);
}

} // namespace pimentofold
