#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/edgecodec.h>
#include <pimentofold/queueing/waitestimate.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr QueueLimits limits;

EdgeRoute makeQueueRoute(int number, int urgency, const std::string &service = "shop")
{
    EdgeRoute route = makeRoute({0xc6120000 + static_cast<std::uint32_t>(number), 443}, service);
    route.urgency = urgency;
    route.timeout = 2 * second;
    return route;
}

OpeningFlow makeFlow(const EdgeRoute &route, std::uint16_t port, const std::string &dataCentre = "dc1", Time openingAge = 0)
{
    OpeningFlow flow;
    flow.key = makeKey(port, route.address);
    flow.openingPacket = "opening";
    flow.originNode = 7;
    flow.openingAge = openingAge;
    flow.dataCentre = dataCentre;
    return flow;
}

void add(AdmissionQueue &queue, const EdgeRoute &route, std::uint16_t port, Time now, const std::string &dataCentre = "dc1", Time openingAge = 0)
{
    enqueue(queue, {makeFlow(route, port, dataCentre, openingAge), route.urgency, route.responseTimeGoal, now}, route, limits, now);
}

AdmissionQueue makeQueue()
{
    AdmissionQueue queue;
    queue.fair = true;
    return queue;
}

/// Places the next flow.
FlowKey placeNext(AdmissionQueue &queue, Time now)
{
    startPlacement(queue, now);
    const std::optional<FlowKey> key = nextToPlace(queue, now);
    REQUIRE(key);
    recordPlacement(queue, "shop", &*key, now);
    remove(queue, *key, now);
    return *key;
}

/// @return a node with fair queueing and one target of each service, with the routes
EdgeForwarder makeNode(const std::vector<EdgeRoute> &routes, const std::vector<std::string> &services)
{
    EdgeForwarder node;
    node.dispatcher.settings.dataCentre = "dc1";
    node.dispatcher.queue.fair = true;
    applyConfig(node.table, makeConfig(10, routes));
    for (std::size_t i = 0; i < services.size(); ++i) {
        applyTarget(node.table, makeTarget(i + 1, 11 + static_cast<std::int64_t>(i), services[i]), 0);
    }
    setTargetHistoryStart(node.table, 100);
    return node;
}

ForwardOutput place(EdgeForwarder &node, const OpeningFlow &flow, PlaceResult expected, Time now = 0)
{
    ForwardOutput out;
    CHECK(placeFlow(node.dispatcher, node.table, flow, now, out) == expected);
    return out;
}

constexpr int room = 5; ///< of a target with two slots

void fill(EdgeForwarder &node, const EdgeRoute &route, Time now = 0)
{
    for (std::uint16_t port = 1; port <= room; ++port) {
        place(node, makeFlow(route, port), PlaceResult::Placed, now);
    }
}

} // namespace

// Guards against late or less urgent flows that are placed before flows that can still be answered in time.
TEST_CASE("admission queue: order by lateness, urgency and age")
{
    AdmissionQueue queue = makeQueue();
    const EdgeRoute urgent = makeQueueRoute(1, 0);
    const EdgeRoute other = makeQueueRoute(2, 1);
    add(queue, other, 1, 300 * millisecond);
    add(queue, urgent, 2, 310 * millisecond, "dc1", 200 * millisecond);
    add(queue, other, 3, 290 * millisecond, "dc1", 200 * millisecond);
    add(queue, urgent, 4, 320 * millisecond);
    add(queue, urgent, 5, 315 * millisecond);
    add(queue, other, 6, 295 * millisecond);
    for (const std::uint16_t port : {5, 4, 6, 1, 2, 3}) {
        CHECK(placeNext(queue, 330 * millisecond).caller.port == port);
    }
    CHECK(queue.flows.empty());
    CHECK(queue.classes.empty());
    CHECK(queue.routes.empty());
    CHECK(queue.dataCentres.empty());
}

