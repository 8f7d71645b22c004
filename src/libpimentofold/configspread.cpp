#include <pimentofold/configspread.h>

#include <algorithm>
#include <utility>

#include <libpimentofold/configmessages.h>
#include <libpimentofold/configrepair.h>

namespace pimentofold {

namespace {

// An announced object that hasn't started to come by then is asked for again at the next announcement.
constexpr Time announcementLimit = second;
// A transfer without any range in so many rounds is given up; a later digest starts it again.
constexpr int mostRangeTimeouts = 10;

/// Pushes new objects to random peers of this data centre and, from a delegate, to other data centres.
void push(ConfigSpread &spread, const std::vector<ConfigObjectPointer> &objects, const std::string &except, Time now, SpreadOutput &out)
{
    const std::vector<wire::PeerMessage> messages = packObjects(spread, objects, Freshness::New);
    std::vector<std::string> targets = randomLocalPeers(spread, spread.options.pushFanout, except);
    if (spread.peers.delegate) {
        const std::vector<std::string> remote = randomRemotePeers(spread, spread.options.pushFanout, except);
        targets.insert(targets.end(), remote.begin(), remote.end());
    }
    const SpreadOptions &options = spread.options;
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
bool take(ConfigSpread &spread, const ConfigObjectPointer &object, SpreadOutput &out)
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

bool isRemoteAddress(const ConfigSpread &spread, const std::string &address)
{
    return spread.remotes.contains(address) || std::ranges::find(spread.remoteSeeds, address) != spread.remoteSeeds.end();
}

/// Asks for the start of large objects that a peer announces.
void handleAnnouncements(ConfigSpread &spread, const std::vector<wire::ObjectHead> &heads, const std::string &from, Time now, SpreadOutput &out)
{
    std::vector<wire::ObjectHead> wanted;
    for (const wire::ObjectHead &it : heads) {
        const ObjectKey key = keyOf(it);
        if (!isWantedBy(spread.team, key) || !isNewer(spread.store, key, it.version)) {
            continue;
        }
        const auto transfer = spread.transfers.find(key);
        Announcement &asked = spread.announced[key];
        const bool underWay = transfer != spread.transfers.end() && transfer->second.object.version >= it.version;
        if (underWay || (asked.version >= it.version && now - asked.at < announcementLimit)) {
            continue;
        }
        asked = {it.version, now};
        wanted.push_back(it);
        wanted.back().__set_offset(0);
    }
    sendPull(spread, wanted, from, out);
}

void continueTransfer(ConfigSpread &spread, const ObjectKey &key, SpreadOutput &out)
{
    const auto it = spread.transfers.find(key);
    if (it != spread.transfers.end()) {
        sendPull(spread, askForRanges(it->second), it->second.source, out);
    }
}

/// @return the object when it is complete, else null
ConfigObjectPointer receive(ConfigSpread &spread, const wire::ObjectWire &object, const std::string &from, Time now, SpreadOutput &out)
{
    const ObjectKey key = keyOf(object.head);
    if (!isWantedBy(spread.team, key)) {
        return nullptr;
    }
    if (!object.__isset.total) {
        return std::make_shared<const ConfigObject>(fromWire(object));
    }
    if (!isNewer(spread.store, key, object.head.version)) {
        return nullptr;
    }
    ConfigObjectPointer complete = takeRange(spread.transfers, object, from, now);
    continueTransfer(spread, key, out);
    return complete;
}

void handleObjects(ConfigSpread &spread, const wire::PeerMessage &message, const std::string &from, Time now, SpreadOutput &out)
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
        hastenPoll(spread.watch, now, spread.random);
    }
    handleAnnouncements(spread, message.heads, from, now, out);
}

void tickTransfers(ConfigSpread &spread, Time now, SpreadOutput &out)
{
    std::erase_if(spread.transfers,
                  [&](const auto &it) { return it.second.timeouts >= mostRangeTimeouts || !isNewer(spread.store, it.first, it.second.object.version); });
    for (auto &[key, transfer] : spread.transfers) {
        if (now - transfer.progressAt < rangeTimeLimit) {
            continue;
        }
        const auto others = randomLocalPeers(spread, 1, "");
        restartRound(transfer, others.empty() ? transfer.source : others.front(), now);
        sendPull(spread, askForRanges(transfer), transfer.source, out);
    }
}

void tickDigests(ConfigSpread &spread, Time now, SpreadOutput &out)
{
    if (now >= spread.nextDigestAt) {
        spread.nextDigestAt = now + spread.options.digestInterval;
        for (const std::string &to : randomLocalPeers(spread, 1, "")) {
            ++spread.counts.digests;
            sendRootDigest(spread, to, false, true, out);
        }
    }
    if (spread.peers.delegate && now >= spread.nextRemoteDigestAt) {
        spread.nextRemoteDigestAt = now + spread.options.digestInterval;
        std::erase_if(spread.remotes, [&](const auto &it) { return now - it.second.heardAt > spread.options.remoteRetention; });
        for (const std::string &to : randomRemotePeers(spread, 1, "")) {
            ++spread.counts.digests;
            sendRootDigest(spread, to, true, true, out);
        }
    }
}

} // namespace

void startSpread(ConfigSpread &spread, std::uint64_t randomSeed, Time now)
{
    spread.random = {randomSeed};
    spread.startedAt = now;
    const auto interval = static_cast<std::uint64_t>(spread.options.digestInterval);
    // The first exchange is early, so that a new agent fills soon; agents that start together don't stay in step.
    spread.nextDigestAt = now + static_cast<Time>(below(spread.random, interval / 10 + 1));
    spread.nextRemoteDigestAt = now + static_cast<Time>(below(spread.random, interval + 1));
    spread.watch.nextAt = now + spread.options.fillLimit + static_cast<Time>(below(spread.random, second));
    spread.pushBudget = {spread.options.pushBurstBytes, now};
    spread.rangeBudget = {spread.options.rangeBurstBytes, now};
}

void setSpreadPeers(ConfigSpread &spread, SpreadPeers peers)
{
    spread.peers = std::move(peers);
}

void tickSpread(ConfigSpread &spread, Time now, SpreadOutput &out)
{
    tickTransfers(spread, now, out);
    tickDigests(spread, now, out);
    if (!spread.peers.watcher) {
        return;
    }
    if (spread.filled && spread.watch.polls == 0) {
        spread.watch.nextAt = std::min(spread.watch.nextAt, now);
    }
    if (isPollDue(spread.watch, now)) {
        out.watch = startPoll(spread.watch, now);
    }
}

void handleSpread(ConfigSpread &spread, const wire::PeerMessage &message, const std::string &from, Time now, SpreadOutput &out)
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

void publishObject(ConfigSpread &spread, const ConfigObjectPointer &object, Time now, SpreadOutput &out)
{
    if (take(spread, object, out)) {
        push(spread, {object}, "", now, out);
    }
}

void handleWatchAnswer(ConfigSpread &spread, const WatchAnswer &answer, Time now, SpreadOutput &out)
{
    if (!finishPoll(spread.watch, answer, now, spread.random)) {
        return;
    }
    spread.filled = true;
    std::vector<ConfigObjectPointer> fresh;
    for (const ConfigObjectPointer &it : answer.objects) {
        if (isPlatformKind(it->key.kind) && isWantedBy(spread.team, it->key) && take(spread, it, out)) {
            fresh.push_back(it);
        }
    }
    push(spread, fresh, "", now, out);
}

} // namespace pimentofold
