#include <pimentofold/evacuation/evacuation.h>

#include <algorithm>

namespace pimentofold {

namespace {

/// Names in a message take at most this many bytes, so that a heartbeat with changes still fits into a datagram.
constexpr std::size_t maxNameBytes = 1'000;

std::size_t nameBytes(const EvacuationState &state)
{
    std::size_t bytes = 0;
    for (const std::string &it : state.dataCentres) {
        bytes += it.size() + 1;
    }
    return bytes;
}

} // namespace

bool isEvacuated(const TargetTable &table, const EdgeTarget &target)
{
    return !table.evacuations.dataCentres.empty() && table.evacuations.dataCentres.contains(target.record.dataCentre);
}

bool hasEvacuatedTargets(const TargetTable &table, const EdgeRoute &route, Time now)
{
    if (table.evacuations.dataCentres.empty()) {
        return false;
    }
    const auto excludes = [&](std::uint64_t id) {
        const EdgeTarget *target = findTarget(table, id);
        return isEvacuated(table, *target) && acceptsNewFlows(*target, now);
    };
    return std::ranges::any_of(route.weightedServices, [&](const WeightedService &it) {
        const auto ids = table.services.find(it.service);
        return it.weight > 0 && ids != table.services.end() && std::ranges::any_of(ids->second, excludes);
    });
}

EvacuationState evacuationsToSend(const TargetTable &table)
{
    if (nameBytes(table.evacuations) <= maxNameBytes) {
        return table.evacuations;
    }
    EvacuationState state;
    state.revision = table.evacuations.revision;
    for (const auto &[id, target] : table.targets) {
        if (isEvacuated(table, target)) {
            state.dataCentres.insert(target.record.dataCentre);
        }
    }
    return state;
}

} // namespace pimentofold
