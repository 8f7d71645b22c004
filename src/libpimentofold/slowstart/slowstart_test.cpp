#include <doctest/doctest.h>

#include <pimentofold/edgecodec.h>
#include <pimentofold/placement.h>
#include <pimentofold/replication/storereplication.h>
#include <pimentofold/slowstart/slowstart.h>

#include <libpimentofold/edgetestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr double rate = 4;
constexpr Time coldTime = 20 * second;

EdgeConfig configWithServices(std::int64_t revision, double coldRate = rate)
{
    EdgeConfig config = makeConfig(revision, {makeRoute(shopAddress, "shop")});
    config.services = {{"shop", coldTime, coldRate}, {"other", 0, 5}};
    return config;
}

void makeCold(EdgeForwarder &node, std::uint64_t id, std::int64_t revision, Time now)
{
    TargetRecord record = makeTarget(id, revision);
    record.warmup = coldTime;
    applyTarget(node.table, record, now);
}

/// @return a node that alone has owned @p targets targets for long; those with an id up to @p cold are cold
EdgeForwarder makeOwner(int targets, int cold, double coldRate = rate)
{
    EdgeForwarder node = makeForwarder(targets, -minute);
    node.table.slowStart.settings = {true, 1.5, 5, 1200 * millisecond};
    applyConfig(node.table, configWithServices(100, coldRate));
    for (int id = 1; id <= cold; ++id) {
        makeCold(node, static_cast<std::uint64_t>(id), 100 + id, 0);
    }
    updateDispatchers(node, -minute);
    return node;
}

OpeningFlow makeFlow(std::uint16_t port, int attempt = 1)
{
    OpeningFlow flow;
    flow.key = makeKey(port);
    flow.openingPacket = "opening";
    flow.attempt = attempt;
    return flow;
}

/// Places @p flows flows at once.
/// @return how many were offered to targets with an id up to @p cold
int placeMany(EdgeForwarder &node, int flows, std::uint64_t cold, Time now)
{
    static std::uint16_t port = 0;
    int offered = 0;
    for (int n = 0; n < flows; ++n) {
        ForwardOutput out;
        placeFlow(node.dispatcher, node.table, makeFlow(++port), now, out);
        offered += !out.packets.empty() && out.packets.front().target <= cold ? 1 : 0;
    }
    return offered;
}

} // namespace

// Guards against limits that two owners together exceed.
TEST_CASE("an owner uses half of the limit, rounded down")
{
    struct Row {
        double rate;
        double overshoot;
        double slack;
        std::size_t limit;
    };
    const Row rows[] = {{4, 1.5, 5, 5}, {0, 1.5, 5, 2}, {0.5, 1, 1, 0}, {20, 1.5, 5, 17}, {2.5, 1, 0, 1}};
    for (const Row &row : rows) {
        const SlowStartSettings settings{true, row.overshoot, row.slack, 0};
        CHECK(ownerLimit(settings, row.rate) == row.limit);
        CHECK(2 * static_cast<double>(ownerLimit(settings, row.rate)) <= row.rate * row.overshoot + row.slack);
    }
}

// Guards against a limit on deployments that don't ask for one: without the settings or without the cold time of the service
// the choice is the same as before.
TEST_CASE("without settings or cold time targets are chosen as before")
{
    struct Row {
        bool enabled;
        Time serviceColdTime;
        bool limited;
    };
    const Row rows[] = {{false, coldTime, false}, {true, 0, false}, {true, coldTime, true}};
    for (const Row &row : rows) {
        EdgeForwarder before = makeForwarder(12, 0);
        EdgeForwarder node = makeForwarder(12, 0);
        node.table.slowStart.settings = {row.enabled, 1.5, 5, 0};
        EdgeConfig config = configWithServices(100);
        config.services = {{"shop", row.serviceColdTime, 0}};
        applyConfig(node.table, config);
        bool same = true;
        for (EdgeForwarder *it : {&before, &node}) {
            for (std::uint64_t id = 1; id <= 8; ++id) {
                makeCold(*it, id, 100 + static_cast<std::int64_t>(id), 0);
            }
            updateDispatchers(*it, 0);
        }
        for (std::uint16_t port = 1; port <= 100; ++port) {
            ForwardOutput expected;
            ForwardOutput out;
            const PlaceResult result = placeFlow(before.dispatcher, before.table, makeFlow(port), port * millisecond, expected);
            same = placeFlow(node.dispatcher, node.table, makeFlow(port), port * millisecond, out) == result && same;
            same = same && out.packets.size() == expected.packets.size();
            same = same && (out.packets.empty() || out.packets.front().target == expected.packets.front().target);
        }
        CHECK(same == !row.limited);
        CHECK(countColdTargets(node.table, 0) == (row.limited ? 8 : 0));
    }
}

