#include <pimentofold-balancer/inflight.h>

#include <algorithm>
#include <utility>

#include <pimentofold/callerpacket.h>

namespace pimentofold {

namespace {

constexpr Time wheelStep = 10 * millisecond;
// Covers the longest deadline and some turns of a loop that is late.
constexpr std::size_t wheelSteps = static_cast<std::size_t>((maxDeadline + 5 * second) / wheelStep);

std::uint32_t positionOf(InFlightId id)
{
    return static_cast<std::uint32_t>(id) - 1;
}

InFlightId idOfEntry(std::uint32_t position, std::uint32_t generation)
{
    return (static_cast<InFlightId>(generation) << 32U) | (position + 1);
}

} // namespace

InFlightTable::InFlightTable()
    : m_wheel(wheelSteps)
{
}

std::uint64_t InFlightTable::keyHash(Id serviceId, const wire::CallerPacket &packet)
{
    const auto u = [](std::int64_t n) { return static_cast<std::uint64_t>(n); };
    const std::uint64_t work = (u(packet.request) << 4U) ^ u(packet.kind);
    return mix(mix(u(serviceId), u(packet.flow)), mix(work, u(packet.offset)));
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
    std::uint32_t &head = m_byKey[keyHash(entry.serviceId, entry.packet)];
    entry.nextSame = head;
    head = position + 1;
    slot = std::move(entry);
    ++m_size;
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
    const auto head = m_byKey.find(keyHash(serviceId, packet));
    if (head == m_byKey.end()) {
        return 0;
    }
    for (std::uint32_t at = head->second; at != 0; at = m_entries[at - 1].nextSame) {
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
    const auto head = m_byKey.find(keyHash(entry.serviceId, entry.packet));
    std::uint32_t *link = &head->second;
    while (*link != position + 1) {
        link = &m_entries[*link - 1].nextSame;
    }
    *link = entry.nextSame;
    if (head->second == 0) {
        m_byKey.erase(head);
    }
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
