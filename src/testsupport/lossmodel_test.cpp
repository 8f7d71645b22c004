#include <doctest/doctest.h>

#include <algorithm>

#include <testsupport/lossmodel.h>

using namespace pimentofold;
using namespace pimentofold::testsupport;

namespace {

const LossModelOptions together{"requests at the same time"};
const LossModelOptions apart{"requests one after another", {0, 100 * millisecond, 350 * millisecond}};
const LossModelOptions silent{"a silent target, and an unsafe request around the verdict", {0, 0, 520 * millisecond}, 30 * millisecond, true};
const LossModelOptions hanging{"a target that hangs", {0, 50 * millisecond, 400 * millisecond}, never};

LossModelOptions withMoves(LossModelOptions options)
{
    options.movesFlows = true;
    return options;
}

LossModelOptions withDefect(LossModelOptions options, LossDefect defect, int deviations)
{
    options.defect = defect;
    options.maxDeviations = deviations;
    return options;
}

LossModelResult runModel(const LossModelOptions &options)
{
    LossModelResult result = checkLossModel(options);
    MESSAGE(options.name << ": states " << result.states << ", events " << result.transitions << ", runs " << result.runs << ", verdicts " << result.verdicts
                         << ", resets " << result.resets);
    return result;
}

} // namespace

// Guards against resets of living targets' flows and of unsafe requests, silent targets that aren't declared lost, and verdicts
// that come twice or come back, for any two faults at any time.
TEST_CASE("model check: verdict on a lost target")
{
    for (const LossModelOptions &row : {together, apart, silent, hanging}) {
        CAPTURE(row.name);
        const LossModelResult result = runModel(row);
        for (const LossViolation &it : result.violations) {
            FAIL_CHECK(name(it.property) << " doesn't hold:\n" << it.trace);
        }
        CHECK(result.complete);
        CHECK(result.verdicts > 0);
        CHECK(result.resets > 0);
    }
}

// Guards against the same failures while the router moves flows. The next test covers unsafe requests.
TEST_CASE("model check: verdict on a lost target whose flows are moved")
{
    for (const LossModelOptions &row : {withMoves(silent), withMoves(hanging)}) {
        CAPTURE(row.name);
        const LossModelResult result = runModel(row);
        for (const LossViolation &it : result.violations) {
            if (it.property != LossProperty::UnsafeRequestKeepsFlow) {
                FAIL_CHECK(name(it.property) << " doesn't hold:\n" << it.trace);
            }
        }
        CHECK(result.complete);
    }
}

// Guards against the reset of an unsafe request by a node from which the router has moved the flow: that node knows the flow as idle.
// Skipped, since it fails; see KNOWN-RED.txt.
TEST_CASE("model check: unsafe requests on flows that are moved" * doctest::skip())
{
    for (const LossViolation &it : runModel(withMoves(hanging)).violations) {
        if (it.property == LossProperty::UnsafeRequestKeepsFlow) {
            FAIL_CHECK(name(it.property) << " doesn't hold:\n" << it.trace);
        }
    }
}

// Guards against a check that finds nothing: each defect has to break its property.
TEST_CASE("model check: seeded defects are found")
{
    struct Row {
        LossModelOptions options;
        LossProperty broken;
    };
    const Row rows[] = {
        {withDefect(hanging, LossDefect::OneReport, 1), LossProperty::LivingTargetKeepsFlows},
        {withDefect(silent, LossDefect::UnsafeAsSafe, 0), LossProperty::UnsafeRequestKeepsFlow},
        {withDefect(silent, LossDefect::ManyPoints, 0), LossProperty::SilentTargetIsLost},
        {withDefect(silent, LossDefect::ForgetsVerdict, 0), LossProperty::OneVerdict},
        {withDefect(silent, LossDefect::StaleVerdicts, 2), LossProperty::NoEarlierVerdict},
    };
    for (const Row &row : rows) {
        CAPTURE(name(row.broken));
        const LossModelResult result = runModel(row.options);
        const auto found = std::ranges::find(result.violations, row.broken, &LossViolation::property);
        REQUIRE(found != result.violations.end());
        MESSAGE(found->trace);
        CHECK(found->deviations == row.options.maxDeviations);
    }
}