// Guards against openings above the limit, and against cold targets that stay unused while others are full.
TEST_CASE("a cold target gets its rate by load, and half of the limit when no warm target has room")
{
    struct Row {
        double rate;
        int warm; ///< targets, each with room for five flows
        int flows;
        int offered; ///< to the cold target
    };
    const Row rows[] = {
        {4, 10, 20, 1}, // one flow, as for the other targets, before each warm target has two
        {4, 1, 8, 3}, // by its load, since requests take longer there
        {4, 1, 20, 5}, // half of the limit, 4 * 1.5 + 5
        {0, 10, 50, 0},
        {0, 10, 60, 2},
        {0, 0, 60, 2},
        {100, 0, 60, 5}, // its room
    };
    for (const Row &row : rows) {
        CAPTURE(row.rate);
        CAPTURE(row.flows);
        EdgeForwarder node = makeOwner(1 + row.warm, 1, row.rate);
        CHECK(placeMany(node, row.flows, 1, 0) == row.offered);
        CHECK(node.table.slowStart.openings == row.offered);
        // None of the flows is refused.
        CHECK(static_cast<int>(node.dispatcher.queue.flows.size() + node.dispatcher.placedFlows.size()) == row.flows);
    }
}

TEST_CASE("flows wait for the limit and are placed when it allows them")
{
    EdgeForwarder node = makeOwner(2, 2, 1);
    CHECK(placeMany(node, 20, 2, 0) == 6); // three for each target: half of 1 * 1.5 + 5
    CHECK(node.table.slowStart.limited == 14);
    ForwardOutput early;
    tickDispatcher(node.dispatcher, node.table, coldWindow - millisecond, early);
    CHECK(early.packets.empty());
    ForwardOutput later;
    tickDispatcher(node.dispatcher, node.table, coldWindow + 20 * millisecond, later);
    CHECK(later.packets.size() == 4); // two for each target, which then have five flows
}

// Guards against a second budget within the same second after a change of owner, a restart or a pause, and against nodes that
// are cut off.
TEST_CASE("an owner waits a window length, and needs the majority")
{
    EdgeForwarder node = makeOwner(1, 1);
    const EdgeTarget &target = *findTarget(node.table, 1);
    const auto isUsed = [&](Time now) { return coldUseOf(node.table, target, now) != ColdUse::Excluded; };
    const auto setMembers = [&](std::vector<InstanceKey> members, Time now) {
        node.members = std::move(members);
        updateDispatchers(node, now);
    };
    CHECK(isUsed(0));
    // Another node owns the target for a moment.
    setMembers({{2, -9 * second}, node.self}, second);
    CHECK_FALSE(isUsed(second));
    setMembers({node.self, {2, 2}}, 2 * second);
    CHECK_FALSE(isUsed(2 * second + coldWindow - 1));
    CHECK(isUsed(2 * second + coldWindow));
    // Of three members one is left; the two others are forgotten after the retention period.
    setMembers({node.self, {2, 2}, {3, 2}}, 5 * second);
    CHECK(isUsed(5 * second));
    setMembers({node.self}, 6 * second);
    CHECK_FALSE(isUsed(6 * second));
    tickSlowStart(node.table, 6 * second + memberMemory);
    CHECK_FALSE(isUsed(12 * second));
    // A pause.
    EdgeForwarder paused = makeOwner(1, 1);
    CHECK(coldUseOf(paused.table, *findTarget(paused.table, 1), second) == ColdUse::WithinRate);
    detectPause(paused, second);
    detectPause(paused, 2 * second);
    CHECK(coldUseOf(paused.table, *findTarget(paused.table, 1), 2 * second + coldWindow - 1) == ColdUse::Excluded);
    CHECK(coldUseOf(paused.table, *findTarget(paused.table, 1), 2 * second + coldWindow) == ColdUse::WithinRate);
}

