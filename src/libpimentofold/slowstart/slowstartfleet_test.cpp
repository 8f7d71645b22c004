#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>

#include <pimentofold/slowstart/slowstart.h>

#include <libpimentofold/edgetestdata.h>

// Slow start over three nodes on virtual time: callers, targets, transit times and messages between nodes.

using namespace pimentofold;
using namespace pimentofold::testdata;

namespace {

constexpr Time transit = millisecond;
constexpr std::size_t nodeCount = 3;
constexpr Time coldTime = minute;
constexpr std::array<InstanceKey, nodeCount> nodeKeys{{{1, 0}, {2, 1}, {3, 10 * second}}};
constexpr std::array<Time, 2> retransmissionAges{200 * millisecond, 600 * millisecond};
constexpr Time callerPatience = 1400 * millisecond;

/// Parameters of a run.
struct Scenario {
    std::string name;
    int warm = 80;
    int cold = 40;
    double coldRate = 4;
    bool limited = true;
    int flowsPerSecond = 3000; ///< the warm targets can take 2,667 with the default service time
    Time serviceTime = 60 * millisecond;
    bool slowCold = false; ///< a cold target can work on no more than coldRate requests per second
    Time length = 6 * second;
    Time goal = 600 * millisecond;
    bool silent = false; ///< cold targets don't answer, so that flows are offered repeatedly
    Time restartPeriod = 0; ///< the nodes restart in turn
    int unreachable = -1; ///< index of a node that gets no messages of the others, while all see it as live
    /// @return the members that a node sees
    std::function<std::vector<std::size_t>(std::size_t node, Time now)> view;
};

struct SimTarget {
    std::array<Time, 2> slots{}; ///< when each slot is free
    Time nextColdStart = 0;
    bool cold = false;
    Time work = 0; ///< time of requests started before the end of the run
    std::vector<Time> openings; ///< arrivals
};

struct SimFlow {
    FlowKey key;
    std::size_t node = 0;
    std::string opening, data, finish; ///< packets: kind and index of the flow
    Time startedAt = 0;
    bool opened = false;
    bool done = false;
    FlowToken token = 0;
};

struct Result {
    int worstSecond = 0; ///< most openings of one cold target in any second
    int coldOpenings = 0;
    double inTime = 0; ///< share of the flows
    double warmUse = 0; ///< share of the slots' time
};

class Fleet
{
public:
    explicit Fleet(Scenario scenario)
        : m_scenario(std::move(scenario))
    {
        for (int id = 1; id <= m_scenario.cold + m_scenario.warm; ++id) {
            m_targets[static_cast<std::uint64_t>(id)].cold = id <= m_scenario.cold;
        }
        for (std::size_t i = 0; i < nodeCount; ++i) {
            startNode(i);
        }
    }

