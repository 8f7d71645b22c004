#include <pimentofold-balancer/inflight.h>

#include <algorithm>
#include <utility>

#include <pimentofold/callerpacket.h>

namespace pimentofold {

namespace {

constexpr Time wheelSlotDuration = 10 * millisecond;
// The ring covers the longest deadline and 5 s more, for an event loop that runs late.
constexpr std::size_t wheelSlotCount = static_cast<std::size_t>((maxDeadline + 5 * second) / wheelSlotDuration);
constexpr std::size_t initialBucketCount = 1024;

std::uint32_t positionOf(InFlightId id)
{
    return static_cast<std::uint32_t>(id) - 1;
}

InFlightId makeId(std::uint32_t position, std::uint32_t generation)
{
    return (static_cast<InFlightId>(generation) << 32U) | (position + 1);
}

} // namespace

InFlightTable::InFlightTable(Time now)
    : m_bucketHeads(initialBucketCount)
    , m_timerWheel(wheelSlotCount)
    , m_nextWheelSlot(now / wheelSlotDuration)
{
}

std::uint32_t &InFlightTable::bucketHead(Id serviceId, const wire::CallerPacket &packet)
{
    const auto toUnsigned = [](std::int64_t n) { return static_cast<std::uint64_t>(n); };
    const std::uint64_t work = (toUnsigned(packet.request) << 4U) ^ toUnsigned(packet.kind);
    const std::uint64_t hash = mix(mix(toUnsigned(serviceId), toUnsigned(packet.flow)), mix(work, toUnsigned(packet.offset)));
    return m_bucketHeads[hash & (m_bucketHeads.size() - 1)];
}

void InFlightTable::linkToBucket(std::uint32_t position)
{
    InFlight &entry = m_entries[position];
    std::uint32_t &head = bucketHead(entry.serviceId, entry.packet);
    entry.nextInBucket = head;
    head = position + 1;
}

void InFlightTable::growBuckets()
{
    m_bucketHeads.assign(m_bucketHeads.size() * 2, 0);
    for (std::uint32_t position = 0; position < m_entries.size(); ++position) {
        if (m_entries[position].used) {
            linkToBucket(position);
        }
    }
}

InFlightId InFlightTable::add(InFlight entry)
{
    std::uint32_t position = 0;
    if (m_freePositions.empty()) {
        position = static_cast<std::uint32_t>(m_entries.size());
        m_entries.emplace_back();
    } else {
        position = m_freePositions.back();
        m_freePositions.pop_back();
    }
    InFlight &slot = m_entries[position];
    entry.generation = slot.generation;
    entry.used = true;
    slot = std::move(entry);
    ++m_size;
    if (m_size > m_bucketHeads.size()) {
        growBuckets();
    } else {
        linkToBucket(position);
    }
    const InFlightId id = makeId(position, slot.generation);
    scheduleDeadline(id, slot.deadline);
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

InFlightId InFlightTable::findDuplicate(Id serviceId, const wire::CallerPacket &packet)
{
    for (std::uint32_t at = bucketHead(serviceId, packet); at != 0; at = m_entries[at - 1].nextInBucket) {
        const InFlight &it = m_entries[at - 1];
        const bool same = it.serviceId == serviceId && it.packet.flow == packet.flow && it.packet.request == packet.request && it.packet.offset == packet.offset
            && it.packet.kind == packet.kind;
        if (same) {
            return makeId(at - 1, it.generation);
        }
    }
    return 0;
}

void InFlightTable::unlinkFromBucket(std::uint32_t position)
{
    const InFlight &entry = m_entries[position];
    std::uint32_t *link = &bucketHead(entry.serviceId, entry.packet);
    while (*link != position + 1) {
        link = &m_entries[*link - 1].nextInBucket;
    }
    *link = entry.nextInBucket;
}

void InFlightTable::remove(InFlightId id)
{
    InFlight *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    const std::uint32_t position = positionOf(id);
    unlinkFromBucket(position);
    entry->used = false;
    ++entry->generation;
    entry->packet.body.clear();
    m_freePositions.push_back(position);
    --m_size;
}

bool InFlightTable::extend(InFlightId id, Time now)
{
    InFlight *entry = find(id);
    if (entry == nullptr || entry->deadlineExtended) {
        return false;
    }
    entry->deadlineExtended = true;
    scheduleDeadline(id, now + maxDeadline);
    return true;
}

void InFlightTable::scheduleDeadline(InFlightId id, Time deadline)
{
    m_timerWheel[static_cast<std::size_t>(deadline / wheelSlotDuration + 1) % wheelSlotCount].push_back(id);
}

std::size_t InFlightTable::size() const
{
    return m_size;
}

void InFlightTable::takeOverdue(Time now, std::vector<InFlightId> &out)
{
    const Time last = now / wheelSlotDuration;
    m_nextWheelSlot = std::max(m_nextWheelSlot, last - static_cast<Time>(wheelSlotCount) + 1);
    for (; m_nextWheelSlot <= last; ++m_nextWheelSlot) {
        std::vector<InFlightId> &ids = m_timerWheel[static_cast<std::size_t>(m_nextWheelSlot) % wheelSlotCount];
        for (const InFlightId it : ids) {
            if (find(it) != nullptr) {
                out.push_back(it);
            }
        }
        ids.clear();
    }
}

} // namespace pimentofold
