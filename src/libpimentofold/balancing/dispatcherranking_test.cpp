#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>

#include <libpimentofold/balancing/regiontestdata.h>
#include <pimentofold/balancing/dispatcherranking.h>
#include <pimentofold/evacuation/evacuation.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr int slotsPerDispatcher = 64;
constexpr std::size_t serviceCount = 2;

/// Members and targets, with the ranking that is updated for each change.
struct World {
    bool localDispatch = true;
    std::map<Id, std::pair<InstanceKey, std::string>> nodes; ///< with their data centres
    std::map<std::uint64_t, std::pair<std::string, RankedTarget>> targets; ///< with their services
    DispatcherRanking ranking;
    std::map<std::uint64_t, Id> owners;
};

std::string serviceName(std::uint64_t n)
{
    return "s" + std::to_string(n % serviceCount);
}

void refresh(World &world)
{
    std::vector<RankedNode> nodes;
    for (const auto &[id, node] : world.nodes) {
        nodes.push_back({node.first, world.localDispatch ? std::string_view(node.second) : std::string_view()});
    }
    setRankedNodes(world.ranking, nodes);
    for (const OwnerChange &it : refreshRanking(world.ranking).owners) {
        world.owners[it.target] = it.owner;
    }
}

void setNode(World &world, Id id, std::int64_t incarnation, int dataCentre)
{
    world.nodes[id] = {{id, incarnation}, dataCentreName(dataCentre)};
}

void setTarget(World &world, std::uint64_t id, const std::string &service, const RankedTarget &target)
{
    world.targets[id] = {service, target};
    setRankedTarget(world.ranking, service, target);
}

void removeTargetOf(World &world, std::uint64_t id)
{
    world.targets.erase(id);
    removeRankedTarget(world.ranking, id);
}

DispatcherCandidates candidatesOf(const World &world)
{
    std::vector<InstanceKey> all;
    std::map<std::string, std::vector<InstanceKey>> there;
    for (const auto &[id, node] : world.nodes) {
        all.push_back(node.first);
        there[node.second].push_back(node.first);
    }
    DispatcherCandidates candidates;
    candidates.all = dispatcherCandidates(all);
    for (const auto &[dataCentre, members] : there) {
        if (world.localDispatch) {
            candidates.byDataCentre[dataCentre] = dispatcherCandidates(members);
        }
    }
    return candidates;
}

bool isSame(const DispatcherTable &a, const DispatcherTable &b)
{
    return a.dispatchers == b.dispatchers && a.cumulativeSlots == b.cumulativeSlots;
}

/// Compares with the division that is computed from scratch.
void checkService(const World &world, const DispatcherCandidates &candidates, const std::string &service)
{
    std::vector<PlacedTarget> targets;
    for (const auto &[id, it] : world.targets) {
        if (it.first == service) {
            targets.push_back({{static_cast<Id>(id), it.second.slots, it.second.serving}, it.second.dataCentre, it.second.weightedSlots});
        }
    }
    const auto found = world.ranking.services.find(service);
    REQUIRE((found != world.ranking.services.end()) == !targets.empty());
    if (targets.empty()) {
        return;
    }
    const ServiceDispatchers expected = divideTargets(idOf(service), targets, candidates, "dc0", slotsPerDispatcher);
    const ServiceDispatchers actual = dispatchersOf(world.ranking, found->second, "dc0");
    REQUIRE(isSame(actual.table, expected.table));
    REQUIRE(std::ranges::equal(
        actual.byDataCentre, expected.byDataCentre, [](const auto &a, const auto &b) { return a.first == b.first && isSame(a.second, b.second); }));
    for (std::size_t i = 0; i < targets.size(); ++i) {
        REQUIRE(world.owners.at(static_cast<std::uint64_t>(targets[i].entry.id)) == expected.owners[i]);
    }
}

void checkAll(const World &world)
{
    const DispatcherCandidates candidates = candidatesOf(world);
    for (std::size_t n = 0; n < serviceCount; ++n) {
        checkService(world, candidates, serviceName(n));
    }
}

