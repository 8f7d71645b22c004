#pragma once

#include <deque>
#include <functional>
#include <map>
#include <vector>

#include <pimentofold/outlier/outlier.h>

#include <libpimentofold/edgetestdata.h>

/// Simulation of one dispatcher, its targets and their callers on virtual time, for the tests of outlier detection.
namespace pimentofold::testdata {

/// Load of a simulation. The first targets are the bad ones.
struct OutlierLoad {
    int targets = 18;
    int bad = 0;
    double hangShare = 0; ///< of the requests on bad targets
    Time flapPeriod = 0; ///< the bad targets hang only in every second period of this length; 0: all the time
    double slowFactor = 1; ///< of the bad targets
    double rate = 600; ///< requests per second; each target can take 133
    double uneven = 0; ///< share of the requests that comes in bursts of 200 ms in each second
    bool exponentialTimes = true; ///< false: all requests of a route take the same time
    double allSlowFactor = 1; ///< of all targets, from a third of the time on
    int callers = 50;
    Time entryPeriod = 0; ///< the entries of the bad targets change between ready and draining with this period; 0: always ready
    bool badCaller = false; ///< the answers of the bad targets don't reach the first caller
    std::size_t keptFlows = 0; ///< callers keep this many flows open for further requests; 0: none
    Time pauseAt = never; ///< the dispatcher pauses for 400 ms
    Time duration = 20 * second;
};

struct OutlierResult {
    int inTime = 0; ///< answered within the goal of 300 ms
    int late = 0;
    int lost = 0; ///< not answered within 2 s, or not placed within 1.4 s
    double totalTime = 0; ///< of the answered ones, in seconds
    int ejected = 0; ///< ejections of bad targets
    int wronglyEjected = 0;
    int returned = 0;
    std::size_t maxEjected = 0; ///< at the same time
};

class OutlierSim
{
public:
    OutlierSim(const OutlierLoad &load, bool enabled, std::uint64_t seed)
        : m_load(load)
        , m_random{seed}
        , m_flowRandom{seed + 2}
        , m_node(makeForwarder(load.targets, 0))
        , m_servers(static_cast<std::size_t>(load.targets))
    {
        m_node.table.outliers.settings.enabled = enabled;
        m_node.dispatcher.random.state = seed + 1;
        EdgeConfig config = makeConfig(100, {makeRoute(shopAddress, "shop"), makeRoute(otherAddress, "shop")});
        config.routes[1].type = RouteType::Unsafe;
        applyConfig(m_node.table, config);
    }

    OutlierResult run()
    {
        at(0, [this] { arrive(); });
        at(0, [this] { tick(); });
        while (!m_events.empty()) {
            auto event = m_events.extract(m_events.begin());
            m_now = std::max(m_now, event.key());
            if (m_now >= m_load.pauseAt && m_now < m_load.pauseAt + 400 * millisecond) {
                m_now = m_load.pauseAt + 400 * millisecond;
            }
            event.mapped()();
        }
        return m_result;
    }

private:
    struct Request {
        FlowKey flow;
        Time startedAt = 0;
        double unitWork = 1; ///< time that it takes on a usual target, divided by the mean of its route
        bool mayHang = false; ///< hangs on a bad target
        std::uint64_t target = 0; ///< 0: not placed yet
        bool open = true; ///< the caller waits
    };
    struct Server {
        int busy = 0;
        std::deque<std::size_t> queue; ///< requests
    };

    void at(Time time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }

    bool isBad(std::uint64_t target) const
    {
        return target <= static_cast<std::uint64_t>(m_load.bad);
    }

    void changeEntries()
    {
        for (std::uint64_t id = 1; m_load.entryPeriod != 0 && id <= static_cast<std::uint64_t>(m_load.bad); ++id) {
            TargetRecord record = makeTarget(id, 1000 + m_now);
            record.state = m_now / m_load.entryPeriod % 2 == 1 ? TargetState::Draining : TargetState::Ready;
            applyTarget(m_node.table, record, m_now);
        }
    }

    void tick()
    {
        changeEntries();
        ForwardOutput out;
        tickDispatcher(m_node.dispatcher, m_node.table, m_now, out);
        tickOutlierDetection(m_node.table, m_now, out.outlierEvents);
        for (const OutlierEvent &it : out.outlierEvents) {
            (it.ejected ? (isBad(it.target) ? m_result.ejected : m_result.wronglyEjected) : m_result.returned) += 1;
        }
        m_result.maxEjected = std::max(m_result.maxEjected, m_node.table.outliers.ejectedCount);
        deliver(out);
        if (m_now < m_load.duration + 5 * second) {
            at(m_now + 20 * millisecond, [this] { tick(); });
        }
    }

    void deliver(const ForwardOutput &out)
    {
        for (const ForwardedPacket &it : out.packets) {
            startOn(m_byOpening.at(it.bytes), it.target);
        }
    }

