#include <pimentofold-measure/slope.h>

#include <doctest/doctest.h>

using namespace pimentofold;

// Guards against figures on the capacity page that don't follow from the measured points.
TEST_CASE("a line through points has their slope and says how far they are from it")
{
    struct Case {
        std::vector<SlopePoint> points;
        double intercept;
        double slope;
        double error;
    };
    const Case cases[] = {
        {{{1, 3}, {2, 5}, {3, 7}}, 1, 2, 0},
        {{{0, 0}, {1, 0}, {2, 0}}, 0, 0, 0},
        {{{0, 0}, {1, 4}, {2, 2}}, 1, 1, 0.5},
    };
    for (const Case &it : cases) {
        const LineFit fit = fitLine(it.points);
        CHECK(fit.intercept == doctest::Approx(it.intercept));
        CHECK(fit.slope == doctest::Approx(it.slope));
        CHECK(fit.error == doctest::Approx(it.error));
    }
    CHECK_THROWS_AS(fitLine({{1, 1}, {1, 2}}), std::invalid_argument);
}

TEST_CASE("a slope needs three sizes")
{
    const auto twice = [](double x) { return 2 * x; };
    CHECK(measureSlope("a", "b", "c", {1, 2, 3}, twice).fit.slope == doctest::Approx(2));
    CHECK_THROWS_AS(measureSlope("a", "b", "c", {1, 2}, twice), std::invalid_argument);
}
