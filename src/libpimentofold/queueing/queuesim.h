#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <pimentofold/dispatch.h>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/queueing/waitestimate.h>

/// One dispatcher with its targets and the callers of three data centres on virtual time, for the tests of the admission queue.
namespace pimentofold::testdata {

constexpr std::size_t simRoutes = 3;
constexpr std::size_t simDataCentres = 3;
constexpr Time simTransit = millisecond;
/// A flow that is placed less than this before its caller gives it up counts as not placed in time.
constexpr Time lastMoment = 150 * millisecond;

/// A route of the simulation.
struct SimRoute {
    double perSecond = 0; ///< usual requests of all data centres
    Time work = 0;
    Time goal = 0;
    Time timeout = 0;
    bool usesSecond = false; ///< also names the second service
};

/// Most urgent first. The targets can work on 1.7 times these requests.
constexpr std::array<SimRoute, simRoutes> simRouteTable{{{228, 30 * millisecond, 300 * millisecond, 2000 * millisecond, true},
                                                         {65, 39 * millisecond, 300 * millisecond, 2500 * millisecond, false},
                                                         {100, 5 * millisecond, 800 * millisecond, 6000 * millisecond, false}}};

/// Parameters of a run.
struct QueueLoad {
    std::string name;
    /// @return factor on the usual requests
    std::function<double(std::size_t route, std::size_t dataCentre, Time now)> factor = [](std::size_t, std::size_t, Time) { return 1.0; };
    Time lossAt = never; ///< a third of the targets goes
    Time returnAt = never; ///< they come back
    bool fair = true;
    int retries = 2;
    int attempt = 1; ///< of the requests to place a flow; above 1: no flow is refused
    int workFactor = 1; ///< requests take this many times as long as usual
    bool oneService = false; ///< all routes name one service only
    Time length = 6 * second;
    std::uint64_t seed = 1;
};

/// What became of requests.
struct Outcomes {
    int inTime = 0;
    int late = 0;
    int refused = 0; ///< the last attempt was refused
    int lost = 0; ///< no answer to the last attempt

    int served() const
    {
        return inTime + late;
    }
    int all() const
    {
        return served() + refused + lost;
    }
};

/// Outcomes of a run.
struct QueueResult {
    std::array<Outcomes, simRoutes> byRoute;
    std::array<Outcomes, simDataCentres> byDataCentre;
    Outcomes sum;
    std::map<RefusalReason, int> refusals; ///< of flows
    int hopeless = 0; ///< requests with a flow that findHopeless() has named
    int hopelessPlaced = 0; ///< those of which a flow was placed later while its caller waited
};

class QueueSim
{
public:
    explicit QueueSim(const QueueLoad &load)
        : m_load(load)
    {
        m_random.state = load.seed;
        m_node.dispatcher.queue.fair = load.fair;
        m_node.dispatcher.random.state = load.seed;
        std::vector<EdgeRoute> routes;
        for (std::size_t i = 0; i < simRoutes; ++i) {
            EdgeRoute route = makeRoute({0xc6120001 + static_cast<std::uint32_t>(i), 443}, "main");
            route.urgency = static_cast<int>(i);
            route.responseTimeGoal = simRouteTable.at(i).goal;
            route.timeout = simRouteTable.at(i).timeout;
            if (simRouteTable.at(i).usesSecond && !load.oneService) {
                route.weightedServices = {{"main", 3}, {"other", 1}};
            }
            routes.push_back(route);
        }
        applyConfig(m_node.table, makeConfig(10, routes));
        for (std::uint64_t id = 1; id <= targets; ++id) {
            applyTarget(m_node.table, makeTarget(id, 10 + static_cast<std::int64_t>(id), id % 4 == 0 ? "other" : "main"), 0);
        }
        setTargetHistoryStart(m_node.table, 100);
    }

