#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <pimentofold/types.h>
#include <pimentofold/view.h>

/// Routes of flows without a shared flow table: candidates of bare flows, and a bounded cache of flows that
/// aren't on their first candidate.
namespace pimentofold {

/// Candidates that a repeated Open asks before it opens a bare flow.
constexpr std::size_t maxOpenCandidates = 4;

/// Gives the candidates of a bare flow one by one in rendezvous order, also leaving ones. The order of two targets
/// never depends on the others, so that it can be continued after the view has changed.
/// @param after the candidate before the wanted one; 0 for the first
/// @return index in View::targets, or nothing when there is no further candidate
std::optional<std::size_t> nextCandidate(const View &view, const ViewService &service, std::int64_t flow, Id after);

/// Cache of bare flows that aren't on their first candidate. Losing an entry costs a round trip.
///
/// Four-way associative; the oldest entry of a set makes room.
struct FlowCache {
    static constexpr std::size_t maxEntries = 65'536;
    static constexpr std::size_t ways = 4;

    std::vector<std::uint64_t> hashes; ///< 0: free
    std::vector<std::uint32_t> targets; ///< index in View::targets
};

/// @return the key of a flow in the cache, never 0
std::uint64_t flowHash(Id serviceId, std::int64_t flow);

/// @return index in View::targets of the flow's target, if known
std::optional<std::size_t> findRoute(const FlowCache &cache, std::uint64_t hash);

/// Remembers the target of a flow. The first call reserves the whole cache.
void storeRoute(FlowCache &cache, std::uint64_t hash, std::size_t target);

void eraseRoute(FlowCache &cache, std::uint64_t hash);

/// Carries the cache over to a new view, whose targets have other indexes.
void remapRoutes(FlowCache &cache, const View &before, const View &after);

} // namespace pimentofold
