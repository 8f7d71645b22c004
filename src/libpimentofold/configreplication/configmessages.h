#pragma once

#include <string>
#include <vector>

#include <pimentofold/configreplication/configreplication.h>

/// Functions shared by configreplication and configrepair: message envelopes, packing into datagrams, rate limits and
/// the selection of peers. Internal to the library.
namespace pimentofold {

/// Maximum bytes of heads or objects in one message. The rest of a datagram is reserved for the envelope, the members
/// in a digest between data centres and the authenticator.
constexpr std::size_t maxContentBytes = maxWholeObjectBytes;

/// Value of the hops field of an Objects message. Receivers push new objects to further peers, but not those that
/// repair a difference between two agents.
enum class UpdateKind { New = 0, Repair = 1 };

/// @return a message with kind and sender set
wire::PeerMessage newConfigMessage(const ConfigReplication &replication, wire::PeerKind::type kind);

/// Packs objects into as few Objects messages as possible. Large objects are announced by their heads only.
std::vector<wire::PeerMessage> packObjects(const ConfigReplication &replication, const std::vector<ConfigObjectPointer> &objects, UpdateKind updateKind);

/// Splits heads into groups that each fit in one message.
/// @param overlap starts each group but the first with the last head of the previous group
std::vector<std::vector<wire::ObjectHead>> splitHeads(const std::vector<wire::ObjectHead> &heads, bool overlap);

/// @return encoded size of the objects and heads in a message in bytes, slightly overestimated
std::size_t contentBytes(const wire::PeerMessage &message);

/// Refills a token bucket and takes bytes from it.
/// @param rate refill rate in bytes per second
/// @param burst capacity in bytes
/// @return false if the bucket holds too few bytes; nothing is taken then
bool consumeBytes(ByteBudget &budget, double bytes, double rate, double burst, Time now);

/// Selects random agents of this data centre, or seeds if no members are known.
/// @param count maximum number of results
/// @param except address that is excluded
/// @return distinct addresses
std::vector<std::string> randomLocalPeers(ConfigReplication &replication, std::size_t count, const std::string &except);

/// Selects random delegates of other data centres, at most one per data centre, and remote seeds if there are too few.
/// @param count maximum number of results
/// @param except address that is excluded
/// @return distinct addresses
std::vector<std::string> randomRemotePeers(ConfigReplication &replication, std::size_t count, const std::string &except);

} // namespace pimentofold