// Loads: a burst on the most urgent route, or from one data centre. Guards against routes and data centres that get nothing.
TEST_CASE("admission queue: floors of routes and data centres")
{
    struct Row {
        std::string name;
        int routes;
        int dataCentres;
        int minOfLastRoute; ///< of 120 placements
        int maxOfLastRoute;
        int minOfLastDataCentre;
    };
    const Row rows[] = {
        {"two routes", 2, 1, 11, 13, 0},
        {"ten routes", 10, 1, 11, 13, 0},
        {"twenty routes", 20, 1, 5, 7, 0},
        {"two data centres", 1, 2, 0, 120, 30},
        {"three data centres", 1, 3, 0, 120, 19},
        {"routes and data centres", 3, 3, 11, 30, 19},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        AdmissionQueue queue = makeQueue();
        std::uint16_t port = 0;
        for (int route = 0; route < row.routes; ++route) {
            for (int dataCentre = 0; dataCentre < row.dataCentres; ++dataCentre) {
                for (int n = 0; n < 150; ++n) {
                    // Flows of the first route and data centre are the oldest.
                    add(queue, makeQueueRoute(route, route), ++port, dataCentre * millisecond, "dc" + std::to_string(dataCentre));
                }
            }
        }
        int ofLastRoute = 0;
        int ofLastDataCentre = 0;
        for (int n = 0; n < 120; ++n) {
            startPlacement(queue, 3 * millisecond);
            const FlowKey key = *nextToPlace(queue, 3 * millisecond);
            ofLastRoute += key.service == makeQueueRoute(row.routes - 1, 0).address ? 1 : 0;
            ofLastDataCentre += queue.flows.at(key).flow.dataCentre == "dc" + std::to_string(row.dataCentres - 1) ? 1 : 0;
            placeNext(queue, 3 * millisecond);
        }
        CHECK(ofLastRoute >= row.minOfLastRoute);
        CHECK(ofLastRoute <= row.maxOfLastRoute);
        CHECK(ofLastDataCentre >= row.minOfLastDataCentre);
    }
}

// Guards against flows that wait, or are refused, while another service of their route has room.
TEST_CASE("admission queue: overflow over the services of a route")
{
    struct Row {
        std::string name;
        double firstWeight;
        double secondWeight;
        bool hasFirst; ///< the first service has a target
        int placed; ///< of 12 flows; two targets have room for 10
    };
    const Row rows[] = {
        {"both", 90, 10, true, 10},
        {"first without targets", 90, 10, false, 5},
        {"weight 0", 1, 0, true, 5},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EdgeRoute route = makeQueueRoute(1, 0);
        route.weightedServices = {{"shop", row.firstWeight}, {"second", row.secondWeight}};
        EdgeForwarder node = makeNode({route}, {row.hasFirst ? "shop" : "second", "second"});
        if (!row.hasFirst) {
            removeTarget(node.table, 2, 50, 0);
            purgeRemovedTargets(node.table, 10 * minute);
        }
        int placed = 0;
        for (std::uint16_t port = 1; port <= 12; ++port) {
            ForwardOutput out;
            const bool isPlaced = placeFlow(node.dispatcher, node.table, makeFlow(route, port), 0, out) == PlaceResult::Placed;
            placed += isPlaced ? 1 : 0;
            CHECK((!isPlaced || row.secondWeight > 0 || out.packets.front().target == 1));
        }
        CHECK(placed == row.placed);
        CHECK(node.dispatcher.queue.flows.size() == 12 - static_cast<std::size_t>(row.placed));
    }
}

// Guards against flows of a service with room that wait behind more urgent ones of a service without.
TEST_CASE("admission queue: a flow without room holds up only flows of its services")
{
    const EdgeRoute full = makeQueueRoute(1, 0, "shop");
    const EdgeRoute other = makeQueueRoute(2, 1, "second");
    EdgeForwarder node = makeNode({full, other}, {"shop", "second"});
    fill(node, full);
    fill(node, other);
    place(node, makeFlow(full, 11), PlaceResult::Waiting);
    place(node, makeFlow(other, 12), PlaceResult::Waiting);
    ForwardOutput out;
    handleFlowNotice(node.dispatcher, node.table, {FlowNoticeKind::Ended, 0, makeKey(1, other.address), 2}, millisecond, out);
    REQUIRE(out.packets.size() == 1);
    CHECK(out.packets.front().target == 2);
    REQUIRE(out.queueWaits.size() == 1);
    CHECK(out.queueWaits.front().wait == millisecond);
}

