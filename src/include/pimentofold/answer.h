#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Answers in parts: splitting on the balancer, reassembly on the caller. Balancers keep no state for it.
namespace pimentofold {

/// Most bytes of an answer in one datagram; leaves room for headers and a fresh token.
constexpr std::size_t maxPartBytes = 1'200;
/// Most bytes of an answer that one request may ask for.
constexpr std::size_t maxRangeBytes = 32 << 10;

/// @param limit from a request; 0 or less asks for one datagram
/// @return bytes to ask the target for, at most maxRangeBytes
std::size_t clampedLimit(std::int64_t limit);

/// One part of a range.
struct AnswerPart {
    std::int64_t offset = 0; ///< of the part within the whole answer
    std::string_view body;
};

/// Splits a range into parts of at most maxPartBytes. An empty range gives one empty part.
/// @param range bytes of the answer from @p offset; the parts point into it
std::vector<AnswerPart> splitAnswer(std::string_view range, std::int64_t offset);

/// A part of an answer that is still missing.
struct MissingRange {
    std::int64_t offset = 0;
    std::int64_t length = 0;

    friend bool operator==(const MissingRange &, const MissingRange &) = default;
};

/// An answer that is being put together from parts.
struct AnswerAssembly {
    bool started = false; ///< a part has come, so that total and tag are known
    std::int64_t total = 0;
    std::int64_t entityTag = 0;
    std::string bytes;
    std::map<std::int64_t, std::int64_t> filled; ///< start and end of disjoint ranges that have come
};

enum class PartResult {
    Added,
    Duplicate, ///< all bytes had come already
    StartedOver, ///< the content has changed: earlier parts were discarded and this one is the first
    Invalid, ///< outside the answer, or longer than the caller allows
};

/// Adds a part.
/// @param maxTotal longest answer that the caller takes, in bytes
PartResult addPart(AnswerAssembly &assembly, std::int64_t offset, std::int64_t total, std::int64_t entityTag, std::string_view body, std::int64_t maxTotal);

/// @return whether all bytes have come
bool isComplete(const AnswerAssembly &assembly);

/// @param maxRange longest range, in bytes; longer gaps are divided
/// @return what to ask for next, in order; one range from 0 when nothing has come yet
std::vector<MissingRange> missingRanges(const AnswerAssembly &assembly, std::int64_t maxRange = maxRangeBytes);

} // namespace pimentofold
