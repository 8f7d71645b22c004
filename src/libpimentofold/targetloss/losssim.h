#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <libpimentofold/edgetestdata.h>
#include <pimentofold/targetloss/targetloss.h>

/// Simulation on virtual time of nodes, targets and callers with persistent flows, for the tests of lost targets. Flows are
/// open from the start. A flow whose target doesn't serve it is replaced by one on another target, as its caller would do.
namespace pimentofold::losssim {

constexpr Time transit = millisecond;
constexpr int dataCentres = 3;

inline std::string dataCentreName(std::size_t index)
{
    return "dc" + std::to_string(index % dataCentres);
}

struct SimTarget {
    bool silent = false;
    Time serviceTime = 30 * millisecond;
    bool hangs = false; ///< acknowledges data, but never answers
};

struct SimNode {
    EdgeForwarder forwarder;
    bool alive = true;
    bool outboundBroken = false; ///< nothing that the node sends to targets arrives
    Time pausedUntil = 0;
    Time tickAt = never; ///< time of the scheduled tick
};

struct SimFlow {
    FlowKey key;
    std::size_t node = 0;
    std::uint64_t target = 0;
    std::uint32_t sequence = 1;
    std::uint32_t acknowledgement = 900;
    bool working = false;
    Time startedAt = 0; ///< of the current request
    bool delivered = false; ///< the target has acknowledged the request
    std::uint64_t request = 0; ///< number of the current request
};

struct SimOptions {
    std::size_t nodes = 100;
    std::uint64_t targets = 150;
    std::size_t flows = 2'200;
    std::size_t callers = 30;
    Time meanPause = 1500 * millisecond; ///< between the requests of a flow
    Time timeout = 2 * second;
    bool enabled = true;
    RouteType type = RouteType::Safe;
    double pathLoss = 0; ///< of packets between a node and a target
    double badCallerLoss = 0; ///< of packets to the callers below badCallers
    std::size_t badCallers = 0;
    bool movesFlows = false; ///< each packet goes through another node
    bool dropsFirstBroadcasts = false; ///< those within 300 ms after the first verdict
    bool oneRequestPerFlow = false;
    std::uint64_t seed = 1;
};

struct SimCounts {
    int requests = 0;
    int timeouts = 0;
    int resets = 0;
    int wrongResets = 0; ///< of open flows whose target is alive
    int workingResets = 0; ///< of flows with a request in progress that has reached the node
    int evidenceMessages = 0;
    int broadcastMessages = 0; ///< to single receivers
    int broadcasts = 0;
    int verdictMessages = 0; ///< to holders of flows
    int verdicts = 0;
    Time firstVerdictAt = never;
};

class Simulation
{
public:
    explicit Simulation(const SimOptions &simOptions)
        : options(simOptions)
        , random{simOptions.seed}
        , targets(simOptions.targets + 1)
        , cut(dataCentres, false)
    {
        for (std::size_t n = 0; n < options.nodes; ++n) {
            nodes.push_back(std::make_unique<SimNode>());
        }
        for (std::size_t n = 0; n < options.nodes; ++n) {
            startNode(n);
        }
        for (std::size_t n = 0; n < options.flows; ++n) {
            flows.push_back({});
            openFlow(n, 1 + below(random, options.targets));
            scheduleRequest(n);
        }
    }

    void at(Time time, std::function<void()> action)
    {
        m_events.push({time, m_count++, std::move(action)});
    }

    void runUntil(Time end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event event = m_events.top();
            m_events.pop();
            now = event.time;
            event.action();
        }
        now = end;
    }

    void updateMembers()
    {
        std::vector<InstanceKey> members;
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            if (nodes[n]->alive) {
                members.push_back(nodes[n]->forwarder.self);
            }
        }
        for (const auto &it : nodes) {
            it->forwarder.members = members;
            updateDispatchers(it->forwarder, now);
        }
    }

    /// @return index of the node that owns the target
    std::size_t ownerOf(std::uint64_t target)
    {
        const Id owner = findTarget(nodes[0]->forwarder.table, target)->owner;
        return owner == 0 ? 0 : static_cast<std::size_t>(owner - 1);
    }

    SimOptions options;
    Random random;
    std::vector<std::unique_ptr<SimNode>> nodes;
    std::vector<SimTarget> targets; ///< by id
    std::vector<SimFlow> flows;
    std::vector<bool> cut; ///< by data centre: cut off from the others
    SimCounts counts;
    Time now = 0;