RankedTarget randomTarget(Random &random, std::uint64_t id)
{
    const int slots = 1 + static_cast<int>(below(random, 3));
    return {id, dataCentreName(static_cast<int>(below(random, 3))), slots, slots * (below(random, 8) == 0 ? 4 : 1), below(random, 8) != 0};
}

/// Changes members or targets at random.
void changeAtRandom(World &world, Random &random, std::int64_t now)
{
    const Id node = 1 + static_cast<Id>(below(random, 40));
    const std::uint64_t target = 1 + below(random, 300);
    switch (below(random, 8)) {
    case 0:
    case 1: // a start, or a restart in the place of the previous process
        setNode(world, node, now, static_cast<int>(node % 3));
        break;
    case 2:
        world.nodes.erase(node);
        break;
    case 3: // a data centre is cut off, or all its nodes start again
        for (Id id = 1 + node % 3; id <= 40 && below(random, 4) == 0; id += 3) {
            if (below(random, 2) == 0) {
                world.nodes.erase(id);
            } else {
                setNode(world, id, now, static_cast<int>(id % 3));
            }
        }
        break;
    case 4: // the data centre of a member becomes known
        if (world.nodes.contains(node)) {
            world.nodes[node].second = dataCentreName(static_cast<int>(below(random, 3)));
        }
        break;
    case 5:
        removeTargetOf(world, target);
        break;
    default:
        setTarget(world, target, serviceName(below(random, serviceCount)), randomTarget(random, target));
    }
}

/// @return a region of equal data centres whose members have started one minute apart, with 150 targets
World makeWorld(int members)
{
    World world;
    world.localDispatch = false;
    for (int n = 1; n <= members; ++n) {
        setNode(world, n, n * minute, n % 3);
    }
    for (std::uint64_t id = 1; id <= 150; ++id) {
        setTarget(world, id, serviceName(id % 5 == 0 ? 1 : 0), {id, dataCentreName(static_cast<int>(id % 3)), 2, 2, true});
    }
    refresh(world);
    return world;
}

/// @return hashes and comparisons of the changes made by @p change
template<typename Change>
std::int64_t operationsOf(World &world, const Change &change)
{
    const RankingCounts before = world.ranking.counts;
    change();
    refresh(world);
    const RankingCounts &after = world.ranking.counts;
    return after.hashes - before.hashes + after.comparisons - before.comparisons;
}

} // namespace

// Guards against nodes with different dispatchers: a node that has followed all changes must agree with one that has just started.
TEST_CASE("ranking of dispatchers: equal to the computation from scratch after each of many random changes")
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
        CAPTURE(seed);
        World world;
        world.localDispatch = seed % 2 == 0;
        Random random{seed};
        for (std::int64_t n = 1; n <= 1'500; ++n) {
            CAPTURE(n);
            for (std::uint64_t changes = 1 + below(random, 3); changes > 0; --changes) {
                changeAtRandom(world, random, n * second / 2);
            }
            refresh(world);
            checkAll(world);
        }
    }
}

