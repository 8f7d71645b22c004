#pragma once

#include <pimentofold/membership.h>

/// Updates and digests of membership; not for users of the library.
namespace pimentofold::memberupdates {

/// @return true for a member that may be given work
inline bool isLive(const Member &member)
{
    return member.state == wire::MemberState::Alive || member.state == wire::MemberState::Suspect;
}

/// Applies an update.
/// @return true when it was news
bool mergeUpdate(MembershipState &state, const wire::MemberUpdate &update, Time now, MembershipOutput &out);

/// Changes the state of a member and queues the update.
void changeState(MembershipState &state, Member &member, wire::MemberState::type next, Time now, MembershipOutput &out);

/// Bytes of a message without updates and digest, with the authenticator; an upper bound.
constexpr std::size_t messageOverheadBytes = 16 + 120;

/// Takes bytes for a message that isn't a probe or its acknowledgement.
/// @return false when the rate doesn't permit it
bool consumeBudget(MembershipState &state, std::size_t bytes, Time now);

/// Counts all queued updates as sent a few times more, because a peer has proved to know them.
void advanceTransmissionCounts(MembershipState &state);

/// Queues the state of a member for dissemination.
void queueUpdate(MembershipState &state, Id instance);

/// Copies this member to its entry in the list and queues it.
void publishSelf(MembershipState &state, Time now);

/// Adds updates to a message within the limits on count, size and rate.
/// @param recipient the member that the message goes to, 0 when unknown; it is told first when it isn't known as alive
void piggybackUpdates(MembershipState &state, wire::PeerMessage &message, Id recipient, Time now);

/// Adds this member's own entry to a message.
void addOwnEntry(MembershipState &state, wire::PeerMessage &message);

/// @param salt number of the message, so that members which the filter hides once are found the next time
/// @param withFilter adds a filter of the known members, one byte each
/// @return 8 bytes that are equal when the members that aren't dead are, and the filter
std::string digestOf(const MembershipState &state, std::int64_t salt, bool withFilter);

/// Adds the members that the filter of a peer's digest doesn't have.
/// @return true when the members differ
bool addMissingMembers(MembershipState &state, const std::string &digest, std::int64_t salt, wire::PeerMessage &message, Time now);

} // namespace pimentofold::memberupdates
