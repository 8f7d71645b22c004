#include <pimentofold/view.h>

#include <limits>
#include <set>

#include <pimentofold/settings.h>

#include "view_types.h"

namespace pimentofold {

namespace {

// Purpose in the key derivation; it makes token keys differ from other keys derived from the same secret.
constexpr std::string_view tokenPurpose = "token";
constexpr std::size_t minSecretBytes = 16;

[[noreturn]] void fail(const std::string &field, const std::string &expected)
{
    throw ViewError("view: field '" + field + "': expected " + expected);
}

template<typename T>
T checkedState(int value, int last, const std::string &field)
{
    if (value < 1 || value > last) {
        fail(field, "a state from 1 to " + std::to_string(last));
    }
    return static_cast<T>(value);
}

void checkAddress(const std::string &address, const std::string &field)
{
    if (!isAddress(address)) {
        fail(field, "an IPv4 address and a port");
    }
}

void insertUnique(std::unordered_map<Id, std::size_t> &index, Id id, std::size_t position, const std::string &field)
{
    if (id == 0 || !index.emplace(id, position).second) {
        fail(field, "an id other than 0 that occurs once");
    }
}

ViewMember parseMember(const wire::MemberView &from)
{
    ViewMember member;
    member.key = {from.key.instance, from.key.incarnation};
    member.state = checkedState<ViewMember::State>(from.state, wire::MemberState::Dead, "members.state");
    checkAddress(from.address, "members.address");
    member.address = from.address;
    member.dataCentre = from.dataCentre;
    return member;
}

ViewTarget parseTarget(const wire::TargetView &from)
{
    ViewTarget target;
    target.id = from.id;
    target.serviceId = from.serviceId;
    target.instance = from.instance;
    checkAddress(from.address, "targets.address");
    target.address = from.address;
    target.state = checkedState<ViewTarget::State>(from.state, wire::TargetState::Down, "targets.state");
    target.slots = from.slots < 1 ? 1 : from.slots;
    return target;
}

ViewService parseService(const wire::ServiceView &from)
{
    if (from.port < 1 || from.port > std::numeric_limits<std::uint16_t>::max()) {
        fail("services.port", "a port from 1 to 65535");
    }
    ViewService service;
    service.id = from.id;
    service.teamId = from.teamId;
    service.teamName = from.teamName;
    service.serviceName = from.serviceName;
    service.port = static_cast<std::uint16_t>(from.port);
    service.session = from.session;
    service.urgency = from.urgency;
    service.floorShare = from.floorShare;
    service.ceilingShare = from.ceilingShare;
    service.defaultDeadlineMs = from.defaultDeadlineMs;
    for (const wire::WorkKindView &it : from.workKinds) {
        service.workKinds.push_back({it.name, it.urgency, it.floorShare, it.ceilingShare});
    }
    return service;
}

TokenKey parseKey(const wire::KeyView &from)
{
    if (from.secret.size() < minSecretBytes) {
        fail("keys.secret", "at least 16 bytes");
    }
    return {from.teamId, from.epoch, deriveKey(from.secret, tokenPurpose), from.validUntil};
}

void parseTargets(const wire::NodeView &from, View &view)
{
    for (const wire::TargetView &it : from.targets) {
        const std::size_t position = view.targets.size();
        view.targets.push_back(parseTarget(it));
        insertUnique(view.targetIndex, it.id, position, "targets.id");
        const auto service = view.serviceIndex.find(it.serviceId);
        if (service == view.serviceIndex.end()) {
            fail("targets.serviceId", "the id of a service of this view");
        }
        view.services[service->second].targets.push_back(position);
    }
}

/// @return the serving member of the view's data centre with the highest rendezvous score for @p seed, apart from the member
///     on the instance of @p except; nullptr when there is none
const ViewMember *highestRanked(const View &view, std::uint64_t seed, const InstanceKey &except)
{
    const ViewMember *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const ViewMember &it : view.members) {
        const bool usable = it.state == ViewMember::State::Alive || it.state == ViewMember::State::Suspect;
        if (!usable || it.dataCentre != view.dataCentre || it.key.instance == except.instance) {
            continue;
        }
        const std::uint64_t score = mix(seed, static_cast<std::uint64_t>(it.key.instance));
        if (best == nullptr || score > bestScore) {
            best = &it;
            bestScore = score;
        }
    }
    return best;
}

} // namespace

View parseView(const wire::NodeView &from)
{
    View view;
    view.generation = from.generation;
    view.dataCentre = from.dataCentre;
    for (const wire::MemberView &it : from.members) {
        insertUnique(view.memberIndex, it.key.instance, view.members.size(), "members.key");
        view.members.push_back(parseMember(it));
    }
    std::set<std::uint16_t> ports;
    for (const wire::ServiceView &it : from.services) {
        insertUnique(view.serviceIndex, it.id, view.services.size(), "services.id");
        view.services.push_back(parseService(it));
        if (!ports.insert(view.services.back().port).second) {
            fail("services.port", "a port that no other service has");
        }
    }
    parseTargets(from, view);
    for (const wire::KeyView &it : from.keys) {
        view.keys.push_back(parseKey(it));
    }
    return view;
}

const ViewTarget *findTarget(const View &view, Id target)
{
    const auto it = view.targetIndex.find(target);
    return it == view.targetIndex.end() ? nullptr : &view.targets[it->second];
}

const ViewService *findService(const View &view, Id service)
{
    const auto it = view.serviceIndex.find(service);
    return it == view.serviceIndex.end() ? nullptr : &view.services[it->second];
}

const ViewMember *findMember(const View &view, Id instance)
{
    const auto it = view.memberIndex.find(instance);
    return it == view.memberIndex.end() ? nullptr : &view.members[it->second];
}

const TokenKey *newestKey(const View &view, Id teamId)
{
    for (const TokenKey &it : view.keys) {
        if (it.teamId == teamId) {
            return &it;
        }
    }
    return nullptr;
}

bool isServing(const View &view, const InstanceKey &instance)
{
    const ViewMember *member = findMember(view, instance.instance);
    return member != nullptr && member->key == instance && (member->state == ViewMember::State::Alive || member->state == ViewMember::State::Suspect);
}

InstanceKey chooseWitness(const View &view, const InstanceKey &home, std::int64_t flow)
{
    const ViewMember *member = highestRanked(view, static_cast<std::uint64_t>(flow), home);
    return member == nullptr ? InstanceKey{} : member->key;
}

HomePair choosePair(const View &view, const InstanceKey &own, std::int64_t flow)
{
    HomePair pair{own, {}};
    if (!isServing(view, own)) {
        const InstanceKey other = chooseWitness(view, own, flow);
        pair.home = other.instance == 0 ? own : other;
    }
    pair.witness = chooseWitness(view, pair.home, flow);
    return pair;
}

void setOwnMember(View &view, const ViewMember &own)
{
    const auto [it, added] = view.memberIndex.emplace(own.key.instance, view.members.size());
    if (added) {
        view.members.push_back(own);
    } else {
        view.members[it->second] = own;
    }
}

void hideSilentMembers(View &view, const SilentMembers &silent)
{
    for (ViewMember &it : view.members) {
        if (silent.until.contains(it.key) && it.state != ViewMember::State::Dead) {
            it.state = ViewMember::State::Leaving;
        }
    }
}

} // namespace pimentofold