    void arrive()
    {
        if (m_now >= m_load.duration) {
            return;
        }
        constexpr Time burst = 200 * millisecond;
        const bool inBurst = m_now % second < burst;
        const double factor = inBurst ? 1 - m_load.uneven + 5 * m_load.uneven : 1 - m_load.uneven;
        at(m_now + std::max<Time>(static_cast<Time>(exponential(m_random, second / (m_load.rate * factor))), 1), [this] { arrive(); });
        // Drawn here, so that the load is the same whatever the placement is.
        const double unitWork = m_load.exponentialTimes ? exponential(m_random, 1) : 1;
        const bool mayHang = chance(m_random, m_load.hangShare);
        const std::size_t number = m_requests.size();
        const auto caller = static_cast<std::uint32_t>(below(m_random, static_cast<std::uint64_t>(m_load.callers)));
        m_requests.push_back(
            {{{0x64400001 + caller, static_cast<std::uint16_t>(number)}, chance(m_random, 0.7) ? shopAddress : otherAddress}, m_now, unitWork, mayHang});
        constexpr Time timeout = 2 * second;
        at(m_now + timeout, [this, number] { giveUp(number); });
        if (m_openFlows >= m_load.keptFlows && !m_idle.empty()) {
            continueFlow(number);
            return;
        }
        at(m_now + 1400 * millisecond, [this, number] {
            if (m_requests[number].target == 0) {
                giveUp(number);
            }
        });
        ++m_openFlows;
        OpeningFlow opening;
        opening.key = m_requests[number].flow;
        opening.openingPacket = std::to_string(number);
        m_byOpening[opening.openingPacket] = number;
        ForwardOutput out;
        placeFlow(m_node.dispatcher, m_node.table, opening, m_now, out);
        deliver(out);
    }

    void continueFlow(std::size_t number)
    {
        const std::size_t n = below(m_flowRandom, m_idle.size());
        const Request idle = m_requests[m_idle[n]];
        m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(n));
        m_requests[number].flow = idle.flow;
        notify(FlowNoticeKind::WorkStarted, idle.flow, idle.target);
        startOn(number, idle.target);
    }

    void notify(FlowNoticeKind kind, const FlowKey &flow, std::uint64_t target)
    {
        ForwardOutput out;
        handleFlowNotice(m_node.dispatcher, m_node.table, {kind, 0, flow, target}, m_now, out);
        deliver(out);
    }

    void startOn(std::size_t number, std::uint64_t target)
    {
        m_requests[number].target = target;
        m_servers[target - 1].queue.push_back(number);
        work(target);
    }

    bool hangs(const Request &request) const
    {
        const bool isDown = m_load.flapPeriod == 0 || m_now / m_load.flapPeriod % 2 == 1;
        return isBad(request.target) && request.mayHang && isDown;
    }

    Time workTime(const Request &request) const
    {
        const double mean = request.flow.service == shopAddress ? 10 * millisecond : 27 * millisecond;
        const double slow = (isBad(request.target) ? m_load.slowFactor : 1) * (m_now > m_load.duration / 3 ? m_load.allSlowFactor : 1);
        return millisecond + static_cast<Time>(slow * request.unitWork * mean);
    }

    void work(std::uint64_t target)
    {
        Server &server = m_servers[target - 1];
        while (server.busy < 2 && !server.queue.empty()) {
            const std::size_t number = server.queue.front();
            server.queue.pop_front();
            if (m_requests[number].open) {
                ++server.busy;
                const bool isHanging = hangs(m_requests[number]);
                at(m_now + (isHanging ? 6500 * millisecond : workTime(m_requests[number])), [this, number, target] {
                    --m_servers[target - 1].busy;
                    answer(number);
                    work(target);
                });
            }
        }
    }

    void answer(std::size_t number)
    {
        Request &request = m_requests[number];
        const bool isUnreached = m_load.badCaller && isBad(request.target) && request.flow.caller.ip == 0x64400001;
        if (!request.open || isUnreached) {
            return;
        }
        request.open = false;
        const Time elapsed = m_now - request.startedAt;
        (elapsed <= 300 * millisecond ? m_result.inTime : m_result.late) += 1;
        m_result.totalTime += static_cast<double>(elapsed) / static_cast<double>(second);
        notify(FlowNoticeKind::WorkEnded, request.flow, request.target);
        if (m_load.keptFlows > 0) {
            m_idle.push_back(number);
        } else {
            notify(FlowNoticeKind::Ended, request.flow, request.target);
        }
    }

    void giveUp(std::size_t number)
    {
        Request &request = m_requests[number];
        if (request.open) {
            request.open = false;
            ++m_result.lost;
            --m_openFlows;
            notify(FlowNoticeKind::Ended, request.flow, request.target);
        }
    }

    OutlierLoad m_load;
    Random m_random; ///< for the requests
    Random m_flowRandom; ///< for the choice of kept flows
    EdgeForwarder m_node;
    std::vector<Server> m_servers; ///< by target id - 1
    std::vector<Request> m_requests;
    std::size_t m_openFlows = 0;
    std::vector<std::size_t> m_idle; ///< last requests of the open flows without a request
    std::map<std::string, std::size_t> m_byOpening;
    std::multimap<Time, std::function<void()>> m_events;
    Time m_now = 0;
    OutlierResult m_result;
};

} // namespace pimentofold::testdata
