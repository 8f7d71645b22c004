#pragma once

#include <pimentofold/membership/membership.h>

/// Contact with whole data centres. Internal to the library.
///
/// Probes of single members take long to show that all members of a data centre are out of reach. The first suspicion of one of
/// them, raised by any member, therefore makes each member ping other members of that data centre itself.
namespace pimentofold::datacentrecontact {

/// Starts to check the contact with the data centre of a member that is suspected.
void suspectContact(MembershipState &state, const Member &member, Time now);

/// Pings members of data centres whose contact is checked, and declares the contact lost.
void tickContacts(MembershipState &state, Time now, MembershipOutput &out);

/// Starts all checks anew, because this process was paused.
void restartContacts(MembershipState &state, Time now);

/// @return whether the contact with the member's data centre was lost so recently that the state of the member is left as it is
bool isHeld(const MembershipState &state, const Member &member, Time now);

} // namespace pimentofold::datacentrecontact
