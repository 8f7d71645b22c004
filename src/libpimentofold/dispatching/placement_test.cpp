#include <doctest/doctest.h>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/edgecodec.h>
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
        target.drainBeganAfter = target.drainingSince;
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

// Guards against flows on draining targets after their drain time: a node that learns late of a drain, since the leader was cut off from
// the store, used them as a last resort for a second more (review case 8).
TEST_CASE("placement: a draining target is a last resort only shortly after the store may have taken its entry")
{
    struct Row {
        std::optional<Time> drainingFor; ///< as told by the node that has read the store
        Time age; ///< since this node has learned of it
        bool used;
    };
    const Row rows[] = {
        {100 * millisecond, 0, true},
        {100 * millisecond, 800 * millisecond, true},
        {100 * millisecond, second, false},
        {2400 * millisecond, 0, false},
        {second, 0, false},
        {std::nullopt, 0, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.age);
        EdgeForwarder leader = makeForwarder(1, 0);
        TargetRecord record = makeTarget(1, 50);
        record.state = TargetState::Draining;
        record.drainingFor = row.drainingFor;
        applyTarget(leader.table, record, now);
        // The leader's changes tell the other nodes how old the entry may be.
        const StoreChanges changes = changesSince(leader.table, {10, 10}, 10, {50, 50}, now + 30 * millisecond);
        REQUIRE(changes.targets.size() == 1);
        EdgeForwarder follower = makeForwarder(1, 0);
        ChangesAssembler assembler;
        const std::optional<StoreChanges> received = addPart(assembler, 1, toWire(changes).front());
        REQUIRE(received);
        applyTarget(follower.table, received->targets.front(), now + 30 * millisecond);
        for (EdgeForwarder *it : {&leader, &follower}) {
            PlacementSettings settings;
            const PlacementQuery query{*findRoute(it->table, shopAddress), {}, "dc1"};
            Random random{1};
            CHECK((choosePlacementTarget(it->table, settings, query, now + row.age, random) != nullptr) == row.used);
        }
    }
}
