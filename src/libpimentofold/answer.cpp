#include <pimentofold/answer.h>

#include <algorithm>

namespace pimentofold {

namespace {

void startAssembly(AnswerAssembly &assembly, std::int64_t total, std::int64_t entityTag)
{
    assembly.started = true;
    assembly.total = total;
    assembly.entityTag = entityTag;
    assembly.bytes.assign(static_cast<std::size_t>(total), '\0');
    assembly.filled.clear();
}

/// Adds [begin, end) to the received ranges and merges adjacent and overlapping ones.
/// @return true when at least one byte is new
bool markFilled(std::map<std::int64_t, std::int64_t> &filled, std::int64_t begin, std::int64_t end)
{
    auto it = filled.upper_bound(begin);
    if (it != filled.begin() && std::prev(it)->second >= begin) {
        --it;
    }
    if (it != filled.end() && it->first <= begin && it->second >= end) {
        return false;
    }
    while (it != filled.end() && it->first <= end) {
        begin = std::min(begin, it->first);
        end = std::max(end, it->second);
        it = filled.erase(it);
    }
    filled[begin] = end;
    return true;
}

void appendRanges(std::vector<MissingRange> &out, std::int64_t begin, std::int64_t end, std::int64_t maxRange)
{
    for (std::int64_t at = begin; at < end; at += maxRange) {
        out.push_back({at, std::min(maxRange, end - at)});
    }
}

} // namespace

std::size_t clampedLimit(std::int64_t limit)
{
    if (limit <= 0) {
        return maxPartBytes;
    }
    return std::min(static_cast<std::size_t>(limit), maxRangeBytes);
}

std::vector<AnswerPart> splitAnswer(std::string_view range, std::int64_t offset)
{
    std::vector<AnswerPart> parts;
    parts.reserve(range.size() / maxPartBytes + 1);
    do {
        const std::string_view body = range.substr(0, maxPartBytes);
        parts.push_back({offset, body});
        range.remove_prefix(body.size());
        offset += static_cast<std::int64_t>(body.size());
    } while (!range.empty());
    return parts;
}

PartResult addPart(AnswerAssembly &assembly, std::int64_t offset, std::int64_t total, std::int64_t entityTag, std::string_view body, std::int64_t maxTotal)
{
    const auto length = static_cast<std::int64_t>(body.size());
    if (total < 0 || total > maxTotal || offset < 0 || offset > total || length > total - offset) {
        return PartResult::Invalid;
    }
    const bool changed = assembly.started && (assembly.entityTag != entityTag || assembly.total != total);
    if (!assembly.started || changed) {
        startAssembly(assembly, total, entityTag);
    }
    bool added = false;
    if (length > 0) {
        added = markFilled(assembly.filled, offset, offset + length);
        std::copy(body.begin(), body.end(), assembly.bytes.begin() + static_cast<std::ptrdiff_t>(offset));
    }
    if (changed) {
        return PartResult::Restarted;
    }
    return added || total == 0 ? PartResult::Added : PartResult::Duplicate;
}

bool isComplete(const AnswerAssembly &assembly)
{
    if (!assembly.started) {
        return false;
    }
    return assembly.total == 0 || (assembly.filled.size() == 1 && assembly.filled.begin()->first == 0 && assembly.filled.begin()->second == assembly.total);
}

std::vector<MissingRange> missingRanges(const AnswerAssembly &assembly, std::int64_t maxRange)
{
    if (!assembly.started) {
        return {{0, maxRange}};
    }
    std::vector<MissingRange> out;
    std::int64_t at = 0;
    for (const auto &[begin, end] : assembly.filled) {
        appendRanges(out, at, begin, maxRange);
        at = end;
    }
    appendRanges(out, at, assembly.total, maxRange);
    return out;
}

} // namespace pimentofold
