#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Transfer of long answers: the balancer splits an answer into parts of one datagram each, and the caller reassembles them and
/// asks again for missing ranges. The balancer keeps no state for it.
namespace pimentofold {

/// Most bytes of an answer in one datagram. The rest of the datagram is for headers and a new token.
constexpr std::size_t maxPartBytes = 1'200;
/// Most bytes of an answer that one request can ask for.
constexpr std::size_t maxRangeBytes = 32 << 10;

/// Limits the number of bytes that a request asks for.
/// @param limit field of the request; 0 or less for as many bytes as fit in one datagram
/// @return bytes to request from the target, at most maxRangeBytes
std::size_t clampedLimit(std::int64_t limit);

/// One part of an answer.
struct AnswerPart {
    std::int64_t offset = 0; ///< position of the first byte in the whole answer
    std::string_view body;
};

/// Splits a range of an answer into parts of at most maxPartBytes. An empty range results in one empty part.
/// @param range bytes of the answer; the returned parts point into it
/// @param offset position of the range in the whole answer
std::vector<AnswerPart> splitAnswer(std::string_view range, std::int64_t offset);

/// A range of an answer that hasn't been received.
struct MissingRange {
    std::int64_t offset = 0;
    std::int64_t length = 0;

    friend bool operator==(const MissingRange &, const MissingRange &) = default;
};

/// An answer that is being reassembled from parts.
struct AnswerAssembly {
    bool started = false; ///< a part has been received, so that total and entityTag are known
    std::int64_t total = 0; ///< length of the whole answer in bytes
    std::int64_t entityTag = 0; ///< identifies the version of the content; parts with different tags don't belong together
    std::string bytes; ///< the answer; bytes that haven't been received are 0
    std::map<std::int64_t, std::int64_t> filled; ///< disjoint ranges that have been received: begin to end (exclusive)
};

enum class PartResult {
    Added,
    Duplicate, ///< all bytes of the part had been received before
    Restarted, ///< the content has changed: earlier parts were discarded, and this part is the first of the new content
    Invalid, ///< the part lies outside of the answer, or the answer is longer than the caller accepts
};

/// Adds a received part to an answer.
/// @param assembly changed unless the part is invalid
/// @param offset position of the part in the whole answer
/// @param total length of the whole answer in bytes
/// @param entityTag tag of the content from which the part comes
/// @param body bytes of the part
/// @param maxTotal longest answer that the caller accepts, in bytes
PartResult addPart(AnswerAssembly &assembly, std::int64_t offset, std::int64_t total, std::int64_t entityTag, std::string_view body, std::int64_t maxTotal);

/// @return true when all bytes have been received
bool isComplete(const AnswerAssembly &assembly);

/// Lists the ranges to request next.
/// @param maxRange length of the longest range in bytes; longer gaps are divided
/// @return ranges in ascending order; before the first part one range of @p maxRange bytes from 0, since the length is unknown
std::vector<MissingRange> missingRanges(const AnswerAssembly &assembly, std::int64_t maxRange = maxRangeBytes);

} // namespace pimentofold
