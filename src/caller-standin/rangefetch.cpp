#include <caller-standin/rangefetch.h>

#include <algorithm>

namespace pimentofold {

namespace {

// A limit on what a wrong total can make a caller allocate.
constexpr std::int64_t maxTotalBytes = 16 << 20;

void fill(std::map<std::int64_t, std::int64_t> &missing, std::int64_t first, std::int64_t end)
{
    auto it = missing.upper_bound(first);
    if (it != missing.begin()) {
        --it;
    }
    while (it != missing.end() && it->first < end) {
        const auto [gapFirst, gapEnd] = *it;
        if (gapEnd <= first) {
            ++it;
            continue;
        }
        it = missing.erase(it);
        if (gapFirst < first) {
            missing[gapFirst] = first;
        }
        if (gapEnd > end) {
            missing[end] = gapEnd;
        }
    }
}

} // namespace

bool takePart(RangeFetch &fetch, std::int64_t offset, std::int64_t total, std::int64_t entityTag, std::string_view body)
{
    const auto size = static_cast<std::int64_t>(body.size());
    if (total < 0 || total > maxTotalBytes || offset < 0 || offset > total || size > total - offset) {
        return false;
    }
    if (fetch.total != total || fetch.entityTag != entityTag) {
        fetch.total = total;
        fetch.entityTag = entityTag;
        fetch.bytes.assign(static_cast<std::size_t>(total), '\0');
        fetch.missing.clear();
        if (total > 0) {
            fetch.missing[0] = total;
        }
    }
    fetch.bytes.replace(static_cast<std::size_t>(offset), body.size(), body);
    fill(fetch.missing, offset, offset + size);
    return true;
}

bool isComplete(const RangeFetch &fetch)
{
    return fetch.total >= 0 && fetch.missing.empty();
}

std::int64_t leadingBytes(const RangeFetch &fetch)
{
    return fetch.missing.empty() ? std::max<std::int64_t>(fetch.total, 0) : fetch.missing.begin()->first;
}

bool hasWantedRange(const RangeFetch &fetch)
{
    const auto it = fetch.missing.lower_bound(fetch.wantedOffset);
    return fetch.total >= 0 && (it == fetch.missing.end() || it->first >= fetch.wantedEnd);
}

void wantNextRange(RangeFetch &fetch, std::int64_t rangeBytes)
{
    const auto gap = fetch.missing.begin();
    fetch.wantedOffset = gap == fetch.missing.end() ? 0 : gap->first;
    const std::int64_t gapEnd = gap == fetch.missing.end() ? rangeBytes : gap->second;
    // One datagram is wanted: its length is the balancer's choice, so that any byte of it completes the range.
    const std::int64_t length = std::max<std::int64_t>(rangeBytes, 1);
    fetch.wantedEnd = std::min(gapEnd, fetch.wantedOffset + length);
}

} // namespace pimentofold
