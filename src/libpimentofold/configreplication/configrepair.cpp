#include <libpimentofold/configreplication/configrepair.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include <libpimentofold/configreplication/configmessages.h>

namespace pimentofold {

namespace {

constexpr std::size_t digestBytes = sizeof(std::uint64_t);

std::string toBytes(const std::uint64_t *digests, std::size_t count)
{
    std::string bytes;
    for (std::size_t i = 0; i < count; ++i) {
        for (unsigned shift = 0; shift < 64; shift += 8) {
            bytes.push_back(static_cast<char>((digests[i] >> shift) & 0xffU));
        }
    }
    return bytes;
}

std::uint64_t digestAt(const std::string &bytes, std::size_t index)
{
    std::uint64_t digest = 0;
    for (std::size_t i = 0; i < digestBytes; ++i) {
        digest |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index * digestBytes + i])) << (8 * i);
    }
    return digest;
}

wire::PeerMessage digestMessage(const ConfigReplication &replication, const std::string &bytes, bool remote)
{
    wire::PeerMessage message = newConfigMessage(replication, wire::PeerKind::Digest);
    message.__set_digest(bytes);
    message.__set_revision(replication.watch.revision);
    if (remote) {
        message.__set_dataCentre(replication.dataCentre);
        message.__set_members(replication.peers.delegates);
    }
    return message;
}

bool isRemote(const ConfigReplication &replication, const wire::PeerMessage &message)
{
    return message.__isset.dataCentre && message.dataCentre != replication.dataCentre;
}

void recordDelegates(ConfigReplication &replication, const wire::PeerMessage &message, Time now)
{
    for (const wire::MemberUpdate &it : message.members) {
        if (it.dataCentre == message.dataCentre && !it.address.empty()) {
            replication.remoteDelegates[it.address] = {it.dataCentre, now};
        }
    }
}

void sendBucketDigests(ConfigReplication &replication, const std::string &to, bool remote, ConfigReplicationOutput &out)
{
    ++replication.counts.digestsDiffering;
    out.messages.push_back({to, digestMessage(replication, toBytes(replication.store.bucketDigests.data(), digestBuckets), remote)});
}

void handleRootDigest(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, ConfigReplicationOutput &out)
{
    const bool remote = isRemote(replication, message);
    if (digestAt(message.digest, 0) != replication.store.rootDigest) {
        sendBucketDigests(replication, from, remote, out);
        return;
    }
    // Equal root digests mean that this store, too, holds all objects up to the peer's platform revision.
    replication.watch.revision = std::max(replication.watch.revision, message.revision);
    if (message.revision > 0) {
        replication.initialSyncDone = true;
    }
    if (!remote) {
        replication.repairRounds = 0;
    }
    if (!message.last) {
        sendRootDigest(replication, from, remote, false, out);
    }
}

void handleBucketDigests(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    std::vector<std::size_t> differing;
    for (std::size_t i = 0; i < digestBuckets; ++i) {
        if (digestAt(message.digest, i) != replication.store.bucketDigests[i]) {
            differing.push_back(i);
        }
    }
    while (differing.size() > replication.options.bucketsPerDigest) {
        differing.erase(differing.begin() + static_cast<std::ptrdiff_t>(below(replication.random, differing.size())));
    }
    for (const std::size_t bucket : differing) {
        const auto groups = splitHeads(headsInBucket(replication.store, bucket), true);
        for (std::size_t i = 0; i < groups.size(); ++i) {
            wire::PeerMessage heads = digestMessage(replication, std::string(1, static_cast<char>(bucket)), isRemote(replication, message));
            heads.__set_heads(groups[i]);
            heads.hops = i == 0 ? 0 : 1;
            heads.last = i + 1 == groups.size();
            out.messages.push_back({from, std::move(heads)});
        }
    }
    if (!differing.empty() && replication.repairRounds < replication.options.maxRepairRounds) {
        ++replication.repairRounds;
        DigestTimer &timer = isRemote(replication, message) ? replication.remoteDigests : replication.localDigests;
        timer.nextAt = std::min(timer.nextAt, now + replication.options.repairInterval);
    }
}

