#include <pimentofold-measure/floodmodel.h>

#include <memory>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

/// Runs an invoice flood of ten times the capacity.
/// @return request numbers that ran although their caller was told NotRun
std::int64_t falseRefusals(std::uint64_t seed, bool defect)
{
    const auto model = std::make_unique<FloodModel>();
    setUpFlood(*model, Protection::InForce, seed);
    model->refusesAnyCopy = defect;
    addArrivals(*model, 1, 10 * model->services[1].capacity, 0, 3 * second);
    addExpiry(*model, 8 * second);
    runUntil(model->sim, 9 * second);
    return model->falseNotRun;
}

} // namespace

// Guards against a refusal of one copy of a request while another copy runs; the deliberate defect refuses
// retransmissions where the request came in.
TEST_CASE("under a flood a request that was refused has not run and doesn't run later")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        CHECK(falseRefusals(seed, false) == 0);
    }
    CHECK(falseRefusals(1, true) > 0);
}
