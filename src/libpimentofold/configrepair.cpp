#include <libpimentofold/configrepair.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include <libpimentofold/configmessages.h>

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

wire::PeerMessage digestMessage(const ConfigReplication &spread, const std::string &bytes, bool remote)
{
    wire::PeerMessage message = spreadMessage(spread, wire::PeerKind::Digest);
    message.__set_digest(bytes);
    message.__set_revision(spread.watch.revision);
    if (remote) {
        message.__set_dataCentre(spread.dataCentre);
        message.__set_members(spread.peers.delegates);
    }
    return message;
}

bool isRemote(const ConfigReplication &spread, const wire::PeerMessage &message)
{
    return message.__isset.dataCentre && message.dataCentre != spread.dataCentre;
}

void learnDelegates(ConfigReplication &spread, const wire::PeerMessage &message, Time now)
{
    for (const wire::MemberUpdate &it : message.members) {
        if (it.dataCentre == message.dataCentre && !it.address.empty()) {
            spread.remotes[it.address] = {it.dataCentre, now};
        }
    }
}

void sendBuckets(ConfigReplication &spread, const std::string &to, bool remote, ConfigReplicationOutput &out)
{
    ++spread.counts.digestsDiffering;
    out.messages.push_back({to, digestMessage(spread, toBytes(spread.store.buckets.data(), digestBuckets), remote)});
}

void handleRoot(ConfigReplication &spread, const wire::PeerMessage &message, const std::string &from, ConfigReplicationOutput &out)
{
    const bool remote = isRemote(spread, message);
    if (digestAt(message.digest, 0) != spread.store.rootDigest) {
        sendBuckets(spread, from, remote, out);
        return;
    }
    // With equal roots everything up to the peer's revision is held here too.
    spread.watch.revision = std::max(spread.watch.revision, message.revision);
    if (message.revision > 0) {
        spread.initialSyncDone = true;
    }
    if (!remote) {
        spread.repairs = 0;
    }
    if (!message.last) {
        sendRootDigest(spread, from, remote, false, out);
    }
}

void handleBuckets(ConfigReplication &spread, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    std::vector<std::size_t> differing;
    for (std::size_t i = 0; i < digestBuckets; ++i) {
        if (digestAt(message.digest, i) != spread.store.buckets[i]) {
            differing.push_back(i);
        }
    }
    while (differing.size() > spread.options.bucketsPerDigest) {
        differing.erase(differing.begin() + static_cast<std::ptrdiff_t>(below(spread.random, differing.size())));
    }
    for (const std::size_t bucket : differing) {
        const auto groups = splitHeads(headsInBucket(spread.store, bucket), true);
        for (std::size_t i = 0; i < groups.size(); ++i) {
            wire::PeerMessage heads = digestMessage(spread, std::string(1, static_cast<char>(bucket)), isRemote(spread, message));
            heads.__set_heads(groups[i]);
            heads.hops = i == 0 ? 0 : 1;
            heads.last = i + 1 == groups.size();
            out.messages.push_back({from, std::move(heads)});
        }
    }
    if (!differing.empty() && spread.repairs < spread.options.mostRepairs) {
        ++spread.repairs;
        DigestTimer &timer = isRemote(spread, message) ? spread.remoteDigests : spread.localDigests;
        timer.nextAt = std::min(timer.nextAt, now + spread.options.repairInterval);
    }
}

/// Heads of one bucket, or of a part of it. Objects of the bucket between the first and the last head that aren't
/// listed are unknown to the sender; the first group reaches to the start of the bucket and the last to its end.
void handleHeads(ConfigReplication &spread, const wire::PeerMessage &message, const std::string &from, ConfigReplicationOutput &out)
{
    const std::size_t bucket = static_cast<unsigned char>(message.digest[0]);
    std::map<ObjectKey, std::int64_t> theirs;
    std::vector<wire::ObjectHead> wanted;
    for (const wire::ObjectHead &it : message.heads) {
        const ObjectKey key = keyOf(it);
        theirs[key] = it.version;
        if (isNeededBy(spread.team, key) && isNewer(spread.store, key, it.version)) {
            wanted.push_back(it);
        }
    }
    std::vector<ConfigObjectPointer> newer;
    for (const auto &[key, object] : spread.store.objects) {
        const bool covered = (message.hops == 0 || (!theirs.empty() && !(key < theirs.begin()->first)))
            && (message.last || (!theirs.empty() && !(theirs.rbegin()->first < key)));
        const auto it = theirs.find(key);
        if (bucketOf(key) == bucket && covered && (it == theirs.end() || it->second < object->version)) {
            newer.push_back(object);
        }
    }
    sendPull(spread, wanted, from, out);
    for (wire::PeerMessage &it : packObjects(spread, newer, Freshness::Repair)) {
        out.messages.push_back({from, std::move(it)});
    }
}

} // namespace

void sendRootDigest(const ConfigReplication &spread, const std::string &to, bool remote, bool answerWanted, ConfigReplicationOutput &out)
{
    wire::PeerMessage message = digestMessage(spread, toBytes(&spread.store.rootDigest, 1), remote);
    message.last = !answerWanted;
    out.messages.push_back({to, std::move(message)});
}

void handleDigest(ConfigReplication &spread, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    if (isRemote(spread, message)) {
        learnDelegates(spread, message, now);
    }
    (isRemote(spread, message) ? spread.remoteDigests : spread.localDigests).retryAt = never;
    if (message.digest.size() == digestBytes) {
        handleRoot(spread, message, from, out);
    } else if (message.digest.size() == digestBytes * digestBuckets) {
        handleBuckets(spread, message, from, now, out);
    } else if (message.digest.size() == 1) {
        handleHeads(spread, message, from, out);
    }
}

void handlePull(ConfigReplication &spread, const wire::PeerMessage &message, const std::string &from, Time now, ConfigReplicationOutput &out)
{
    const ConfigReplicationOptions &options = spread.options;
    std::vector<ConfigObjectPointer> whole;
    for (const wire::ObjectHead &it : message.heads) {
        const ConfigObjectPointer object = findObject(spread.store, keyOf(it));
        if (!object || object->version < it.version) {
            continue;
        }
        if (!needsRanges(*object)) {
            whole.push_back(object);
            continue;
        }
        // A newer version than the one that was asked for starts a new transfer with its first range.
        const std::int64_t offset = object->version == it.version ? it.offset : 0;
        const bool valid = offset >= 0 && static_cast<std::size_t>(offset) < object->value.size();
        if (!valid || !takeBytes(spread.rangeBudget, rangeBytes, options.rangeBytesPerSecond, options.rangeBurstBytes, now)) {
            continue;
        }
        wire::PeerMessage range = spreadMessage(spread, wire::PeerKind::Objects);
        range.hops = static_cast<std::int32_t>(Freshness::Repair);
        range.__set_objects({rangeOf(*object, offset)});
        out.messages.push_back({from, std::move(range)});
        ++spread.counts.rangesServed;
    }
    for (wire::PeerMessage &it : packObjects(spread, whole, Freshness::Repair)) {
        out.messages.push_back({from, std::move(it)});
    }
}

void sendPull(ConfigReplication &spread, const std::vector<wire::ObjectHead> &heads, const std::string &to, ConfigReplicationOutput &out)
{
    if (heads.empty()) {
        return;
    }
    for (const auto &group : splitHeads(heads, false)) {
        wire::PeerMessage message = spreadMessage(spread, wire::PeerKind::Pull);
        message.__set_heads(group);
        out.messages.push_back({to, std::move(message)});
        ++spread.counts.pulls;
    }
}

} // namespace pimentofold
