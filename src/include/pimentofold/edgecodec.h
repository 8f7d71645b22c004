#pragma once

#include <optional>
#include <set>
#include <vector>

#include <pimentofold/dispatch.h>
#include <pimentofold/storereplication.h>

#include "edge_types.h"

/// Messages between edge nodes to the library's types and back.
namespace pimentofold {

/// Bytes of changes in one datagram, about; well below what fits, since sizes are estimated.
constexpr std::size_t changesPerDatagram = 1'100;

/// @return the changes as the bodies of one or more messages
std::vector<wire::EdgeChanges> toWire(const StoreChanges &changes);

/// Parts of changes that are not complete yet.
struct PartialChanges {
    Id sender = 0;
    KnownRevisions known;
    std::int32_t parts = 0;
    std::set<std::int32_t> received;
    StoreChanges changes;
};

/// Puts parts together. A sender's answers to requests and its broadcasts may arrive mixed.
struct ChangesAssembler {
    std::vector<PartialChanges> open; ///< the oldest ones first
};

/// Incomplete changes that are kept; the oldest ones have probably lost a part.
constexpr std::size_t mostPartialChanges = 16;

/// Adds a part.
/// @return all changes when this was the last part that was missing; nothing also for parts that can't be used
std::optional<StoreChanges> addPart(ChangesAssembler &assembler, Id sender, const wire::EdgeChanges &part);

/// @return the address in messages
wire::EdgeEndpoint toWire(const Address &address);

/// @return the address
Address fromWire(const wire::EdgeEndpoint &endpoint);

/// @return the ends of a flow
wire::EdgeFlowEnds toWire(const FlowKey &key);

/// @return the ends of a flow
FlowKey fromWire(const wire::EdgeFlowEnds &ends);

} // namespace pimentofold