private:
    struct Event {
        Time time;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    void startNode(std::size_t index)
    {
        constexpr Time nodeTimer = 150 * millisecond;
        SimNode &node = *nodes[index];
        EdgeForwarder &forwarder = node.forwarder;
        forwarder = testdata::makeForwarder(static_cast<int>(options.targets), 0);
        for (std::uint64_t id = 1; id <= options.targets; ++id) {
            findTarget(forwarder.table, id)->record.dataCentre = dataCentreName(id);
        }
        EdgeRoute route = testdata::makeRoute(testdata::shopAddress, "shop");
        route.type = options.type;
        applyConfig(forwarder.table, testdata::makeConfig(100'000, {route}));
        forwarder.self = {static_cast<Id>(index + 1), -100 * second - static_cast<Time>(index)};
        forwarder.dispatcher.settings.dataCentre = dataCentreName(index);
        forwarder.dispatcher.random.state = index + 1;
        forwarder.targetLoss.settings.enabled = options.enabled;
        for (std::size_t n = 0; n < options.nodes; ++n) {
            forwarder.members.push_back({static_cast<Id>(n + 1), -100 * second - static_cast<Time>(n)});
        }
        std::erase(forwarder.members, InstanceKey{1, 1});
        // The owners have owned the targets for long enough to know the holders of their flows.
        updateDispatchers(forwarder, -minute);
        recordStoreContact(forwarder.targetLoss.verdicts, true, 0, 0);
        runTimer(index, nodeTimer);
    }

    void runTimer(std::size_t index, Time interval)
    {
        at(now + interval, [this, index, interval] {
            onNode(index, [](EdgeForwarder &, ForwardOutput &) {});
            runTimer(index, interval);
        });
    }

    /// Runs an action at a node, later if the node is paused, and sends its output.
    void onNode(std::size_t index, const std::function<void(EdgeForwarder &, ForwardOutput &)> &action)
    {
        SimNode &node = *nodes[index];
        if (!node.alive) {
            return;
        }
        if (now < node.pausedUntil) {
            at(node.pausedUntil, [this, index, action] { onNode(index, action); });
            return;
        }
        ForwardOutput out;
        detectPause(node.forwarder, now);
        action(node.forwarder, out);
        sendOutput(index, out);
        scheduleTick(index);
    }

    void scheduleTick(std::size_t index)
    {
        SimNode &node = *nodes[index];
        const Time due = std::max(nextForwarderTick(node.forwarder), now);
        if (due >= node.tickAt) {
            return;
        }
        node.tickAt = due;
        at(due, [this, index, due] {
            if (nodes[index]->tickAt == due) {
                nodes[index]->tickAt = never;
                onNode(index, [this](EdgeForwarder &forwarder, ForwardOutput &out) { tickForwarder(forwarder, now, out); });
            }
        });
    }

    bool isConnected(std::size_t a, std::size_t b) const
    {
        return a % dataCentres == b % dataCentres || (!cut[a % dataCentres] && !cut[b % dataCentres]);
    }

    void sendToNode(std::size_t from, std::size_t to, std::function<void(EdgeForwarder &, ForwardOutput &)> action)
    {
        if (to >= nodes.size() || !isConnected(from, to)) {
            return;
        }
        at(now + transit, [this, from, to, action = std::move(action)] {
            onNode(to, [this, from, action](EdgeForwarder &forwarder, ForwardOutput &out) {
                recordContact(forwarder.targetLoss.verdicts, dataCentreName(from), now);
                action(forwarder, out);
            });
        });
    }

    void sendOutput(std::size_t from, const ForwardOutput &out)
    {
        for (const FlowNotice &it : out.flowNotices) {
            sendToNode(from, static_cast<std::size_t>(it.dispatcher - 1), [this, from, it](EdgeForwarder &forwarder, ForwardOutput &result) {
                if (it.kind != FlowNoticeKind::Ended) {
                    recordFlowHolder(forwarder, it.target, static_cast<Id>(from + 1), now);
                }
                handleFlowNotice(forwarder.dispatcher, forwarder.table, it, now, result);
            });
        }
        for (const EvidenceMessage &it : out.evidence) {
            ++counts.evidenceMessages;
            sendToNode(from, static_cast<std::size_t>(it.owner - 1), [this, from, it](EdgeForwarder &forwarder, ForwardOutput &result) {
                handleEvidence(forwarder, it.evidence, static_cast<Id>(from + 1), dataCentreName(from), now, result);
            });
        }
        for (const LossEventRecord &it : out.lossEvents) {
            if (it.event == LossEvent::Lost) {
                ++counts.verdicts;
                counts.firstVerdictAt = std::min(counts.firstVerdictAt, now);
            }
        }
        if (!out.lostTargets.empty()) {
            broadcast(from, out.lostTargets);
        }
        sendVerdicts(from, out.lostTargetMessages);
        for (const FlowReset &it : out.resets) {
            onReset(it);
        }
        for (const ForwardedPacket &it : out.packets) {
            toTarget(from, it);
        }
    }

    void sendVerdicts(std::size_t from, const std::vector<LostTargetMessage> &messages)
    {
        counts.verdictMessages += static_cast<int>(messages.size());
        if (options.dropsFirstBroadcasts && now < counts.firstVerdictAt + 300 * millisecond) {
            return;
        }
        for (const LostTargetMessage &it : messages) {
            sendToNode(from, static_cast<std::size_t>(it.node - 1), [this, it](EdgeForwarder &forwarder, ForwardOutput &result) {
                handleLostTargets(forwarder, it.lost, now, result);
            });
        }
    }

    /// Every other node gets the message once; the two hops of the relay groups are left out.
    void broadcast(std::size_t from, const std::vector<LostTarget> &lost)
    {
        ++counts.broadcasts;
        if (options.dropsFirstBroadcasts && now < counts.firstVerdictAt + 300 * millisecond) {
            return;
        }
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            if (n != from) {
                ++counts.broadcastMessages;
                sendToNode(from, n, [this, lost](EdgeForwarder &forwarder, ForwardOutput &result) { handleLostTargets(forwarder, lost, now, result); });
            }
        }
    }

    /// Opens a flow with a new key; its packets go through one node.
    void openFlow(std::size_t index, std::uint64_t target)
    {
        SimFlow &flow = flows[index];
        const std::uint64_t number = m_nextKey++;
        const auto caller = static_cast<std::uint32_t>(index % options.callers);
        flow.key = {{0x64400001 + caller, static_cast<std::uint16_t>(1024 + number)}, testdata::shopAddress};
        flow.node = below(random, options.nodes);
        flow.target = target;
        flow.sequence = 1;
        flow.acknowledgement = 900;
        flow.working = false;
        ++flow.request;
    }

    void replaceFlow(std::size_t index)
    {
        std::uint64_t target = flows[index].target;
        while (target == flows[index].target || targets[target].silent) {
            target = 1 + below(random, options.targets);
        }
        openFlow(index, target);
    }

    void scheduleRequest(std::size_t index)
    {
        const auto pause = static_cast<Time>(exponential(random, static_cast<double>(options.meanPause)));
        const std::uint64_t request = flows[index].request;
        at(now + pause, [this, index, request] {
            if (flows[index].request == request) {
                startRequest(index);
            }
        });
    }

    void startRequest(std::size_t index)
    {
        SimFlow &flow = flows[index];
        flow.working = true;
        flow.startedAt = now;
        flow.delivered = false;
        const std::uint64_t request = ++flow.request;
        ++counts.requests;
        for (const Time delay : {Time(0), 200 * millisecond, 600 * millisecond, 1400 * millisecond}) {
            at(now + delay, [this, index, request] {
                if (flows[index].request == request && !flows[index].delivered) {
                    sendPacket(index, requestBytes);
                }
            });
        }
        at(now + options.timeout, [this, index, request] {
            if (flows[index].request == request && flows[index].working) {
                ++counts.timeouts;
                closeFlow(index);
            }
        });
    }

    void closeFlow(std::size_t index)
    {
        FlowPacket packet = makePacket(index, 0);
        packet.resets = true;
        packet.bytes = "";
        const std::size_t node = flows[index].node;
        at(now + transit,
           [this, node, packet] { onNode(node, [this, packet](EdgeForwarder &forwarder, ForwardOutput &out) { handlePacket(forwarder, packet, now, out); }); });
        replaceFlow(index);
        scheduleRequest(index);
    }

    FlowPacket makePacket(std::size_t index, std::uint16_t payloadBytes) const
    {
        const SimFlow &flow = flows[index];
        FlowPacket packet;
        packet.flow = flow.key;
        packet.token = tokenOf(flow.target);
        packet.sequence = flow.sequence;
        packet.acknowledgement = flow.acknowledgement;
        packet.payloadBytes = payloadBytes;
        return packet;
    }

    void sendPacket(std::size_t index, std::uint16_t payloadBytes)
    {
        SimFlow &flow = flows[index];
        if (options.movesFlows) {
            flow.node = below(random, options.nodes);
        }
        // The bytes tell the simulated target which request the packet belongs to.
        const std::string bytes = std::to_string(index) + " " + std::to_string(payloadBytes > 0 ? flow.request : 0);
        const FlowPacket packet = makePacket(index, payloadBytes);
        const std::size_t node = flow.node;
        at(now + transit, [this, node, packet, bytes] {
            onNode(node, [this, packet, bytes](EdgeForwarder &forwarder, ForwardOutput &out) {
                FlowPacket copy = packet;
                copy.bytes = bytes;
                handlePacket(forwarder, copy, now, out);
            });
        });
    }

    void toTarget(std::size_t from, const ForwardedPacket &packet)
    {
        const std::size_t split = packet.bytes.find(' ');
        if (split == std::string::npos || nodes[from]->outboundBroken || !isConnected(from, packet.target) || chance(random, options.pathLoss)) {
            return;
        }
        const std::size_t index = std::stoul(packet.bytes);
        const std::uint64_t request = std::stoul(packet.bytes.substr(split));
        if (request != 0) {
            at(now + transit, [this, index, request, target = packet.target] { onTarget(index, request, target); });
        }
    }

    void onTarget(std::size_t index, std::uint64_t request, std::uint64_t target)
    {
        SimTarget &it = targets[target];
        if (it.silent || flows[index].request != request) {
            return;
        }
        if (reachesCaller(index)) {
            flows[index].delivered = true;
        }
        if (it.hangs) {
            return;
        }
        at(now + it.serviceTime, [this, index, request, target] {
            if (!targets[target].silent && flows[index].request == request && flows[index].working && reachesCaller(index)) {
                onAnswer(index);
            }
        });
    }

    bool reachesCaller(std::size_t index)
    {
        return index % options.callers >= options.badCallers || !chance(random, options.badCallerLoss);
    }

    void onAnswer(std::size_t index)
    {
        SimFlow &flow = flows[index];
        flow.working = false;
        ++flow.request;
        flow.sequence += requestBytes;
        flow.acknowledgement += answerBytes;
        sendPacket(index, 0);
        if (options.oneRequestPerFlow) {
            replaceFlow(index);
        }
        scheduleRequest(index);
    }

    void onReset(const FlowReset &reset)
    {
        const auto flow = std::ranges::find(flows, reset.flow, &SimFlow::key);
        if (flow == flows.end()) {
            return;
        }
        ++counts.resets;
        counts.workingResets += flow->working && now - flow->startedAt > transit ? 1 : 0;
        counts.wrongResets += targets[flow->target].silent ? 0 : 1;
        const auto index = static_cast<std::size_t>(flow - flows.begin());
        const bool retries = flow->working && options.type == RouteType::Safe;
        replaceFlow(index);
        if (retries) {
            startRequest(index);
        } else {
            scheduleRequest(index);
        }
    }

    static constexpr std::uint16_t requestBytes = 180;
    static constexpr std::uint32_t answerBytes = 1200;

    std::priority_queue<Event> m_events;
    std::uint64_t m_count = 0;
    std::uint64_t m_nextKey = 0;
};

} // namespace pimentofold::losssim
