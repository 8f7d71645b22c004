#include <doctest/doctest.h>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/replication/storereplication.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

// Guards against an older configuration replacing a newer one.
TEST_CASE("older configurations are ignored")
{
    TargetTable table;
    CHECK(applyConfig(table, makeConfig(5, {makeRoute(shopAddress, "shop")})));
    CHECK_FALSE(applyConfig(table, makeConfig(4, {})));
    CHECK_FALSE(applyConfig(table, makeConfig(5, {})));
    REQUIRE(findRoute(table, shopAddress) != nullptr);
    CHECK(applyConfig(table, makeConfig(6, {makeRoute(otherAddress, "other")})));
    CHECK(findRoute(table, shopAddress) == nullptr);
    REQUIRE(findRoute(table, otherAddress) != nullptr);
    // A delta from a later version than the one in force would skip changes.
    CHECK_FALSE(applyConfigChange(table, 7, makeConfig(8, {}), {}));
    CHECK(applyConfigChange(table, 6, makeConfig(8, {makeRoute(shopAddress, "shop")}), {otherAddress}));
    CHECK(findRoute(table, shopAddress) != nullptr);
    CHECK(findRoute(table, otherAddress) == nullptr);
    CHECK(table.configRevision == 8);
}

// Guards against a route that goes out of force because of an invalid field in its next version.
TEST_CASE("a route that a new configuration holds in unreadable form stays in force")
{
    struct Row {
        std::vector<std::string> unreadable;
        bool stays;
    };
    const Row rows[] = {
        {{}, false},
        {{"r-shop"}, true},
        {{toString(shopAddress)}, true},
        {{"r-other", toString(otherAddress)}, false},
    };
    for (const Row &row : rows) {
        TargetTable table;
        applyConfig(table, makeConfig(5, {makeRoute(shopAddress, "shop")}));
        EdgeConfig changed = makeConfig(6, {makeRoute(otherAddress, "other")});
        changed.unreadableRoutes = row.unreadable;
        CHECK(applyConfig(table, changed));
        CHECK((findRoute(table, shopAddress) != nullptr) == row.stays);
        CHECK(findRoute(table, otherAddress) != nullptr);
    }
}

// Guards against target entries that arrive late or twice, and against targets that reuse an id or an address.
TEST_CASE("target entries are applied in the order of their revisions")
{
    TargetTable table;
    CHECK(applyTarget(table, makeTarget(1, 5), 0));
    CHECK_FALSE(applyTarget(table, makeTarget(1, 5), 0));
    CHECK_FALSE(applyTarget(table, makeTarget(1, 4), 0));
    TargetRecord draining = makeTarget(1, 6);
    draining.state = TargetState::Draining;
    CHECK(applyTarget(table, draining, second));
    CHECK_FALSE(acceptsNewFlows(*findTarget(table, 1), second));
    CHECK(findTarget(table, 1)->drainingSince == second);
    CHECK_FALSE(removeTarget(table, 1, 5, 2 * second));
    CHECK(removeTarget(table, 1, 7, 2 * second));
    CHECK_FALSE(applyTarget(table, makeTarget(1, 7), 2 * second));
    CHECK_FALSE(acceptsNewFlows(*findTarget(table, 1), 2 * second));

    SUBCASE("a new incarnation starts without the observations of the old one")
    {
        findTarget(table, 1)->unansweredOpenings = 5;
        TargetRecord restarted = makeTarget(1, 8);
        restarted.startedAt = 2;
        CHECK(applyTarget(table, restarted, 3 * second));
        CHECK(findTarget(table, 1)->unansweredOpenings == 0);
        CHECK(acceptsNewFlows(*findTarget(table, 1), 3 * second));
    }
    SUBCASE("a target that starts again with another service is listed under the new service only")
    {
        TargetRecord restarted = makeTarget(1, 8, "other");
        restarted.startedAt = 2;
        CHECK(applyTarget(table, restarted, 3 * second));
        CHECK(findTarget(table, 1)->registered);
        CHECK_FALSE(table.services.contains("shop"));
        CHECK(table.services.at("other") == std::vector<std::uint64_t>{1});
    }
    SUBCASE("a removed target is deleted with its token after the retention time")
    {
        const FlowToken token = tokenOf(1);
        CHECK(findTargetByToken(table, token, nullptr) != nullptr);
        purgeRemovedTargets(table, 2 * second + removedTargetRetention);
        CHECK(findTargetByToken(table, token, nullptr) == nullptr);
        CHECK(table.services.empty());
        CHECK(table.targetHistoryStart == 7);
    }
}

