#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <pimentofold/types.h>
#include <pimentofold/view.h>

/// Routing of bare flows, that is, flows of callers without a token. Balancers share no flow table: each one computes the same
/// order of candidate targets from the flow's number, and caches the targets of the flows that aren't on their first candidate.
namespace pimentofold {

/// When an Open of a bare flow is repeated, number of candidates that are asked whether they already have the flow, before it is
/// opened as a new one.
constexpr std::size_t maxOpenCandidates = 4;

/// Returns the next candidate of a bare flow in the order of rendezvous hashing. Leaving targets are candidates too. The order of
/// two targets doesn't depend on any other target, so the iteration can go on after a change of the view.
/// @param view has the targets
/// @param service its targets are the candidates
/// @param flow number of the flow
/// @param after id of the previous candidate, which may have left the view; 0 for the first candidate
/// @return index in View::targets, or nothing when there are no more candidates
std::optional<std::size_t> nextCandidate(const View &view, const ViewService &service, std::int64_t flow, Id after);

/// Cache of the targets of bare flows that aren't on their first candidate. The loss of an entry costs one more round trip to a
/// candidate that doesn't have the flow.
///
/// Four-way set-associative; a new entry replaces the oldest one of its set.
struct FlowCache {
    static constexpr std::size_t maxEntries = 65'536;
    static constexpr std::size_t ways = 4;

    std::vector<std::uint64_t> hashes; ///< from flowHash(), newest first in each set; 0 for an unused entry
    std::vector<std::uint32_t> targets; ///< index in View::targets of the flow with the same position in @c hashes
};

/// @return the key of a flow in the cache; never 0
std::uint64_t flowHash(Id serviceId, std::int64_t flow);

/// @return index in View::targets of the flow's target, or nothing when the flow isn't in the cache
std::optional<std::size_t> findRoute(const FlowCache &cache, std::uint64_t hash);

/// Stores the target of a flow. The first call allocates the whole cache.
/// @param hash from flowHash()
/// @param target index in View::targets
void storeRoute(FlowCache &cache, std::uint64_t hash, std::size_t target);

void eraseRoute(FlowCache &cache, std::uint64_t hash);

/// Converts the stored indexes after a change of the view. Entries whose target isn't in the new view are removed.
/// @param before the view to which the stored indexes belong
/// @param after the new view
void remapRoutes(FlowCache &cache, const View &before, const View &after);

} // namespace pimentofold
