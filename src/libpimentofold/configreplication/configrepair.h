#pragma once

#include <string>

#include <pimentofold/configreplication/configreplication.h>

/// Anti-entropy: finds and repairs differences between the stores of two agents by comparing digests.
///
/// An exchange has up to four steps. The first agent sends the digest of all heads (8 bytes). If it differs, the second
/// one replies with the digests of all buckets. For each bucket that differs, the first one sends the heads of the
/// objects in it. The second one then sends objects and pulls the ones that it lacks.
namespace pimentofold {

/// Sends the digest of all heads, the first step of an exchange.
/// @param remote the recipient is in another data centre; the message then lists the delegates of this data centre
/// @param replyWanted asks the recipient to reply with its own digest if the digests are equal
void sendRootDigest(const ConfigReplication &replication, const std::string &to, bool remote, bool replyWanted, ConfigReplicationOutput &out);

/// Handles a Digest message of any step of an exchange.
void handleDigest(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out);

/// Replies to a Pull message with the requested objects or ranges.
void handlePull(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out);

/// Requests objects, or ranges of large objects, by their heads. Sends nothing if there are none.
void sendPull(ConfigReplication &replication, const std::vector<wire::ObjectHead> &heads, const std::string &to, ConfigReplicationOutput &out);

} // namespace pimentofold
