#include <pimentofold-balancer/inflight.h>

#include <algorithm>
#include <utility>

#include <pimentofold/callerpacket.h>

namespace pimentofold {

namespace {

constexpr Time wheelStep = 10 * millisecond;
// Covers the longest deadline and some turns of a loop that is late.
constexpr std::size_t wheelSteps = static_cast<std::size_t>((maxDeadline + 5 * second) / wheelStep);
constexpr std::size_t firstBuckets = 1024;

std::uint32_t positionOf(InFlightId id)
{
    return static_cast<std::uint32_t>(id) - 1;
}

InFlightId idOfEntry(std::uint32_t position, std::uint32_t generation)
{
    return (static_cast<InFlightId>(generation) << 32U) | (position + 1);
}

} // namespace

InFlightTable::InFlightTable(Time now)
    : m_heads(firstBuckets)
    , m_wheel(wheelSteps)
    , m_wheelAt(now / wheelStep)
{
}

std::uint32_t &InFlightTable::headOf(Id serviceId, const wire::CallerPacket &packet)
{
    const auto u = [](std::int64_t n) { return static_cast<std::uint64_t>(n); };
    const std::uint64_t work = (u(packet.request) << 4U) ^ u(packet.kind);
    const std::uint64_t hash = mix(mix(u(serviceId), u(packet.flow)), mix(work, u(packet.offset)));
    return m_heads[hash & (m_heads.size() - 1)];
}

void InFlightTable::linkSame(std::uint32_t position)
{
    InFlight &entry = m_entries[position];
    std::uint32_t &head = headOf(entry.serviceId, entry.packet);
    entry.nextSame = head;
    head = position + 1;
}

void InFlightTable::growBuckets()
{
    m_heads.assign(m_heads.size() * 2, 0);
    for (std::uint32_t position = 0; position < m_entries.size(); ++position) {
        if (m_entries[position].used) {
            linkSame(position);
        }
    }
}

InFlightId InFlightTable::add(InFlight entry)
{
    std::uint32_t position = 0;
    if (m_free.empty()) {
        position = static_cast<std::uint32_t>(m_entries.size());
        m_entries.emplace_back();
    } else {
        position = m_free.back();
        m_free.pop_back();
    }
    InFlight &slot = m_entries[position];
    entry.generation = slot.generation;
    entry.used = true;
    slot = std::move(entry);
    ++m_size;
    if (m_size > m_heads.size()) {
        growBuckets();
    } else {
        linkSame(position);
    }
    const InFlightId id = idOfEntry(position, slot.generation);
    watchDeadline(id, slot.deadline);
    return id;
}

InFlight *InFlightTable::find(InFlightId id)
{
    const std::uint32_t position = positionOf(id);
    if (id == 0 || position >= m_entries.size()) {
        return nullptr;
    }
    InFlight &entry = m_entries[position];
    return entry.used && entry.generation == id >> 32U ? &entry : nullptr;
}

InFlightId InFlightTable::findSame(Id serviceId, const wire::CallerPacket &packet)
{
    for (std::uint32_t at = headOf(serviceId, packet); at != 0; at = m_entries[at - 1].nextSame) {
        const InFlight &it = m_entries[at - 1];
        const bool same = it.serviceId == serviceId && it.packet.flow == packet.flow && it.packet.request == packet.request && it.packet.offset == packet.offset
            && it.packet.kind == packet.kind;
        if (same) {
            return idOfEntry(at - 1, it.generation);
        }
    }
    return 0;
}

void InFlightTable::unlinkSame(std::uint32_t position)
{
    const InFlight &entry = m_entries[position];
    std::uint32_t *link = &headOf(entry.serviceId, entry.packet);
    while (*link != position + 1) {
        link = &m_entries[*link - 1].nextSame;
    }
    *link = entry.nextSame;
}

void InFlightTable::remove(InFlightId id)
{
    InFlight *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    const std::uint32_t position = positionOf(id);
    unlinkSame(position);
    entry->used = false;
    ++entry->generation;
    entry->packet.body.clear();
    m_free.push_back(position);
    --m_size;
}

bool InFlightTable::extend(InFlightId id, Time now)
{
    InFlight *entry = find(id);
    if (entry == nullptr || entry->extended) {
        return false;
    }
    entry->extended = true;
    watchDeadline(id, now + maxDeadline);
    return true;
}

void InFlightTable::watchDeadline(InFlightId id, Time deadline)
{
    m_wheel[static_cast<std::size_t>(deadline / wheelStep + 1) % wheelSteps].push_back(id);
}

std::size_t InFlightTable::size() const
{
    return m_size;
}

void InFlightTable::takeOverdue(Time now, std::vector<InFlightId> &out)
{
    const Time last = now / wheelStep;
    m_wheelAt = std::max(m_wheelAt, last - static_cast<Time>(wheelSteps) + 1);
    for (; m_wheelAt <= last; ++m_wheelAt) {
        std::vector<InFlightId> &ids = m_wheel[static_cast<std::size_t>(m_wheelAt) % wheelSteps];
        for (const InFlightId it : ids) {
            if (find(it) != nullptr) {
                out.push_back(it);
            }
        }
        ids.clear();
    }
}

} // namespace pimentofold