// Guards against flows of one service that are sent to a target of another one, because another writer has replaced the target's
// entry. The target's own next entry has to be accepted again, here and at peers that receive the changes.
TEST_CASE("an entry with another service for the same start of a target names no target")
{
    struct Row {
        std::int64_t startedAt; ///< of the other writer's entry; the target's own start is 1
        bool refused;
    };
    for (const Row &row : {Row{1, true}, Row{0, true}, Row{2, false}}) {
        CAPTURE(row.startedAt);
        TargetTable table;
        applyTarget(table, makeTarget(1, 5), 0);
        setTargetHistoryStart(table, 5);
        TargetRecord foreign = makeTarget(1, 6, "other");
        foreign.startedAt = row.startedAt;
        CHECK(contradictsService(table, foreign) == row.refused);
        CHECK(applyTarget(table, foreign, second));
        CHECK(findTarget(table, 1)->registered == !row.refused);
        CHECK(table.services.contains("other") == !row.refused);
        if (!row.refused) {
            continue;
        }
        const StoreChanges changes = changesSince(table, {1, 5}, 1, {1, 6}, second);
        CHECK(changes.targets.empty());
        REQUIRE(changes.removedTargets.size() == 1);
        CHECK(changes.removedTargets[0].revision == 6);
        CHECK_FALSE(applyTarget(table, makeTarget(1, 6), second));
        CHECK(applyTarget(table, makeTarget(1, 7), 2 * second));
        CHECK(acceptsNewFlows(*findTarget(table, 1), 2 * second));
        CHECK(findTarget(table, 1)->record.service == "shop");
    }
}

// Guards against a target whose own entries are refused until this node restarts, since another writer's entry was the first one here,
// and against other writers that take a target over.
TEST_CASE("the service of a target is the one of the entries that the target renews")
{
    struct Entry {
        std::string service;
        std::int64_t sequence; ///< 0: from another node
        std::string known; ///< service that is known afterwards
        bool registered;
    };
    struct Row {
        std::string pattern;
        std::vector<Entry> entries;
    };
    const Row rows[] = {
        {"the first entry is wrong", {{"other", 4, "other", true}, {"shop", 5, "other", false}, {"shop", 6, "shop", true}, {"other", 7, "shop", false}}},
        {"the same at a node that hears of entries from the others", {{"other", 0, "other", true}, {"shop", 0, "other", false}, {"shop", 0, "shop", true}}},
        {"another writer repeats a copy", {{"shop", 4, "shop", true}, {"other", 4, "shop", false}, {"other", 4, "shop", false}, {"shop", 5, "shop", true}}},
        {"the target's own entry comes in between",
         {{"shop", 4, "shop", true}, {"other", 5, "shop", false}, {"shop", 6, "shop", true}, {"other", 7, "shop", false}}},
        {"another writer goes on counting",
         {{"shop", 4, "shop", true}, {"shop", 5, "shop", true}, {"other", 6, "shop", false}, {"other", 7, "shop", false}, {"shop", 6, "shop", true}}},
        {"a third service",
         {{"other", 4, "other", true}, {"shop", 5, "other", false}, {"third", 6, "other", false}, {"shop", 6, "other", false}, {"shop", 7, "shop", true}}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        TargetTable table;
        std::int64_t revision = 10;
        for (const Entry &it : row.entries) {
            CAPTURE(revision);
            TargetRecord record = makeTarget(1, ++revision, it.service);
            record.sequence = it.sequence;
            applyTarget(table, record, second);
            const EdgeTarget &target = *findTarget(table, 1);
            CHECK(target.record.service == it.known);
            CHECK(target.registered == it.registered);
            CHECK(table.services.size() == 1);
            CHECK(table.services.contains(it.known));
        }
    }
}

// Guards against a service losing targets that still run: their entries may expire during an outage of the store.
TEST_CASE("a target whose entry expires stays in use for the grace period if it answers")
{
    TargetTable table;
    applyTarget(table, makeTarget(1, 5), 0);
    applyTarget(table, makeTarget(2, 6), 0);
    findTarget(table, 1)->lastAnswerAt = 10 * second;
    removeTarget(table, 1, 7, 10 * second);
    removeTarget(table, 2, 8, 10 * second);
    CHECK(acceptsNewFlows(*findTarget(table, 1), 11 * second));
    CHECK_FALSE(acceptsNewFlows(*findTarget(table, 2), 11 * second));
    CHECK_FALSE(acceptsNewFlows(*findTarget(table, 1), 10 * second + expiredEntryGracePeriod));
}

// Guards against forwarding a packet to a target of another service when two target ids have the same token.
TEST_CASE("among targets with the same token the one of the route's service is found")
{
    TargetTable table;
    applyTarget(table, makeTarget(1, 5, "shop"), 0);
    applyTarget(table, makeTarget(2, 6, "other"), 0);
    const FlowToken token = tokenOf(1);
    table.tokens.emplace(token, 2);
    const EdgeRoute shop = makeRoute(shopAddress, "shop");
    const EdgeRoute other = makeRoute(otherAddress, "other");
    CHECK(findTargetByToken(table, token, &shop)->record.id == 1);
    CHECK(findTargetByToken(table, token, &other)->record.id == 2);
}
