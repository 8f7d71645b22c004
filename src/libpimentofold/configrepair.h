#pragma once

#include <string>

#include <pimentofold/configreplication.h>

/// Finds and repairs differences between two agents by digests.
///
/// An exchange has up to four steps: the digest of all heads (8 bytes); on a difference the digests of all buckets;
/// for the buckets that differ the heads in them; then objects and pulls in both directions.
namespace pimentofold {

/// Sends the first step of an exchange.
/// @param remote the peer is in another data centre and gets the delegates of this one
void sendRootDigest(const ConfigReplication &replication, const std::string &to, bool remote, bool replyWanted, ConfigReplicationOutput &out);

/// Takes any step of an exchange.
void handleDigest(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out);

/// Answers a Pull with objects or ranges.
void handlePull(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out);

/// Asks for objects by their heads.
void sendPull(ConfigReplication &replication, const std::vector<wire::ObjectHead> &heads, const std::string &to, ConfigReplicationOutput &out);

} // namespace pimentofold
