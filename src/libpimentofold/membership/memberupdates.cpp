#include <libpimentofold/membership/memberupdates.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include <pimentofold/codec.h>
#include <pimentofold/settings.h>

namespace pimentofold::memberupdates {

namespace {

using State = wire::MemberState;

/// Upper bound of the encoded size of an update without its strings, in bytes.
constexpr std::size_t updateOverheadBytes = 44;
constexpr std::size_t memberSetHashBytes = 8;
constexpr std::size_t bitsPerMember = 8;
/// Maximum size of the Bloom filter in bytes. It leaves room for updates in the message.
constexpr std::size_t maxFilterBytes = 1'000;
/// If more updates than this are queued, a random recipient already knows most of them. Messages then carry only
/// updatesPerMessageWithLongQueue of them, and digests repair the rest.
constexpr std::size_t longQueueThreshold = 24;
constexpr std::size_t updatesPerMessageWithLongQueue = 3;
/// Minimum budget in bytes for the reply to a digest that differs; it suffices for the entries of two members.
constexpr std::size_t minReferralBytes = 180;

std::size_t sizeOf(const wire::MemberUpdate &update)
{
    return updateOverheadBytes + update.name.size() + update.address.size() + update.balancerAddress.size() + update.dataCentre.size();
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

/// Encodes an entry without the values that the receiver can derive, which saves a third of the bytes: the instance is a
/// hash of the name, the data centre usually equals the sender's, and the balancer usually has the agent's IP address.
/// @param full includes name and addresses; otherwise only the state of a member that the receiver knows
wire::MemberUpdate toWire(const MembershipState &state, const Member &member, bool full)
{
    wire::MemberUpdate update;
    update.key.incarnation = member.key.incarnation;
    update.state = member.state;
    update.stateVersion = member.stateVersion;
    if (!full) {
        update.key.instance = member.key.instance;
        return update;
    }
    update.name = member.name;
    update.address = member.address;
    const std::string host = hostOf(member.address);
    update.balancerAddress = hostOf(member.balancerAddress) == host ? member.balancerAddress.substr(host.size()) : member.balancerAddress;
    update.dataCentre = member.dataCentre == state.self.dataCentre && !state.options.severalDataCentres ? "" : member.dataCentre;
    return update;
}

Member fromWire(const MembershipState &state, const wire::MemberUpdate &update, Time now)
{
    Member member;
    member.key = {update.key.instance != 0 ? update.key.instance : idOf(update.name), update.key.incarnation};
    member.state = update.state;
    member.name = update.name;
    member.address = update.address;
    member.balancerAddress = update.balancerAddress.starts_with(':') ? hostOf(update.address) + update.balancerAddress : update.balancerAddress;
    member.dataCentre = update.dataCentre.empty() && !state.options.severalDataCentres ? state.self.dataCentre : update.dataCentre;
    member.stateVersion = update.stateVersion;
    member.stateSince = now;
    return member;
}

/// @return a key that is greater for the entry that takes precedence, see Member
auto precedence(const Member &member)
{
    return std::tuple(member.key.incarnation, member.stateVersion, static_cast<int>(member.state));
}

/// Handles a received entry about this member. Refutes any state but alive by raising the own state version.
/// @return true if the own entry changed
bool mergeClaimAboutSelf(MembershipState &state, const Member &claim, Time now)
{
    Member &self = state.self;
    if (claim.key.incarnation != self.key.incarnation || claim.stateVersion < self.stateVersion || state.leaving) {
        return false;
    }
    if (claim.state != State::Alive) {
        self.stateVersion = claim.stateVersion + 1;
        ++state.counts.refuted;
    } else if (claim.stateVersion > self.stateVersion) {
        self.stateVersion = claim.stateVersion; // a previous agent process of this instance refuted a suspicion
    } else {
        return false;
    }
    publishSelf(state, now);
    return true;
}

/// Limits the effect of a death that another member reports: it changes Alive to Suspect only, and Suspect to Dead only
/// after the member has been suspected here for at least half of the suspicion timeout. After a partition has healed,
/// both sides record each other as dead, and the members concerned need time to refute it.
/// @param claim received entry; its state may be changed to Suspect
/// @return whether the entry may be applied
bool checkDeathClaim(const MembershipState &state, const Member &known, Member &claim, Time now)
{
    if (claim.state != State::Dead || claim.key.incarnation != known.key.incarnation) {
        return true;
    }
    if (known.state == State::Suspect && claim.stateVersion == known.stateVersion) {
        return now - known.stateSince >= suspicionTimeout(state.options, liveCount(state)) / 2;
    }
    if (known.state == State::Alive || known.state == State::Suspect) {
        claim.state = State::Suspect;
    }
    return true;
}

/// Checks at the next tick when the state of a member that isn't alive expires.
void scheduleExpiryCheck(MembershipState &state, const Member &member, Time now)
{
    if (member.state != State::Alive) {
        state.nextExpiryCheckAt = std::min(state.nextExpiryCheckAt, now);
    }
}

/// Replaces an entry. A claim without an address carries the state only, so name and addresses of the entry are kept.
void replaceMember(MembershipState &state, Member &known, const Member &claim, MembershipOutput &out)
{
    const State::type before = known.state;
    const std::string name = known.name;
    const std::string address = known.address;
    const std::string balancerAddress = known.balancerAddress;
    const std::string dataCentre = known.dataCentre;
    known = claim;
    if (claim.address.empty()) {
        known.name = name;
        known.address = address;
        known.balancerAddress = balancerAddress;
        known.dataCentre = dataCentre;
    }
    scheduleExpiryCheck(state, known, claim.stateSince);
    out.changes.push_back({known, before});
}

/// @return how often an update is sent before it leaves the queue
int maxTransmissions(const MembershipState &state)
{
    const auto n = static_cast<double>(state.members.size());
    return static_cast<int>(std::ceil(state.options.retransmitFactor * std::log(n + 1)));
}

void refillBudget(MembershipState &state, Time now)
{
    const double added =
        static_cast<double>(now - state.budgetUpdatedAt) * static_cast<double>(state.options.updateBytesPerSecond) / static_cast<double>(second);
    state.updateBudget = std::min(state.updateBudget + added, static_cast<double>(state.options.updateBurstBytes));
    state.budgetUpdatedAt = now;
}

/// @return bytes that can still be added to the message
std::size_t remainingBytes(const wire::PeerMessage &message)
{
    std::size_t used = messageOverheadBytes + message.digest.size();
    for (const wire::MemberUpdate &it : message.members) {
        used += sizeOf(it);
    }
    return used < maxDatagramBytes ? maxDatagramBytes - used : 0;
}

/// @return false if the entry exceeds a limit of the message or the rate limit; it isn't added then
bool addUpdate(MembershipState &state, wire::PeerMessage &message, const Member &member, bool full)
{
    wire::MemberUpdate update = toWire(state, member, full);
    const std::size_t size = sizeOf(update);
    if (message.members.size() >= state.options.updatesPerMessage || size > remainingBytes(message) || static_cast<double>(size) > state.updateBudget) {
        return false;
    }
    state.updateBudget -= static_cast<double>(size);
    message.members.push_back(std::move(update));
    message.__isset.members = true;
    return true;
}

/// @return the queued members to be sent next: those with the fewest transmissions first; of these, the own entry and
///     states other than alive first; otherwise in random order
std::vector<std::tuple<int, bool, std::uint64_t, Id>> transmissionOrder(MembershipState &state)
{
    std::vector<std::tuple<int, bool, std::uint64_t, Id>> order;
    for (const auto &[id, sent] : state.pendingUpdates) {
        const bool alive = state.members.at(id).state == State::Alive && id != state.self.key.instance;
        order.emplace_back(sent, alive, next(state.random), id);
    }
    const std::size_t n = std::min(order.size(), order.size() > longQueueThreshold ? updatesPerMessageWithLongQueue : state.options.updatesPerMessage);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    order.resize(n);
    return order;
}

std::uint64_t hashOf(const Member &member)
{
    const auto toUnsigned = [](std::int64_t n) { return static_cast<std::uint64_t>(n); };
    // Alive and Suspect hash to the same value, since suspicions are too short-lived to be compared.
    const std::uint64_t state = isLive(member) ? 0 : toUnsigned(member.state);
    return mix(mix(toUnsigned(member.key.instance), toUnsigned(member.key.incarnation)), toUnsigned(member.stateVersion) * 8 + state);
}

/// @return XOR of the hashes of all members that aren't dead
std::string memberSetHash(const MembershipState &state)
{
    std::uint64_t hash = 0;
    for (const auto &[id, member] : state.members) {
        hash ^= member.state == State::Dead ? 0 : hashOf(member);
    }
    std::string result;
    for (std::size_t n = 0; n < memberSetHashBytes; ++n) {
        result += static_cast<char>(hash >> (8 * n));
    }
    return result;
}

/// @return index of the bit that a member sets in a Bloom filter of this size; the filter has one hash function
std::size_t filterBit(const Member &member, std::int64_t salt, std::size_t filterBytes)
{
    return mix(hashOf(member), static_cast<std::uint64_t>(salt)) % (filterBytes * 8);
}

bool filterContains(const std::string &filter, std::size_t bit)
{
    return (static_cast<unsigned char>(filter[bit / 8]) >> (bit % 8) & 1U) != 0;
}

/// @return whether this member sends updates about a member to other data centres
bool carriesToOthers(const MembershipState &state, const Member &about)
{
    if (about.key.instance == state.self.key.instance || state.ownDataCentreCount <= state.options.carrierCount) {
        return true;
    }
    const auto toUnsigned = [](std::int64_t n) { return static_cast<std::uint64_t>(n); };
    const std::uint64_t update = mix(toUnsigned(about.key.instance), toUnsigned(about.key.incarnation + about.stateVersion));
    return mix(update, toUnsigned(state.self.key.instance)) % state.ownDataCentreCount < state.options.carrierCount;
}

} // namespace

bool isElsewhere(const MembershipState &state, Id recipient)
{
    const auto it = state.members.find(recipient);
    return state.options.preferOwnDataCentre && it != state.members.end() && it->second.dataCentre != state.self.dataCentre;
}

bool mergeUpdate(MembershipState &state, const wire::MemberUpdate &update, Time now, MembershipOutput &out)
{
    if (update.state < State::Alive || update.state > State::Dead) {
        return false;
    }
    Member claim = fromWire(state, update, now);
    if (claim.key.instance == state.self.key.instance) {
        return mergeClaimAboutSelf(state, claim, now);
    }
    const auto it = state.members.find(claim.key.instance);
    if (!claim.address.empty() && !(isAddress(claim.address) && isAddress(claim.balancerAddress))) {
        // An entry that can't be contacted must not spread: each node that knew it would fail when it sends to the member.
        return false;
    }
    if (it == state.members.end()) {
        if (claim.address.empty() || claim.state == State::Dead) {
            return false;
        }
        state.members[claim.key.instance] = claim;
        scheduleExpiryCheck(state, claim, now);
        queueUpdate(state, claim.key.instance);
        out.changes.push_back({claim, {}});
        return true;
    }
    if (it->second.dataCentre.empty() && !claim.dataCentre.empty() && precedence(claim) == precedence(it->second)) {
        // The entry came from a node of an earlier version, which left the data centre out.
        it->second.dataCentre = claim.dataCentre;
        out.changes.push_back({it->second, it->second.state});
        return true;
    }
    if (precedence(claim) <= precedence(it->second) || !checkDeathClaim(state, it->second, claim, now)) {
        return false;
    }
    replaceMember(state, it->second, claim, out);
    queueUpdate(state, claim.key.instance);
    return true;
}

void changeState(MembershipState &state, Member &member, State::type next, Time now, MembershipOutput &out)
{
    const State::type before = member.state;
    member.state = next;
    member.stateSince = now;
    scheduleExpiryCheck(state, member, now);
    queueUpdate(state, member.key.instance);
    out.changes.push_back({member, before});
}

void queueUpdate(MembershipState &state, Id instance)
{
    state.pendingUpdates[instance] = 0;
    const Member &member = state.members.at(instance);
    const bool refutation = member.state == State::Alive && member.stateVersion > 0;
    if (refutation || member.state != State::Alive) {
        state.urgentPending = true;
    }
}

bool consumeBudget(MembershipState &state, std::size_t bytes, Time now)
{
    refillBudget(state, now);
    if (state.updateBudget < static_cast<double>(bytes)) {
        return false;
    }
    state.updateBudget -= static_cast<double>(bytes);
    return true;
}

void advanceTransmissionCounts(MembershipState &state)
{
    constexpr int step = 3;
    const int limit = maxTransmissions(state);
    for (auto &[id, sent] : state.pendingUpdates) {
        sent += step;
    }
    std::erase_if(state.pendingUpdates, [limit](const auto &it) { return it.second >= limit; });
}

void publishSelf(MembershipState &state, Time now)
{
    state.self.stateSince = now;
    state.members[state.self.key.instance] = state.self;
    queueUpdate(state, state.self.key.instance);
}

void piggybackUpdates(MembershipState &state, wire::PeerMessage &message, Id recipient, Time now)
{
    refillBudget(state, now);
    const auto known = state.members.find(recipient);
    if (known != state.members.end() && known->second.state != State::Alive) {
        addUpdate(state, message, known->second, false);
    }
    const int limit = maxTransmissions(state);
    const bool elsewhere = isElsewhere(state, recipient);
    for (const auto &[sent, alive, tie, id] : transmissionOrder(state)) {
        const Member &member = state.members.at(id);
        if (id == recipient || (elsewhere && !carriesToOthers(state, member))) {
            continue;
        }
        if (!addUpdate(state, message, member, member.state == State::Alive)) {
            break;
        }
        if (++state.pendingUpdates[id] >= limit) {
            state.pendingUpdates.erase(id);
        }
    }
}

void addOwnEntry(MembershipState &state, wire::PeerMessage &message)
{
    message.members.push_back(toWire(state, state.self, true));
    message.__isset.members = true;
}

std::string digestOf(const MembershipState &state, std::int64_t salt, bool withFilter)
{
    std::string filter;
    if (withFilter) {
        filter.resize(std::min(state.members.size() * bitsPerMember / 8, maxFilterBytes));
        for (const auto &[id, member] : state.members) {
            const std::size_t bit = filterBit(member, salt, filter.size());
            filter[bit / 8] = static_cast<char>(static_cast<unsigned char>(filter[bit / 8]) | 1U << (bit % 8));
        }
    }
    return memberSetHash(state) + filter;
}

bool addMissingMembers(MembershipState &state, const std::string &digest, std::int64_t salt, wire::PeerMessage &message, Time now)
{
    if (digest.size() < memberSetHashBytes || digest.size() > memberSetHashBytes + maxFilterBytes || digest.starts_with(memberSetHash(state))) {
        return false;
    }
    const std::string filter = digest.substr(memberSetHashBytes);
    if (filter.empty()) {
        return true;
    }
    refillBudget(state, now);
    // A peer receives two members even if the budget is used up, so that a peer that knows only a few seeds can ask others.
    state.updateBudget = std::max(state.updateBudget, static_cast<double>(minReferralBytes));
    std::vector<std::tuple<bool, std::uint64_t, Id>> order;
    for (const auto &[id, member] : state.members) {
        if (!filterContains(filter, filterBit(member, salt, filter.size()))) {
            order.emplace_back(member.state == State::Dead, next(state.random), id);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[dead, tie, id] : order) {
        if (!addUpdate(state, message, state.members.at(id), !dead)) {
            break;
        }
    }
    return true;
}

} // namespace pimentofold::memberupdates
