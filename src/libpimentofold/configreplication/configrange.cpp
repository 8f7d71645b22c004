#include <pimentofold/configreplication/configrange.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

// Upper bound for field headers, lengths, version and flags of an ObjectWire in Thrift's compact protocol.
constexpr std::size_t objectOverheadBytes = 32;

/// @return whether offset and size of the range are those of a range that rangeOf() makes
bool isRangeInBounds(const wire::ObjectWire &range)
{
    const auto maxTotal = static_cast<std::int64_t>(maxStoredValueBytes);
    if (range.total <= 0 || range.total > maxTotal || range.offset < 0 || range.offset >= range.total) {
        return false;
    }
    const auto size = static_cast<std::int64_t>(range.value.size());
    return range.offset % static_cast<std::int64_t>(rangeBytes) == 0 && size == std::min<std::int64_t>(rangeBytes, range.total - range.offset);
}

RangeTransfer startTransfer(const wire::ObjectWire &range, const std::string &source)
{
    RangeTransfer transfer;
    transfer.object = fromWire(range);
    transfer.object.value.assign(static_cast<std::size_t>(range.total), '\0');
    transfer.sources = {source};
    transfer.received.assign((transfer.object.value.size() + rangeBytes - 1) / rangeBytes, false);
    transfer.missing = transfer.received.size();
    return transfer;
}

/// Finds the transfer that a range belongs to, or starts one.
/// @return null if the range belongs to another version or size of the object, or if maxTransfers is reached
RangeTransfer *transferFor(RangeTransfers &transfers, const wire::ObjectWire &range, const std::string &source)
{
    const ObjectKey key = keyOf(range.head);
    const auto it = transfers.find(key);
    if (it == transfers.end()) {
        return transfers.size() < maxTransfers ? &(transfers[key] = startTransfer(range, source)) : nullptr;
    }
    RangeTransfer &transfer = it->second;
    if (range.head.version > transfer.object.version) {
        transfer = startTransfer(range, source);
    }
    const bool sameObject = range.head.version == transfer.object.version && static_cast<std::size_t>(range.total) == transfer.object.value.size();
    return sameObject ? &transfer : nullptr;
}

} // namespace

std::size_t wireBytes(const ConfigObject &object)
{
    return object.key.kind.size() + object.key.name.size() + object.value.size() + object.changeId.size() + objectOverheadBytes;
}

bool needsRanges(const ConfigObject &object)
{
    return wireBytes(object) > maxWholeObjectBytes;
}

wire::ObjectWire toWire(const ConfigObject &object)
{
    wire::ObjectWire result;
    result.head = headOf(object);
    result.deleted = object.deleted;
    result.value = object.value;
    result.changeId = object.changeId;
    return result;
}

wire::ObjectWire rangeOf(const ConfigObject &object, std::int64_t offset)
{
    wire::ObjectWire result;
    result.head = headOf(object);
    result.deleted = object.deleted;
    result.value = object.value.substr(static_cast<std::size_t>(offset), rangeBytes);
    result.changeId = object.changeId;
    result.__set_offset(offset);
    result.__set_total(static_cast<std::int64_t>(object.value.size()));
    return result;
}

ConfigObject fromWire(const wire::ObjectWire &object)
{
    return {keyOf(object.head), object.head.version, object.deleted, object.value, object.changeId};
}

ConfigObjectPointer storeRange(RangeTransfers &transfers, const wire::ObjectWire &range, const std::string &source, Time now)
{
    RangeTransfer *transfer = isRangeInBounds(range) ? transferFor(transfers, range, source) : nullptr;
    if (transfer == nullptr) {
        return nullptr;
    }
    addSource(*transfer, source);
    const auto offset = static_cast<std::size_t>(range.offset);
    const std::size_t index = offset / rangeBytes;
    transfer->outstanding -= std::min<std::size_t>(transfer->outstanding, 1);
    if (transfer->received[index]) {
        return nullptr;
    }
    transfer->received[index] = true;
    --transfer->missing;
    transfer->object.value.replace(offset, range.value.size(), range.value);
    transfer->lastProgressAt = now;
    transfer->timeouts = 0;
    if (transfer->missing > 0) {
        return nullptr;
    }
    auto object = std::make_shared<const ConfigObject>(std::move(transfer->object));
    transfers.erase(object->key);
    return object;
}

std::vector<wire::ObjectHead> requestRanges(RangeTransfer &transfer)
{
    std::vector<wire::ObjectHead> heads;
    while (transfer.outstanding < rangeWindow && transfer.nextRange < transfer.received.size()) {
        const std::size_t index = transfer.nextRange++;
        if (transfer.received[index]) {
            continue;
        }
        wire::ObjectHead head = headOf(transfer.object);
        head.__set_offset(static_cast<std::int64_t>(index * rangeBytes));
        heads.push_back(std::move(head));
        ++transfer.outstanding;
    }
    return heads;
}

void addSource(RangeTransfer &transfer, const std::string &source)
{
    if (std::ranges::find(transfer.sources, source) == transfer.sources.end() && transfer.sources.size() < maxSources) {
        transfer.sources.push_back(source);
    }
}

void retryFromNextSource(RangeTransfer &transfer, Time now)
{
    std::rotate(transfer.sources.begin(), transfer.sources.begin() + 1, transfer.sources.end());
    transfer.nextRange = 0;
    transfer.outstanding = 0;
    transfer.lastProgressAt = now;
    ++transfer.timeouts;
}

} // namespace pimentofold
