#pragma once

#include <cstdint>
#include <string_view>

#include <pimentofold/answer.h>

/// Fetching an answer range by range.
namespace pimentofold {

/// Progress of one answer.
struct RangeFetch {
    AnswerAssembly assembly;
    std::int64_t wantedOffset = 0; ///< the range that was asked for
    std::int64_t wantedEnd = 0;
};

/// @return how many bytes from the start of the answer are there without a gap
std::int64_t leadingBytes(const RangeFetch &fetch);

/// @return whether all bytes of the range that was asked for are there
bool hasWantedRange(const RangeFetch &fetch);

/// Chooses the next range: the first gap, up to @p rangeBytes.
/// @param rangeBytes most bytes to ask for; 0: one datagram
void wantNextRange(RangeFetch &fetch, std::int64_t rangeBytes);

} // namespace pimentofold
