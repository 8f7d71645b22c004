#include <pimentofold/answer.h>

#include <algorithm>

#include <doctest/doctest.h>

#include <pimentofold/random.h>

using namespace pimentofold;

namespace {

std::string contentOf(std::size_t size, char seed)
{
    std::string content(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
        content[i] = static_cast<char>(seed + static_cast<char>(i % 61) + static_cast<char>(i / 977));
    }
    return content;
}

PartResult add(AnswerAssembly &assembly, const std::string &content, const AnswerPart &part, std::int64_t tag)
{
    return addPart(assembly, part.offset, static_cast<std::int64_t>(content.size()), tag, part.body, 1 << 20);
}

} // namespace

// Guards against missing, duplicated or misplaced bytes when parts are lost, duplicated or reordered.
TEST_CASE("an answer is complete after losses, duplicates and reordering")
{
    Random random{1};
    for (const std::size_t size : {0, 1, 1199, 1200, 1201, 32768, 300'000}) {
        CAPTURE(size);
        const std::string content = contentOf(size, 'a');
        AnswerAssembly assembly;
        for (int round = 0; !isComplete(assembly); ++round) {
            REQUIRE(round < 1000);
            const MissingRange range = missingRanges(assembly)[0];
            std::vector<AnswerPart> parts =
                splitAnswer(std::string_view(content).substr(static_cast<std::size_t>(range.offset), static_cast<std::size_t>(range.length)), range.offset);
            for (std::size_t i = parts.size(); i > 1; --i) {
                std::swap(parts[i - 1], parts[below(random, i)]);
            }
            for (const AnswerPart &it : parts) {
                CHECK(it.body.size() <= maxPartBytes);
                for (int copies = static_cast<int>(below(random, 3)); copies > 0; --copies) {
                    CHECK(add(assembly, content, it, 1) != PartResult::Invalid);
                }
            }
        }
        CHECK(assembly.bytes == content);
        CHECK(missingRanges(assembly).empty());
    }
}

// Guards against an answer that mixes two versions of the content, and against parts that write outside of the answer.
TEST_CASE("a changed entity tag restarts the assembly and invalid parts are refused")
{
    const std::string first = contentOf(5000, 'a');
    const std::string second = contentOf(5000, 'q');
    AnswerAssembly assembly;
    CHECK(add(assembly, first, splitAnswer(first, 0)[0], 1) == PartResult::Added);
    CHECK(add(assembly, first, splitAnswer(first, 0)[0], 1) == PartResult::Duplicate);
    CHECK(add(assembly, second, splitAnswer(second, 0)[2], 2) == PartResult::Restarted);
    CHECK(missingRanges(assembly) == std::vector<MissingRange>{{0, 2400}, {3600, 1400}});
    for (const AnswerPart &it : splitAnswer(second, 0)) {
        add(assembly, second, it, 2);
    }
    CHECK(assembly.bytes == second);
    struct Case {
        std::int64_t offset;
        std::int64_t total;
    };
    for (const Case &it : {Case{-1, 5000}, Case{4999, 5000}, Case{5001, 5000}, Case{0, -1}, Case{0, 1 << 21}, Case{INT64_MAX, INT64_MAX}}) {
        CHECK(addPart(assembly, it.offset, it.total, 2, "ab", 1 << 20) == PartResult::Invalid);
    }
    CHECK(assembly.bytes == second);
}

TEST_CASE("the limit of a request is bounded")
{
    CHECK(clampedLimit(0) == maxPartBytes);
    CHECK(clampedLimit(-5) == maxPartBytes);
    CHECK(clampedLimit(500) == 500);
    CHECK(clampedLimit(INT64_MAX) == maxRangeBytes);
}
