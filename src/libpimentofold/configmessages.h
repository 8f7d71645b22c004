#pragma once

#include <string>
#include <vector>

#include <pimentofold/configreplication.h>

/// Parts that configspread and configrepair share: envelopes, packing into datagrams, choice of peers.
namespace pimentofold {

/// Bytes of heads or objects in one message. The envelope, the members of a digest between data centres and the
/// authenticator take the rest of a datagram.
constexpr std::size_t maxContentBytes = maxWholeObjectBytes;

/// Hops of an Objects message: objects that are new in the fleet are pushed on, those that repair a difference
/// are not.
enum class UpdateKind { New = 0, Repair = 1 };

/// @return a message with the sender filled in
wire::PeerMessage newConfigMessage(const ConfigReplication &replication, wire::PeerKind::type kind);

/// Packs objects into as few Objects messages as fit in datagrams. Large objects are announced by their heads.
std::vector<wire::PeerMessage> packObjects(const ConfigReplication &replication, const std::vector<ConfigObjectPointer> &objects, UpdateKind updateKind);

/// Splits heads into groups that fit in one message each.
/// @param overlap each group but the first starts with the last head of the one before
std::vector<std::vector<wire::ObjectHead>> splitHeads(const std::vector<wire::ObjectHead> &heads, bool overlap);

/// @return size of the objects and heads in a message, slightly overestimated
std::size_t contentBytes(const wire::PeerMessage &message);

/// Refills a budget and takes from it.
/// @param rate bytes a second
/// @return false, with nothing taken, when the budget doesn't suffice
bool consumeBytes(ByteBudget &budget, double bytes, double rate, double burst, Time now);

/// Chooses random agents of this data centre, or seeds while none are known.
/// @param except an address that is left out
std::vector<std::string> randomLocalPeers(ConfigReplication &replication, std::size_t count, const std::string &except);

/// Chooses random delegates of other data centres, each of another data centre where possible, or seeds while
/// none are known.
std::vector<std::string> randomRemotePeers(ConfigReplication &replication, std::size_t count, const std::string &except);

} // namespace pimentofold
