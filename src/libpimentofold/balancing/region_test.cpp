#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>

#include <libpimentofold/balancing/regiontestdata.h>

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr int dataCentres = 3;
constexpr Time workTime = 30 * millisecond;
constexpr Time localTransit = 100 * microsecond;
constexpr Time otherTransit = millisecond;
constexpr Time detectionTime = 2 * second; // until a lost node is no longer a member
constexpr Time failureAt = 2 * second;
constexpr Time trafficEnd = 6 * second;
constexpr Time requestTimeout = 1500 * millisecond;

struct SimTarget {
    int dataCentre = 0;
    bool alive = true;
    int working = 0;
    std::deque<std::size_t> waiting; ///< flows
};

struct SimNode {
    EdgeForwarder forwarder;
    bool alive = true;
};

struct SimFlow {
    int dataCentre = 0; ///< of the caller
    FlowKey key;
    Time startedAt = 0;
    Time answeredAt = never;
    FlowToken token = 0; ///< of the first target that has answered; 0: none
    bool received = false; ///< the target has received the request
    bool onFailedTarget = false; ///< open on a target at the time when it failed
};

struct Event {
    Time at = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct LaterEvent {
    bool operator()(const Event &a, const Event &b) const
    {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

/// Callers, edge nodes and targets of three data centres on virtual time. Each flow carries one request.
struct Region {
    std::map<Id, SimNode> nodes;
    std::map<std::uint64_t, SimTarget> targets;
    std::deque<SimFlow> flows;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> events;
    std::uint64_t scheduled = 0;
    Time now = 0;
    bool firstIsCut = false;
    int offersElsewhere = 0; ///< openings that were sent to a target in another data centre than the caller's
};

void after(Region &region, Time delay, std::function<void()> run)
{
    region.events.push({region.now + delay, region.scheduled++, std::move(run)});
}

/// Runs an action at another place, unless the packet is lost.
void transfer(Region &region, int from, int to, std::function<void()> run)
{
    if (!region.firstIsCut || from == to || (from != 0 && to != 0)) {
        after(region, from == to ? localTransit : otherTransit, std::move(run));
    }
}

void process(Region &region, Id node, ForwardOutput &&out);

void handleAt(Region &region, Id node, const std::function<void(EdgeForwarder &, ForwardOutput &)> &handle)
{
    SimNode &it = region.nodes.at(node);
    if (it.alive) {
        ForwardOutput out;
        handle(it.forwarder, out);
        process(region, node, std::move(out));
    }
}

/// Sends a caller's packet to the node that the router chooses.
void sendPacket(Region &region, std::size_t index, FlowPacket packet)
{
    const SimFlow &flow = region.flows[index];
    std::vector<Id> own;
    std::vector<Id> all;
    for (const auto &[id, it] : region.nodes) {
        if (it.alive) {
            all.push_back(id);
        }
        if (it.alive && dataCentreOf(id) == flow.dataCentre) {
            own.push_back(id);
        }
    }
    const std::vector<Id> &choice = own.empty() ? all : own;
    const Id node = choice[std::hash<FlowKey>{}(flow.key) % choice.size()];
    packet.flow = flow.key;
    const std::string bytes = std::to_string(index) + (packet.opens ? "o" : packet.finishes ? "f" : "d");
    transfer(region, flow.dataCentre, dataCentreOf(node), [&region, node, packet, bytes] {
        handleAt(region, node, [&](EdgeForwarder &forwarder, ForwardOutput &out) {
            FlowPacket copy = packet;
            copy.bytes = bytes;
            handlePacket(forwarder, copy, region.now, out);
        });
    });
}

void startWork(Region &region, std::uint64_t target)
{
    SimTarget &it = region.targets.at(target);
    constexpr int slots = 2;
    while (it.working < slots && !it.waiting.empty()) {
        const std::size_t index = it.waiting.front();
        it.waiting.pop_front();
        ++it.working;
        after(region, workTime, [&region, target, index] {
            SimTarget &done = region.targets.at(target);
            --done.working;
            startWork(region, target);
            if (!done.alive) {
                return;
            }
            transfer(region, done.dataCentre, region.flows[index].dataCentre, [&region, index] {
                SimFlow &flow = region.flows[index];
                flow.answeredAt = std::min(flow.answeredAt, region.now);
                FlowPacket last;
                last.token = flow.token;
                last.finishes = true;
                sendPacket(region, index, last);
            });
        });
    }
}

/// Sends the request of an open flow, or repeats it.
void sendRequest(Region &region, std::size_t index)
{
    if (region.flows[index].answeredAt == never) {
        FlowPacket data;
        data.token = region.flows[index].token;
        data.sequence = 1;
        data.acknowledgement = 1;
        data.payloadBytes = 100;
        sendPacket(region, index, data);
    }
}

/// Handles a packet at a target: a SYN is answered, data is a request.
void arriveAtTarget(Region &region, std::uint64_t target, const std::string &bytes)
{
    SimTarget &it = region.targets.at(target);
    const std::size_t index = std::stoul(bytes);
    if (!it.alive || bytes.back() == 'f') {
        return;
    }
    if (bytes.back() == 'd') {
        if (!region.flows[index].received) {
            region.flows[index].received = true;
            it.waiting.push_back(index);
            startWork(region, target);
        }
        return;
    }
    transfer(region, it.dataCentre, region.flows[index].dataCentre, [&region, target, index] {
        SimFlow &flow = region.flows[index];
        if (flow.token != 0) {
            return;
        }
        flow.token = tokenOf(target);
        flow.onFailedTarget = !region.targets.at(target).alive; // failed while the SYN+ACK was on its way
        sendRequest(region, index);
        for (const Time age : {200 * millisecond, 600 * millisecond}) {
            after(region, age, [&region, index] { sendRequest(region, index); });
        }
    });
}

void process(Region &region, Id node, ForwardOutput &&out)
{
    const int from = dataCentreOf(node);
    for (const ForwardedPacket &it : out.packets) {
        const int to = region.targets.at(it.target).dataCentre;
        const bool elsewhere = region.flows[std::stoul(it.bytes)].dataCentre != to;
        region.offersElsewhere += it.bytes.back() == 'o' && elsewhere ? 1 : 0;
        transfer(region, from, to, [&region, it] { arriveAtTarget(region, it.target, it.bytes); });
    }
    for (const RelayedOpening &it : out.relayedOpenings) {
        OpeningFlow flow;
        flow.key = region.flows[std::stoul(it.bytes)].key;
        flow.openingPacket = it.bytes;
        flow.originNode = it.originNode == 0 ? node : it.originNode;
        flow.attempt = it.attempt;
        transfer(region, from, dataCentreOf(it.dispatcher), [&region, it, flow] {
            handleAt(region, it.dispatcher, [&](EdgeForwarder &forwarder, ForwardOutput &next) { placeForPeer(forwarder, flow, region.now, next); });
        });
    }
    for (const HeldNotice &it : out.heldNotices) {
        const Id to = it.originNode == 0 ? node : it.originNode;
        transfer(region, from, dataCentreOf(to), [&region, it, to, node] {
            handleAt(region, to, [&](EdgeForwarder &forwarder, ForwardOutput &) { handleHeldNotice(forwarder, to == node ? 0 : node, it.flow, region.now); });
        });
    }
    for (const FlowNotice &it : out.flowNotices) {
        transfer(region, from, dataCentreOf(it.dispatcher), [&region, it] {
            handleAt(region, it.dispatcher, [&](EdgeForwarder &forwarder, ForwardOutput &next) {
                handleFlowNotice(forwarder.dispatcher, forwarder.table, it, region.now, next);
            });
        });
    }
    for (const LoadReport &it : out.loadReports) {
        transfer(region, from, dataCentreOf(it.to), [&region, it, node] {
            handleAt(region, it.to, [&](EdgeForwarder &forwarder, ForwardOutput &next) {
                handleDispatchLoad(forwarder.balancing, node, it.load, region.now, next);
            });
        });
    }
}

void startFlow(Region &region, int dataCentre)
{
    const std::size_t index = region.flows.size();
    SimFlow flow;
    flow.dataCentre = dataCentre;
    flow.key = {{0x64400000 + static_cast<std::uint32_t>(index), 1000}, shopAddress};
    flow.startedAt = region.now;
    region.flows.push_back(flow);
    for (const Time age : {Time{0}, 200 * millisecond, 600 * millisecond}) {
        after(region, age, [&region, index, age] {
            if (region.flows[index].token == 0) {
                FlowPacket opening;
                opening.opens = true;
                opening.openingAge = age;
                sendPacket(region, index, opening);
            }
        });
    }
}

/// Gives each node the members that it can reach.
void updateMembers(Region &region)
{
    for (auto &[id, node] : region.nodes) {
        EdgeForwarder &forwarder = node.forwarder;
        forwarder.members.clear();
        forwarder.memberDataCentres.clear();
        for (const auto &[other, it] : region.nodes) {
            const bool separated = region.firstIsCut && (dataCentreOf(id) == 0) != (dataCentreOf(other) == 0);
            if (it.alive && !separated) {
                forwarder.members.push_back(it.forwarder.self);
                forwarder.memberDataCentres[other] = dataCentreName(dataCentreOf(other));
            }
        }
        updateDispatchers(forwarder, region.now);
    }
}

void tickNode(Region &region, Id node)
{
    handleAt(region, node, [&](EdgeForwarder &forwarder, ForwardOutput &out) { tickForwarder(forwarder, region.now, out); });
    constexpr Time interval = 5 * millisecond;
    after(region, interval, [&region, node] { tickNode(region, node); });
}

struct Result {
    int flows = 0;
    int lost = 0;
    int offersElsewhere = 0;
    double meanMilliseconds = 0; ///< of the flows that were served
};

using Failure = std::function<void(Region &)>;

/// Callers' demand. The slots of a data centre serve 2.1 flows in a millisecond.
struct Demand {
    int flowsPerMillisecond = 2; ///< of all data centres
    double firstShare = 1.0 / dataCentres; ///< share of the callers that are in the first data centre
};

Result run(const Failure &failure, const Demand &demand, bool localDispatch)
{
    Region region;
    const RegionSize size{.dataCentres = dataCentres, .nodes = 4, .targets = 32};
    for (int id = 1; id <= size.dataCentres * size.targets; ++id) {
        region.targets[static_cast<std::uint64_t>(id)].dataCentre = id % size.dataCentres;
    }
    for (int d = 0; d < size.dataCentres; ++d) {
        for (int n = 1; n <= size.nodes; ++n) {
            SimNode &node = region.nodes[makeNode(d, n).instance];
            node.forwarder = makeRegionForwarder(size, makeNode(d, n), localDispatch);
            tickNode(region, makeNode(d, n).instance);
        }
    }
    Random random;
    random.state = 1;
    for (Time at = millisecond; at < trafficEnd; at += millisecond) {
        for (int n = 0; n < demand.flowsPerMillisecond; ++n) {
            const int from = unit(random) < demand.firstShare ? 0 : 1 + static_cast<int>(below(random, dataCentres - 1));
            after(region, at + static_cast<Time>(below(random, millisecond)), [&region, from] { startFlow(region, from); });
        }
    }
    after(region, failureAt, [&region, &failure] { failure(region); });
    after(region, failureAt + detectionTime, [&region] { updateMembers(region); });
    while (region.events.top().at < trafficEnd + requestTimeout) {
        const Event event = region.events.top();
        region.events.pop();
        region.now = event.at;
        event.run();
    }
    Result result;
    for (const SimFlow &it : region.flows) {
        if (it.onFailedTarget) {
            continue;
        }
        const bool served = it.answeredAt != never && it.answeredAt - it.startedAt < requestTimeout;
        ++result.flows;
        result.lost += served ? 0 : 1;
        result.meanMilliseconds += served ? static_cast<double>(it.answeredAt - it.startedAt) / millisecond : 0;
    }
    result.meanMilliseconds /= std::max(1, result.flows - result.lost);
    result.offersElsewhere = region.offersElsewhere;
    return result;
}

/// Removes the entries of the first data centre's targets, or marks them as draining. Requests at work are answered.
void withdrawTargets(Region &region, bool draining)
{
    for (auto &[id, node] : region.nodes) {
        for (auto &[target, it] : region.targets) {
            if (it.dataCentre == 0 && draining) {
                TargetRecord record = findTarget(node.forwarder.table, target)->record;
                record.state = TargetState::Draining;
                record.revision.number += 10'000;
                applyTarget(node.forwarder.table, record, region.now);
            } else if (it.dataCentre == 0) {
                removeTarget(node.forwarder.table, target, 30'000, region.now);
            }
        }
        updateDispatchers(node.forwarder, region.now);
    }
}

/// Lets the first data centre's targets fall silent. Requests that are open there can't be served and aren't counted.
void silenceTargets(Region &region)
{
    for (auto &[id, it] : region.targets) {
        it.alive = it.alive && it.dataCentre != 0;
    }
    for (SimFlow &flow : region.flows) {
        const bool open = flow.token != 0 && flow.answeredAt == never;
        flow.onFailedTarget = open && std::ranges::any_of(region.targets, [&](const auto &it) { return !it.second.alive && tokenOf(it.first) == flow.token; });
    }
}

void endNodes(Region &region, bool all)
{
    const DispatcherTable dispatchers = region.nodes.begin()->second.forwarder.dispatchers.find("shop")->second;
    for (auto &[id, node] : region.nodes) {
        const bool dispatches = std::ranges::any_of(dispatchers.dispatchers, [key = id](const InstanceKey &it) { return it.instance == key; });
        node.alive = node.alive && !(dataCentreOf(id) == 0 && (all || dispatches));
    }
}

} // namespace

// Guards against requests that are lost, or served later, because they stay in the data centre: with local dispatch each case is
// served at least as well as without.
TEST_CASE("region: local dispatch loses no more requests than dispatch over all data centres")
{
    struct Row {
        std::string name;
        Failure failure;
        bool mayLose; ///< some requests can't be served, such as those that are at work across the cut
        bool mayLeave; ///< some flows have to leave
        Demand demand = {};
        double laterMilliseconds = 1; ///< by which the mean may be higher than without
    };
    const Row rows[] = {
        {"nothing fails", [](Region &) {}, false, false},
        {"cut off", [](Region &region) { region.firstIsCut = true; }, true, true},
        {"targets gone", [](Region &region) { withdrawTargets(region, false); }, false, true},
        {"targets draining", [](Region &region) { withdrawTargets(region, true); }, false, true},
        {"targets silent", silenceTargets, false, true},
        {"dispatchers gone", [](Region &region) { endNodes(region, false); }, false, true},
        {"all nodes gone", [](Region &region) { endNodes(region, true); }, false, true},
        {"1.5 times the room at one", [](Region &) {}, false, true, {4, 0.8}, 30},
    };
    for (const Row &row : rows) {
        const Result off = run(row.failure, row.demand, false);
        const Result on = run(row.failure, row.demand, true);
        MESSAGE(row.name << ": of " << on.flows << " flows lost " << off.lost << " without, " << on.lost << " with; mean " << off.meanMilliseconds << ", "
                         << on.meanMilliseconds << " ms; offers elsewhere " << off.offersElsewhere << ", " << on.offersElsewhere);
        CAPTURE(row.name);
        CHECK(on.lost <= off.lost);
        CHECK((row.mayLose || on.lost == 0));
        CHECK(on.meanMilliseconds <= off.meanMilliseconds + row.laterMilliseconds);
        CHECK(on.offersElsewhere <= off.offersElsewhere);
        CHECK((row.mayLeave || on.offersElsewhere == 0));
    }
}