// Load: room for many waiting flows of as many routes at once. Guards against work in one event that grows with the product of flows
// and routes.
TEST_CASE("admission queue: one event places a limited number of flows, and the others follow at once")
{
    std::vector<EdgeRoute> routes;
    routes.reserve(300);
    for (int n = 0; n < 300; ++n) {
        routes.push_back(makeQueueRoute(n, n % 3));
    }
    EdgeForwarder node = makeNode(routes, {"shop"});
    EdgeTarget &target = *findTarget(node.table, 1);
    target.workingFlows = 1000;
    for (std::uint16_t n = 0; n < 300; ++n) {
        place(node, makeFlow(routes[n], n), PlaceResult::Waiting);
    }
    target.workingFlows = 0;
    target.record.slots = 1000;
    for (int left = 300; left > 0;) {
        ForwardOutput out;
        REQUIRE(nextDispatcherTick(node.dispatcher) <= 20 * millisecond);
        tickDispatcher(node.dispatcher, node.table, 20 * millisecond, out);
        CHECK(out.packets.size() == static_cast<std::size_t>(std::min(left, 64)));
        left -= static_cast<int>(out.packets.size());
    }
}

// Load: more waiting flows than the limit. Guards against the loss of an urgent flow because it is the newest, and against refusals
// of flows that can still be placed: their node asks again.
TEST_CASE("admission queue: at the limit the flow that would be placed last loses its place")
{
    const EdgeRoute urgent = makeQueueRoute(1, 0);
    const EdgeRoute other = makeQueueRoute(2, 1);
    EdgeForwarder node = makeNode({urgent, other}, {"shop"});
    node.dispatcher.settings.maxWaitingFlows = 20;
    fill(node, other);
    for (std::uint16_t port = 11; port <= 30; ++port) {
        place(node, makeFlow(other, port), PlaceResult::Waiting, port);
    }
    const ForwardOutput out = place(node, makeFlow(urgent, 50), PlaceResult::Waiting, 40);
    CHECK(out.refusedNotices.empty());
    CHECK(node.dispatcher.queue.flows.size() == 20);
    CHECK(node.dispatcher.queue.flows.contains(makeKey(50, urgent.address)));
    CHECK_FALSE(node.dispatcher.queue.flows.contains(makeKey(30, other.address)));
    CHECK(node.dispatcher.queue.deferred == 1);
}

// Load: refused callers that return at once. Guards against retries that take the places of first attempts.
TEST_CASE("admission queue: retries take a third of the places while others wait")
{
    const EdgeRoute route = makeQueueRoute(1, 0);
    EdgeForwarder node = makeNode({route}, {"shop"});
    node.dispatcher.settings.maxWaitingFlows = 30;
    fill(node, route);
    RefusalRecords &refusals = node.dispatcher.queue.refusals;
    recordRefusal(refusals, makeKey(9, route.address), RefusalReason::NoTime, 0);
    OpeningFlow first = makeFlow(route, 10);
    first.key.caller.ip = 5;
    place(node, first, PlaceResult::Waiting);
    for (std::uint16_t port = 11; port <= 40; ++port) {
        place(node, makeFlow(route, port), PlaceResult::Waiting);
    }
    CHECK(node.dispatcher.queue.retries == 10);
    CHECK(node.dispatcher.queue.flows.size() == 11);
    CHECK_FALSE(isRetry(refusals, makeKey(9, route.address), 2 * second));
    // The table of callers is bounded.
    for (std::uint32_t n = 0; n < 10'000; ++n) {
        recordRefusal(refusals, {{n, 1}, route.address}, RefusalReason::NoTime, second);
    }
    CHECK(refusals.callers.size() <= refusals.maxRecords);
    CHECK(refusals.flows.size() <= refusals.maxRecords);
}

// Guards against a lost notice of a refusal, after which the flow would wait again, and against a new flow from the same port that
// is taken for the refused one.
TEST_CASE("admission queue: a refused flow stays refused until its caller gives up")
{
    struct Row {
        Time openingAge;
        Time now;
        PlaceResult result;
    };
    const Row rows[] = {
        {200 * millisecond, 200 * millisecond, PlaceResult::Refused},
        {600 * millisecond, 1400 * millisecond, PlaceResult::Refused},
        {600 * millisecond, 1401 * millisecond, PlaceResult::Placed},
        {0, 200 * millisecond, PlaceResult::Placed},
    };
    for (const Row &row : rows) {
        const EdgeRoute route = makeQueueRoute(1, 0);
        EdgeForwarder node = makeNode({route}, {"shop"});
        recordRefusal(node.dispatcher.queue.refusals, makeKey(1, route.address), RefusalReason::NoTime, 0);
        const ForwardOutput out = place(node, makeFlow(route, 1, "dc1", row.openingAge), row.result, row.now);
        CHECK(out.refusedNotices.size() == (row.result == PlaceResult::Refused ? 1 : 0));
    }
}

