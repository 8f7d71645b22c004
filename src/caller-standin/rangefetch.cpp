#include <caller-standin/rangefetch.h>

#include <algorithm>
#include <iterator>

namespace pimentofold {

std::int64_t leadingBytes(const RangeFetch &fetch)
{
    const auto first = fetch.assembly.filled.begin();
    return first == fetch.assembly.filled.end() || first->first > 0 ? 0 : first->second;
}

bool hasWantedRange(const RangeFetch &fetch)
{
    const auto behind = fetch.assembly.filled.upper_bound(fetch.wantedOffset);
    if (!fetch.assembly.started || behind == fetch.assembly.filled.begin()) {
        return false;
    }
    return std::prev(behind)->second >= std::min(fetch.wantedEnd, fetch.assembly.total);
}

void wantNextRange(RangeFetch &fetch, std::int64_t rangeBytes)
{
    // One datagram is wanted: its length is the balancer's choice, so that any byte of it completes the range.
    const std::vector<MissingRange> missing = missingRanges(fetch.assembly, std::max<std::int64_t>(rangeBytes, 1));
    if (!missing.empty()) {
        fetch.wantedOffset = missing.front().offset;
        fetch.wantedEnd = missing.front().offset + missing.front().length;
    }
}

} // namespace pimentofold