// Guards against a node that ignores a live dispatcher and takes over its cold targets, as other nodes may do at the same time.
TEST_CASE("a node that avoids a dispatcher doesn't use that dispatcher's cold targets")
{
    EdgeForwarder node = makeOwner(4, 4);
    node.members = {{2, 0}, node.self};
    updateDispatchers(node, 0);
    REQUIRE(findTarget(node.table, 1)->owner == 2);
    node.dispatcherMisses[2] = {2, 10 * second};
    updateDispatchers(node, second);
    REQUIRE(findTarget(node.table, 1)->owner == 0);
    CHECK(coldUseOf(node.table, *findTarget(node.table, 1), 8 * second) == ColdUse::Excluded);
    CHECK(placeMany(node, 10, 4, 8 * second) == 0);
}

// Guards against repeated offers and the caller's own retransmissions that pass by the limit.
TEST_CASE("repeated offers and retransmissions to a cold target count")
{
    EdgeForwarder node = makeOwner(2, 2, 1);
    int offered = 0;
    Time now = 0;
    for (int attempt = 1; attempt <= 12; ++attempt) {
        ForwardOutput out;
        now += 20 * millisecond;
        placeFlow(node.dispatcher, node.table, makeFlow(1, attempt), now, out);
        offered += static_cast<int>(out.packets.size());
    }
    CHECK(offered == 6);

    EdgeForwarder open = makeOwner(1, 1);
    ForwardOutput out;
    handlePacket(open, makeOpening(1), 0, out);
    handlePacket(open, makeData(1, tokenOf(1)), millisecond, out);
    REQUIRE(out.packets.size() == 2);
    handlePacket(open, makeOpening(1, 200 * millisecond), 200 * millisecond, out);
    CHECK(out.packets.size() == 2);
}

// Guards against flows for cold targets that keep flows of other services waiting.
TEST_CASE("a flow that waits for a cold target doesn't block flows of other routes")
{
    EdgeForwarder node = makeOwner(1, 1, 0);
    EdgeConfig config = configWithServices(200, 0);
    config.routes.push_back(makeRoute(otherAddress, "other"));
    applyConfig(node.table, config);
    applyTarget(node.table, makeTarget(50, 201, "other"), 0);
    updateDispatchers(node, 0);
    CHECK(placeMany(node, 5, 1, 0) == 2);
    for (std::uint16_t port = 1; port <= 6; ++port) {
        OpeningFlow flow = makeFlow(port);
        flow.key = makeKey(port, otherAddress);
        ForwardOutput out;
        placeFlow(node.dispatcher, node.table, flow, 0, out);
    }
    ForwardOutput out;
    handleFlowNotice(node.dispatcher, node.table, {FlowNoticeKind::Ended, 0, makeKey(1, otherAddress), 50}, millisecond, out);
    REQUIRE(out.packets.size() == 1);
    CHECK(out.packets.front().target == 50);
}

TEST_CASE("the end of an evacuation makes a data centre's targets cold until a newer entry says otherwise")
{
    EdgeForwarder node = makeOwner(3, 0);
    TargetRecord elsewhere = makeTarget(9, 110);
    elsewhere.dataCentre = "dc2";
    applyTarget(node.table, elsewhere, 0);
    CHECK(countColdTargets(node.table, 0) == 0);
    markDataCentreCold(node.table, "dc1", 120, second);
    CHECK(countColdTargets(node.table, second) == 3);
    CHECK(countColdTargets(node.table, second + coldTime) == 0);
    // An older end has no effect.
    markDataCentreCold(node.table, "dc1", 119, 30 * second);
    CHECK(countColdTargets(node.table, 30 * second) == 0);
    applyTarget(node.table, makeTarget(1, 121), 2 * second);
    CHECK(countColdTargets(node.table, 2 * second) == 2);
    TargetRecord cold = makeTarget(2, 122);
    cold.warmup = minute;
    applyTarget(node.table, cold, 2 * second);
    CHECK(countColdTargets(node.table, 2 * second + coldTime) == 1);
    CHECK(countColdTargets(node.table, 2 * second + minute + 1199 * millisecond) == 1);
    CHECK(countColdTargets(node.table, 2 * second + minute + 1200 * millisecond) == 0);
}

