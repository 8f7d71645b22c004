#include <libstandin/workload.h>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

const WorkOrder example{"foundation", "list", -7, 3, "op-1"};
constexpr std::int64_t exampleTotal = 1003;

} // namespace

// Guards against targets that miss a foreign packet because its body isn't read back as written.
TEST_CASE("an order is read back as written and broken bodies are refused")
{
    const std::optional<WorkOrder> back = parseOrder(formatOrder(example));
    REQUIRE(back);
    CHECK(back->team == example.team);
    CHECK(back->service == example.service);
    CHECK(back->flow == example.flow);
    CHECK(back->request == example.request);
    CHECK(back->operation == example.operation);
    CHECK(parseOrder(formatOrder({"a", "b", 1, 2, ""}))->operation.empty());
    for (const char *body : {"", "order", "order a b 1", "order a b 1 2", "order a b x 2 -", "order a b 1 2 - more", "other a b 1 2 -"}) {
        CAPTURE(body);
        CHECK_FALSE(parseOrder(body));
    }
}

// Guards against a check of answers that can't fail, or that fails when an answer comes in ranges.
TEST_CASE("the parts of an answer make the whole, and only the own whole answer passes")
{
    for (const std::int64_t step : {1, 7, 8, 64, 100, 2000}) {
        std::string whole;
        for (std::int64_t offset = 0; offset < exampleTotal; offset += step) {
            whole += answerPart(example, "t1/5", exampleTotal, offset, step);
        }
        CAPTURE(step);
        CHECK(isAnswerTo(example, whole));
        CHECK(serverOf(whole) == "t1/5");
    }
    const std::string whole = answerPart(example, "t1/5", exampleTotal, 0, exampleTotal);
    CHECK(isAnswerTo(example, answerPart(example, "t2/9", exampleTotal, 0, exampleTotal)));
    CHECK_FALSE(isAnswerTo(example, whole.substr(0, whole.size() - 1)));
    CHECK_FALSE(isAnswerTo({"foundation", "list", -7, 4, ""}, whole));
    CHECK_FALSE(isAnswerTo({"foundation", "list", -8, 3, ""}, whole));
    CHECK_FALSE(isAnswerTo({"shop", "list", -7, 3, ""}, whole));
    std::string altered = whole;
    altered[500] = static_cast<char>(altered[500] ^ 1);
    CHECK_FALSE(isAnswerTo(example, altered));
    CHECK_FALSE(isAnswerTo(example, ""));
}