namespace {

/// @return a queue with @p waiting flows on a service that took 100 flows per second in the last second
AdmissionQueue makeBusyQueue(const EdgeRoute &route, std::uint16_t waiting)
{
    AdmissionQueue queue = makeQueue();
    for (Time now = 0; now < second; now += 10 * millisecond) {
        add(queue, route, static_cast<std::uint16_t>(1000 + now / millisecond), now);
        add(queue, route, 1, now);
        placeNext(queue, now + 10 * millisecond);
    }
    for (std::uint16_t port = 2; port <= waiting; ++port) {
        add(queue, route, port, second);
    }
    return queue;
}

} // namespace

// Loads: overload, and a pause of the process. Guards against flows that wait although they can't be placed in time, refusals at a wrong
// rate after a pause, and refusals that take an attempt from a caller whose others don't last until the timeout.
TEST_CASE("admission queue: flows without time are refused")
{
    struct Row {
        std::string name;
        std::uint16_t waiting;
        Time timeout;
        Time pause;
        bool isRetry;
        bool refuses;
    };
    const Row rows[] = {
        {"short queue", 100, 2 * second, 0, false, false},
        {"long queue", 700, 2 * second, 0, false, true},
        {"pause", 700, 2 * second, 250 * millisecond, false, false},
        {"retries", 700, 2 * second, 0, true, false},
        {"long timeout", 700, 6 * second, 0, false, false},
        {"no timeout", 700, 0, 0, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EdgeRoute route = makeQueueRoute(1, 0);
        route.timeout = row.timeout;
        AdmissionQueue queue = makeBusyQueue(route, row.waiting);
        for (auto &[key, it] : queue.flows) {
            it.isRetry = row.isRetry;
        }
        measureBacklog(queue, second + row.pause);
        CHECK(estimatedWait(queue, makeKey(row.waiting, route.address), second + row.pause).has_value() == (row.pause == 0));
        const std::vector<WaitingFlow> hopeless = takeHopeless(queue, second + row.pause);
        CHECK(hopeless.empty() != row.refuses);
        // The oldest flows stay.
        CHECK(queue.flows.size() >= 100);
        CHECK(queue.flows.size() + hopeless.size() == row.waiting);
        CHECK(std::ranges::none_of(hopeless, [](const WaitingFlow &it) { return it.flow.key.caller.port <= 100; }));
    }
}

// Guards against a refusal whose reason is lost between nodes of different versions, and against a timeout that only the node that reads
// the store knows.
TEST_CASE("admission queue: timeouts and reasons in messages")
{
    StoreChanges changes;
    changes.config = makeConfig(10, {makeQueueRoute(1, 0), makeRoute(otherAddress, "shop")});
    ChangesAssembler assembler;
    const std::optional<StoreChanges> received = addPart(assembler, 7, toWire(changes).front());
    REQUIRE(received);
    CHECK(received->config.routes == changes.config.routes);
    CHECK(received->config.routes.front().timeout == 2 * second);
    for (const int number : {-1, 6, 127}) {
        CHECK(refusalReasonFromNumber(number) == RefusalReason::NoTarget);
    }
    CHECK(name(refusalReasonFromNumber(5)) == "retry_limit");
}

// Load: a full queue at a node that places its own flows. Guards against a node that goes on to ask for flows whose callers have given up,
// and against refusals without a reset.
TEST_CASE("admission queue: a node refuses its own waiting flow, and stops to ask for one that was given up")
{
    EdgeForwarder node = makeForwarder(1, 0);
    node.dispatcher.queue.fair = true;
    ForwardOutput out;
    for (std::uint16_t port = 1; port <= room + 2; ++port) {
        handlePacket(node, makeOpening(port), millisecond, out);
    }
    REQUIRE(node.dispatcher.queue.flows.size() == 2);
    ForwardOutput refused;
    handleRefusedNotice(node, 0, makeKey(room + 1), 2 * millisecond, refused, RefusalReason::NoTime);
    REQUIRE(refused.resets.size() == 1);
    CHECK(refused.events.back().reason == RefusalReason::NoTime);
    CHECK(node.dispatcher.queue.flows.size() == 1);
    findTarget(node.table, 1)->workingFlows = 1000; // never has room
    for (Time now = 2 * millisecond; now < 3 * second; now += 10 * millisecond) {
        tickForwarder(node, now, out);
    }
    CHECK(node.dispatcher.queue.flows.empty());
    CHECK(std::ranges::count(out.events, ForwardEvent::GivenUp, &ForwardEventRecord::event) == 1);
}