// Guards against a cost of each change that grows with the number of members, for a node with a small share of a processor.
TEST_CASE("ranking of dispatchers: operations for one change at 100, 300 and 1,000 members")
{
    struct Result {
        int members = 0;
        double member = 0; ///< mean over members that leave and come back
        std::int64_t highest = 0; ///< of these
        double target = 0;
        std::int64_t dataCentre = 0; ///< all its members are lost at once
    };
    std::vector<Result> results;
    for (const int members : {100, 300, 1'000}) {
        World world = makeWorld(members);
        const std::int64_t initial = world.ranking.counts.hashes + world.ranking.counts.comparisons;
        Result result{members};
        for (Id id = 1; id < members; ++id) {
            const auto node = world.nodes.at(id);
            const std::int64_t leaves = operationsOf(world, [&] { world.nodes.erase(id); });
            const std::int64_t joins = operationsOf(world, [&] { world.nodes[id] = node; });
            result.member += static_cast<double>(leaves + joins) / 2 / (members - 1);
            result.highest = std::max({result.highest, leaves, joins});
        }
        for (std::uint64_t id = 1; id <= 150; ++id) {
            const auto target = world.targets.at(id);
            const std::int64_t leaves = operationsOf(world, [&] { removeTargetOf(world, id); });
            const std::int64_t joins = operationsOf(world, [&] { setTarget(world, id, target.first, target.second); });
            result.target += static_cast<double>(leaves + joins) / 2 / 150;
        }
        result.dataCentre = operationsOf(world, [&] { std::erase_if(world.nodes, [](const auto &it) { return it.second.second == "dc1"; }); });
        checkAll(world);
        MESSAGE(members << " members: " << result.member << " operations for a member, at most " << result.highest << ", " << result.target << " for a target, "
                        << result.dataCentre << " for a data centre, " << initial << " from scratch");
        results.push_back(result);
    }
    for (const Result &it : results) {
        const double growth = std::log(it.members) / std::log(results.front().members);
        CHECK(it.member <= results.front().member * growth);
        CHECK(static_cast<double>(it.highest) <= static_cast<double>(results.front().highest) * growth);
        CHECK(it.target <= results.front().target * growth);
        CHECK(static_cast<double>(it.dataCentre) <= static_cast<double>(results.front().dataCentre) * growth);
    }
}

// Guards against changes that a node misses: entries that go, come back, drain, become cold or expire, evacuations, members that
// don't answer or can't be reached, and a changed setting.
TEST_CASE("ranking of dispatchers: a forwarder that follows all changes agrees with one that starts anew")
{
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        CAPTURE(seed);
        Random random{seed};
        EdgeForwarder forwarder = makeRegionForwarder({}, makeNode(0, 1), seed % 2 == 0);
        forwarder.table.slowStart.settings.enabled = true;
        EdgeConfig config = makeConfig(1'000, {makeRoute(shopAddress, "shop")});
        config.services = {{"shop", 5 * second, 10}};
        applyConfig(forwarder.table, config);
        const std::vector<InstanceKey> members = forwarder.members;
        std::int64_t revision = 100'000;
        for (int n = 1; n <= 400; ++n) {
            CAPTURE(n);
            const Time now = n * second / 4;
            const std::uint64_t id = 1 + below(random, 120);
            switch (below(random, 8)) {
            case 0:
                removeTarget(forwarder.table, id, ++revision, now);
                break;
            case 1:
                forwarder.members = members;
                std::erase_if(forwarder.members, [&](const InstanceKey &it) { return it != forwarder.self && below(random, 4) == 0; });
                break;
            case 2:
                forwarder.dispatcherMisses[members[below(random, members.size())].instance] = {2, now + second};
                break;
            case 3:
                ++forwarder.table.evacuations.revision.number;
                forwarder.table.evacuations.dataCentres =
                    below(random, 2) == 0 ? std::set<std::string, std::less<>>{} : std::set<std::string, std::less<>>{"dc1"};
                break;
            case 4:
                markDataCentreCold(forwarder.table, "dc2", ++revision, now);
                break;
            case 5:
                tickSlowStart(forwarder.table, now);
                purgeRemovedTargets(forwarder.table, now);
                break;
            default: {
                TargetRecord record = makeTarget(id, ++revision);
                record.dataCentre = dataCentreName(static_cast<int>(id % 3));
                record.state = below(random, 4) == 0 ? TargetState::Draining : TargetState::Ready;
                record.warmup = below(random, 4) == 0 ? second : 0;
                applyTarget(forwarder.table, record, now);
            }
            }
            updateDispatchers(forwarder, now);
            EdgeForwarder fresh = forwarder;
            fresh.dispatcherInputs = {};
            updateDispatchers(fresh, now);
            REQUIRE(forwarder.dispatchers.size() == fresh.dispatchers.size());
            REQUIRE(isSame(forwarder.dispatchers.find("shop")->second, fresh.dispatchers.find("shop")->second));
            REQUIRE(forwarder.dispatcherRetryAt == fresh.dispatcherRetryAt);
            for (const auto &[other, target] : fresh.table.targets) {
                REQUIRE(findTarget(forwarder.table, other)->owner == target.owner);
                const bool listed = std::ranges::binary_search(forwarder.table.ownedTargets["shop"], other);
                REQUIRE(listed == (target.owner == 0));
            }
        }
    }
}