    Result run()
    {
        int started = 0;
        // The second after the end lets the last flows finish.
        for (m_now = 0; m_now < m_scenario.length + second; m_now += millisecond) {
            updateViews();
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const std::function<void()> event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            while (m_now < m_scenario.length && started < m_now * m_scenario.flowsPerSecond / second) {
                startFlow(started++);
            }
            for (std::size_t i = 0; i < nodeCount; ++i) {
                if (m_now >= nextForwarderTick(m_nodes[i])) {
                    ForwardOutput out;
                    tickForwarder(m_nodes[i], m_now, out);
                    send(i, out);
                }
            }
        }
        return result();
    }

private:
    void startNode(std::size_t i)
    {
        EdgeForwarder node;
        node.self = nodeKeys.at(i);
        node.dispatcher.settings.dataCentre = "dc1";
        node.dispatcher.random.state = 20'261'206 + i;
        node.table.slowStart.settings = {m_scenario.limited, 1.5, 5, 0};
        EdgeConfig config = makeConfig(10, {makeRoute(shopAddress, "shop")});
        config.services = {{"shop", coldTime, m_scenario.coldRate}};
        applyConfig(node.table, config);
        for (const auto &[id, target] : m_targets) {
            TargetRecord record = makeTarget(id, 10 + static_cast<std::int64_t>(id));
            record.warmup = target.cold ? coldTime - m_now : 0;
            applyTarget(node.table, record, m_now);
        }
        setTargetHistoryStart(node.table, 10'000);
        m_nodes[i] = std::move(node);
        m_views[i].clear();
    }

    void updateViews()
    {
        const Time period = m_scenario.restartPeriod;
        if (period > 0 && m_now > 0 && m_now % period == 0) {
            startNode(static_cast<std::size_t>(m_now / period) % nodeCount);
        }
        for (std::size_t i = 0; i < nodeCount; ++i) {
            std::vector<std::size_t> view = m_scenario.view ? m_scenario.view(i, m_now) : std::vector<std::size_t>{0, 1, 2};
            if (view == m_views[i]) {
                continue;
            }
            m_views[i] = std::move(view);
            m_nodes[i].members.clear();
            for (const std::size_t it : m_views[i]) {
                m_nodes[i].members.push_back(nodeKeys.at(it));
            }
            updateDispatchers(m_nodes[i], m_now);
        }
    }

    void at(Time time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }

    void startFlow(int n)
    {
        const std::string index = std::to_string(n);
        SimFlow flow;
        flow.key = {{0x64400000 + static_cast<std::uint32_t>(n), 40'000}, shopAddress};
        flow.node = static_cast<std::size_t>(n) % nodeCount;
        flow.opening = "o" + index;
        flow.data = "d" + index;
        flow.finish = "f" + index;
        flow.startedAt = m_now;
        m_flows.push_back(std::move(flow));
        const auto i = static_cast<std::size_t>(n);
        sendOpening(i, 0);
        for (const Time age : retransmissionAges) {
            at(m_now + age, [this, i, age] { sendOpening(i, age); });
        }
    }

    void sendOpening(std::size_t i, Time age)
    {
        SimFlow &flow = m_flows[i];
        if (flow.opened) {
            return;
        }
        FlowPacket packet;
        packet.flow = flow.key;
        packet.opens = true;
        packet.openingAge = age;
        packet.bytes = flow.opening;
        toNode(flow.node, packet);
    }

    void toNode(std::size_t node, const FlowPacket &packet)
    {
        ForwardOutput out;
        handlePacket(m_nodes[node], packet, m_now, out);
        send(node, out);
    }

    bool isLost(std::size_t to) const
    {
        return static_cast<int>(to) == m_scenario.unreachable;
    }

    void send(std::size_t from, const ForwardOutput &out)
    {
        for (const ForwardedPacket &it : out.packets) {
            at(m_now + transit, [this, it] { onTargetPacket(it); });
        }
        for (const RelayedOpening &it : out.relayedOpenings) {
            OpeningFlow flow;
            flow.key = m_flows[std::stoul(it.bytes.substr(1))].key;
            flow.openingPacket = it.bytes;
            flow.originNode = nodeKeys.at(from).instance;
            flow.attempt = it.attempt;
            toPeer(it.dispatcher, [flow](EdgeForwarder &node, Time now, ForwardOutput &answer) { placeForPeer(node, flow, now, answer); });
        }
        const Id sender = nodeKeys.at(from).instance;
        for (const HeldNotice &it : out.heldNotices) {
            toPeer(it.originNode, [it, sender](EdgeForwarder &node, Time now, ForwardOutput &) { handleHeldNotice(node, sender, it.flow, now); });
        }
        for (const SettledNotice &it : out.settledNotices) {
            toPeer(it.originNode, [it, sender](EdgeForwarder &node, Time, ForwardOutput &) { handleSettledNotice(node, sender, it.flow); });
        }
        for (const FlowNotice &it : out.flowNotices) {
            toPeer(it.dispatcher,
                   [it](EdgeForwarder &node, Time now, ForwardOutput &answer) { handleFlowNotice(node.dispatcher, node.table, it, now, answer); });
        }
    }

    void toPeer(Id peer, std::function<void(EdgeForwarder &, Time, ForwardOutput &)> handle)
    {
        const auto to = static_cast<std::size_t>(peer - 1);
        if (peer == 0 || isLost(to)) {
            return;
        }
        at(m_now + transit, [this, to, handle = std::move(handle)] {
            ForwardOutput answer;
            handle(m_nodes[to], m_now, answer);
            send(to, answer);
        });
    }

    void onTargetPacket(const ForwardedPacket &packet)
    {
        SimTarget &target = m_targets.at(packet.target);
        const std::size_t i = std::stoul(packet.bytes.substr(1));
        if (packet.bytes.front() == 'o') {
            target.openings.push_back(m_now);
            if (!target.cold || !m_scenario.silent) {
                at(m_now + transit, [this, i, token = packet.token] { onAccepted(i, token); });
            }
        } else if (packet.bytes.front() == 'd') {
            Time &slot = *std::ranges::min_element(target.slots);
            Time start = std::max(m_now, slot);
            if (target.cold && m_scenario.slowCold) {
                start = std::max(start, target.nextColdStart);
                target.nextColdStart = start + static_cast<Time>(static_cast<double>(second) / std::max(m_scenario.coldRate, 1.0));
            }
            slot = start + m_scenario.serviceTime;
            target.work += start < m_scenario.length ? m_scenario.serviceTime : 0;
            at(slot + transit, [this, i] { onAnswered(i); });
        }
    }

    FlowPacket laterPacket(std::size_t i) const
    {
        FlowPacket packet;
        packet.flow = m_flows[i].key;
        packet.token = m_flows[i].token;
        return packet;
    }

    void onAccepted(std::size_t i, FlowToken token)
    {
        if (m_flows[i].opened || m_now - m_flows[i].startedAt > callerPatience) {
            return;
        }
        m_flows[i].opened = true;
        m_flows[i].token = token;
        FlowPacket packet = laterPacket(i);
        packet.payloadBytes = 4;
        packet.bytes = m_flows[i].data;
        toNode(m_flows[i].node, packet);
    }

    void onAnswered(std::size_t i)
    {
        m_flows[i].done = true;
        m_inTime += m_now - m_flows[i].startedAt <= m_scenario.goal ? 1 : 0;
        FlowPacket packet = laterPacket(i);
        packet.finishes = true;
        packet.bytes = m_flows[i].finish;
        toNode(m_flows[i].node, packet);
    }

    Result result() const
    {
        Result result;
        Time warmWork = 0;
        for (const auto &[id, target] : m_targets) {
            warmWork += target.cold ? 0 : target.work;
            for (std::size_t first = 0, last = 0; target.cold && last < target.openings.size(); ++last) {
                while (target.openings[last] - target.openings[first] >= second) {
                    ++first;
                }
                result.worstSecond = std::max(result.worstSecond, static_cast<int>(last - first) + 1);
                ++result.coldOpenings;
            }
        }
        result.inTime = static_cast<double>(m_inTime) / static_cast<double>(m_flows.size());
        result.warmUse = m_scenario.warm == 0 ? 1 : static_cast<double>(warmWork) / static_cast<double>(m_scenario.length * 2 * m_scenario.warm);
        return result;
    }

    Scenario m_scenario;
    Time m_now = 0;
    std::array<EdgeForwarder, nodeCount> m_nodes;
    std::array<std::vector<std::size_t>, nodeCount> m_views;
    std::map<std::uint64_t, SimTarget> m_targets;
    std::deque<SimFlow> m_flows;
    std::multimap<Time, std::function<void()>> m_events;
    int m_inTime = 0;
};

std::vector<std::size_t> without(std::size_t excluded)
{
    std::vector<std::size_t> view{0, 1, 2};
    std::erase(view, excluded);
    return view;
}

/// The others lose sight of one node after the other, each for @p period. That node doesn't notice it, so that it goes on as owner.
auto losesSight(Time period)
{
    return [period](std::size_t node, Time now) {
        const auto lost = static_cast<std::size_t>(now / period) % nodeCount;
        return node == lost ? std::vector<std::size_t>{0, 1, 2} : without(lost);
    };
}

/// Nodes 0 and 1 don't see each other, and node 2 sees both.
std::vector<std::size_t> twoOwners(std::size_t node, Time /*now*/)
{
    return node == 2 ? std::vector<std::size_t>{0, 1, 2} : without(1 - node);
}

/// Node 0 is cut off from the others from the third second on.
std::vector<std::size_t> cutOff(std::size_t node, Time now)
{
    if (now < 3 * second) {
        return {0, 1, 2};
    }
    return node == 0 ? std::vector<std::size_t>{0} : without(0);
}

/// No node sees another one from the third second on.
std::vector<std::size_t> allApart(std::size_t node, Time now)
{
    return now < 3 * second ? std::vector<std::size_t>{0, 1, 2} : std::vector<std::size_t>{node};
}

} // namespace

// The limit is 4 * 1.5 + 5 openings. Guards against two budgets after a change of owner or a restart, with two owners, and through repeated offers.
TEST_CASE("no cold target gets more openings in a second than the limit, over all nodes")
{
    constexpr int limit = 11;
    Scenario base;
    struct Row {
        Scenario scenario;
        bool used; ///< whether cold targets are expected to get flows
    };
    std::vector<Row> rows;
    const auto add = [&](const std::string &name, bool used) -> Scenario & {
        rows.push_back({base, used});
        rows.back().scenario.name = name;
        return rows.back().scenario;
    };
    add("steady", true);
    add("rate 0", true).coldRate = 0;
    Scenario &allCold = add("everything cold", true);
    allCold.warm = 0;
    allCold.cold = 120;
    add("silent cold targets, repeated offers", true).silent = true;
    add("hand-over each second", false).view = losesSight(second);
    add("hand-over each three seconds", true).view = losesSight(3 * second);
    add("two owners", true).view = twoOwners;
    Scenario &silentOwners = add("two owners, silent cold targets", true);
    silentOwners.view = twoOwners;
    silentOwners.silent = true;
    add("owner cut off", true).view = cutOff;
    add("three owners", true).view = allApart;
    Scenario &restarts = add("restart each 100 ms, everything cold", false);
    restarts.restartPeriod = 100 * millisecond;
    restarts.warm = 0;
    restarts.cold = 120;
    add("restart each 700 ms", false).restartPeriod = 700 * millisecond;
    add("restart each second", true).restartPeriod = second;
    add("unreachable dispatcher", true).unreachable = 0;
    Scenario &worst = add("unreachable dispatcher, hand-over, restart", false);
    worst.unreachable = 1;
    worst.view = losesSight(1500 * millisecond);
    worst.restartPeriod = 2500 * millisecond;
    for (const Row &row : rows) {
        CAPTURE(row.scenario.name);
        const Result result = Fleet(row.scenario).run();
        INFO("worst second " << result.worstSecond << ", cold openings " << result.coldOpenings << ", in time " << result.inTime << ", use of warm slots "
                             << result.warmUse);
        CHECK(result.worstSecond <= limit);
        CHECK((result.coldOpenings > 0 || !row.used));
    }
    // The load is high enough to exceed the limit.
    base.limited = false;
    CHECK(Fleet(base).run().worstSecond > limit);
}

// A data centre returns with 300 cold targets, each of which can take one request per second, under load. Guards against
// flows that queue at cold targets, and against warm targets that are left idle because of the limit.
TEST_CASE("the return of a data centre with cold targets leaves flows in time")
{
    struct Row {
        int flowsPerSecond;
        double minInTime; ///< with the limit
        double minGain; ///< in time with the limit, less without it
        double minWarmUse;
    };
    // 600 warm targets with two slots and 300 ms for a request can take 4,000 per second.
    const Row rows[] = {{2800, 0.95, 0.1, 0.6}, {4400, 0.95, 0.05, 0.95}};
    for (const Row &row : rows) {
        Scenario scenario;
        scenario.warm = 600;
        scenario.cold = 300;
        scenario.coldRate = 1;
        scenario.slowCold = true;
        scenario.flowsPerSecond = row.flowsPerSecond;
        scenario.serviceTime = 300 * millisecond;
        scenario.length = 4 * second;
        const Result limited = Fleet(scenario).run();
        scenario.limited = false;
        const Result unlimited = Fleet(scenario).run();
        INFO(row.flowsPerSecond << "/s: in time " << limited.inTime << " with the limit, " << unlimited.inTime << " without; use of warm slots "
                                << limited.warmUse << ", " << unlimited.warmUse << "; worst second " << limited.worstSecond << ", " << unlimited.worstSecond);
        CHECK(limited.inTime >= row.minInTime);
        CHECK(limited.inTime >= unlimited.inTime + row.minGain);
        CHECK(limited.warmUse >= row.minWarmUse);
    }
}
