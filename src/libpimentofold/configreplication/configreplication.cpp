#include <pimentofold/configreplication/configreplication.h>

#include <algorithm>
#include <utility>

#include <libpimentofold/configreplication/configmessages.h>
#include <libpimentofold/configreplication/configrepair.h>

namespace pimentofold {

namespace {

// Maximum number of requests for an announced object. After that, only a later announcement or digest starts over.
constexpr int maxAnnouncementAttempts = 5;
// A transfer is aborted after this many consecutive timeouts without a range. A later digest restarts it.
constexpr int maxRangeTimeouts = 10;

/// Pushes new objects to random peers of this data centre and, from a delegate, to other data centres.
void pushObjects(
    ConfigReplication &replication, const std::vector<ConfigObjectPointer> &objects, const std::string &except, Time now, ConfigReplicationOutput &out)
{
    const std::vector<wire::PeerMessage> messages = packObjects(replication, objects, UpdateKind::New);
    std::vector<std::string> targets = randomLocalPeers(replication, replication.options.pushFanout, except);
    if (replication.peers.delegate) {
        const std::vector<std::string> remote = randomRemotePeers(replication, replication.options.pushFanout, except);
        targets.insert(targets.end(), remote.begin(), remote.end());
    }
    const ConfigReplicationOptions &options = replication.options;
    for (const wire::PeerMessage &message : messages) {
        const auto size = static_cast<double>(contentBytes(message));
        for (const std::string &to : targets) {
            if (!consumeBytes(replication.pushBudget, size, options.pushBytesPerSecond, options.pushBurstBytes, now)) {
                ++replication.counts.pushesSkipped;
                continue;
            }
            ++replication.counts.pushes;
            out.messages.push_back({to, message});
        }
    }
}

/// Stores an object and reports it as applied if it is newer than the version held.
/// @return whether it was stored
bool applyReceived(ConfigReplication &replication, const ConfigObjectPointer &object, ConfigReplicationOutput &out)
{
    switch (applyObject(replication.store, object)) {
    case ApplyResult::Applied:
        ++replication.counts.applied;
        replication.announced.erase(object->key);
        out.applied.push_back(object);
        return true;
    case ApplyResult::Older:
        ++replication.counts.older;
        return false;
    case ApplyResult::Refused:
        ++replication.counts.refused;
        return false;
    case ApplyResult::AlreadyHeld:
        return false;
    }
    return false;
}

bool isRemoteAddress(const ConfigReplication &replication, const std::string &address)
{
    return replication.remoteDelegates.contains(address) || std::ranges::find(replication.remoteSeeds, address) != replication.remoteSeeds.end();
}

void requestFirstRange(ConfigReplication &replication, const ObjectKey &key, Announcement &announcement, Time now, ConfigReplicationOutput &out)
{
    wire::ObjectHead head;
    head.kind = key.kind;
    head.name = key.name;
    head.version = announcement.version;
    head.__set_offset(0);
    announcement.nextRequestAt = now + rangeTimeout;
    ++announcement.attempts;
    sendPull(replication, {head}, announcement.source, out);
}

/// Handles announcements of large objects by a peer: requests the first range of those that are needed here.
void handleAnnouncements(
    ConfigReplication &replication, const std::vector<wire::ObjectHead> &heads, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    for (const wire::ObjectHead &it : heads) {
        const ObjectKey key = keyOf(it);
        if (!isNeededBy(replication.team, key) || !isNewer(replication.store, key, it.version)) {
            continue;
        }
        const auto transfer = replication.transfers.find(key);
        if (transfer != replication.transfers.end() && transfer->second.object.version >= it.version) {
            addSource(transfer->second, from);
            continue;
        }
        Announcement &announcement = replication.announced[key];
        const bool alreadyRequested = announcement.version >= it.version;
        announcement.source = from;
        if (!alreadyRequested) {
            announcement = {it.version, from, 0, 0};
            requestFirstRange(replication, key, announcement, now, out);
        }
    }
}

/// Repeats requests for first ranges whose response may have been lost, and removes obsolete announcements.
void tickAnnouncements(ConfigReplication &replication, Time now, ConfigReplicationOutput &out)
{
    std::erase_if(replication.announced, [&](const auto &it) {
        const bool obsolete = replication.transfers.contains(it.first) || !isNewer(replication.store, it.first, it.second.version);
        return obsolete || (it.second.attempts >= maxAnnouncementAttempts && now >= it.second.nextRequestAt);
    });
    for (auto &[key, announcement] : replication.announced) {
        if (now >= announcement.nextRequestAt) {
            requestFirstRange(replication, key, announcement, now, out);
        }
    }
}

/// Requests further ranges of an object as far as the window permits.
void continueTransfer(ConfigReplication &replication, const ObjectKey &key, ConfigReplicationOutput &out)
{
    const auto it = replication.transfers.find(key);
    if (it != replication.transfers.end()) {
        sendPull(replication, requestRanges(it->second), it->second.sources.front(), out);
    }
}

/// Handles an object that was received whole, or a range of one.
/// @return the object if it is complete and possibly new, otherwise null
ConfigObjectPointer
receiveObject(ConfigReplication &replication, const wire::ObjectWire &object, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    const ObjectKey key = keyOf(object.head);
    if (!isNeededBy(replication.team, key)) {
        return nullptr;
    }
    if (!object.__isset.total) {
        // Most pushes carry a version that is held already; returning early avoids copying the value.
        const bool known = versionOf(replication.store, key) == object.head.version;
        return known ? nullptr : std::make_shared<const ConfigObject>(fromWire(object));
    }
    if (!isNewer(replication.store, key, object.head.version)) {
        return nullptr;
    }
    ConfigObjectPointer complete = storeRange(replication.transfers, object, from, now);
    continueTransfer(replication, key, out);
    return complete;
}

void handleObjects(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    std::vector<ConfigObjectPointer> newObjects;
    for (const wire::ObjectWire &it : message.objects) {
        const ConfigObjectPointer object = receiveObject(replication, it, from, now, out);
        // A completed large object is announced to further peers, since agents learn of large objects from announcements
        // only. An object that repairs a difference between data centres is new to this data centre, so it is pushed too.
        const bool shouldPush = message.hops == static_cast<std::int32_t>(UpdateKind::New) || it.__isset.total || isRemoteAddress(replication, from);
        if (object && applyReceived(replication, object, out) && shouldPush) {
            newObjects.push_back(object);
        }
    }
    pushObjects(replication, newObjects, from, now, out);
    if (!newObjects.empty()) {
        shortenBackOff(replication.watch, now, replication.random);
    }
    handleAnnouncements(replication, message.heads, from, now, out);
}

/// Aborts obsolete and failed transfers and retries those without progress.
void tickTransfers(ConfigReplication &replication, Time now, ConfigReplicationOutput &out)
{
    std::erase_if(replication.transfers,
                  [&](const auto &it) { return it.second.timeouts >= maxRangeTimeouts || !isNewer(replication.store, it.first, it.second.object.version); });
    for (auto &[key, transfer] : replication.transfers) {
        if (now - transfer.lastProgressAt < rangeTimeout) {
            continue;
        }
        retryFromNextSource(transfer, now);
        sendPull(replication, requestRanges(transfer), transfer.sources.front(), out);
    }
}

/// Checks whether a digest is due; if so, schedules the next one.
/// @return whether a digest must be sent now
bool startDigestIfDue(DigestTimer &timer, const ConfigReplicationOptions &options, Time now)
{
    if (now < timer.nextAt && now < timer.retryAt) {
        return false;
    }
    if (now >= timer.nextAt) {
        timer.nextAt = now + options.digestInterval;
    }
    timer.retryAt = now + options.digestTimeout;
    return true;
}

void sendDigests(ConfigReplication &replication, bool remote, ConfigReplicationOutput &out)
{
    for (const std::string &to : remote ? randomRemotePeers(replication, 1, "") : randomLocalPeers(replication, 1, "")) {
        ++replication.counts.digests;
        sendRootDigest(replication, to, remote, true, out);
    }
}

void tickDigests(ConfigReplication &replication, Time now, ConfigReplicationOutput &out)
{
    if (startDigestIfDue(replication.localDigests, replication.options, now)) {
        sendDigests(replication, false, out);
    }
    if (replication.peers.delegate && startDigestIfDue(replication.remoteDigests, replication.options, now)) {
        std::erase_if(replication.remoteDelegates, [&](const auto &it) { return now - it.second.lastHeardAt > replication.options.remoteRetention; });
        sendDigests(replication, true, out);
    }
}

} // namespace

void startConfigReplication(ConfigReplication &replication, std::uint64_t randomSeed, Time now)
{
    replication.random = {randomSeed};
    replication.startedAt = now;
    const auto interval = static_cast<std::uint64_t>(replication.options.digestInterval);
    // The first exchange starts early, so that a new agent is synchronised soon. Random delays prevent agents that start
    // at the same time from exchanging digests and polling in lockstep.
    replication.localDigests.nextAt = now + static_cast<Time>(below(replication.random, interval / 10 + 1));
    replication.remoteDigests.nextAt = now + static_cast<Time>(below(replication.random, interval + 1));
    replication.watch.nextAt = now + replication.options.initialSyncTimeout + static_cast<Time>(below(replication.random, second));
    replication.pushBudget = {replication.options.pushBurstBytes, now};
    replication.rangeBudget = {replication.options.rangeBurstBytes, now};
}

void setReplicationPeers(ConfigReplication &replication, ReplicationPeers peers)
{
    replication.peers = std::move(peers);
}

void tickConfigReplication(ConfigReplication &replication, Time now, ConfigReplicationOutput &out)
{
    tickTransfers(replication, now, out);
    tickAnnouncements(replication, now, out);
    tickDigests(replication, now, out);
    if (!replication.peers.watcher) {
        return;
    }
    if (replication.initialSyncDone && replication.watch.polls == 0) {
        replication.watch.nextAt = std::min(replication.watch.nextAt, now);
    }
    if (isPollDue(replication.watch, now)) {
        out.watch = startPoll(replication.watch, now);
    }
}

void handleConfigMessage(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    switch (message.kind) {
    case wire::PeerKind::Digest:
        handleDigest(replication, message, from, now, out);
        break;
    case wire::PeerKind::Pull:
        handlePull(replication, message, from, now, out);
        break;
    case wire::PeerKind::Objects:
        handleObjects(replication, message, from, now, out);
        break;
    default:
        break;
    }
}

void publishObject(ConfigReplication &replication, const ConfigObjectPointer &object, Time now, ConfigReplicationOutput &out)
{
    if (applyReceived(replication, object, out)) {
        pushObjects(replication, {object}, "", now, out);
    }
}

void handleWatchResponse(ConfigReplication &replication, const WatchResponse &response, Time now, ConfigReplicationOutput &out)
{
    if (!finishPoll(replication.watch, response, now, replication.random)) {
        return;
    }
    replication.initialSyncDone = true;
    std::vector<ConfigObjectPointer> newObjects;
    for (const ConfigObjectPointer &it : response.objects) {
        if (isPlatformKind(it->key.kind) && isNeededBy(replication.team, it->key) && applyReceived(replication, it, out)) {
            newObjects.push_back(it);
        }
    }
    pushObjects(replication, newObjects, "", now, out);
}

} // namespace pimentofold
