#include <pimentofold/reachability/reachabilitystate.h>

#include <algorithm>
#include <set>
#include <span>
#include <utility>

namespace pimentofold {

namespace {

constexpr Time countInterval = 500 * millisecond;

/// Moves the count to the half second of @p now.
void advance(RecentCount &count, Time now)
{
    const std::int64_t interval = now / countInterval;
    if (interval == count.interval) {
        return;
    }
    count.previous = interval == count.interval + 1 ? count.current : 0;
    count.current = 0;
    count.interval = interval;
}

/// @return the data centre's evidence, which is added if it is unknown; nullptr when there are too many data centres
DataCentreReachability *evidenceOf(Reachability &state, std::string_view dataCentre)
{
    const auto it = state.dataCentres.find(dataCentre);
    if (it != state.dataCentres.end()) {
        return &it->second;
    }
    return state.dataCentres.size() >= maxDataCentres ? nullptr : &state.dataCentres.emplace(dataCentre, DataCentreReachability()).first->second;
}

void clearAttempts(DataCentreReachability &it)
{
    it.attemptCount = 0;
    it.firstAttemptAt = never;
}

std::span<const ReachabilityAttempt> recordedAttempts(const DataCentreReachability &it)
{
    return {it.attempts.data(), std::min(it.attemptCount, it.attempts.size())};
}

void addAttempt(DataCentreReachability &it, std::uint64_t peer, Time now)
{
    if (it.attemptCount > 0 && now - it.attempts[(it.attemptCount - 1) % it.attempts.size()].at < attemptSpacing) {
        return;
    }
    it.attempts[it.attemptCount % it.attempts.size()] = {peer, now};
    ++it.attemptCount;
    it.firstAttemptAt = std::min(it.firstAttemptAt, now);
}

bool isRecent(const ReachabilityAttempt &attempt, Time now)
{
    return now - attempt.at <= unreachableSilence;
}

/// @return whether the attempts of the last time without an answer suffice to call the data centre unreachable
bool hasEnoughEvidence(const DataCentreReachability &it, Time now)
{
    if (now - it.lastHeardAt < unreachableSilence) {
        return false;
    }
    std::size_t count = 0;
    std::array<std::uint64_t, minPeers> peers{};
    std::size_t peerCount = 0;
    for (const ReachabilityAttempt &attempt : recordedAttempts(it)) {
        if (!isRecent(attempt, now) || now - attempt.at < attemptAnswerTime) {
            continue;
        }
        ++count;
        const std::span known(peers.data(), peerCount);
        if (peerCount < minPeers && std::ranges::find(known, attempt.peer) == known.end()) {
            peers[peerCount++] = attempt.peer;
        }
    }
    return count >= minAttempts && peerCount >= minPeers;
}

void pingNext(DataCentreReachability &it, Time now, std::vector<Id> &pings)
{
    if (it.nodes.empty()) {
        return;
    }
    const Id node = it.nodes[it.nextNode++ % it.nodes.size()];
    pings.push_back(node);
    addAttempt(it, static_cast<std::uint64_t>(node), now);
}

/// @return when the data centre is to be examined next; never: it has left nothing unanswered
Time nextUpdateOf(const DataCentreReachability &it)
{
    if (it.unreachableSince != never) {
        return it.nextPingAt;
    }
    if (it.firstAttemptAt == never) {
        return never;
    }
    return std::max({it.firstAttemptAt + attemptAnswerTime, it.lastHeardAt + pingAfterSilence, it.nextPingAt});
}

void updateEvidenceOf(DataCentreReachability &it, Time now, std::vector<Id> &pings)
{
    const bool isReachable = it.unreachableSince == never;
    if (isReachable && std::ranges::none_of(recordedAttempts(it), [&](const ReachabilityAttempt &attempt) { return isRecent(attempt, now); })) {
        clearAttempts(it);
        return;
    }
    if (isReachable && hasEnoughEvidence(it, now)) {
        it.unreachableSince = now;
        it.nextOpeningProbeAt = now + unreachableProbeInterval;
    }
    pingNext(it, now, pings);
    it.nextPingAt = now + (it.unreachableSince == never ? suspicionPingInterval : unreachableProbeInterval);
}

} // namespace

void addEvent(RecentCount &count, Time now)
{
    advance(count, now);
    ++count.current;
}

int recentEvents(const RecentCount &count, Time now)
{
    RecentCount advanced = count;
    advance(advanced, now);
    return advanced.previous + advanced.current;
}

void recordAttempt(Reachability &state, std::string_view dataCentre, std::uint64_t peer, Time now)
{
    if (!state.enabled) {
        return;
    }
    if (DataCentreReachability *it = evidenceOf(state, dataCentre)) {
        addAttempt(*it, peer, now);
    }
}

void recordHeard(Reachability &state, std::string_view dataCentre, Time now)
{
    if (!state.enabled) {
        return;
    }
    DataCentreReachability *it = evidenceOf(state, dataCentre);
    if (it == nullptr) {
        return;
    }
    it->lastHeardAt = now;
    clearAttempts(*it);
    if (it->unreachableSince != never) {
        it->unreachableSince = never;
        --state.unreachableCount;
        state.changed = true;
    }
}

void recordHeardFromNode(Reachability &state, Id node, Time now)
{
    if (!state.enabled) {
        return;
    }
    const auto it = state.otherNodes.find(node);
    if (it != state.otherNodes.end()) {
        recordHeard(state, it->second.dataCentre, now);
    }
}

bool isUnreachable(const Reachability &state, std::string_view dataCentre)
{
    if (state.unreachableCount == 0) {
        return false;
    }
    const auto it = state.dataCentres.find(dataCentre);
    return it != state.dataCentres.end() && it->second.unreachableSince != never;
}

bool isUnreachableNode(const Reachability &state, Id node)
{
    if (state.unreachableCount == 0) {
        return false;
    }
    const auto it = state.otherNodes.find(node);
    return it != state.otherNodes.end() && isUnreachable(state, it->second.dataCentre);
}

void setNodes(Reachability &state, std::unordered_map<Id, OtherNode> nodes)
{
    state.otherNodes = std::move(nodes);
    for (auto &[name, it] : state.dataCentres) {
        it.nodes.clear();
    }
    if (!state.enabled) {
        return;
    }
    for (const bool live : {true, false}) {
        std::set<std::string_view> pingable; // data centres with live nodes
        for (const auto &[name, it] : state.dataCentres) {
            if (!it.nodes.empty()) {
                pingable.insert(name);
            }
        }
        for (const auto &[node, other] : state.otherNodes) {
            DataCentreReachability *it = other.live == live && !pingable.contains(other.dataCentre) ? evidenceOf(state, other.dataCentre) : nullptr;
            if (it != nullptr) {
                it->nodes.push_back(node);
            }
        }
    }
}

void restartEvidence(Reachability &state, Time now)
{
    for (auto &[name, it] : state.dataCentres) {
        if (it.unreachableSince == never) {
            it.lastHeardAt = now;
            clearAttempts(it);
        }
    }
}

void updateEvidence(Reachability &state, Time now, std::vector<Id> &pings)
{
    for (auto &[name, it] : state.dataCentres) {
        if (nextUpdateOf(it) > now) {
            continue;
        }
        const bool wasReachable = it.unreachableSince == never;
        updateEvidenceOf(it, now, pings);
        if (wasReachable && it.unreachableSince != never) {
            ++state.unreachableCount;
            state.changed = true;
        }
    }
}

Time nextEvidenceUpdate(const Reachability &state)
{
    Time next = never;
    for (const auto &[name, it] : state.dataCentres) {
        next = std::min(next, nextUpdateOf(it));
    }
    return next;
}

std::vector<std::string> unreachableDataCentres(const Reachability &state)
{
    std::vector<std::string> names;
    for (const auto &[name, it] : state.dataCentres) {
        if (it.unreachableSince != never) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace pimentofold
