#include <pimentofold/configreplication.h>

#include <algorithm>
#include <utility>

#include <libpimentofold/configmessages.h>
#include <libpimentofold/configrepair.h>

namespace pimentofold {

namespace {

// An announced object is asked for so often; after that a later announcement or digest starts again.
constexpr int mostAnnouncementTries = 5;
// A transfer without any range in so many rounds is given up; a later digest starts it again.
constexpr int mostRangeTimeouts = 10;

/// Pushes new objects to random peers of this data centre and, from a delegate, to other data centres.
void push(ConfigReplication &spread, const std::vector<ConfigObjectPointer> &objects, const std::string &except, Time now, ConfigReplicationOutput &out)
{
    const std::vector<wire::PeerMessage> messages = packObjects(spread, objects, Freshness::New);
    std::vector<std::string> targets = randomLocalPeers(spread, spread.options.pushFanout, except);
    if (spread.peers.delegate) {
        const std::vector<std::string> remote = randomRemotePeers(spread, spread.options.pushFanout, except);
        targets.insert(targets.end(), remote.begin(), remote.end());
    }
    const ConfigReplicationOptions &options = spread.options;
    for (const wire::PeerMessage &message : messages) {
        const auto size = static_cast<double>(contentBytes(message));
        for (const std::string &to : targets) {
            if (!takeBytes(spread.pushBudget, size, options.pushBytesPerSecond, options.pushBurstBytes, now)) {
                ++spread.counts.pushesSkipped;
                continue;
            }
            ++spread.counts.pushes;
            out.messages.push_back({to, message});
        }
    }
}

/// @return whether the object is new here
bool take(ConfigReplication &spread, const ConfigObjectPointer &object, ConfigReplicationOutput &out)
{
    switch (applyObject(spread.store, object)) {
    case ApplyResult::Applied:
        ++spread.counts.applied;
        spread.announced.erase(object->key);
        out.applied.push_back(object);
        return true;
    case ApplyResult::Older:
        ++spread.counts.older;
        return false;
    case ApplyResult::Refused:
        ++spread.counts.refused;
        return false;
    case ApplyResult::Known:
        return false;
    }
    return false;
}

bool isRemoteAddress(const ConfigReplication &spread, const std::string &address)
{
    return spread.remotes.contains(address) || std::ranges::find(spread.remoteSeeds, address) != spread.remoteSeeds.end();
}

void askForStart(ConfigReplication &spread, const ObjectKey &key, Announcement &announcement, Time now, ConfigReplicationOutput &out)
{
    wire::ObjectHead head;
    head.kind = key.kind;
    head.name = key.name;
    head.version = announcement.version;
    head.__set_offset(0);
    announcement.askAt = now + rangeTimeout;
    ++announcement.tries;
    sendPull(spread, {head}, announcement.source, out);
}

/// Asks for the start of large objects that a peer announces.
void handleAnnouncements(ConfigReplication &spread, const std::vector<wire::ObjectHead> &heads, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    for (const wire::ObjectHead &it : heads) {
        const ObjectKey key = keyOf(it);
        if (!isNeededBy(spread.team, key) || !isNewer(spread.store, key, it.version)) {
            continue;
        }
        const auto transfer = spread.transfers.find(key);
        if (transfer != spread.transfers.end() && transfer->second.object.version >= it.version) {
            addSource(transfer->second, from);
            continue;
        }
        Announcement &announcement = spread.announced[key];
        const bool asked = announcement.version >= it.version;
        announcement.source = from;
        if (!asked) {
            announcement = {it.version, from, 0, 0};
            askForStart(spread, key, announcement, now, out);
        }
    }
}

/// Repeats requests whose answer may have been lost.
void tickAnnouncements(ConfigReplication &spread, Time now, ConfigReplicationOutput &out)
{
    std::erase_if(spread.announced, [&](const auto &it) {
        const bool started = spread.transfers.contains(it.first) || !isNewer(spread.store, it.first, it.second.version);
        return started || (it.second.tries >= mostAnnouncementTries && now >= it.second.askAt);
    });
    for (auto &[key, announcement] : spread.announced) {
        if (now >= announcement.askAt) {
            askForStart(spread, key, announcement, now, out);
        }
    }
}

void continueTransfer(ConfigReplication &spread, const ObjectKey &key, ConfigReplicationOutput &out)
{
    const auto it = spread.transfers.find(key);
    if (it != spread.transfers.end()) {
        sendPull(spread, requestRanges(it->second), it->second.sources.front(), out);
    }
}

/// @return the object when it is complete, else null
ConfigObjectPointer receive(ConfigReplication &spread, const wire::ObjectWire &object, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    const ObjectKey key = keyOf(object.head);
    if (!isNeededBy(spread.team, key)) {
        return nullptr;
    }
    if (!object.__isset.total) {
        // Most pushes bring what is held already; they need no copy.
        const bool known = versionOf(spread.store, key) == object.head.version;
        return known ? nullptr : std::make_shared<const ConfigObject>(fromWire(object));
    }
    if (!isNewer(spread.store, key, object.head.version)) {
        return nullptr;
    }
    ConfigObjectPointer complete = storeRange(spread.transfers, object, from, now);
    continueTransfer(spread, key, out);
    return complete;
}

void handleObjects(ConfigReplication &spread, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    std::vector<ConfigObjectPointer> fresh;
    for (const wire::ObjectWire &it : message.objects) {
        const ConfigObjectPointer object = receive(spread, it, from, now, out);
        // A completed large object is announced further, since each agent learns of it from an announcement, and
        // what repairs a difference between data centres is new in this one.
        const bool spreads = message.hops == static_cast<std::int32_t>(Freshness::New) || it.__isset.total || isRemoteAddress(spread, from);
        if (object && take(spread, object, out) && spreads) {
            fresh.push_back(object);
        }
    }
    push(spread, fresh, from, now, out);
    if (!fresh.empty()) {
        shortenBackOff(spread.watch, now, spread.random);
    }
    handleAnnouncements(spread, message.heads, from, now, out);
}

void tickTransfers(ConfigReplication &spread, Time now, ConfigReplicationOutput &out)
{
    std::erase_if(spread.transfers,
                  [&](const auto &it) { return it.second.timeouts >= mostRangeTimeouts || !isNewer(spread.store, it.first, it.second.object.version); });
    for (auto &[key, transfer] : spread.transfers) {
        if (now - transfer.progressAt < rangeTimeout) {
            continue;
        }
        retryFromNextSource(transfer, now);
        sendPull(spread, requestRanges(transfer), transfer.sources.front(), out);
    }
}

/// @return whether a digest is due; sets the next time
bool takeDigestTurn(DigestTimer &timer, const ConfigReplicationOptions &options, Time now)
{
    if (now < timer.nextAt && now < timer.retryAt) {
        return false;
    }
    if (now >= timer.nextAt) {
        timer.nextAt = now + options.digestInterval;
    }
    timer.retryAt = now + options.digestTimeLimit;
    return true;
}

void sendDigests(ConfigReplication &spread, bool remote, ConfigReplicationOutput &out)
{
    for (const std::string &to : remote ? randomRemotePeers(spread, 1, "") : randomLocalPeers(spread, 1, "")) {
        ++spread.counts.digests;
        sendRootDigest(spread, to, remote, true, out);
    }
}

void tickDigests(ConfigReplication &spread, Time now, ConfigReplicationOutput &out)
{
    if (takeDigestTurn(spread.localDigests, spread.options, now)) {
        sendDigests(spread, false, out);
    }
    if (spread.peers.delegate && takeDigestTurn(spread.remoteDigests, spread.options, now)) {
        std::erase_if(spread.remotes, [&](const auto &it) { return now - it.second.heardAt > spread.options.remoteRetention; });
        sendDigests(spread, true, out);
    }
}

} // namespace

void startConfigReplication(ConfigReplication &spread, std::uint64_t randomSeed, Time now)
{
    spread.random = {randomSeed};
    spread.startedAt = now;
    const auto interval = static_cast<std::uint64_t>(spread.options.digestInterval);
    // The first exchange is early, so that a new agent fills soon; agents that start together don't stay in step.
    spread.localDigests.nextAt = now + static_cast<Time>(below(spread.random, interval / 10 + 1));
    spread.remoteDigests.nextAt = now + static_cast<Time>(below(spread.random, interval + 1));
    spread.watch.nextAt = now + spread.options.initialSyncTimeout + static_cast<Time>(below(spread.random, second));
    spread.pushBudget = {spread.options.pushBurstBytes, now};
    spread.rangeBudget = {spread.options.rangeBurstBytes, now};
}

void setReplicationPeers(ConfigReplication &spread, ReplicationPeers peers)
{
    spread.peers = std::move(peers);
}

void tickConfigReplication(ConfigReplication &spread, Time now, ConfigReplicationOutput &out)
{
    tickTransfers(spread, now, out);
    tickAnnouncements(spread, now, out);
    tickDigests(spread, now, out);
    if (!spread.peers.watcher) {
        return;
    }
    if (spread.initialSyncDone && spread.watch.polls == 0) {
        spread.watch.nextAt = std::min(spread.watch.nextAt, now);
    }
    if (isPollDue(spread.watch, now)) {
        out.watch = startPoll(spread.watch, now);
    }
}

void handleConfigMessage(ConfigReplication &spread, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    switch (message.kind) {
    case wire::PeerKind::Digest:
        handleDigest(spread, message, from, now, out);
        break;
    case wire::PeerKind::Pull:
        handlePull(spread, message, from, now, out);
        break;
    case wire::PeerKind::Objects:
        handleObjects(spread, message, from, now, out);
        break;
    default:
        break;
    }
}

void publishObject(ConfigReplication &spread, const ConfigObjectPointer &object, Time now, ConfigReplicationOutput &out)
{
    if (take(spread, object, out)) {
        push(spread, {object}, "", now, out);
    }
}

void handleWatchResponse(ConfigReplication &spread, const WatchResponse &answer, Time now, ConfigReplicationOutput &out)
{
    if (!finishPoll(spread.watch, answer, now, spread.random)) {
        return;
    }
    spread.initialSyncDone = true;
    std::vector<ConfigObjectPointer> fresh;
    for (const ConfigObjectPointer &it : answer.objects) {
        if (isPlatformKind(it->key.kind) && isNeededBy(spread.team, it->key) && take(spread, it, out)) {
            fresh.push_back(it);
        }
    }
    push(spread, fresh, "", now, out);
}

} // namespace pimentofold
