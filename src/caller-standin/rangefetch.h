#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// Fetching an answer range by range and putting its parts together.
namespace pimentofold {

/// Progress of one answer.
struct RangeFetch {
    std::int64_t total = -1; ///< length of the whole answer; -1 until a part has come
    std::int64_t entityTag = 0;
    std::string bytes;
    std::map<std::int64_t, std::int64_t> missing; ///< gaps, from their first byte to the byte behind them
    std::int64_t wantedOffset = 0; ///< the range that was asked for
    std::int64_t wantedEnd = 0;
};

/// Takes a part. Parts with another entity tag or length start the answer over.
/// @return false when the part can't belong to an answer, for example beyond its end
bool takePart(RangeFetch &fetch, std::int64_t offset, std::int64_t total, std::int64_t entityTag, std::string_view body);

/// @return whether all bytes are there
bool isComplete(const RangeFetch &fetch);

/// @return how many bytes from the start of the answer are there without a gap
std::int64_t leadingBytes(const RangeFetch &fetch);

/// @return whether all bytes of the range that was asked for are there
bool hasWantedRange(const RangeFetch &fetch);

/// Chooses the next range: the first gap, up to @p rangeBytes.
/// @param rangeBytes most bytes to ask for; 0: one datagram
void wantNextRange(RangeFetch &fetch, std::int64_t rangeBytes);

} // namespace pimentofold