    QueueResult run()
    {
        for (std::size_t route = 0; route < simRoutes; ++route) {
            for (std::size_t dataCentre = 0; dataCentre < simDataCentres; ++dataCentre) {
                scheduleRequest(route, dataCentre, 0);
            }
        }
        at(m_load.lossAt, [this] { setLost(true); });
        at(m_load.returnAt, [this] { setLost(false); });
        while (!m_events.empty() && m_events.begin()->first < m_load.length + 7 * second) {
            const Time tick = nextDispatcherTick(m_node.dispatcher);
            if (tick < m_events.begin()->first) {
                m_now = std::max(m_now, tick);
                ForwardOutput out;
                for (const FlowKey &it : findHopeless(m_node.dispatcher.queue, m_now)) {
                    m_requests[m_flows[m_flowsByKey.at(it)].request].hopeless = true;
                }
                tickDispatcher(m_node.dispatcher, m_node.table, m_now, out);
                process(out);
                continue;
            }
            m_now = m_events.begin()->first;
            const std::function<void()> event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        return result();
    }

private:
    static constexpr std::uint64_t targets = 8;

    struct Request {
        std::size_t route = 0;
        std::size_t dataCentre = 0;
        Time startedAt = 0;
        Time work = 0;
        Time answeredAt = never;
        int attempts = 0;
        bool refused = false; ///< the last attempt was
        bool hopeless = false; ///< findHopeless() has named a flow of it
        bool placedLater = false; ///< after that
    };

    struct Flow {
        std::size_t request = 0;
        Time startedAt = 0;
        bool opened = false;
        bool over = false;
        std::uint64_t target = 0;
        Time age = 0; ///< of the last opening packet
    };

    struct SimTarget {
        int free = 2;
        std::deque<std::size_t> queue; ///< flows
    };

    void at(Time when, std::function<void()> event)
    {
        if (when != never) {
            m_events.emplace(when, std::move(event));
        }
    }

    void scheduleRequest(std::size_t route, std::size_t dataCentre, Time from)
    {
        // Thinning of a Poisson process, whose rate is at most this many times the usual one.
        constexpr double most = 8;
        const double usual = simRouteTable.at(route).perSecond / static_cast<double>(simDataCentres);
        const Time when = from + 1 + static_cast<Time>(exponential(m_random, static_cast<double>(second) / (usual * most)));
        if (when >= m_load.length) {
            return;
        }
        const bool accepted = chance(m_random, m_load.factor(route, dataCentre, when) / most);
        const auto work = static_cast<Time>(exponential(m_random, static_cast<double>(simRouteTable.at(route).work * m_load.workFactor)));
        at(when, [this, route, dataCentre, when, accepted, work] {
            if (accepted) {
                m_requests.push_back({route, dataCentre, when, work});
                openFlow(m_requests.size() - 1);
            }
            scheduleRequest(route, dataCentre, when);
        });
    }

    FlowKey keyOf(std::size_t flow) const
    {
        const std::size_t request = m_flows[flow].request;
        const auto route = static_cast<std::uint32_t>(m_requests[request].route);
        // A caller address has 32 requests in all data centres.
        return {{0x64400000 + static_cast<std::uint32_t>(request / 32), static_cast<std::uint16_t>(1024 + flow % 60'000)}, {0xc6120001 + route, 443}};
    }

    void openFlow(std::size_t request)
    {
        Request &it = m_requests[request];
        if (it.attempts > m_load.retries || m_now - it.startedAt >= simRouteTable.at(it.route).timeout) {
            return;
        }
        ++it.attempts;
        it.refused = false;
        const std::size_t flow = m_flows.size();
        m_flows.push_back({request, m_now});
        m_flowsByKey[keyOf(flow)] = flow;
        for (const Time age : {Time{0}, 200 * millisecond, 600 * millisecond}) {
            at(m_now + age, [this, flow, age] { sendOpening(flow, age); });
        }
        at(m_now + openingTimeout, [this, flow] {
            if (!m_flows[flow].opened && !m_flows[flow].over) {
                m_flows[flow].over = true;
                openFlow(m_flows[flow].request);
            }
        });
    }

    /// @return whether the caller has given the flow or its request up
    bool isOver(std::size_t flow) const
    {
        const Request &request = m_requests[m_flows[flow].request];
        return m_flows[flow].over || m_now - request.startedAt >= simRouteTable.at(request.route).timeout;
    }

    void sendOpening(std::size_t flow, Time age)
    {
        if (m_flows[flow].opened || isOver(flow)) {
            return;
        }
        m_flows[flow].age = age;
        OpeningFlow opening;
        opening.key = keyOf(flow);
        opening.originNode = 7;
        opening.attempt = m_load.attempt;
        opening.openingAge = age;
        opening.dataCentre = "dc" + std::to_string(m_requests[m_flows[flow].request].dataCentre);
        opening.openingPacket = std::to_string(flow);
        ForwardOutput out;
        placeFlow(m_node.dispatcher, m_node.table, opening, m_now, out);
        if (!out.heldNotices.empty()) {
            // The node that received the opening packet asks again.
            at(m_now + 200 * millisecond, [this, flow, age] {
                if (m_flows[flow].age == age) {
                    sendOpening(flow, age);
                }
            });
        }
        process(out);
    }

    void process(const ForwardOutput &out)
    {
        for (const ForwardedPacket &it : out.packets) {
            const std::size_t flow = std::stoul(it.bytes);
            m_flows[flow].target = it.target;
            at(m_now + 2 * simTransit, [this, flow] { answerOpening(flow); });
        }
        for (const RefusedNotice &it : out.refusedNotices) {
            const std::size_t flow = m_flowsByKey.at(it.flow);
            ++m_result.refusals[it.reason];
            at(m_now + simTransit, [this, flow] { refuse(flow); });
        }
    }

    void refuse(std::size_t flow)
    {
        if (m_flows[flow].over || m_flows[flow].opened) {
            return;
        }
        m_flows[flow].over = true;
        Request &request = m_requests[m_flows[flow].request];
        request.refused = true;
        openFlow(m_flows[flow].request);
    }

    /// The caller continues the flow, or resets it if it has given up.
    void answerOpening(std::size_t flow)
    {
        if (isOver(flow) || m_flows[flow].opened) {
            notify(FlowNoticeKind::Ended, flow);
            return;
        }
        m_flows[flow].opened = true;
        Request &request = m_requests[m_flows[flow].request];
        // At the last moment a flow may be placed because older ones have expired.
        request.placedLater = request.hopeless && m_now - m_flows[flow].startedAt < openingTimeout - lastMoment;
        m_targets[m_flows[flow].target].queue.push_back(flow);
        startWork(m_flows[flow].target);
    }

    void startWork(std::uint64_t id)
    {
        SimTarget &target = m_targets[id];
        if (target.free == 0 || target.queue.empty()) {
            return;
        }
        --target.free;
        const std::size_t flow = target.queue.front();
        target.queue.pop_front();
        at(m_now + m_requests[m_flows[flow].request].work, [this, id, flow] {
            ++m_targets[id].free;
            m_requests[m_flows[flow].request].answeredAt = m_now + simTransit;
            notify(FlowNoticeKind::WorkEnded, flow);
            notify(FlowNoticeKind::Ended, flow);
            startWork(id);
        });
    }

    void notify(FlowNoticeKind kind, std::size_t flow)
    {
        at(m_now + simTransit, [this, kind, flow] {
            ForwardOutput out;
            handleFlowNotice(m_node.dispatcher, m_node.table, {kind, 0, keyOf(flow), m_flows[flow].target}, m_now, out);
            process(out);
        });
    }

    /// Lost targets finish their flows and get no new ones.
    void setLost(bool lost)
    {
        for (std::uint64_t id = 1; id <= targets; id += 3) {
            TargetRecord record = makeTarget(id, (lost ? 200 : 300) + static_cast<std::int64_t>(id), id % 4 == 0 ? "other" : "main");
            record.state = lost ? TargetState::Draining : TargetState::Ready;
            applyTarget(m_node.table, record, m_now);
        }
    }

    QueueResult result()
    {
        for (const Request &it : m_requests) {
            const SimRoute &route = simRouteTable.at(it.route);
            const Time time = it.answeredAt == never ? never : it.answeredAt - it.startedAt;
            for (Outcomes *outcomes : {&m_result.byRoute.at(it.route), &m_result.byDataCentre.at(it.dataCentre), &m_result.sum}) {
                int &n = time <= route.goal ? outcomes->inTime : time <= route.timeout ? outcomes->late : it.refused ? outcomes->refused : outcomes->lost;
                ++n;
            }
            m_result.hopeless += it.hopeless ? 1 : 0;
            m_result.hopelessPlaced += it.placedLater ? 1 : 0;
        }
        return m_result;
    }

    QueueLoad m_load;
    EdgeForwarder m_node;
    Random m_random;
    Time m_now = 0;
    std::multimap<Time, std::function<void()>> m_events;
    std::vector<Request> m_requests;
    std::vector<Flow> m_flows;
    std::unordered_map<FlowKey, std::size_t> m_flowsByKey;
    std::map<std::uint64_t, SimTarget> m_targets;
    QueueResult m_result;
};

} // namespace pimentofold::testdata