// Guards against nodes that don't know the limits: started later, or with an earlier version of the configuration.
TEST_CASE("services and cold times reach the other nodes")
{
    struct Row {
        std::int64_t receiverConfig; ///< 0: knows nothing
        double receiverRate;
        std::size_t sent; ///< services in the message
    };
    const Row rows[] = {{0, 0, 1}, {90, 7, 1}, {100, rate, 0}};
    for (const Row &row : rows) {
        EdgeForwarder leader = makeForwarder(1, 0);
        leader.table.slowStart.settings = {true, 1.5, 5, second};
        applyConfig(leader.table, configWithServices(90, 7));
        applyConfig(leader.table, configWithServices(100));
        applyConfig(leader.table, makeConfig(110, {makeRoute(shopAddress, "shop"), makeRoute(otherAddress, "shop")}));
        markDataCentreCold(leader.table, "dc1", 120, 0);
        EdgeForwarder node;
        node.table.slowStart.settings = leader.table.slowStart.settings;
        StoreReplication replication;
        if (row.receiverConfig > 0) {
            applyConfig(node.table, configWithServices(row.receiverConfig, row.receiverRate));
            replication.known.config = row.receiverConfig;
        }
        const StoreChanges changes = changesSince(leader.table, replication.known, node.table.configRevision, {120, 120}, second);
        CHECK((changes.config.services ? changes.config.services->size() : 0) == row.sent);
        applyChanges(replication, node.table, changes, second);
        CHECK(node.table.configRevision == 110);
        CHECK(node.table.slowStart.services == leader.table.slowStart.services);
        CHECK(node.table.slowStart.services.at("shop").coldRate == rate);
        CHECK(countColdTargets(node.table, 10 * second) == 1);
    }
}

// Guards against limits that are lost when they take several datagrams, and against clearing the limits when a message of an
// earlier version has none.
TEST_CASE("services are sent in parts, and none differs from no list")
{
    struct Row {
        std::optional<std::size_t> services; ///< nothing: no list
        bool severalParts;
    };
    const Row rows[] = {{std::nullopt, false}, {0, false}, {2, false}, {500, true}};
    for (const Row &row : rows) {
        StoreChanges changes;
        if (row.services) {
            changes.config.services.emplace();
            for (std::size_t n = 0; n < *row.services; ++n) {
                changes.config.services->push_back({"service-" + std::to_string(n), second, 0.25 * static_cast<double>(n)});
            }
        }
        const std::vector<wire::EdgeChanges> parts = toWire(changes);
        CHECK((parts.size() > 1) == row.severalParts);
        ChangesAssembler assembler;
        std::optional<StoreChanges> received;
        for (const wire::EdgeChanges &it : parts) {
            received = addPart(assembler, 1, it);
        }
        REQUIRE(received);
        CHECK(received->config.services == changes.config.services);
    }
}

TEST_CASE("invalid limits leave the previous ones of that service in force")
{
    SlowStart slowStart;
    EdgeConfig config = makeConfig(10, {});
    config.services = {{"a", second, 4}, {"b", second, 5}};
    applyServices(slowStart, config);
    config.revision = 11;
    config.services = {{"a", 0, 9}, {"b", second, 6}, {"c", second, 0}};
    config.unreadableServices = {"a", "c"};
    applyServices(slowStart, config);
    CHECK(slowStart.services.at("a") == ServiceLimits{"a", second, 4});
    CHECK(slowStart.services.at("b").coldRate == 6);
    CHECK(slowStart.services.at("c").coldRate == 0);
    CHECK(slowStart.servicesRevision == 11);
    config.revision = 12;
    applyServices(slowStart, config);
    CHECK(slowStart.servicesRevision == 11);
}
