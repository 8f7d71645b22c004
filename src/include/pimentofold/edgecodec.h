#pragma once

#include <optional>
#include <set>
#include <vector>

#include <pimentofold/dispatch.h>
#include <pimentofold/flowlocation/locationreplicas.h>
#include <pimentofold/replication/storereplication.h>
#include <pimentofold/targetloss/lossevidence.h>

#include "edge_types.h"

/// Conversion between the library's types and the messages that edge nodes send each other.
namespace pimentofold {

/// Approximate number of bytes of changes in one datagram. Well below the maximum size, since sizes are estimated.
constexpr std::size_t changesDatagramBytes = 1'100;

/// @return whether each route of the changes fits into a datagram. Entries of targets always do, see maxTargetTextBytes. A
///         configuration with a longer route has to be read from the store.
bool canSendRoutes(const StoreChanges &changes);

/// @return the changes of the targets alone, for a receiver that reads the configuration from the store
StoreChanges withoutConfig(StoreChanges changes);

/// Splits changes into parts that each fit into a datagram.
/// @return the parts in order; at least one
std::vector<wire::EdgeChanges> toWire(const StoreChanges &changes);

/// Changes of which some parts have not been received yet.
struct PartialChanges {
    Id sender = 0;
    KnownRevisions known;
    std::int32_t parts = 0; ///< number of parts of the complete changes
    std::set<std::int32_t> received; ///< indices of the received parts
    StoreChanges changes; ///< contents of the received parts
};

/// Reassembles changes from their parts. Parts of a sender's responses and of its broadcasts may arrive interleaved.
struct ChangesAssembler {
    std::vector<PartialChanges> pending; ///< incomplete changes, oldest first
};

/// Limit on incomplete changes. Beyond it the oldest ones are dropped, as a part of them was probably lost.
constexpr std::size_t maxPartialChanges = 16;

/// Adds a part.
/// @return the complete changes when this was the last missing part; nothing when parts are still missing, or when this part
/// is invalid or was received before
std::optional<StoreChanges> addPart(ChangesAssembler &assembler, Id sender, const wire::EdgeChanges &part);

/// Writes the revisions that the sender knows into a heartbeat or a request for changes.
void setKnown(wire::EdgeMessage &message, const KnownRevisions &known);

/// Writes the revision up to which the sender knows the evacuations into a message.
void setEvacuationsKnown(wire::EdgeMessage &message, const StoreRevision &revision);

/// Writes the revision of the sender's configuration into a heartbeat or a request for changes.
void setConfigRevision(wire::EdgeMessage &message, const StoreRevision &revision);

/// @return the revisions that the sender of a heartbeat or of a request for changes knows
KnownRevisions knownFromWire(const wire::EdgeMessage &message);

/// @return the revision of the sender's configuration
StoreRevision configRevisionFromWire(const wire::EdgeMessage &message);

/// Converts the evacuated data centres for a message.
wire::EdgeEvacuations toWire(const EvacuationState &state);

/// Converts the evacuated data centres from a message. Names that are too long are left out.
EvacuationState fromWire(const wire::EdgeEvacuations &evacuations);

/// Converts an address for a message.
wire::EdgeEndpoint toWire(const Address &address);

/// Converts an address from a message.
Address fromWire(const wire::EdgeEndpoint &endpoint);

/// Converts a flow's key for a message.
wire::EdgeFlowEnds toWire(const FlowKey &key);

/// Converts a flow's key from a message.
FlowKey fromWire(const wire::EdgeFlowEnds &ends);

/// Writes the location of a flow into a message about it.
void setLocation(wire::EdgeMessage &message, const LocationMessage &location);

/// @return the location that a Locate or Located names
FlowLocation locationFromWire(const wire::EdgeMessage &message);

/// @return the location that a Located reports
LocationReport reportFromWire(const wire::EdgeMessage &message);

/// @param isAsked whether this node has asked for the flow's location. Only this tells an answer from a report of a previous version.
/// @return whether a Located is a report, not an answer
bool isLocationReport(const wire::EdgeMessage &message, bool isAsked);

/// Converts evidence against a target for a message.
wire::EdgeTargetEvidence toWire(const TargetEvidence &evidence);

/// Converts evidence from a message. Numbers out of range are limited.
TargetEvidence fromWire(const wire::EdgeTargetEvidence &evidence);

/// Converts a verdict for a message.
wire::EdgeLostTarget toWire(const LostTarget &lost);

/// Converts a verdict from a message.
LostTarget fromWire(const wire::EdgeLostTarget &lost);

/// Converts the kind of a notice for a message.
wire::EdgeKind::type toWire(FlowNoticeKind kind);

/// @return the kind of notice that a message holds; nothing for other messages
std::optional<FlowNoticeKind> noticeKindFromWire(wire::EdgeKind::type kind);

} // namespace pimentofold