/// Handles a message with the heads of one bucket or of a contiguous part of it. The sender lacks all objects of this
/// range of keys that the message doesn't list. The range extends from the first to the last head listed; in the first
/// message (hops is 0) it begins at the start of the bucket, and in the last message it ends at the end of the bucket.
void handleBucketHeads(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, ConfigReplicationOutput &out)
{
    const std::size_t bucket = static_cast<unsigned char>(message.digest[0]);
    std::map<ObjectKey, std::int64_t> peerVersions;
    std::vector<wire::ObjectHead> headsToPull;
    for (const wire::ObjectHead &it : message.heads) {
        const ObjectKey key = keyOf(it);
        peerVersions[key] = it.version;
        if (isNeededBy(replication.team, key) && isNewer(replication.store, key, it.version)) {
            headsToPull.push_back(it);
        }
    }
    std::vector<ConfigObjectPointer> newer;
    for (const auto &[key, object] : replication.store.objects) {
        const bool covered = (message.hops == 0 || (!peerVersions.empty() && !(key < peerVersions.begin()->first)))
            && (message.last || (!peerVersions.empty() && !(peerVersions.rbegin()->first < key)));
        const auto it = peerVersions.find(key);
        if (bucketOf(key) == bucket && covered && (it == peerVersions.end() || it->second < object->version)) {
            newer.push_back(object);
        }
    }
    sendPull(replication, headsToPull, from, out);
    for (wire::PeerMessage &it : packObjects(replication, newer, UpdateKind::Repair)) {
        out.messages.push_back({from, std::move(it)});
    }
}

} // namespace

void sendRootDigest(const ConfigReplication &replication, const std::string &to, bool remote, bool replyWanted, ConfigReplicationOutput &out)
{
    wire::PeerMessage message = digestMessage(replication, toBytes(&replication.store.rootDigest, 1), remote);
    message.last = !replyWanted;
    out.messages.push_back({to, std::move(message)});
}

void handleDigest(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    if (isRemote(replication, message)) {
        recordDelegates(replication, message, now);
    }
    (isRemote(replication, message) ? replication.remoteDigests : replication.localDigests).retryAt = never;
    if (message.digest.size() == digestBytes) {
        handleRootDigest(replication, message, from, out);
    } else if (message.digest.size() == digestBytes * digestBuckets) {
        handleBucketDigests(replication, message, from, now, out);
    } else if (message.digest.size() == 1) {
        handleBucketHeads(replication, message, from, out);
    }
}

void handlePull(ConfigReplication &replication, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    const ConfigReplicationOptions &options = replication.options;
    std::vector<ConfigObjectPointer> whole;
    for (const wire::ObjectHead &it : message.heads) {
        const ConfigObjectPointer object = findObject(replication.store, keyOf(it));
        if (!object || object->version < it.version) {
            continue;
        }
        if (!needsRanges(*object)) {
            whole.push_back(object);
            continue;
        }
        // If the requested version has been superseded, the first range of the newer one starts a new transfer.
        const std::int64_t offset = object->version == it.version ? it.offset : 0;
        const bool valid = offset >= 0 && static_cast<std::size_t>(offset) < object->value.size();
        if (!valid || !consumeBytes(replication.rangeBudget, rangeBytes, options.rangeBytesPerSecond, options.rangeBurstBytes, now)) {
            continue;
        }
        wire::PeerMessage range = newConfigMessage(replication, wire::PeerKind::Objects);
        range.hops = static_cast<std::int32_t>(UpdateKind::Repair);
        range.__set_objects({rangeOf(*object, offset)});
        out.messages.push_back({from, std::move(range)});
        ++replication.counts.rangesServed;
    }
    for (wire::PeerMessage &it : packObjects(replication, whole, UpdateKind::Repair)) {
        out.messages.push_back({from, std::move(it)});
    }
}

void sendPull(ConfigReplication &replication, const std::vector<wire::ObjectHead> &heads, const std::string &to, ConfigReplicationOutput &out)
{
    if (heads.empty()) {
        return;
    }
    for (const auto &group : splitHeads(heads, false)) {
        wire::PeerMessage message = newConfigMessage(replication, wire::PeerKind::Pull);
        message.__set_heads(group);
        out.messages.push_back({to, std::move(message)});
        ++replication.counts.pulls;
    }
}

} // namespace pimentofold
