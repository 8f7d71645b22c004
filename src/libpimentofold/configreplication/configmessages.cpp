#include <libpimentofold/configreplication/configmessages.h>

#include <algorithm>
#include <set>
#include <utility>

namespace pimentofold {

namespace {

std::size_t headBytes(const wire::ObjectHead &head)
{
    // Upper bound for field headers, lengths, version and offset in Thrift's compact protocol.
    constexpr std::size_t overhead = 24;
    return head.kind.size() + head.name.size() + overhead;
}

/// Appends distinct random candidates to @p chosen until it has @p count elements or no candidate is left.
void drawRandom(std::vector<std::string> candidates, std::size_t count, Random &random, std::vector<std::string> &chosen)
{
    while (chosen.size() < count && !candidates.empty()) {
        const auto i = static_cast<std::ptrdiff_t>(below(random, candidates.size()));
        chosen.push_back(std::move(candidates[static_cast<std::size_t>(i)]));
        candidates.erase(candidates.begin() + i);
    }
}

/// @return the addresses other than @p self and @p except
std::vector<std::string> excluding(const std::vector<std::string> &addresses, const std::string &self, const std::string &except)
{
    std::vector<std::string> result;
    std::ranges::copy_if(addresses, std::back_inserter(result), [&](const std::string &it) { return it != self && it != except; });
    return result;
}

} // namespace

wire::PeerMessage newConfigMessage(const ConfigReplication &replication, wire::PeerKind::type kind)
{
    wire::PeerMessage message;
    message.kind = kind;
    message.sender.instance = replication.self.instance;
    message.sender.incarnation = replication.self.incarnation;
    return message;
}

std::vector<wire::PeerMessage> packObjects(const ConfigReplication &replication, const std::vector<ConfigObjectPointer> &objects, UpdateKind updateKind)
{
    std::vector<wire::PeerMessage> messages;
    std::size_t used = maxContentBytes;
    for (const ConfigObjectPointer &it : objects) {
        const bool whole = !needsRanges(*it);
        const std::size_t size = whole ? wireBytes(*it) : headBytes(headOf(*it));
        if (used + size > maxContentBytes) {
            messages.push_back(newConfigMessage(replication, wire::PeerKind::Objects));
            messages.back().hops = static_cast<std::int32_t>(updateKind);
            used = 0;
        }
        used += size;
        wire::PeerMessage &message = messages.back();
        if (whole) {
            message.__isset.objects = true;
            message.objects.push_back(toWire(*it));
        } else {
            message.__isset.heads = true;
            message.heads.push_back(headOf(*it));
        }
    }
    return messages;
}

std::vector<std::vector<wire::ObjectHead>> splitHeads(const std::vector<wire::ObjectHead> &heads, bool overlap)
{
    std::vector<std::vector<wire::ObjectHead>> groups(1);
    std::size_t used = 0;
    for (const wire::ObjectHead &it : heads) {
        if (used + headBytes(it) > maxContentBytes) {
            const wire::ObjectHead previous = groups.back().back();
            groups.emplace_back();
            used = 0;
            if (overlap) {
                groups.back().push_back(previous);
                used = headBytes(previous);
            }
        }
        groups.back().push_back(it);
        used += headBytes(it);
    }
    return groups;
}

std::size_t contentBytes(const wire::PeerMessage &message)
{
    std::size_t size = 0;
    for (const wire::ObjectWire &it : message.objects) {
        size += headBytes(it.head) + it.value.size() + it.changeId.size();
    }
    for (const wire::ObjectHead &it : message.heads) {
        size += headBytes(it);
    }
    return size;
}

bool consumeBytes(ByteBudget &budget, double bytes, double rate, double burst, Time now)
{
    budget.bytes = std::min(burst, budget.bytes + rate * static_cast<double>(now - budget.updatedAt) / second);
    budget.updatedAt = now;
    if (budget.bytes < bytes) {
        return false;
    }
    budget.bytes -= bytes;
    return true;
}

std::vector<std::string> randomLocalPeers(ConfigReplication &replication, std::size_t count, const std::string &except)
{
    std::vector<std::string> chosen;
    const auto &local = replication.peers.local;
    if (!local || local->size() <= 1) {
        drawRandom(excluding(replication.seeds, replication.address, except), count, replication.random, chosen);
        return chosen;
    }
    // Draws random indices instead of copying and shuffling all members. With too many repeated draws, the result has
    // fewer than count elements.
    std::set<std::size_t> drawn;
    for (std::size_t attempts = 0; attempts < count * 4 && chosen.size() < count; ++attempts) {
        const auto i = static_cast<std::size_t>(below(replication.random, local->size()));
        const ReplicationPeer &peer = (*local)[i];
        if (peer.key.instance != replication.self.instance && peer.address != except && drawn.insert(i).second) {
            chosen.push_back(peer.address);
        }
    }
    return chosen;
}

std::vector<std::string> randomRemotePeers(ConfigReplication &replication, std::size_t count, const std::string &except)
{
    std::map<std::string, std::vector<std::string>> byDataCentre;
    for (const auto &[address, remote] : replication.remoteDelegates) {
        if (address != except) {
            byDataCentre[remote.dataCentre].push_back(address);
        }
    }
    std::vector<std::string> candidates;
    candidates.reserve(byDataCentre.size());
    for (const auto &[name, addresses] : byDataCentre) {
        candidates.push_back(addresses[below(replication.random, addresses.size())]);
    }
    std::vector<std::string> chosen;
    drawRandom(std::move(candidates), count, replication.random, chosen);
    std::vector<std::string> seeds = excluding(replication.remoteSeeds, replication.address, except);
    std::erase_if(seeds, [&](const std::string &it) { return std::ranges::find(chosen, it) != chosen.end(); });
    drawRandom(std::move(seeds), count, replication.random, chosen);
    return chosen;
}

} // namespace pimentofold
