#include <libpimentofold/membership/datacentrecontact.h>

#include <algorithm>

#include <libpimentofold/membership/memberupdates.h>

namespace pimentofold {

namespace {

using memberupdates::isLive;

void endCheck(MembershipContact &contact)
{
    contact.checkedSince = never;
    contact.pings = 0;
    contact.pinged.clear();
}

std::vector<Id> liveMembersOf(const MembershipState &state, const std::string &dataCentre)
{
    std::vector<Id> result;
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && member.dataCentre == dataCentre && id != state.self.key.instance) {
            result.push_back(id);
        }
    }
    return result;
}

/// @return whether this member hears its own data centre, so that the silence of another one isn't its own fault. After
///     isolationTimeout without any message it no longer assumes a fault of its own.
bool hearsOwnDataCentre(const MembershipState &state, Time now)
{
    const auto own = state.contacts.find(state.self.dataCentre);
    const bool isAlone = own == state.contacts.end() || liveMembersOf(state, state.self.dataCentre).empty();
    const Time silence = now - (isAlone ? state.lastHeardAt : own->second.heardAt);
    return silence < state.options.isolationThreshold || silence >= state.options.isolationTimeout;
}

std::size_t countMembers(const MembershipState &state, const std::string &dataCentre)
{
    return liveMembersOf(state, dataCentre).size();
}

void pingContact(MembershipState &state, const std::string &dataCentre, MembershipContact &contact, Time now, MembershipOutput &out)
{
    const MembershipOptions &options = state.options;
    contact.nextPingAt = now + (contact.lostAt != never ? options.lostPingInterval : options.contactPingInterval);
    const std::vector<Id> members = liveMembersOf(state, dataCentre);
    if (members.empty()) {
        // All members there were declared dead one by one. A member that comes back ends the loss with its first message.
        endCheck(contact);
        return;
    }
    const Id target = members[below(state.random, members.size())];
    ++contact.pings;
    if (contact.pinged.size() < options.contactMembers) {
        contact.pinged.insert(target);
    }
    pingMember(state, target, out);
}

/// @return whether the contact has to be declared lost now
bool isOutOfContact(const MembershipState &state, const std::string &dataCentre, const MembershipContact &contact, Time now)
{
    const MembershipOptions &options = state.options;
    return contact.lostAt == never && now - contact.heardAt >= options.contactTimeout && contact.pings >= options.contactPings
        && contact.pinged.size() >= std::min(options.contactMembers, countMembers(state, dataCentre)) && hearsOwnDataCentre(state, now);
}

} // namespace

namespace datacentrecontact {

void suspectContact(MembershipState &state, const Member &member, Time now)
{
    if (!state.options.severalDataCentres || member.dataCentre.empty() || member.dataCentre == state.self.dataCentre) {
        return;
    }
    const auto [it, added] = state.contacts.try_emplace(member.dataCentre);
    MembershipContact &contact = it->second;
    contact.heardAt = added ? now : contact.heardAt;
    if (contact.checkedSince == never) {
        contact.checkedSince = now;
        // Spreads the pings of the members that learn of the same suspicion.
        contact.nextPingAt = now + static_cast<Time>(below(state.random, static_cast<std::uint64_t>(state.options.contactPingInterval)));
    }
}

void tickContacts(MembershipState &state, Time now, MembershipOutput &out)
{
    for (auto &[dataCentre, contact] : state.contacts) {
        if (contact.checkedSince == never || now - contact.heardAt < state.options.contactCheckAfter) {
            continue;
        }
        if (now >= contact.nextPingAt) {
            pingContact(state, dataCentre, contact, now, out);
        }
        if (isOutOfContact(state, dataCentre, contact, now)) {
            contact.lostAt = now;
            out.contacts.push_back({dataCentre, true});
        }
    }
}

void restartContacts(MembershipState &state, Time now)
{
    for (auto &[dataCentre, contact] : state.contacts) {
        if (contact.lostAt == never) {
            endCheck(contact);
            contact.heardAt = now;
        }
    }
}

bool isHeld(const MembershipState &state, const Member &member, Time now)
{
    const auto it = state.contacts.find(member.dataCentre);
    return it != state.contacts.end() && it->second.lostAt != never && now - it->second.lostAt < state.options.lostHold;
}

} // namespace datacentrecontact

void recordHeard(MembershipState &state, Id sender, Time now, MembershipOutput &out)
{
    const auto member = state.members.find(sender);
    if (!state.options.severalDataCentres || member == state.members.end() || member->second.dataCentre.empty()) {
        return;
    }
    const std::string &dataCentre = member->second.dataCentre;
    MembershipContact &contact = state.contacts[dataCentre];
    contact.heardAt = now;
    endCheck(contact);
    if (contact.lostAt == never) {
        return;
    }
    contact.lostAt = never;
    // Refutations couldn't arrive until now, so the suspicions start again.
    for (auto &[id, it] : state.members) {
        if (it.dataCentre == dataCentre && it.state == wire::MemberState::Suspect) {
            it.stateSince = now;
        }
    }
    out.contacts.push_back({dataCentre, false});
}

bool isOutOfContact(const MembershipState &state, const std::string &dataCentre)
{
    const auto it = state.contacts.find(dataCentre);
    return it != state.contacts.end() && it->second.lostAt != never;
}

} // namespace pimentofold
