#include <doctest/doctest.h>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/placement.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Time now = 10 * minute;

/// Gives each target a random owner, load and state.
void randomize(EdgeForwarder &forwarder, Random &random)
{
    TargetTable &table = forwarder.table;
    for (auto &[id, target] : table.targets) {
        setOwner(table, target, below(random, 3) == 0 ? 0 : 7);
        target.record.dataCentre = below(random, 3) == 0 ? "dc2" : "dc1";
        target.record.state = below(random, 6) == 0 ? TargetState::Draining : TargetState::Ready;
        target.drainingSince = target.record.state == TargetState::Draining ? now - static_cast<Time>(below(random, 2 * second)) : never;
        target.workingFlows = static_cast<int>(below(random, 7));
        target.lastFlowAt = static_cast<Time>(below(random, 3));
        target.unansweredOpenings = below(random, 4) == 0 ? 3 : 0;
        target.nextProbeAt = below(random, 2) == 0 ? now + second : 0;
        target.record.warmup = below(random, 4) == 0 ? second : 0;
        target.warmupEndsAt = target.record.warmup > 0 ? now + second : 0;
        if (target.owner == 0 && below(random, 2) == 0) {
            table.slowStart.budgets[id] = {now - minute, never, {}};
        }
    }
}

} // namespace

// Guards against another choice of targets when the owned ones are looked at first: for suspected, draining, cold, tried and busy
// targets of both kinds of owners, the result must be that of a walk over all targets.
TEST_CASE("placement: the same target whether or not the owned ones are looked at first")
{
    Random random{1};
    int chosen = 0;
    for (int n = 0; n < 5'000; ++n) {
        CAPTURE(n);
        EdgeForwarder forwarder = makeForwarder(1 + static_cast<int>(below(random, 8)), 0);
        TargetTable &table = forwarder.table;
        table.slowStart.settings.enabled = below(random, 2) == 0;
        table.slowStart.services["shop"] = {"shop", minute, 4};
        table.slowStart.majority = true;
        randomize(forwarder, random);
        table.evacuations.dataCentres = below(random, 4) == 0 ? std::set<std::string, std::less<>>{"dc2"} : std::set<std::string, std::less<>>{};
        PlacementSettings settings;
        settings.maxLocalAttempts = static_cast<int>(below(random, 3));
        const std::vector<std::uint64_t> tried{1 + below(random, 8)};
        const PlacementQuery query{*findRoute(table, shopAddress), tried, "dc1", below(random, 4) != 0, 2, 1 + static_cast<int>(below(random, 4))};
        Random drawn{7};
        const EdgeTarget *target = choosePlacementTarget(table, settings, query, now, drawn);
        table.ownedTargets.clear();
        Random sameDrawn{7};
        CHECK(choosePlacementTarget(table, settings, query, now, sameDrawn) == target);
        chosen += target != nullptr ? 1 : 0;
    }
    CHECK(chosen > 3'000);
}
