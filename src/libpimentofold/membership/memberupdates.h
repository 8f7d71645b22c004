#pragma once

#include <pimentofold/membership/membership.h>

/// Piggybacked updates and digests of the membership protocol. Internal to the library.
namespace pimentofold::memberupdates {

/// @return true if the member may be given work, i.e. it is alive or suspect
inline bool isLive(const Member &member)
{
    return member.state == wire::MemberState::Alive || member.state == wire::MemberState::Suspect;
}

/// Applies a received update if it takes precedence over the known entry, and queues it for dissemination.
/// @return true if it changed the entry
bool mergeUpdate(MembershipState &state, const wire::MemberUpdate &update, Time now, MembershipOutput &out);

/// Changes the state of a member and queues the update for dissemination.
void changeState(MembershipState &state, Member &member, wire::MemberState::type next, Time now, MembershipOutput &out);

/// Upper bound of the bytes of a message without updates and digest, including the authenticator.
constexpr std::size_t messageOverheadBytes = 16 + 120;

/// Takes bytes from the update budget for a message that is neither a probe nor its acknowledgement.
/// @return false if the budget is too small; nothing is taken then
bool consumeBudget(MembershipState &state, std::size_t bytes, Time now);

/// Raises the transmission count of all queued updates, because a peer's matching digest has proved that it knows them.
void advanceTransmissionCounts(MembershipState &state);

/// Queues the state of a member for dissemination.
void queueUpdate(MembershipState &state, Id instance);

/// Copies MembershipState::self to its entry in MembershipState::members and queues the update.
void publishSelf(MembershipState &state, Time now);

/// @return whether the member is in another data centre and updates are to stay in the own one, see preferOwnDataCentre
bool isElsewhere(const MembershipState &state, Id recipient);

/// Adds queued updates to a message, up to the limits on count, message size and rate.
/// @param recipient instance that the message goes to, 0 if unknown; if it isn't recorded as alive, its own entry is
///     added first, so that it can refute it
void piggybackUpdates(MembershipState &state, wire::PeerMessage &message, Id recipient, Time now);

/// Adds the entry of this member to a message.
void addOwnEntry(MembershipState &state, wire::PeerMessage &message);

/// Computes a digest of the members that aren't dead.
/// @param salt sequence number of the message; it varies the filter, so that a member hidden by a collision in one
///     digest is found with the next one
/// @param withFilter appends a Bloom filter of all known members, with one byte per member
/// @return an 8-byte hash, which is equal for equal sets of members, followed by the filter
std::string digestOf(const MembershipState &state, std::int64_t salt, bool withFilter);

/// Compares a peer's digest with the own members, and adds the members that are missing in its filter to a message.
/// @param salt as passed to digestOf() by the peer
/// @return true if the members differ
bool addMissingMembers(MembershipState &state, const std::string &digest, std::int64_t salt, wire::PeerMessage &message, Time now);

} // namespace pimentofold::memberupdates
